/** The owner's state of each job, step and task. */
import type {Ticket} from './executor-client.js';
import type {ExecutorState} from './executor-state.js';
import {IndexRanges} from './index-ranges.js';
import {jobBytes} from './job-size.js';
import {
  isFinal,
  type JobPhase,
  type JobSpec,
  type Queue,
  type StepSpec,
} from './types.js';

/** The most tasks in a row of progress, if their checkpoints are short. */
const MAX_TASKS_PER_ROW = 500;

/** The life cycle of a task. */
export type TaskPhase =
  /** Not done, and no run of it is known. */
  | 'waiting'
  /** A start was decided and not confirmed yet. */
  | 'starting'
  | 'running'
  /** Being stopped; its resources stay in use until its end is listed. */
  | 'stopping'
  | 'done';

/** One task of a step. */
export interface TaskState {
  readonly step: StepState;
  readonly index: number;
  phase: TaskPhase;
  /** The number of the newest run; 0 before the first. */
  run: number;
  /** Whether this owner has started a run of it. */
  isStartedHere: boolean;
  executor: ExecutorState | null;
  /** When the run was started; NaN where another owner started it. */
  startedMs: number;
  /** When the newest start or stop was answered; Infinity until then. */
  answeredMs: number;
  /** When the newest inventory that lists its run was requested. */
  listedMs: number;
  /** Numbers of runs that ended `failed`; executors may list them unordered. */
  failedRuns: readonly number[];
  /** Numbers of runs that were lost in a crash of their executor, as counted. */
  crashedRuns: readonly number[];
  /**
   * Numbers of runs that were lost right after their start in a crash of their
   * executor; empty once a later run has started well.
   */
  suspectedRuns: readonly number[];
  /** The VM that crashed last under it; empty for none. */
  crashedOn: string;
  checkpoint: string;
  /** The executor of the newest failed run; empty for none. */
  lastFailedOn: string;
  /** Whether it is unknown if the run was started. */
  isStartUnconfirmed: boolean;
  /** How many orphan runs of the task are being stopped. */
  orphanCount: number;
  /** How many runs were stopped as stragglers. */
  stragglerStops: number;
  /** Earliest time of the next start, on the owner's monotonic clock. */
  notBeforeMs: number;
  /** Percentage of the processor that the run may use. */
  percent: number;
  /** Tail latency in ms of a service task, else CPU use in millicores. */
  usage: number;
}

/** A ticket of the advice service to start a step on one executor. */
export interface HeldTicket {
  readonly ticket: string;
  readonly validUntilMs: number;
}

/** One step of one occurrence of a job. */
export interface StepState {
  readonly occurrence: OccurrenceState;
  readonly index: number;
  readonly spec: StepSpec;
  /** Names the queue and the image: tasks of the same have similar run times. */
  readonly imageKey: string;
  readonly tasks: TaskState[];
  doneCount: number;
  /** Executors that the advice service permits; a permission never changes. */
  readonly allowed: Set<string>;
  /** Executors for which the advice service has answered. */
  readonly checkedExecutors: Set<string>;
  readonly tickets: Map<string, HeldTicket>;
  /** By then, all tickets that it has held have expired. */
  ticketsUntilMs: number;
  isRequestingTickets: boolean;
  /**
   * Since when there has been room for a task, or for the whole gang, without
   * a start, on the owner's monotonic clock; Infinity while there is none.
   */
  hadRoomSinceMs: number;
  /** Numbers of runs of the gang in which a task ended `failed`. */
  failedGangRuns: readonly number[];
}

/** One repetition of a job's steps. */
export interface OccurrenceState {
  readonly job: JobState;
  readonly index: number;
  /** Wall-clock time before which nothing may start; 0 for none. */
  readonly dueMs: number;
  readonly steps: StepState[];
  doneSteps: number;
  /** How many of its tasks are placed on an executor. */
  placedTasks: number;
}

