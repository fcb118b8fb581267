/** What the owner knows of each job, step and task. */
import type {Ticket} from './executor-client.js';
import type {ExecutorState} from './executor-state.js';
import type {JobPhase, JobSpec, Queue, StepSpec} from './types.js';

/** Where a task is on its way. */
export type TaskPhase =
  /** Has to run, and no run of it is known. */
  | 'waiting'
  /** A start was sent and not answered yet. */
  | 'starting'
  | 'running'
  /** Told to stop; its room is taken until its end is listed. */
  | 'stopping'
  | 'done';

/** One task of a step. */
export interface TaskState {
  readonly step: StepState;
  readonly index: number;
  phase: TaskPhase;
  /** The number of the newest run; 0 before the first. */
  run: number;
  executor: ExecutorState | null;
  /** When the run was started; NaN where another owner started it. */
  startedMs: number;
  /** When the newest order for the run was answered; Infinity until then. */
  answeredMs: number;
  /** Runs that ended `failed`; executors may list them in any order. */
  failedRuns: readonly number[];
  checkpoint: string;
  /** The executor on which the newest failed run was; empty for none. */
  failedOn: string;
  /** Whether it is not known that the run exists. */
  isDoubtful: boolean;
  /** Runs that are not this one's and are being stopped. */
  strays: number;
  /** How often a run was stopped because it took too long. */
  slowStops: number;
  /** Not started again before this time, on the owner's steady clock. */
  notBeforeMs: number;
  /** Share of the processor that the run may use, 0 to 100. */
  percent: number;
  /** Tail latency in ms of a service task, else processor use in milli. */
  usage: number;
}

/** A permission to start a step on an executor. */
export interface HeldTicket {
  readonly ticket: string;
  readonly validUntilMs: number;
}

/** One step of one occurrence of a job. */
export interface StepState {
  readonly occurrence: OccurrenceState;
  readonly index: number;
  readonly spec: StepSpec;
  readonly tasks: readonly TaskState[];
  doneCount: number;
  /** Executors that may run the step; this never changes. */
  readonly allowed: Set<string>;
  /** Executors of which it is known whether they may run the step. */
  readonly asked: Set<string>;
  readonly tickets: Map<string, HeldTicket>;
  isAsking: boolean;
  /** Runs of the whole gang in which a task ended `failed`. */
  failedGangRuns: readonly number[];
}

/** One occurrence of a job's steps. */
export interface OccurrenceState {
  readonly job: JobState;
  readonly index: number;
  /** Wall-clock time before which nothing may start; 0 for none. */
  readonly dueMs: number;
  readonly steps: readonly StepState[];
  doneSteps: number;
}

/** A job as its owner sees it. */
export interface JobState {
  readonly id: string;
  readonly spec: JobSpec;
  readonly organisation: string;
  /** The queue as it was when the job was accepted, or newer. */
  queue: Queue;
  readonly acceptedMs: number;
  readonly occurrences: readonly OccurrenceState[];
  doneOccurrences: number;
  phase: JobPhase;
  /** The phase that callers see: final phases only once they are stored. */
  shownPhase: JobPhase;
  /** When the phase became final, on the owner's steady clock. */
  finalMs: number;
  /** A former owner may have started tasks that this one has not seen. */
  isUnsure: boolean;
  /** More than the organisation's weight of jobs a second was submitted. */
  isExcess: boolean;
}

/** What makes a job's state. */
export interface NewJob {
  readonly id: string;
  readonly spec: JobSpec;
  readonly organisation: string;
  readonly queue: Queue;
  readonly acceptedMs: number;
}

/**
 * Makes the state of a job of which nothing has run.
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
    shownPhase: 'queued',
    finalMs: 0,
    isUnsure: false,
    isExcess: false,
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
    tasks,
    doneCount: 0,
    allowed: new Set(),
    asked: new Set(),
    tickets: new Map(),
    isAsking: false,
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
    executor: null,
    startedMs: 0,
    answeredMs: Infinity,
    failedRuns: [],
    checkpoint: '',
    failedOn: '',
    isDoubtful: false,
    strays: 0,
    slowStops: 0,
    notBeforeMs: 0,
    percent: 100,
    usage: Number.NaN,
  };
}

/**
 * The name under which executors know a step.
 *
 * @example
 * stepName(step); // '5c0e7a21d94b36f8.0.1'
 */
export function stepName({occurrence, index}: StepState): string {
  return `${occurrence.job.id}.${occurrence.index}.${index}`;
}

/**
 * The name under which executors know a task.
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

/** Reads a task's name; null where it is not one. */
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

/** Tells whether all that has to come before the step is done. */
export function isStepReady(step: StepState, wallMs: number): boolean {
  const {occurrence} = step;
  if (step.doneCount === step.tasks.length) return false;
  if (occurrence.dueMs > wallMs) return false;
  return step.spec.after.every(i => {
    const before = occurrence.steps[i];
    return before !== undefined && before.doneCount === before.tasks.length;
  });
}

/** Notes that a task is done; tells whether the job is completed by it. */
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

/** Takes in the answer of the advice service. */
export function noteTickets(
  step: StepState,
  tickets: readonly Ticket[],
  validUntilMs: number,
  asked: readonly string[],
): void {
  for (const id of asked) step.asked.add(id);
  for (const {executorId, ticket} of tickets) {
    step.allowed.add(executorId);
    step.tickets.set(executorId, {ticket, validUntilMs});
  }
}
