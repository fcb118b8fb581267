/** Room that is kept for jobs that were promised it, for a bounded time. */
import {
  addResources,
  NO_RESOURCES,
  scaleResources,
  subtractResources,
  type Resources,
} from '@dragonflyward/common';
import type {JobState, WorkerState} from './state.js';

/** How long a stop is expected to take at most. */
const STOP_MS = 2_500;

/** How long room is held at most. */
export const MAX_HOLD_MS = 60_000;

/** Room for some tasks of a job. */
export interface Hold {
  readonly state: JobState;
  readonly size: Resources;
  readonly isUrgent: boolean;
  /** When the room is expected to be free. */
  readonly fromMs: number;
  /** When the hold ends, used or not. */
  readonly untilMs: number;
  /** For how many tasks there is room on each worker. */
  readonly slots: Map<WorkerState, number>;
}

/** All holds, at most one for a job. */
export class HoldTable {
  private readonly byJob = new Map<string, Hold>();

  constructor(private readonly onRoom: (worker: WorkerState) => void) {}

  get size(): number {
    return this.byJob.size;
  }

  /** All holds, the oldest first. */
  values(): IterableIterator<Hold> {
    return this.byJob.values();
  }

  /** The hold of a job. */
  get(jobId: string): Hold | undefined {
    return this.byJob.get(jobId);
  }

  /** For how many tasks of a job room is held. */
  slotsOf(jobId: string): number {
    let sum = 0;
    for (const slots of this.byJob.get(jobId)?.slots.values() ?? []) {
      sum += slots;
    }
    return sum;
  }

  /** Adds a hold, or changes the one that the job has; its age is kept. */
  add(hold: Hold): void {
    const {jobId} = hold.state.job;
    const former = this.byJob.get(jobId);
    this.byJob.set(jobId, hold);
    for (const worker of former?.slots.keys() ?? []) {
      this.refresh(worker);
      this.onRoom(worker);
    }
    for (const worker of hold.slots.keys()) this.refresh(worker);
  }

  /** Ends the hold of a job. */
  remove(jobId: string): void {
    const hold = this.byJob.get(jobId);
    if (hold === undefined) return;
    this.byJob.delete(jobId);
    for (const worker of hold.slots.keys()) {
      this.refresh(worker);
      this.onRoom(worker);
    }
  }

  /** Gives up one slot of a job, on this worker where it has one there. */
  useSlot(jobId: string, worker: WorkerState): void {
    const hold = this.byJob.get(jobId);
    if (hold === undefined) return;
    const count = hold.slots.get(worker) ?? 0;
    if (count > 0) this.setSlots(hold, worker, count - 1);
    else this.trim(hold);
  }

  /** Forgets what is held on a worker that is gone. */
  dropWorker(worker: WorkerState): void {
    for (const hold of this.byJob.values()) hold.slots.delete(worker);
  }

  /** What a hold keeps, by worker. */
  roomOf(jobId: string): ReadonlyMap<WorkerState, Resources> {
    const room = new Map<WorkerState, Resources>();
    const hold = this.byJob.get(jobId);
    if (hold === undefined) return room;
    for (const [worker, count] of hold.slots) {
      room.set(worker, scaleResources(hold.size, count));
    }
    return room;
  }

  /**
   * What is held on a job's workers but not against the job: its own hold
   * and younger ones. Two holds would else keep each other from starting.
   */
  claimOf(jobId: string): ReadonlyMap<WorkerState, Resources> {
    const claim = new Map<WorkerState, Resources>();
    const own = this.byJob.get(jobId);
    if (own === undefined) return claim;
    let isYounger = false;
    for (const hold of this.byJob.values()) {
      if (hold === own) isYounger = true;
      if (!isYounger || (hold.isUrgent && !own.isUrgent)) continue;
      if (own.isUrgent && !hold.isUrgent) continue;
      for (const worker of own.slots.keys()) {
        const count = hold.slots.get(worker) ?? 0;
        if (count === 0) continue;
        const room = claim.get(worker) ?? NO_RESOURCES;
        claim.set(worker, addResources(room, scaleResources(hold.size, count)));
      }
    }
    return claim;
  }

  /** Holds no more slots than there are tasks that wait. */
  private trim(hold: Hold): void {
    const {jobId} = hold.state.job;
    if (this.slotsOf(jobId) <= hold.state.pending.size) return;
    for (const [worker, count] of hold.slots) {
      this.setSlots(hold, worker, count - 1);
      return;
    }
  }

  private setSlots(hold: Hold, worker: WorkerState, count: number): void {
    if (count > 0) hold.slots.set(worker, count);
    else hold.slots.delete(worker);
    this.refresh(worker);
    this.onRoom(worker);
    if (hold.slots.size === 0) this.byJob.delete(hold.state.job.jobId);
  }

  private refresh(worker: WorkerState): void {
    worker.held = NO_RESOURCES;
    worker.heldUrgent = NO_RESOURCES;
    worker.heldFromMs = Infinity;
    for (const hold of this.byJob.values()) {
      const count = hold.slots.get(worker);
      if (count === undefined) continue;
      const room = scaleResources(hold.size, count);
      worker.held = addResources(worker.held, room);
      worker.heldFromMs = Math.min(worker.heldFromMs, hold.fromMs);
      if (!hold.isUrgent) continue;
      worker.heldUrgent = addResources(worker.heldUrgent, room);
    }
  }
}

/**
 * What a worker will have free once the tasks that were told to stop of late
 * have ended, less what is held for others. A stop that is not confirmed in
 * time is not waited for.
 *
 * @example
 * const slots = countFits(size, comingRoom(worker, isUrgent, nowMs));
 */
export function comingRoom(
  worker: WorkerState,
  isUrgent: boolean,
  nowMs: number,
): Resources {
  let room = worker.free;
  for (const {isStopping, stoppingMs, task} of worker.tasks) {
    const isDue = isStopping && nowMs - stoppingMs < STOP_MS;
    if (isDue) room = addResources(room, task.size);
  }
  return subtractResources(room, isUrgent ? worker.heldUrgent : worker.held);
}
