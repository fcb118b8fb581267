/** The owner's state of each job, step and task. */
import type {Ticket} from './executor-client.js';
import type {ExecutorState} from './executor-state.js';
import type {JobPhase, JobSpec, Queue, StepSpec} from './types.js';

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
  readonly tasks: readonly TaskState[];
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
  readonly steps: readonly StepState[];
  doneSteps: number;
}

/** The owner's state of a job. */
export interface JobState {
  readonly id: string;
  readonly spec: JobSpec;
  readonly organisation: string;
  /** The queue as configured when the job was accepted, or later. */
  queue: Queue;
  readonly acceptedMs: number;
  readonly occurrences: readonly OccurrenceState[];
  doneOccurrences: number;
  phase: JobPhase;
  /** The phase shown to callers: final phases only once they are stored. */
  visiblePhase: JobPhase;
  /** When the phase became final, on the owner's monotonic clock. */
  finalMs: number;
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
 * Creates the state of a job that has not run yet.
 *
 * @example
 * const job = newJobState({id, spec, organisation, queue, acceptedMs});
 */
export function newJobState(job: NewJob): JobState {
  const occurrences: OccurrenceState[] = [];
  const state: JobState = {
    ...job,
    occurrences,
    doneOccurrences: 0,
    phase: 'queued',
    visiblePhase: 'queued',
    finalMs: 0,
    isOverRate: false,
  };
  const {times, firstMs, intervalMs} = job.spec.repetition;
  for (let k = 0; k < times; k += 1) {
    const dueMs = firstMs === 0 ? 0 : firstMs + k * intervalMs;
    occurrences.push(newOccurrence(state, k, dueMs));
  }
  return state;
}

function newOccurrence(
  job: JobState,
  index: number,
  dueMs: number,
): OccurrenceState {
  const steps: StepState[] = [];
  const occurrence = {job, index, dueMs, steps, doneSteps: 0};
  job.spec.steps.forEach((spec, i) => {
    steps.push(newStep(occurrence, i, spec));
  });
  return occurrence;
}

function newStep(
  occurrence: OccurrenceState,
  index: number,
  spec: StepSpec,
): StepState {
  const tasks: TaskState[] = [];
  const step: StepState = {
    occurrence,
    index,
    spec,
    imageKey: `${occurrence.job.queue.name} ${spec.image}`,
    tasks,
    doneCount: 0,
    allowed: new Set(),
    checkedExecutors: new Set(),
    tickets: new Map(),
    ticketsUntilMs: -Infinity,
    isRequestingTickets: false,
    hadRoomSinceMs: Infinity,
    failedGangRuns: [],
  };
  for (let i = 0; i < spec.count; i += 1) tasks.push(newTask(step, i));
  return step;
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

/** Finds a task of a job; undefined where the job has no such task. */
export function findTask(
  job: JobState,
  {occurrence, step, index}: TaskAddress,
): TaskState | undefined {
  return job.occurrences[occurrence]?.steps[step]?.tasks[index];
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
  occurrence.job.doneOccurrences += 1;
  return occurrence.job.doneOccurrences === occurrence.job.occurrences.length;
}

/** All tasks of a job. */
export function* tasksOf(job: JobState): Generator<TaskState> {
  for (const {steps} of job.occurrences) {
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
