/** The records of the cell in the store, and their encoding. */
import {raise} from '@dragonflyward/common';
import {decode, encode} from 'cbor-x';
import {isList, isOptional, isText} from './checks.js';
import type {RangeRows} from './index-ranges.js';
import {
  addService,
  findTask,
  markDone,
  servicesOf,
  type JobState,
  type NewJob,
  type OccurrenceState,
  type StepState,
  type TaskState,
} from './job-state.js';
import {
  checkExecutor,
  checkJob,
  checkPhase,
  isRanges,
  isStepRow,
} from './record-checks.js';
import {isFinal, type ExecutorInfo, type JobPhase} from './types.js';

/**
 * Accepted jobs and cancels, written by every VM. The store handles one append
 * to a topic at a time. With several topics, only few writers share each one
 * and wait for each other when the store is slow.
 */
export const JOBS_TOPICS: readonly string[] = [
  'keyed.jobs-0',
  'keyed.jobs-1',
  'keyed.jobs-2',
  'keyed.jobs-3',
];
/** Progress of jobs, written by the owner only. */
export const PROGRESS_TOPIC = 'keyed.progress';
/** Claims and heartbeats of owners. */
export const OWNER_TOPIC = 'keyed.owner';

/** Multiplier of the hash; spreads names that differ in the last character. */
const HASH_FACTOR = 31;
const JOB_PREFIX = 'j/';
const CANCEL_PREFIX = 'c/';
/**
 * The longest checkpoint that is stored, in characters: a record must hold it.
 * With a longer one, a task starts anew if its executor and the owner are lost.
 */
const MAX_CHECKPOINT_CHARS = 65_536;
const NO_BITS = new Uint8Array(0);
/** Key prefix of the records of executors in use. */
export const EXECUTOR_PREFIX = 'e/';

/**
 * Returns the topic to which a VM appends jobs and cancels.
 *
 * @example
 * await store.append(jobsTopicFor('vm-3'), records);
 */
export function jobsTopicFor(vm: string): string {
  let hash = 0;
  for (const char of vm) hash = (hash * HASH_FACTOR + char.charCodeAt(0)) | 0;
  return JOBS_TOPICS[Math.abs(hash) % JOBS_TOPICS.length] ?? '';
}

/** Returns the key of a job's record. */
export function jobKey(id: string): string {
  return JOB_PREFIX + id;
}

/** Returns the id of the job that a key of a jobs topic is for, or null. */
export function jobIdOf(key: string): string | null {
  return key.startsWith(JOB_PREFIX) ? key.slice(JOB_PREFIX.length) : null;
}

/** Returns the key of a job's cancel record. */
export function cancelKey(id: string): string {
  return CANCEL_PREFIX + id;
}

/** A decoded record of a jobs topic. */
export type JobsRecord =
  | {readonly kind: 'job'; readonly job: NewJob}
  | {readonly kind: 'cancel'; readonly id: string}
  | {readonly kind: 'forgotten'; readonly id: string};

/** Encodes an accepted job. */
export function encodeJob(job: NewJob): Uint8Array {
  return encode(job);
}

/**
 * Decodes a job from a record or a message.
 *
 * @throws if it is not one
 */
export function decodeJob(value: Uint8Array): NewJob {
  return checkJob(decode(value as Buffer));
}

/**
 * Decodes the record of an executor that an owner has used.
 *
 * @throws if it is not one
 */
export function decodeFormerExecutor(value: Uint8Array): ExecutorInfo {
  return checkExecutor(decode(value as Buffer));
}

/** Decodes a record of a jobs topic; returns null for unknown keys. */
export function decodeJobsRecord(
  key: string,
  value: Uint8Array,
): JobsRecord | null {
  const id = key.slice(JOB_PREFIX.length);
  if (key.startsWith(CANCEL_PREFIX)) {
    return value.length > 0 ? {kind: 'cancel', id} : null;
  }
  if (!key.startsWith(JOB_PREFIX)) return null;
  if (value.length === 0) return {kind: 'forgotten', id};
  return {kind: 'job', job: decodeJob(value)};
}

/** Progress of a task that is not done. */
type TaskRow = readonly [
  index: number,
  failedRuns: readonly number[],
  checkpoint: string,
  /** Missing in records of versions that did not count crashes. */
  crashedRuns?: readonly number[],
  suspectedRuns?: readonly number[],
];

/** Progress of a step: done tasks, and rows for tasks with other progress. */
export interface StepRow {
  readonly occurrence: number;
  readonly step: number;
  /** Numbers the rows of a step whose tasks do not fit into one; 0 if missing. */
  readonly chunk?: number;
  /** One bit for each task; empty if all are done. */
  readonly done: Uint8Array;
  readonly isDone: boolean;
  readonly tasks: readonly TaskRow[];
  readonly failedGangRuns: readonly number[];
}

interface ProgressRecord {
  readonly phase: JobPhase;
  /** Steps of the occurrences that are not done. */
  readonly steps: readonly StepRow[];
  /** The occurrences that are done; missing in records of earlier versions. */
  readonly done?: RangeRows;
  /**
   * The services to which the queue was sent; missing if it is one and in
   * records of earlier versions.
   */
  readonly services?: readonly string[];
}

/**
 * Encodes the progress of a job.
 *
 * @param steps the rows that are not in parts
 */
export function encodeProgress(
  job: JobState,
  steps: readonly StepRow[] = [...progressRows(job)],
): Uint8Array {
  const {phase, doneOccurrences} = job;
  const services = servicesOf(job);
  const record: ProgressRecord = {
    phase,
    steps: isFinal(phase) ? [] : steps,
    ...(isFinal(phase) ? {} : {done: doneOccurrences.toRows()}),
    ...(services.length > 1 ? {services} : {}),
  };
  return encode(record);
}

