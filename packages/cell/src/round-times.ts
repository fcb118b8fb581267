/** How long the scheduling rounds of an owner take, for the log. */

/** Rounds since the last report. */
interface RoundTimes {
  readonly count: number;
  readonly sumMs: number;
  readonly maxMs: number;
  /** How long the requests for these rounds waited for them, in ms. */
  readonly waitMs: number;
  /** Rounds that were due while the owner might start nothing. */
  readonly skipped: number;
}

/** Fields of a line of the log. */
export interface RoundReport {
  readonly rounds: number;
  readonly sumMs: number;
  readonly maxMs: number;
  readonly waitMs: number;
  readonly skipped: number;
}

const NO_ROUNDS: RoundTimes = {
  count: 0,
  sumMs: 0,
  maxMs: 0,
  waitMs: 0,
  skipped: 0,
};

/** Adds up the rounds between two lines of the log. */
export class RoundStatistics {
  private times = NO_ROUNDS;

  /** Counts a round that took `tookMs` and was requested `waitMs` before it. */
  add(tookMs: number, waitMs: number): void {
    const {times} = this;
    this.times = {
      ...times,
      count: times.count + 1,
      sumMs: times.sumMs + tookMs,
      maxMs: Math.max(times.maxMs, tookMs),
      waitMs: times.waitMs + waitMs,
    };
  }

  /** Counts a round in which nothing could be started. */
  addSkipped(): void {
    this.times = {...this.times, skipped: this.times.skipped + 1};
  }

  /**
   * Returns and resets the times.
   *
   * @example
   * log('roundState', statistics.takeReport());
   */
  takeReport(): RoundReport {
    const {count, sumMs, maxMs, waitMs, skipped} = this.times;
    this.times = NO_ROUNDS;
    return {
      rounds: count,
      sumMs: Math.round(sumMs),
      maxMs: Math.round(maxMs),
      waitMs: Math.round(waitMs),
      skipped,
    };
  }
}
