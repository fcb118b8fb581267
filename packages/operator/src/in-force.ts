/** Watches where a change of configuration is in force and where not yet. */
import type {Clock} from '@dragonflyward/common';
import {configOffsetOf, type AdminReply} from './fleet.js';

const POLL_PERIOD_MS = 200;

/** A process in which a change is not known to be in force. */
export interface Laggard {
  readonly process: string;
  readonly reason: string;
}

/** Where a change is in force. */
export interface InForceReport {
  readonly offset: number;
  readonly inForce: readonly string[];
  readonly notYet: readonly Laggard[];
  /** How long it took, or how long was waited. */
  readonly waitedMs: number;
}

/** Reads the status of each process. */
export type ReadStatuses = () => Promise<readonly AdminReply[]>;

/**
 * Sorts the processes by whether they have applied the record at an offset.
 *
 * @example
 * const report = checkInForce(17, await fleet.readAll('/status'), 0);
 */
export function checkInForce(
  offset: number,
  replies: readonly AdminReply[],
  waitedMs: number,
): InForceReport {
  const inForce: string[] = [];
  const notYet: Laggard[] = [];
  for (const {process, body, failure} of replies) {
    const reached = configOffsetOf(body);
    if (reached !== undefined && reached > offset) {
      inForce.push(process.name);
      continue;
    }
    const lag = `has applied the records before ${reached ?? 'an unknown one'}`;
    notYet.push({process: process.name, reason: failure || lag});
  }
  return {offset, inForce, notYet, waitedMs};
}

/** Whether all processes have it; a fleet that shows none has it nowhere. */
export function isEverywhere({inForce, notYet}: InForceReport): boolean {
  return notYet.length === 0 && inForce.length > 0;
}

/**
 * Waits until a record is in force in all processes, at most for a time.
 *
 * @example
 * const report = await waitInForce(17, read, 10_000, clock);
 */
export async function waitInForce(
  offset: number,
  read: ReadStatuses,
  waitMs: number,
  clock: Clock,
): Promise<InForceReport> {
  const startMs = clock.monotonicMs();
  for (;;) {
    const replies = await read();
    const waitedMs = Math.round(clock.monotonicMs() - startMs);
    const report = checkInForce(offset, replies, waitedMs);
    if (isEverywhere(report) || waitedMs >= waitMs) return report;
    await clock.sleep(POLL_PERIOD_MS);
  }
}

/**
 * Says in a few lines where a change is in force.
 *
 * @example
 * output.print(report, inForceLines(report));
 */
export function* inForceLines(report: InForceReport): Generator<string> {
  const {inForce, notYet, waitedMs} = report;
  const all = inForce.length + notYet.length;
  yield `in force in ${inForce.length} of ${all} processes after ${waitedMs} ms`;
  for (const {process, reason} of notYet) {
    yield `not yet known to be in force: ${process} (${reason})`;
  }
}
