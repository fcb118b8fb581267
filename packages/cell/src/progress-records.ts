/**
 * Splits the progress of a job into records that the store accepts: one, or one
 * and parts of it. Rows belong to parts by what they are for, so that a part is
 * written again only if something in it has changed.
 */
import {createHash} from 'node:crypto';
import {recordSize} from './append-size.js';
import type {JobState} from './job-state.js';
import {
  encodePart,
  encodeProgress,
  progressRows,
  type StepRow,
} from './records.js';
import type {KeyedRecord, StoreLimits} from './store.js';
import {isFinal} from './types.js';

/** Key prefix of progress records. */
export const PROGRESS_PREFIX = 'p/';
/** Parts are halved up to this many. */
const MAX_PARTS = 4096;
/** Multiplier of the hash by which rows are spread over parts. */
const HASH_FACTOR = 31;
/** A part that was read and whose content is not known. */
const UNKNOWN_DIGEST = '';

/** What a key of the progress topic is for. */
export interface ProgressKey {
  readonly jobId: string;
  /** The name of the part; empty for the main record. */
  readonly part: string;
}

/** Parses the key of a progress record. */
export function parseProgressKey(key: string): ProgressKey {
  const [jobId = '', part = ''] = key.slice(PROGRESS_PREFIX.length).split('/');
  return {jobId, part};
}

/**
 * Returns the records that have to be stored now, in the order in which they
 * have to be: rows are dropped from one only after they are in another.
 *
 * @example
 * const records = progressRecords(job, store.limits);
 */
export function progressRecords(
  job: JobState,
  limits: StoreLimits,
): readonly KeyedRecord[] {
  const mainRecord = (rows: readonly StepRow[]): KeyedRecord => ({
    key: PROGRESS_PREFIX + job.id,
    value: encodeProgress(job, rows),
  });
  if (isFinal(job.phase)) {
    return [mainRecord([]), ...dropParts(job, new Set())];
  }
  const rows = [...progressRows(job)];
  if (job.partCount === 1) {
    const single = mainRecord(rows);
    if (recordSize(single) <= limits.recordBytes) return [single];
    job.partCount = 2;
  }
  const parts = splitRows(job, limits);
  const changed = parts.filter(each => recordChange(job, each));
  const dropped = dropParts(job, new Set(parts.map(({key}) => key)));
  return [...changed, mainRecord([]), ...dropped];
}

/** Marks all parts to be stored again, after an append that failed. */
export function forgetStoredParts({storedParts}: JobState): void {
  for (const key of storedParts.keys()) storedParts.set(key, UNKNOWN_DIGEST);
}

/** Records that a part of a job's progress was read from the store. */
export function recordReadPart(job: JobState, part: string): void {
  const key = partKey(job, part);
  job.storedParts.set(key, UNKNOWN_DIGEST);
  job.partCount = Math.max(job.partCount, partCountOf(part));
}

/** In how many parts the job was split when a part was written. */
export function partCountOf(part: string): number {
  const [count = ''] = part.split('.');
  return Math.min(MAX_PARTS, Math.max(1, Math.floor(Number(count)) || 1));
}

/**
 * Doubles the number of parts until the store accepts each of them. Rows are
 * halved together with it, so that what was written before counts as older.
 */
function splitRows(
  job: JobState,
  {recordBytes}: StoreLimits,
): readonly KeyedRecord[] {
  for (;;) {
    const parts = [...partRecords(job, progressRows(job))];
    const large = parts.filter(({part}) => recordSize(part) > recordBytes);
    if (large.length === 0 || job.partCount >= MAX_PARTS) {
      return parts.map(({part}) => part);
    }
    job.partCount *= 2;
    const isRowLarge = large.some(({rowCount}) => rowCount === 1);
    if (isRowLarge) job.tasksPerRow = Math.ceil(job.tasksPerRow / 2);
  }
}

function* partRecords(
  job: JobState,
  rows: Iterable<StepRow>,
): Generator<{readonly part: KeyedRecord; readonly rowCount: number}> {
  const byPart = new Map<number, StepRow[]>();
  for (const row of rows) {
    const part = rowHash(row) % job.partCount;
    const others = byPart.get(part);
    if (others === undefined) byPart.set(part, [row]);
    else others.push(row);
  }
  for (const [part, own] of byPart) {
    const key = partKey(job, `${job.partCount}.${part}`);
    const rowCount = own.length;
    yield {part: {key, value: encodePart(job, own)}, rowCount};
  }
}

function rowHash({occurrence, step, chunk}: StepRow): number {
  return (occurrence * HASH_FACTOR + step) * HASH_FACTOR + (chunk ?? 0);
}

/** Returns whether a part differs from what was last written. */
function recordChange(job: JobState, {key, value}: KeyedRecord): boolean {
  const digest = createHash('sha1').update(value).digest('base64');
  if (job.storedParts.get(key) === digest) return false;
  job.storedParts.set(key, digest);
  return true;
}

/** Deletes the parts that are not needed any more. */
function dropParts(
  {storedParts}: JobState,
  needed: ReadonlySet<string>,
): readonly KeyedRecord[] {
  const keys = [...storedParts.keys()].filter(key => !needed.has(key));
  for (const key of keys) storedParts.delete(key);
  return keys.map(key => ({key, value: new Uint8Array(0)}));
}

function partKey({id}: JobState, part: string): string {
  return `${PROGRESS_PREFIX}${id}/${part}`;
}
