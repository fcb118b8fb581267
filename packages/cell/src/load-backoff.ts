/** How long a VM that could not load the cell's state leaves it to others. */

/** The time after the first failure, in ms; twice as long after each more. */
const MIN_BACKOFF_MS = 20_000;
/** The longest such time, in ms. */
const MAX_BACKOFF_MS = 320_000;

/** Counts the loads of one VM that it gave up. */
export class LoadBackoff {
  private failures = 0;
  private untilMs = -Infinity;

  /**
   * Records that a load was given up.
   *
   * @example
   * backoff.recordFailure(clock.monotonicMs());
   */
  recordFailure(nowMs: number): void {
    const lengthMs = MIN_BACKOFF_MS * 2 ** this.failures;
    this.untilMs = nowMs + Math.min(MAX_BACKOFF_MS, lengthMs);
    this.failures += 1;
  }

  /** Records that a load has ended. */
  recordSuccess(): void {
    this.failures = 0;
    this.untilMs = -Infinity;
  }

  /** Whether the last load failed. */
  get hasFailed(): boolean {
    return this.failures > 0;
  }

  /** Whether the VM leaves the cell to others. */
  isWaiting(nowMs: number): boolean {
    return nowMs < this.untilMs;
  }
}
