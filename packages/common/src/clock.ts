/** Clocks; code that depends on time takes one, so that tests control it. */

/** A source of time and delays. */
export abstract class Clock {
  /** Monotonic time in milliseconds, from an arbitrary origin. */
  abstract monotonicMs(): number;
  /** Wall time in milliseconds since the Unix epoch; may jump. */
  abstract wallMs(): number;
  /** Resolves after the given delay. */
  abstract sleep(delayMs: number): Promise<void>;
}

/** The system clock. */
export class SystemClock extends Clock {
  override monotonicMs(): number {
    return performance.now();
  }

  override wallMs(): number {
    return Date.now();
  }

  override sleep(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
  }
}

interface PendingSleep {
  readonly atMs: number;
  readonly wake: () => void;
}

/** A clock for tests that moves only when `advance` is called. */
export class ManualClock extends Clock {
  private nowMs: number;
  private pendingSleeps: readonly PendingSleep[] = [];

  constructor(startMs = 0) {
    super();
    this.nowMs = startMs;
  }

  override monotonicMs(): number {
    return this.nowMs;
  }

  override wallMs(): number {
    return this.nowMs;
  }

  override sleep(delayMs: number): Promise<void> {
    const atMs = this.nowMs + delayMs;
    return new Promise(resolve => {
      const next = [...this.pendingSleeps, {atMs, wake: resolve}];
      this.pendingSleeps = next.sort((a, b) => a.atMs - b.atMs);
    });
  }

  /**
   * Advances the time and resolves the sleeps that end by then, in order.
   *
   * @example
   * await clock.advance(500);
   */
  async advance(deltaMs: number): Promise<void> {
    const endMs = this.nowMs + deltaMs;
    for (;;) {
      const [first, ...rest] = this.pendingSleeps;
      if (first === undefined || first.atMs > endMs) break;
      this.pendingSleeps = rest;
      this.nowMs = Math.max(this.nowMs, first.atMs);
      first.wake();
      await flushPromises();
    }
    this.nowMs = endMs;
    await flushPromises();
  }
}

/** Runs all pending promise callbacks. */
function flushPromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