/** The owner's state of a job. */
export interface JobState {
  readonly id: string;
  readonly spec: JobSpec;
  readonly organisation: string;
  /** The queue as configured when the job was accepted, or later. */
  queue: Queue;
  /**
   * The services to which the queue was sent since then, as stored. Tasks start
   * only on these, so that a later owner knows where their runs may be.
   */
  services: readonly string[];
  readonly acceptedMs: number;
  /** The occurrences in memory, by index: those that are near and not done. */
  readonly occurrences: Map<number, OccurrenceState>;
  readonly doneOccurrences: IndexRanges;
  /** `running` from when an executor has started one of its tasks. */
  phase: JobPhase;
  /** The phase shown to callers: final phases only once they are stored. */
  visiblePhase: JobPhase;
  /** When the phase became final, on the owner's monotonic clock. */
  finalMs: number;
  /** The memory that it needs, in bytes; less once its phase is final. */
  bytes: number;
  /** The most tasks with failures or checkpoints in one row of its progress. */
  tasksPerRow: number;
  /** In how many parts its progress is stored, and the digest of each. */
  partCount: number;
  readonly storedParts: Map<string, string>;
  /** Whether the job exceeded the submission rate of its organisation. */
  isOverRate: boolean;
}

/** What a job's state is created from. */
export interface NewJob {
  readonly id: string;
  readonly spec: JobSpec;
  readonly organisation: string;
  readonly queue: Queue;
  readonly acceptedMs: number;
}

/**
 * Creates the state of a job that has not run yet. It has no occurrence in
 * memory; `openOccurrence` adds one.
 *
 * @example
 * const job = newJobState({id, spec, organisation, queue, acceptedMs});
 */
export function newJobState(job: NewJob): JobState {
  return {
    ...job,
    services: [job.queue.service],
    occurrences: new Map(),
    doneOccurrences: new IndexRanges(),
    phase: 'queued',
    visiblePhase: 'queued',
    finalMs: 0,
    bytes: jobBytes(job.spec),
    tasksPerRow: MAX_TASKS_PER_ROW,
    partCount: 1,
    storedParts: new Map(),
    isOverRate: false,
  };
}

/**
 * Returns an occurrence of a job; creates its state if it is not in memory.
 *
 * @example
 * const {steps} = openOccurrence(job, 0);
 */
export function openOccurrence(job: JobState, index: number): OccurrenceState {
  const known = job.occurrences.get(index);
  if (known !== undefined) return known;
  const occurrence = newOccurrence(job, index);
  addSteps(occurrence);
  job.occurrences.set(index, occurrence);
  return occurrence;
}

/** Whether tasks may start on the service to which the queue is sent now. */
export function isServiceStored({services, queue}: JobState): boolean {
  return services.includes(queue.service);
}

/**
 * The services on which tasks of the job may run. Owners of earlier versions
 * have used a new one without storing it.
 */
export function servicesOf(job: JobState): readonly string[] {
  const {services, queue} = job;
  return isServiceStored(job) ? services : [...services, queue.service];
}

/** Records that it is stored that the queue was sent to a service. */
export function addService(job: JobState, service: string): void {
  if (job.services.includes(service)) return;
  job.services = [...job.services, service];
}

/** Wall-clock time before which nothing of an occurrence may start. */
export function dueMsOf({spec}: JobState, index: number): number {
  const {firstMs, intervalMs} = spec.repetition;
  // A negative interval would make later occurrences due before earlier ones.
  return firstMs === 0 ? 0 : firstMs + index * Math.max(0, intervalMs);
}

/** Whether nothing of an occurrence is left to do. */
export function isOver(job: JobState, index: number): boolean {
  return isFinal(job.phase) || job.doneOccurrences.has(index);
}

function newOccurrence(job: JobState, index: number): OccurrenceState {
  const dueMs = dueMsOf(job, index);
  return {job, index, dueMs, steps: [], doneSteps: 0, placedTasks: 0};
}

function addSteps(occurrence: OccurrenceState): void {
  occurrence.job.spec.steps.forEach((spec, i) => {
    const step = newStep(occurrence, i, spec);
    for (let k = 0; k < spec.count; k += 1) step.tasks.push(newTask(step, k));
    occurrence.steps.push(step);
  });
}

function newStep(
  occurrence: OccurrenceState,
  index: number,
  spec: StepSpec,
): StepState {
  return {
    occurrence,
    index,
    spec,
    imageKey: `${occurrence.job.queue.name} ${spec.image}`,
    tasks: [],
    doneCount: 0,
    allowed: new Set(),
    checkedExecutors: new Set(),
    tickets: new Map(),
    ticketsUntilMs: -Infinity,
    isRequestingTickets: false,
    hadRoomSinceMs: Infinity,
    failedGangRuns: [],
  };
}

