/** Reports failed reads of a topic in few log lines. */
import type {Clock} from '@dragonflyward/common';
import type {LogFunction} from '../platform.js';
import type {StoreError} from '../store.js';

/** Least time between two lines on the same series of failures, in ms. */
const REPORT_INTERVAL_MS = 2000;

/** How far a follower has read. */
export interface ReadPosition {
  /** The offset of the next record; -1 before the first load. */
  readonly offset: number;
  /** When all older records were last known to be read; monotonic clock. */
  readonly freshMs: number;
}

/** The failed reads since the last one that succeeded. */
export class ReadFailures {
  private count = 0;
  private firstMs = 0;
  private reportedMs = -Infinity;

  constructor(
    private readonly topic: string,
    private readonly clock: Clock,
    private readonly log: LogFunction,
  ) {}

  /** Records a read that failed. */
  record(err: StoreError, {offset, freshMs}: ReadPosition): void {
    const nowMs = this.clock.monotonicMs();
    if (this.count === 0) this.firstMs = nowMs;
    this.count += 1;
    if (nowMs - this.reportedMs < REPORT_INTERVAL_MS) return;
    this.reportedMs = nowMs;
    this.log('topicReadFailed', {
      topic: this.topic,
      offset,
      failures: this.count,
      forMs: Math.round(nowMs - this.firstMs),
      // Before the first complete read there is no age.
      ...(freshMs === -Infinity ? {} : {ageMs: Math.round(nowMs - freshMs)}),
      err: err.message,
    });
  }

  /** Records a read that succeeded. */
  recordSuccess(): void {
    this.count = 0;
  }
}