/** Encodes a part of a job's progress. */
export function encodePart(
  {phase}: JobState,
  steps: readonly StepRow[],
): Uint8Array {
  const record: ProgressRecord = {phase, steps};
  return encode(record);
}

/** The rows of what is done of a job, besides occurrences that are done. */
export function* progressRows(job: JobState): Generator<StepRow> {
  for (const {index, steps} of job.occurrences.values()) {
    if (job.doneOccurrences.has(index)) continue;
    for (const step of steps) {
      const row = stepRow(index, step);
      if (row !== null) yield* splitRow(row, job.tasksPerRow);
    }
  }
}

/** Splits a row with many tasks; the first part says which are done. */
function* splitRow(row: StepRow, tasksPerRow: number): Generator<StepRow> {
  const {tasks} = row;
  if (tasks.length <= tasksPerRow) return yield row;
  const byChunk = new Map<number, TaskRow[]>([[0, []]]);
  for (const task of tasks) {
    const chunk = Math.floor(task[0] / tasksPerRow);
    const others = byChunk.get(chunk);
    if (others === undefined) byChunk.set(chunk, [task]);
    else others.push(task);
  }
  for (const [chunk, own] of byChunk) {
    const done = chunk === 0 ? row.done : NO_BITS;
    yield {...row, chunk, done, tasks: own};
  }
}

function stepRow(occurrence: number, step: StepState): StepRow | null {
  const isDone = step.doneCount === step.tasks.length;
  const tasks: TaskRow[] = [];
  const done = new Uint8Array(isDone ? 0 : Math.ceil(step.tasks.length / 8));
  for (const task of isDone ? [] : step.tasks) {
    if (task.phase === 'done') setBit(done, task.index);
    else if (hasProgress(task)) tasks.push(taskRow(task));
  }
  const {index, failedGangRuns} = step;
  const isEmpty = step.doneCount === 0 && tasks.length === 0;
  if (isEmpty && failedGangRuns.length === 0) return null;
  return {occurrence, step: index, done, isDone, tasks, failedGangRuns};
}

function hasProgress(task: TaskState): boolean {
  const {failedRuns, crashedRuns, suspectedRuns, checkpoint} = task;
  const runs = failedRuns.length + crashedRuns.length + suspectedRuns.length;
  return runs > 0 || checkpoint !== '';
}

function taskRow(task: TaskState): TaskRow {
  const {index, failedRuns, crashedRuns, suspectedRuns} = task;
  const isStorable = task.checkpoint.length <= MAX_CHECKPOINT_CHARS;
  const checkpoint = isStorable ? task.checkpoint : '';
  if (crashedRuns.length + suspectedRuns.length === 0) {
    return [index, failedRuns, checkpoint];
  }
  return [index, failedRuns, checkpoint, crashedRuns, suspectedRuns];
}

function setBit(bits: Uint8Array, index: number): void {
  const at = index >> 3;
  bits[at] = (bits[at] ?? 0) | (1 << (index & 7));
}

/** Checks all before any of it is applied. */
function decodeProgress(value: Uint8Array): ProgressRecord {
  const record = decode(value as Buffer) as ProgressRecord | null;
  checkPhase(record?.phase);
  const steps: unknown = record?.steps;
  if (record === null || !Array.isArray(steps) || !steps.every(isStepRow)) {
    return raise('badRequest', 'no rows of steps');
  }
  if (!isOptional(isRanges)(record.done)) {
    return raise('badRequest', 'no ranges of occurrences');
  }
  if (!isOptional(isList(isText))(record.services)) {
    return raise('badRequest', 'no names of services');
  }
  return record;
}

/**
 * Decodes the phase of a progress record.
 *
 * @throws if it cannot be read
 */
export function decodePhase(value: Uint8Array): JobPhase {
  return decodeProgress(value).phase;
}

/**
 * Applies a stored progress record to a job's state.
 *
 * @param open returns an occurrence of the job, from now on in memory
 * @throws if it cannot be read; nothing of it is applied then
 */
export function applyProgress(
  job: JobState,
  value: Uint8Array,
  open: (index: number) => OccurrenceState,
): void {
  const record = decodeProgress(value);
  job.doneOccurrences.addRows(record.done ?? []);
  for (const each of record.services ?? []) addService(job, each);
  for (const row of record.steps) applyStepRow(job, row, open);
  if (record.phase !== 'queued') job.phase = record.phase;
  job.visiblePhase = job.phase;
}

function applyStepRow(
  job: JobState,
  row: StepRow,
  open: (index: number) => OccurrenceState,
): void {
  const {occurrence} = row;
  const {steps, repetition} = job.spec;
  if (occurrence >= repetition.times || row.step >= steps.length) return;
  if (job.doneOccurrences.has(occurrence)) return;
  const step = open(occurrence).steps[row.step];
  if (step === undefined) return;
  step.failedGangRuns = row.failedGangRuns;
  for (const task of step.tasks) {
    const bits = row.done[task.index >> 3] ?? 0;
    if (row.isDone || (bits & (1 << (task.index & 7))) !== 0) markDone(task);
  }
  for (const taskRow of row.tasks) {
    const [index, failedRuns, checkpoint, crashedRuns, suspectedRuns] = taskRow;
    const address = {jobId: job.id, occurrence, step: row.step, index};
    const task = findTask(job, address);
    if (task === undefined) continue;
    task.failedRuns = failedRuns;
    task.checkpoint = checkpoint;
    task.crashedRuns = crashedRuns ?? [];
    task.suspectedRuns = suspectedRuns ?? [];
  }
}
