/** Outcomes of calls of which several may be made for one result. */
import {recordSize} from './append-size.js';
import type {LogPage, StoreError, StoreFailure} from './store.js';

/** The result of a call, or why it failed. */
export type Settled<P extends LogPage = LogPage> =
  {readonly page: P} | {readonly err: StoreError};

/** Whether the store has answered, be it with a failure. */
export function isAnswered(settled: Settled): boolean {
  return 'page' in settled || isDefinitive(settled.err.failure);
}

/** Returns the page, or throws the failure. */
export function pageOf<P extends LogPage>(settled: Settled<P>): P {
  if ('page' in settled) return settled.page;
  throw settled.err;
}

/** The size of the records of a page, in bytes. */
export function pageSize({records}: LogPage): number {
  return records.reduce((sum, each) => sum + recordSize(each), 0);
}

/** Whether the store itself answered, so that a retry elsewhere is useless. */
export function isDefinitive(failure: StoreFailure): boolean {
  return failure === 'conflict' || failure === 'expired';
}

/** Returns the first page, or the more informative of two failures. */
export async function firstSuccess<P extends LogPage>(
  a: Promise<Settled<P>>,
  b: Promise<Settled<P>>,
): Promise<Settled<P>> {
  const first = await Promise.race([
    a.then(settled => ({settled, other: b})),
    b.then(settled => ({settled, other: a})),
  ]);
  if ('page' in first.settled) return first.settled;
  const other = await first.other;
  if ('page' in other) return other;
  return moreInformative(first.settled, other);
}

/** Prefers a definitive failure, then one with an unknown outcome. */
function moreInformative(
  a: {readonly err: StoreError},
  b: {readonly err: StoreError},
): {readonly err: StoreError} {
  if (isDefinitive(a.err.failure)) return a;
  if (isDefinitive(b.err.failure)) return b;
  return a.err.failure === 'unknown' ? a : b;
}
