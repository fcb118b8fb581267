/** Load generators for the request path. */
import {setTimeout as sleep} from 'node:timers/promises';
import {Metrics} from '@dragonflyward/common';
import type {RelayCall, RelayCell} from './relay-cell.js';

const MS_PER_SECOND = 1_000;
const TICK_MS = 1;
const US_PER_MS = 1_000;
const LATENCY_METRIC = 'latency_us';

/** The results of a load. */
export interface LoadResult {
  readonly perSecond: number;
  readonly failed: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Counts answers and failures and records latencies. */
class Tally {
  private readonly metrics = new Metrics();
  private answered = 0;
  private failed = 0;

  async add(sending: Promise<boolean>): Promise<void> {
    const startMs = performance.now();
    if (!(await sending)) {
      this.failed += 1;
      return;
    }
    this.answered += 1;
    this.metrics.record(
      LATENCY_METRIC,
      (performance.now() - startMs) * US_PER_MS,
    );
  }

  result(durationMs: number): LoadResult {
    const {answered, failed} = this;
    return {
      perSecond: roundToHundredths((answered * MS_PER_SECOND) / durationMs),
      failed,
      p50Ms: this.quantileMs(50),
      p99Ms: this.quantileMs(99),
    };
  }

  private quantileMs(percent: number): number {
    return roundToHundredths(
      this.metrics.quantile(LATENCY_METRIC, percent) / US_PER_MS,
    );
  }
}

/** Returns the nth request of a load. */
export type NextCall = (nth: number) => RelayCall;

/**
 * Runs a closed loop: keeps a number of requests open for a time.
 *
 * @example
 * const peak = await runClosedLoop(cell, next, 32, 5_000);
 */
export async function runClosedLoop(
  cell: RelayCell,
  next: NextCall,
  concurrency: number,
  durationMs: number,
): Promise<LoadResult> {
  const tally = new Tally();
  const startMs = performance.now();
  let sent = 0;
  const sendInLoop = async (): Promise<void> => {
    while (performance.now() - startMs < durationMs) {
      sent += 1;
      await tally.add(cell.send(next(sent)));
    }
  };
  await Promise.all(Array.from({length: concurrency}, sendInLoop));
  return tally.result(performance.now() - startMs);
}

/**
 * Sends several loads at a steady rate each. Their requests are interleaved, so
 * that all loads meet the same state of the machine.
 *
 * @example
 * const loads = [toTarget, toGateway];
 * const [direct, relayed] = await runOpenLoops(cell, loads, 500, 5_000);
 */
export async function runOpenLoops(
  cell: RelayCell,
  loads: readonly NextCall[],
  perSecond: number,
  durationMs: number,
): Promise<readonly LoadResult[]> {
  const tallies = loads.map(() => new Tally());
  const sending: Promise<void>[] = [];
  const startMs = performance.now();
  const total = Math.floor((perSecond * durationMs) / MS_PER_SECOND);
  let sent = 0;
  while (sent < total) {
    await sleep(TICK_MS);
    const elapsedMs = performance.now() - startMs;
    const due = Math.min(total, (elapsedMs * perSecond) / MS_PER_SECOND);
    for (; sent < due; sent += 1) {
      for (const [index, next] of loads.entries()) {
        const tally = tallies[index];
        if (tally !== undefined) sending.push(tally.add(cell.send(next(sent))));
      }
    }
  }
  const sentMs = performance.now() - startMs;
  await Promise.all(sending);
  return tallies.map(tally => tally.result(sentMs));
}

/** Rounds a figure to two decimals. */
export function roundToHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}
