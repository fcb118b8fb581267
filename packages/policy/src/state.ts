/** The state of each worker, organisation, team, job and running task. */
import {NO_RESOURCES, type Resources} from '@dragonflyward/common';
import type {
  PlacedTask,
  PolicyJob,
  PolicyQueue,
  PolicyTeam,
  PolicyWorker,
} from './engine.js';
import type {WaitClass} from './wait-class.js';

/** A worker with the resources that are reserved and held on it. */
export interface WorkerState {
  worker: PolicyWorker;
  used: Resources;
  /** Capacity minus usage; amounts may be negative. */
  free: Resources;
  /** The resources that holds keep for waiting jobs. */
  held: Resources;
  /** The part of the held resources that is kept for urgent jobs. */
  heldUrgent: Resources;
  /**
   * When the first hold is expected to be used; tasks that are expected to end
   * before may use the held resources.
   */
  firstHoldMs: number;
  readonly tasks: Set<RunningTask>;
  /** The end of its quarantine for failures; 0 if it is not quarantined. */
  quarantinedUntilMs: number;
  /** After a quarantine: gets one task at a time until one succeeds. */
  isOnProbation: boolean;
}

/** An organisation with the total usage of its teams. */
export interface OrganisationState {
  readonly organisation: string;
  share: number;
  used: Resources;
  /** The sum of the fair shares of its teams. */
  fairShare: number;
  /** Half of the dominant share of the task that was started last. */
  halfTaskShare: number;
  /** Usage beyond the fair share, summed over time; negative if below. */
  shareExcess: number;
  /** Dominant share plus halfTaskShare and shareExcess, over the weight. */
  weightedShare: number;
}

/** A team with its usage and its waiting jobs. */
export interface TeamState {
  team: PolicyTeam;
  organisation: OrganisationState;
  used: Resources;
  /** The part of the usage that belongs to urgent queues. */
  urgentUsed: Resources;
  /** Half of the dominant share of the task that was started last. */
  halfTaskShare: number;
  /** Usage beyond the fair share, summed over time; negative if below. */
  shareExcess: number;
  /** Dominant share plus halfTaskShare and shareExcess, over the weight. */
  weightedShare: number;
  readonly waiting: Map<string, WaitClass>;
  /** The total size of its waiting tasks. */
  waitingResources: Resources;
  /** The part of the usage whose tasks were told to stop. */
  stoppingResources: Resources;
  /** The dominant share without the tasks that were told to stop. */
  netShare: number;
  /** When the team last started a task. */
  lastStartMs: number;
  /** The fair dominant share by the present demand. */
  fairShare: number;
}

/** A job with its waiting and running tasks. */
export interface JobState {
  job: PolicyJob;
  queue: PolicyQueue;
  team: TeamState;
  /** The indexes of the waiting tasks. */
  readonly pending: Set<number>;
  readonly running: Map<number, RunningTask>;
  /** For a spread job: the number of its tasks in each rack and worker. */
  taskCountByLocation: Map<string, number> | null;
  /** The class in which the job waits. */
  waitClass: WaitClass | null;
  /** The number of the job's current entry in its class; older ones differ. */
  entryNumber: number;
  /** Why the job was set aside; empty if it was not. */
  setAsideReason: string;
  /** The time before which the job gets no new hold. */
  holdBackoffUntilMs: number;
}

/** A task that has a reservation. */
export interface RunningTask {
  task: PlacedTask;
  readonly job: JobState;
  readonly startedMs: number;
  /** The estimated run time; infinite if unknown. */
  readonly expectedMs: number;
  /** Whether it counts towards the urgent usage of its team. */
  readonly isUrgent: boolean;
  /** Whether it was told to stop. */
  isStopping: boolean;
  /** When it was told to stop. */
  stopRequestedMs: number;
  /** The largest measured CPU usage since the last resize. */
  peakCpuMilli: number;
  /** The largest measured memory usage since the last resize. */
  peakMemMb: number;
  /** The number of measurements since the last resize. */
  sampleCount: number;
  /** The CPU reservation before the last probe with more; 0 without probe. */
  cpuMilliBeforeProbe: number;
  /** When its reservation was last changed. */
  lastResizeMs: number;
}

/**
 * Creates the state of a worker without tasks.
 *
 * @example
 * workers.set(worker.workerId, newWorkerState(worker));
 */
export function newWorkerState(worker: PolicyWorker): WorkerState {
  return {
    worker,
    used: NO_RESOURCES,
    free: worker.capacity,
    held: NO_RESOURCES,
    heldUrgent: NO_RESOURCES,
    firstHoldMs: 0,
    tasks: new Set(),
    quarantinedUntilMs: 0,
    isOnProbation: false,
  };
}

/**
 * Creates the state of a job without waiting or running tasks.
 *
 * @example
 * jobs.set(job.jobId, newJobState(job, queue, team));
 */
export function newJobState(
  job: PolicyJob,
  queue: PolicyQueue,
  team: TeamState,
): JobState {
  return {
    job,
    queue,
    team,
    pending: new Set(),
    running: new Map(),
    taskCountByLocation: isSpread(job, queue) ? new Map() : null,
    waitClass: null,
    entryNumber: 0,
    setAsideReason: '',
    holdBackoffUntilMs: 0,
  };
}

/**
 * Returns whether a worker may get new tasks: it is ready, not
 * quarantined, and has no task yet if it is on probation.
 *
 * @example
 * if (!isSchedulable(state)) continue;
 */
export function isSchedulable(state: WorkerState): boolean {
  if (state.worker.condition !== 'ready') return false;
  if (state.quarantinedUntilMs > 0) return false;
  return !state.isOnProbation || state.tasks.size === 0;
}

/**
 * Returns whether the tasks of a job are spread over racks and workers.
 *
 * @example
 * const policy = isSpread(job, queue) ? policies.spread : policies.pack;
 */
export function isSpread(job: PolicyJob, queue: PolicyQueue): boolean {
  return !job.isGang && (job.isService || queue.policy === 'spread');
}