function newTask(step: StepState, index: number): TaskState {
  return {
    step,
    index,
    phase: 'waiting',
    run: 0,
    isStartedHere: false,
    executor: null,
    startedMs: 0,
    answeredMs: Infinity,
    listedMs: -Infinity,
    failedRuns: [],
    crashedRuns: [],
    suspectedRuns: [],
    crashedOn: '',
    checkpoint: '',
    lastFailedOn: '',
    isStartUnconfirmed: false,
    orphanCount: 0,
    stragglerStops: 0,
    notBeforeMs: 0,
    percent: 100,
    usage: Number.NaN,
  };
}

/**
 * Formats the name that executors use for a step.
 *
 * @example
 * stepName(step); // '5c0e7a21d94b36f8.0.1'
 */
export function stepName({occurrence, index}: StepState): string {
  return `${occurrence.job.id}.${occurrence.index}.${index}`;
}

/**
 * Formats the name that executors use for a task.
 *
 * @example
 * taskName(task); // '5c0e7a21d94b36f8.0.1.17'
 */
export function taskName({step, index}: TaskState): string {
  return `${stepName(step)}.${index}`;
}

/** The parts of a task's name. */
export interface TaskAddress {
  readonly jobId: string;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/** Parses the name of a task; null where it is invalid. */
export function parseTaskName(name: string): TaskAddress | null {
  const [jobId, ...parts] = name.split('.');
  const [occurrence, step, index] = parts.map(Number);
  if (jobId === undefined || parts.length !== 3) return null;
  if (occurrence === undefined || step === undefined || index === undefined) {
    return null;
  }
  return {jobId, occurrence, step, index};
}

/** Finds a task of a job; undefined where it is not in memory. */
export function findTask(
  job: JobState,
  {occurrence, step, index}: TaskAddress,
): TaskState | undefined {
  return job.occurrences.get(occurrence)?.steps[step]?.tasks[index];
}

/** Whether the job has a task of that name, in memory or not. */
export function hasTask(
  {spec}: JobState,
  {occurrence, step, index}: TaskAddress,
): boolean {
  const isOccurrence = isIndex(occurrence, spec.repetition.times);
  return isOccurrence && isIndex(index, spec.steps[step]?.count ?? 0);
}

function isIndex(index: number, count: number): boolean {
  return Number.isInteger(index) && index >= 0 && index < count;
}

/**
 * Creates the state of a task of which all is over, to count a run that an
 * executor still lists.
 */
export function newDoneTask(job: JobState, address: TaskAddress): TaskState {
  const occurrence = newOccurrence(job, address.occurrence);
  const spec = job.spec.steps[address.step];
  if (spec === undefined) throw new RangeError('the job has no such step');
  const step = newStep(occurrence, address.step, spec);
  return {...newTask(step, address.index), phase: 'done'};
}

/** Whether an unfinished step is due and its dependencies are done. */
export function isStepReady(step: StepState, wallMs: number): boolean {
  const {occurrence} = step;
  if (step.doneCount === step.tasks.length) return false;
  if (occurrence.dueMs > wallMs) return false;
  return step.spec.after.every(i => {
    const before = occurrence.steps[i];
    return before !== undefined && before.doneCount === before.tasks.length;
  });
}

/**
 * Marks a task as done.
 *
 * @returns whether this completes the job
 */
export function markDone(task: TaskState): boolean {
  if (task.phase === 'done') return false;
  const {step} = task;
  const {occurrence} = step;
  task.phase = 'done';
  step.doneCount += 1;
  if (step.doneCount < step.tasks.length) return false;
  occurrence.doneSteps += 1;
  if (occurrence.doneSteps < occurrence.steps.length) return false;
  const {doneOccurrences, spec} = occurrence.job;
  doneOccurrences.add(occurrence.index);
  return doneOccurrences.size === spec.repetition.times;
}

/** All tasks of a job that are in memory. */
export function* tasksOf(job: JobState): Generator<TaskState> {
  for (const {steps} of job.occurrences.values()) {
    for (const {tasks} of steps) yield* tasks;
  }
}

/** Records an answer of the advice service. */
export function recordTickets(
  step: StepState,
  tickets: readonly Ticket[],
  validUntilMs: number,
  checkedExecutors: readonly string[],
): void {
  for (const id of checkedExecutors) step.checkedExecutors.add(id);
  if (tickets.length > 0) {
    step.ticketsUntilMs = Math.max(step.ticketsUntilMs, validUntilMs);
  }
  for (const {executorId, ticket} of tickets) {
    step.allowed.add(executorId);
    step.tickets.set(executorId, {ticket, validUntilMs});
  }
}
