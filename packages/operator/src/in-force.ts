/** Polls the processes for whether they have applied a change. */
import type {Clock} from '@dragonflyward/common';
import {configOffsetOf, type AdminReply} from './fleet.js';

const POLL_PERIOD_MS = 200;

/** A process in which a change is not known to be in force. */
export interface PendingProcess {
  readonly process: string;
  readonly reason: string;
}

/** Where a change is in force. */
export interface InForceReport {
  readonly offset: number;
  readonly inForce: readonly string[];
  readonly notYet: readonly PendingProcess[];
  /** Time until it was in force everywhere, or until the wait ended. */
  readonly waitedMs: number;
}

/** Reads the status of each process. */
export type StatusReader = () => Promise<readonly AdminReply[]>;

/**
 * Splits the processes by whether they have applied the record at an offset.
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
  const notYet: PendingProcess[] = [];
  for (const {process, body, failure} of replies) {
    const nextOffset = configOffsetOf(body);
    if (nextOffset !== undefined && nextOffset > offset) {
      inForce.push(process.name);
      continue;
    }
    const pendingReason = `next offset to apply: ${nextOffset ?? 'unknown'}`;
    notYet.push({process: process.name, reason: failure || pendingReason});
  }
  return {offset, inForce, notYet, waitedMs};
}

/** Whether all processes have applied it; false if none is listed. */
export function isInForceEverywhere({inForce, notYet}: InForceReport): boolean {
  return notYet.length === 0 && inForce.length > 0;
}

/**
 * Waits until a record is in force in all processes, or until a timeout.
 *
 * @example
 * const report = await pollUntilInForce(17, read, 10_000, clock);
 */
export async function pollUntilInForce(
  offset: number,
  read: StatusReader,
  waitMs: number,
  clock: Clock,
): Promise<InForceReport> {
  const startMs = clock.monotonicMs();
  for (;;) {
    const replies = await read();
    const waitedMs = Math.round(clock.monotonicMs() - startMs);
    const report = checkInForce(offset, replies, waitedMs);
    if (isInForceEverywhere(report) || waitedMs >= waitMs) return report;
    await clock.sleep(POLL_PERIOD_MS);
  }
}

/**
 * Formats a report as lines.
 *
 * @example
 * output.print(report, formatInForceReport(report));
 */
export function* formatInForceReport(report: InForceReport): Generator<string> {
  const {inForce, notYet, waitedMs} = report;
  const total = inForce.length + notYet.length;
  yield `in force in ${inForce.length} of ${total} processes after ${waitedMs} ms`;
  for (const {process, reason} of notYet) {
    yield `not yet known to be in force: ${process} (${reason})`;
  }
}
