/** The workers of a shard and the tasks with reservations on them. */
import {
  addResources,
  fitsIn,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from '@dragonflyward/common';
import {dominantShare, maxAmount} from './resource-math.js';
import type {PolicyWorker} from './engine.js';
import {
  isSpread,
  newWorkerState,
  type JobState,
  type RunningTask,
  type WorkerState,
} from './state.js';
import type {TeamTable} from './team-table.js';

/** Called with each worker that may have got more room. */
export type FreedListener = (worker: WorkerState) => void;

/** Tracks what is reserved on each worker and for each team. */
export class WorkerTable {
  readonly workers = new Map<string, WorkerState>();
  readonly tasks = new Map<string, RunningTask>();
  /** All workers in the order in which they were added. */
  workerList: readonly WorkerState[] = [];
  /** For each resource, the largest capacity of any worker. */
  private maxCapacity: Resources = NO_RESOURCES;

  constructor(
    private readonly teams: TeamTable,
    private readonly onFreed: FreedListener,
  ) {}

  /** Adds a worker or changes its capacity or condition. */
  setWorker(worker: PolicyWorker): void {
    const state = this.workers.get(worker.workerId);
    if (state === undefined) {
      this.addWorker(worker);
      return;
    }
    const previous = state.worker;
    state.worker = worker;
    state.free = subtractResources(worker.capacity, state.used);
    if (hasSameAvailability(previous, worker)) return;
    this.refreshCapacity();
    this.onFreed(state);
  }

  /** Removes a worker and returns the tasks that had reservations on it. */
  removeWorker(workerId: string): readonly RunningTask[] {
    const state = this.workers.get(workerId);
    if (state === undefined) return [];
    const lostTasks = [...state.tasks];
    for (const running of lostTasks) this.release(running);
    this.workers.delete(workerId);
    state.worker = {...state.worker, condition: 'leaving'};
    this.refreshCapacity();
    return lostTasks;
  }

  /** Returns a worker; an unknown one is added without capacity. */
  getWorker(workerId: string): WorkerState {
    const known = this.workers.get(workerId);
    if (known !== undefined) return known;
    return this.addWorker({
      workerId,
      rack: '',
      capacity: NO_RESOURCES,
      condition: 'silent',
    });
  }

  /** Tells whether the size would fit on some worker if it were empty. */
  canEverHold(size: Resources): boolean {
    for (const {worker} of this.workers.values()) {
      if (worker.condition === 'leaving') continue;
      if (fitsIn(size, worker.capacity)) return true;
    }
    return false;
  }

  /** Tells whether the size needs this fraction of the largest capacity. */
  isLarge(size: Resources, fraction: number): boolean {
    return dominantShare(size, this.maxCapacity) >= fraction;
  }

  /** Counts the tasks by rack and worker if the job is spread. */
  countPlaces(job: JobState): void {
    const isCounted = job.taskCountByLocation !== null;
    if (isCounted === isSpread(job.job, job.queue)) return;
    job.taskCountByLocation = isCounted ? null : new Map();
    for (const {task} of job.running.values()) {
      addToPlaceCounts(
        job.taskCountByLocation,
        this.getWorker(task.workerId),
        1,
      );
    }
  }

  /** Reserves what a task needs. */
  charge(running: RunningTask): void {
    const {task, job} = running;
    const worker = this.getWorker(task.workerId);
    this.tasks.set(task.taskId, running);
    worker.tasks.add(running);
    this.addUsage(worker, task.size);
    this.teams.charge(job.team, task.size, running.isUrgent);
    job.running.set(task.taskIndex, running);
    addToPlaceCounts(job.taskCountByLocation, worker, 1);
  }

  /** Frees a task's reservation. */
  release(running: RunningTask): void {
    const {task, job} = running;
    const worker = this.getWorker(task.workerId);
    this.tasks.delete(task.taskId);
    worker.tasks.delete(running);
    this.addUsage(worker, subtractResources(NO_RESOURCES, task.size));
    this.teams.release(job.team, task.size, running.isUrgent);
    if (running.isStopping) this.teams.noteStopped(job.team, task.size);
    if (job.running.get(task.taskIndex) === running) {
      job.running.delete(task.taskIndex);
    }
    addToPlaceCounts(job.taskCountByLocation, worker, -1);
    this.onFreed(worker);
  }

  /** Marks a task as stopping; its reservation stays until it ends. */
  markStopping(running: RunningTask, nowMs: number): void {
    if (running.isStopping) return;
    running.isStopping = true;
    running.stopRequestedMs = nowMs;
    this.teams.noteStopping(running.job.team, running.task.size);
  }

  /** Reverts `markStopping`. */
  unmarkStopping(running: RunningTask): void {
    if (!running.isStopping) return;
    running.isStopping = false;
    this.teams.noteStopped(running.job.team, running.task.size);
  }

  /** Changes the reservation of a running task. */
  resize(running: RunningTask, size: Resources): void {
    const worker = this.getWorker(running.task.workerId);
    const change = subtractResources(size, running.task.size);
    running.task = {...running.task, size};
    this.addUsage(worker, change);
    this.teams.charge(running.job.team, change, running.isUrgent);
    this.onFreed(worker);
  }

  private addWorker(worker: PolicyWorker): WorkerState {
    const state = newWorkerState(worker);
    this.workers.set(worker.workerId, state);
    this.refreshCapacity();
    this.onFreed(state);
    return state;
  }

  private addUsage(worker: WorkerState, change: Resources): void {
    worker.used = addResources(worker.used, change);
    worker.free = subtractResources(worker.worker.capacity, worker.used);
  }

  private refreshCapacity(): void {
    let total = NO_RESOURCES;
    let maxCapacity = NO_RESOURCES;
    for (const {worker} of this.workers.values()) {
      if (worker.condition === 'leaving') continue;
      total = addResources(total, worker.capacity);
      maxCapacity = maxAmount(maxCapacity, worker.capacity);
    }
    this.maxCapacity = maxCapacity;
    this.workerList = [...this.workers.values()];
    this.teams.setCapacity(total);
  }
}

function hasSameAvailability(a: PolicyWorker, b: PolicyWorker): boolean {
  return a.condition === b.condition && a.capacity === b.capacity;
}

function addToPlaceCounts(
  counts: Map<string, number> | null,
  state: WorkerState,
  change: number,
): void {
  if (counts === null) return;
  const {rack, workerId} = state.worker;
  addCount(counts, rackKey(rack), change);
  addCount(counts, workerKey(workerId), change);
}

function addCount(
  counts: Map<string, number>,
  key: string,
  change: number,
): void {
  const count = (counts.get(key) ?? 0) + change;
  if (count === 0) counts.delete(key);
  else counts.set(key, count);
}

/**
 * The key under which a job counts its tasks in a rack.
 *
 * @example
 * const inRack = job.taskCountByLocation.get(rackKey(worker.rack)) ?? 0;
 */
export function rackKey(rack: string): string {
  return `rack ${rack}`;
}

/**
 * The key under which a job counts its tasks on a worker.
 *
 * @example
 * const here = job.taskCountByLocation.get(workerKey(worker.workerId)) ?? 0;
 */
export function workerKey(workerId: string): string {
  return `worker ${workerId}`;
}
