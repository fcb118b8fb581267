/** The state of an engine, which the stages of a decision share. */
import type {Resources} from '@dragonflyward/common';
import {countFits} from './resource-math.js';
import {WorkerTable} from './worker-table.js';
import type {
  Decision,
  PlacedTask,
  PolicyJob,
  PolicyPriority,
  PolicyQueue,
} from './engine.js';
import {
  GangPolicy,
  PackPolicy,
  SpreadPolicy,
  type PlacementPolicy,
} from './placement-policy.js';
import {Estimates} from './estimates.js';
import {JobFailures} from './job-failures.js';
import {HoldTable} from './holds.js';
import {NeedTable} from './needs.js';
import {
  isSpread,
  type JobState,
  type RunningTask,
  type WorkerState,
} from './state.js';
import {TeamTable} from './team-table.js';
import type {WaitClass} from './wait-class.js';
import {noteTaskStarted} from './waiting-list.js';
import {WorkerHealth} from './worker-health.js';

/** The placement policy of each kind of job. */
export interface PlacementPolicies {
  readonly pack: PlacementPolicy;
  readonly spread: PlacementPolicy;
  readonly gang: PlacementPolicy;
}

/** The optional stages of an engine, all enabled by default. */
export interface FairShareFeatures {
  /** Preempts tasks for urgent jobs and for teams below their fair share. */
  readonly preempts?: boolean;
  /** Holds resources for gangs and large tasks, so that they don't starve. */
  readonly reserves?: boolean;
  /** Adjusts reservations to measured usage. */
  readonly estimatesUsage?: boolean;
  /** Raises the priority of jobs with their waiting time. */
  readonly ages?: boolean;
}

/** The options of an engine. */
export interface FairShareOptions {
  /**
   * The number in the first task id; the owner of a later term has to start
   * above all numbers that an earlier owner may have used.
   */
  readonly firstTaskNumber?: number;
  readonly policies?: PlacementPolicies;
  readonly features?: FairShareFeatures;
}

/** The state of one engine. */
export interface EngineCore {
  readonly teams: TeamTable;
  readonly needs: NeedTable;
  readonly workerTable: WorkerTable;
  readonly queues: Map<string, PolicyQueue>;
  readonly jobs: Map<string, JobState>;
  readonly failures: JobFailures;
  readonly health: WorkerHealth;
  readonly estimates: Estimates;
  readonly holds: HoldTable;
  readonly policies: PlacementPolicies;
  readonly features: Required<FairShareFeatures>;
  /** Decisions that are accounted for but not yielded yet. */
  readonly pendingDecisions: Decision[];
  nextTaskNumber: number;
  nowMs: number;
  /** The classes of urgent queues that have waiting jobs. */
  readonly urgentWaitClasses: Set<WaitClass>;
  /** The index of the worker at which the next search for capacity starts. */
  nextWorkerIndex: number;
  /** The number of waiting tasks. */
  waitingTasks: number;
  /** The version of the estimates that the sizes of the classes reflect. */
  appliedEstimatesVersion: number;
  /** When the fair shares were last computed. */
  fairSharesUpdatedMs: number;
  /** When resources were last held or reclaimed for jobs without room. */
  lastReservePassMs: number;
  /** Running tasks that were measured since their last review. */
  readonly tasksToReview: Set<RunningTask>;
  /** Running tasks that may be throttled by their CPU limit. */
  readonly tasksToProbe: Set<RunningTask>;
}

/** The priorities, the most urgent first. */
export const PRIORITIES: readonly PolicyPriority[] = [
  'urgent',
  'normal',
  'batch',
];

const ALL_FEATURES: Required<FairShareFeatures> = {
  preempts: true,
  reserves: true,
  estimatesUsage: true,
  ages: true,
};

/**
 * Creates the default placement policies of an engine.
 *
 * @example
 * const engine = new FairShareEngine({policies: {...newPolicies(), pack}});
 */
export function newPolicies(): PlacementPolicies {
  return {
    pack: new PackPolicy(),
    spread: new SpreadPolicy(),
    gang: new GangPolicy(),
  };
}

/**
 * Creates the state of an engine without queues, teams, workers and jobs.
 *
 * @example
 * const core = newCore({firstTaskNumber: term * TASKS_PER_TERM});
 */
