/** What the engine keeps for each worker, team, job and running task. */
import {NO_RESOURCES, type Resources} from '@dragonflyward/common';
import type {
  PlacedTask,
  PolicyJob,
  PolicyQueue,
  PolicyTeam,
  PolicyWorker,
} from './engine.js';
import type {WaitClass} from './wait-class.js';

/** A worker with what is reserved and held on it. */
export interface WorkerState {
  worker: PolicyWorker;
  used: Resources;
  /** Capacity minus what is used; parts may be negative. */
  free: Resources;
  /** Kept for tasks that have been promised this room. */
  held: Resources;
  /** The part of what is held that belongs to urgent tasks. */
  heldUrgent: Resources;
  /** When the room that is held is expected to be taken. */
  heldFromMs: number;
  readonly tasks: Set<RunningTask>;
  /** Set aside for its failures until this time; 0 where it is not. */
  setAsideUntilMs: number;
  /** Gets one task at a time until one succeeds. */
  isOnProbation: boolean;
}

/** An organisation with the sum of its teams' use. */
export interface OrganisationState {
  readonly organisation: string;
  share: number;
  used: Resources;
  /** The dominant share that its teams are due now. */
  fair: number;
  /** Half of the dominant share of the task that was started last. */
  halfTask: number;
  /** What it has had beyond its share of late; negative for less. */
  drift: number;
  /** The dominant share in use, with half a task and the drift, divided by the weight. */
  ratio: number;
}

/** A team with its use and its waiting jobs. */
export interface TeamState {
  team: PolicyTeam;
  organisation: OrganisationState;
  used: Resources;
  /** The part of the use that belongs to urgent queues. */
  urgentUsed: Resources;
  /** Half of the dominant share of the task that was started last. */
  halfTask: number;
  /** What it has had beyond its share of late; negative for less. */
  drift: number;
  /** The dominant share in use, with half a task and the drift, divided by the weight. */
  ratio: number;
  readonly waiting: Map<string, WaitClass>;
  /** The sum of what its waiting tasks would reserve. */
  waitingSize: Resources;
  /** The part of the use whose tasks were told to stop. */
  stopping: Resources;
  /** The dominant share that stays once told tasks have ended. */
  keptShare: number;
  /** When the team last started a task. */
  startedMs: number;
  /** The dominant share that the team is due now. */
  fair: number;
}

/** A job with its waiting and running tasks. */
export interface JobState {
  job: PolicyJob;
  queue: PolicyQueue;
  team: TeamState;
  /** Indexes of the tasks that wait. */
  readonly pending: Set<number>;
  readonly running: Map<number, RunningTask>;
  /** For a job that is spread: how many tasks each place has. */
  placeCounts: Map<string, number> | null;
  /** The class in which the job waits. */
  waitClass: WaitClass | null;
  /** Tells the job's present entry in its class from older ones. */
  ticket: number;
  /** Why it was set aside; empty where it was not. */
  setAsideReason: string;
  /** It gets no new hold before this time. */
  noHoldUntilMs: number;
}

/** A task that has a reservation. */
export interface RunningTask {
  task: PlacedTask;
  readonly job: JobState;
  readonly startedMs: number;
  /** How long it was expected to run; infinite where unknown. */
  readonly expectedMs: number;
  /** Whether it counts as urgent use of its team. */
  readonly isUrgent: boolean;
  /** Whether it was told to stop. */
  isStopping: boolean;
  /** When it was told to stop. */
  stoppingMs: number;
  /** The largest use that was measured. */
  peakCpuMilli: number;
  peakMemMb: number;
  sampleCount: number;
  /** What it reserved before it last got more to try; 0 where it did not. */
  probedCpuMilli: number;
  /** When its reservation was last changed. */
  resizedMs: number;
}

/**
 * Makes the state of a worker that holds nothing.
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
    heldFromMs: 0,
    tasks: new Set(),
    setAsideUntilMs: 0,
    isOnProbation: false,
  };
}

/**
 * Makes the state of a job of which no task waits or runs.
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
    placeCounts: isSpread(job, queue) ? new Map() : null,
    waitClass: null,
    ticket: 0,
    setAsideReason: '',
    noHoldUntilMs: 0,
  };
}

/**
 * Tells whether a worker may get new tasks.
 *
 * @example
 * if (!isUsable(state)) continue;
 */
export function isUsable(state: WorkerState): boolean {
  if (state.worker.condition !== 'ready') return false;
  if (state.setAsideUntilMs > 0) return false;
  return !state.isOnProbation || state.tasks.size === 0;
}

/**
 * Tells whether the tasks of a job are kept apart.
 *
 * @example
 * const policy = isSpread(job, queue) ? policies.spread : policies.pack;
 */
export function isSpread(job: PolicyJob, queue: PolicyQueue): boolean {
  return !job.isGang && (job.isService || queue.policy === 'spread');
}
