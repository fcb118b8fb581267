/** Holds: resources that are kept for waiting jobs for a limited time. */
import {
  addResources,
  NO_RESOURCES,
  scaleResources,
  subtractResources,
  type Resources,
} from '@dragonflyward/common';
import type {JobState, WorkerState} from './state.js';

/** The longest time that a task is expected to take to stop. */
const STOP_TIMEOUT_MS = 2_500;

/** The longest time for which resources are held. */
export const MAX_HOLD_MS = 60_000;

/** The resources that are held for some tasks of a job. */
export interface Hold {
  readonly state: JobState;
  readonly size: Resources;
  readonly isUrgent: boolean;
  /** When the resources are expected to be free. */
  readonly fromMs: number;
  /** When the hold expires, used or not. */
  readonly untilMs: number;
  /** The number of tasks for which each worker keeps resources. */
  readonly slots: Map<WorkerState, number>;
}

/** All holds, at most one for each job. */
export class HoldTable {
  private readonly byJob = new Map<string, Hold>();

  constructor(private readonly onFreed: (worker: WorkerState) => void) {}

  get size(): number {
    return this.byJob.size;
  }

  /** All holds, the oldest first. */
  values(): IterableIterator<Hold> {
    return this.byJob.values();
  }

  /** Returns the hold of a job. */
  get(jobId: string): Hold | undefined {
    return this.byJob.get(jobId);
  }

  /** Returns the number of tasks of a job for which resources are held. */
  countSlots(jobId: string): number {
    let sum = 0;
    for (const slots of this.byJob.get(jobId)?.slots.values() ?? []) {
      sum += slots;
    }
    return sum;
  }

  /** Adds a hold, or replaces that of the job, which keeps its age. */
  add(hold: Hold): void {
    const {jobId} = hold.state.job;
    const former = this.byJob.get(jobId);
    this.byJob.set(jobId, hold);
    for (const worker of former?.slots.keys() ?? []) {
      this.refreshWorker(worker);
      this.onFreed(worker);
    }
    for (const worker of hold.slots.keys()) this.refreshWorker(worker);
  }

  /** Removes the hold of a job. */
  remove(jobId: string): void {
    const hold = this.byJob.get(jobId);
    if (hold === undefined) return;
    this.byJob.delete(jobId);
    for (const worker of hold.slots.keys()) {
      this.refreshWorker(worker);
      this.onFreed(worker);
    }
  }

  /** Uses a slot of a job on this worker, or drops an excess one elsewhere. */
  consumeSlot(jobId: string, worker: WorkerState): void {
    const hold = this.byJob.get(jobId);
    if (hold === undefined) return;
    const count = hold.slots.get(worker) ?? 0;
    if (count > 0) this.setSlots(hold, worker, count - 1);
    else this.dropExcessSlot(hold);
  }

  /** Removes what is held on a worker that is gone. */
  removeWorker(worker: WorkerState): void {
    for (const hold of this.byJob.values()) hold.slots.delete(worker);
  }

  /** Returns the resources that the hold of a job keeps, by worker. */
  getHeldResources(jobId: string): ReadonlyMap<WorkerState, Resources> {
    const room = new Map<WorkerState, Resources>();
    const hold = this.byJob.get(jobId);
    if (hold === undefined) return room;
    for (const [worker, count] of hold.slots) {
      room.set(worker, scaleResources(hold.size, count));
    }
    return room;
  }

  /**
   * Returns the held resources that the job may use on the workers of its hold:
   * those of its own hold and of younger ones. Otherwise two holds could keep
   * each other's jobs from starting.
   */
  getUsableResources(jobId: string): ReadonlyMap<WorkerState, Resources> {
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

  /** Drops a slot if the hold has more slots than the job has waiting tasks. */
  private dropExcessSlot(hold: Hold): void {
    const {jobId} = hold.state.job;
    if (this.countSlots(jobId) <= hold.state.pending.size) return;
    for (const [worker, count] of hold.slots) {
      this.setSlots(hold, worker, count - 1);
      return;
    }
  }

  private setSlots(hold: Hold, worker: WorkerState, count: number): void {
    if (count > 0) hold.slots.set(worker, count);
    else hold.slots.delete(worker);
    this.refreshWorker(worker);
    this.onFreed(worker);
    if (hold.slots.size === 0) this.byJob.delete(hold.state.job.jobId);
  }

  private refreshWorker(worker: WorkerState): void {
    worker.held = NO_RESOURCES;
    worker.heldUrgent = NO_RESOURCES;
    worker.firstHoldMs = Infinity;
    for (const hold of this.byJob.values()) {
      const count = hold.slots.get(worker);
      if (count === undefined) continue;
      const room = scaleResources(hold.size, count);
      worker.held = addResources(worker.held, room);
      worker.firstHoldMs = Math.min(worker.firstHoldMs, hold.fromMs);
      if (!hold.isUrgent) continue;
      worker.heldUrgent = addResources(worker.heldUrgent, room);
    }
  }
}

/**
 * Returns what a worker will have free once the tasks that were recently told
 * to stop have ended, minus what is held: for urgent jobs only if the room is
 * for an urgent job, else for all jobs. A stop that is not confirmed in time is
 * not counted.
 *
 * @example
 * const free = estimateFreeResources(worker, isUrgent, nowMs);
 */
export function estimateFreeResources(
  worker: WorkerState,
  isUrgent: boolean,
  nowMs: number,
): Resources {
  let room = worker.free;
  for (const {isStopping, stopRequestedMs, task} of worker.tasks) {
    const isDue = isStopping && nowMs - stopRequestedMs < STOP_TIMEOUT_MS;
    if (isDue) room = addResources(room, task.size);
  }
  return subtractResources(room, isUrgent ? worker.heldUrgent : worker.held);
}
