/** Time sources; protocols take one so that tests can control time. */

/** A source of time and delays. */
export abstract class Clock {
  /** Milliseconds that never go back; the origin is arbitrary. */
  abstract monotonicMs(): number;
  /** Milliseconds since the epoch; may jump. */
  abstract wallMs(): number;
  /** Resolves after the delay. */
  abstract sleep(delayMs: number): Promise<void>;
}

/** The clock of this machine. */
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

interface Sleeper {
  readonly atMs: number;
  readonly wake: () => void;
}

/** A clock that moves only when it is told to. */
export class ManualClock extends Clock {
  private nowMs: number;
  private sleepers: readonly Sleeper[] = [];

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
      const next = [...this.sleepers, {atMs, wake: resolve}];
      this.sleepers = next.sort((a, b) => a.atMs - b.atMs);
    });
  }

  /**
   * Moves the time on and wakes those whose delay has run out, in order.
   *
   * @example
   * await clock.advance(500);
   */
  async advance(deltaMs: number): Promise<void> {
    const endMs = this.nowMs + deltaMs;
    for (;;) {
      const [first, ...rest] = this.sleepers;
      if (first === undefined || first.atMs > endMs) break;
      this.sleepers = rest;
      this.nowMs = Math.max(this.nowMs, first.atMs);
      first.wake();
      await settle();
    }
    this.nowMs = endMs;
    await settle();
  }
}

/** Lets all promise callbacks that are due run. */
function settle(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