export function newCore(options: FairShareOptions): EngineCore {
  const teams = new TeamTable();
  const workerTable = new WorkerTable(teams, worker => needs.noteFreed(worker));
  const needs = new NeedTable(workerTable.workers);
  return {
    teams,
    needs,
    workerTable,
    queues: new Map(),
    jobs: new Map(),
    failures: new JobFailures(),
    health: new WorkerHealth(),
    estimates: new Estimates(),
    holds: new HoldTable(worker => needs.noteFreed(worker)),
    policies: options.policies ?? newPolicies(),
    features: {...ALL_FEATURES, ...options.features},
    pendingDecisions: [],
    nextTaskNumber: options.firstTaskNumber ?? 1,
    nowMs: 0,
    urgentWaitClasses: new Set(),
    nextWorkerIndex: 0,
    waitingTasks: 0,
    appliedEstimatesVersion: 0,
    fairSharesUpdatedMs: -Infinity,
    lastReservePassMs: -Infinity,
    tasksToReview: new Set(),
    tasksToProbe: new Set(),
  };
}

/**
 * Returns the queue of this name; an unknown queue has the priority `batch`.
 *
 * @example
 * const {priority} = getQueue(core, job.queue);
 */
export function getQueue(core: EngineCore, queue: string): PolicyQueue {
  const known = core.queues.get(queue);
  return known ?? {queue, priority: 'batch', policy: 'pack'};
}

/**
 * Returns the policy that places the tasks of a job.
 *
 * @example
 * const policy = getPlacementPolicy(core, state);
 * const workers = policy.choose(core.workerTable.workers.values(), request);
 */
export function getPlacementPolicy(
  core: EngineCore,
  state: JobState,
): PlacementPolicy {
  if (state.job.isGang) return core.policies.gang;
  const {pack, spread} = core.policies;
  return isSpread(state.job, state.queue) ? spread : pack;
}

/**
 * Reserves resources on a worker for one waiting task of a job.
 *
 * @example
 * const running = startTask(core, state, taskIndex, worker, size);
 */
export function startTask(
  core: EngineCore,
  state: JobState,
  taskIndex: number,
  worker: WorkerState,
  size: Resources,
): RunningTask {
  const {jobId} = state.job;
  const taskId = `${jobId}.${taskIndex}.${core.nextTaskNumber}`;
  core.nextTaskNumber += 1;
  noteTaskStarted(core, state, taskIndex);
  core.holds.consumeSlot(jobId, worker);
  state.team.lastStartMs = core.nowMs;
  core.teams.noteTaskStart(state.team, size);
  const {workerId} = worker.worker;
  return addRunningTask(core, state, {
    taskId,
    jobId,
    taskIndex,
    workerId,
    size,
  });
}

/**
 * Adds a task that runs, or may be running, with its reservation.
 *
 * @example
 * addRunningTask(core, state, adopted);
 */
export function addRunningTask(
  core: EngineCore,
  state: JobState,
  task: PlacedTask,
): RunningTask {
  const running: RunningTask = {
    task,
    job: state,
    startedMs: core.nowMs,
    expectedMs: estimateRunMs(core, state),
    isUrgent: state.queue.priority === 'urgent',
    isStopping: false,
    stopRequestedMs: 0,
    peakCpuMilli: 0,
    peakMemMb: 0,
    sampleCount: 0,
    cpuMilliBeforeProbe: 0,
    lastResizeMs: core.nowMs,
  };
  core.workerTable.charge(running);
  return running;
}

function estimateRunMs(core: EngineCore, state: JobState): number {
  const {queue, team, runMs, isService} = state.job;
  return isService
    ? Infinity
    : core.estimates.estimateRunMs(queue, team, runMs);
}

/**
 * Returns why the tasks of the job could not be placed even if the shard were
 * empty; empty if they could. A gang needs room for all its tasks at once.
 *
 * @example
 * const reason = findUnplaceableReason(core, job);
 */
export function findUnplaceableReason(
  core: EngineCore,
  job: PolicyJob,
): string {
  const tasksNeeded = job.isGang ? job.taskIndexes.length : 1;
  let slots = 0;
  for (const {worker} of core.workerTable.workers.values()) {
    if (worker.condition === 'leaving') continue;
    slots += Math.min(tasksNeeded, countFits(job.size, worker.capacity));
    if (slots >= tasksNeeded) return '';
  }
  if (slots === 0) return 'no worker is large enough for one task';
  return `only ${slots} of ${tasksNeeded} tasks fit at once`;
}
