/** The state that the stages of a decision share. */
import type {Resources} from '@dragonflyward/common';
import {countFits} from './amounts.js';
import {Cell} from './cell.js';
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
import {JobFailures} from './failures.js';
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

/** The policy of each kind of work. */
export interface PolicySet {
  readonly pack: PlacementPolicy;
  readonly spread: PlacementPolicy;
  readonly gang: PlacementPolicy;
}

/** Which stages an engine has; all where nothing is said. */
export interface ShareFeatures {
  /** Stops lower work for urgent work and for teams below their share. */
  readonly preempts?: boolean;
  /** Holds room for gangs and large tasks. */
  readonly reserves?: boolean;
  /** Fits reservations to measured use. */
  readonly learns?: boolean;
  /** Raises the priority of work with its age. */
  readonly ages?: boolean;
}

/** How an engine is set up. */
export interface ShareOptions {
  /**
   * The number of the first task id; an owner of a later term starts above
   * all that an earlier one may have given.
   */
  readonly firstTaskNumber?: number;
  readonly policies?: PolicySet;
  readonly features?: ShareFeatures;
}

/** All state of one engine. */
export interface EngineCore {
  readonly teams: TeamTable;
  readonly needs: NeedTable;
  readonly cell: Cell;
  readonly queues: Map<string, PolicyQueue>;
  readonly jobs: Map<string, JobState>;
  readonly failures: JobFailures;
  readonly health: WorkerHealth;
  readonly estimates: Estimates;
  readonly holds: HoldTable;
  readonly policies: PolicySet;
  readonly features: Required<ShareFeatures>;
  /** Decisions that are counted and still have to be yielded. */
  readonly outbox: Decision[];
  nextTask: number;
  nowMs: number;
  /** The classes of urgent queues in which jobs wait. */
  readonly urgentClasses: Set<WaitClass>;
  /** The worker at which the next search for room begins. */
  roomCursor: number;
  /** How many tasks wait. */
  waitingTasks: number;
  /** The state of the estimates by which sizes were last set. */
  sizeVersion: number;
  /** When the fair shares were last computed. */
  fairAtMs: number;
  /** When room was last sought for work that is hard to place. */
  reservedAtMs: number;
  /** Running tasks whose use was measured since they were last reviewed. */
  readonly toReview: Set<RunningTask>;
  /** Running tasks that may be held back by their cap. */
  readonly toProbe: Set<RunningTask>;
}

/** The priorities from the most to the least urgent. */
export const PRIORITIES: readonly PolicyPriority[] = [
  'urgent',
  'normal',
  'batch',
];

const ALL_FEATURES: Required<ShareFeatures> = {
  preempts: true,
  reserves: true,
  learns: true,
  ages: true,
};

/**
 * The policies that an engine has where none are given.
 *
 * @example
 * const engine = new ShareEngine({policies: {...newPolicies(), pack}});
 */
export function newPolicies(): PolicySet {
  return {
    pack: new PackPolicy(),
    spread: new SpreadPolicy(),
    gang: new GangPolicy(),
  };
}

/**
 * Makes the state of an engine that knows nothing yet.
 *
 * @example
 * const core = newCore({firstTaskNumber: term * TASKS_PER_TERM});
 */
export function newCore(options: ShareOptions): EngineCore {
  const teams = new TeamTable();
  const cell = new Cell(teams, worker => needs.noteRoom(worker));
  const needs = new NeedTable(cell.workers);
  return {
    teams,
    needs,
    cell,
    queues: new Map(),
    jobs: new Map(),
    failures: new JobFailures(),
    health: new WorkerHealth(),
    estimates: new Estimates(),
    holds: new HoldTable(worker => needs.noteRoom(worker)),
    policies: options.policies ?? newPolicies(),
    features: {...ALL_FEATURES, ...options.features},
    outbox: [],
    nextTask: options.firstTaskNumber ?? 1,
    nowMs: 0,
    urgentClasses: new Set(),
    roomCursor: 0,
    waitingTasks: 0,
    sizeVersion: 0,
    fairAtMs: -Infinity,
    reservedAtMs: -Infinity,
    toReview: new Set(),
    toProbe: new Set(),
  };
}

/**
 * The queue of this name; an unknown one acts as a batch queue.
 *
 * @example
 * const {priority} = queueOf(core, job.queue);
 */
export function queueOf(core: EngineCore, queue: string): PolicyQueue {
  const known = core.queues.get(queue);
  return known ?? {queue, priority: 'batch', policy: 'pack'};
}

/**
 * The policy that places a job's tasks.
 *
 * @example
 * const workers = policyOf(core, state).choose(core.cell.workers, ask);
 */
export function policyOf(core: EngineCore, state: JobState): PlacementPolicy {
  if (state.job.isGang) return core.policies.gang;
  const {pack, spread} = core.policies;
  return isSpread(state.job, state.queue) ? spread : pack;
}

/**
 * Reserves room for one waiting task of a job.
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
  const taskId = `${jobId}.${taskIndex}.${core.nextTask}`;
  core.nextTask += 1;
  noteTaskStarted(core, state, taskIndex);
  core.holds.useSlot(jobId, worker);
  state.team.startedMs = core.nowMs;
  core.teams.noteStart(state.team, size);
  const {workerId} = worker.worker;
  return countTask(core, state, {taskId, jobId, taskIndex, workerId, size});
}

/**
 * Counts a task that has, or may have, room on a worker.
 *
 * @example
 * countTask(core, state, adopted);
 */
export function countTask(
  core: EngineCore,
  state: JobState,
  task: PlacedTask,
): RunningTask {
  const running: RunningTask = {
    task,
    job: state,
    startedMs: core.nowMs,
    expectedMs: expectedMsOf(core, state),
    isUrgent: state.queue.priority === 'urgent',
    isStopping: false,
    stoppingMs: 0,
    peakCpuMilli: 0,
    peakMemMb: 0,
    sampleCount: 0,
    probedCpuMilli: 0,
    resizedMs: core.nowMs,
  };
  core.cell.charge(running);
  return running;
}

function expectedMsOf(core: EngineCore, state: JobState): number {
  const {queue, team, runMs, isService} = state.job;
  return isService ? Infinity : core.estimates.runMsOf(queue, team, runMs);
}

/**
 * Tells why no worker of the shard could ever hold a task of the job.
 *
 * @example
 * const reason = obstacleOf(core, job);
 */
export function obstacleOf(core: EngineCore, job: PolicyJob): string {
  const wanted = job.isGang ? job.taskIndexes.length : 1;
  let slots = 0;
  for (const {worker} of core.cell.workers.values()) {
    if (worker.condition === 'leaving') continue;
    slots += Math.min(wanted, countFits(job.size, worker.capacity));
    if (slots >= wanted) return '';
  }
  if (slots === 0) return 'no worker is large enough for one task';
  return `only ${slots} of ${wanted} tasks fit at once`;
}
