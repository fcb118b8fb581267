/** Splits records into appends that the store accepts. */
import type {KeyedRecord, StoreLimits} from './store.js';

/**
 * Records that take more are sent in several appends: one that a narrow link
 * cannot carry within its timeout would fail each time.
 */
const MAX_APPEND_BYTES = 131_072;
/** Bytes of a record besides its key and its value: two length fields. */
const RECORD_OVERHEAD_BYTES = 5;

/** Returns the size of a record in an append, in bytes. */
export function recordSize({key, value}: KeyedRecord): number {
  return RECORD_OVERHEAD_BYTES + Buffer.byteLength(key) + value.length;
}

/**
 * Returns how many of the first records to send in one append; at least one.
 *
 * @example
 * const batch = records.slice(0, countForAppend(records, store.limits));
 */
export function countForAppend(
  records: readonly KeyedRecord[],
  {appendBytes}: StoreLimits,
): number {
  const maxBytes = Math.min(appendBytes, MAX_APPEND_BYTES);
  let totalBytes = 0;
  for (const [i, record] of records.entries()) {
    totalBytes += recordSize(record);
    if (totalBytes > maxBytes) return Math.max(1, i);
  }
  return records.length;
}

/**
 * Splits records into appends, in order. No records give one empty append.
 *
 * @example
 * for (const batch of splitIntoAppends(records, store.limits)) …
 */
export function* splitIntoAppends(
  records: readonly KeyedRecord[],
  limits: StoreLimits,
): Generator<readonly KeyedRecord[]> {
  let rest = records;
  do {
    const count = countForAppend(rest, limits);
    yield rest.slice(0, count);
    rest = rest.slice(count);
  } while (rest.length > 0);
}
