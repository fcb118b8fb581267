/** How long a call waits for its reply; follows a service that got slow. */

const MIN_BOUND_MS = 2_000;
const MAX_BOUND_MS = 20_000;
const SLOWNESS_FACTOR = 4;

/** Bounds the wait for replies by the slowness that was seen last. */
export class ReplyBound {
  private boundMs = MIN_BOUND_MS;

  /** The wait to allow now, beyond what the call itself asks for. */
  get currentMs(): number {
    return this.boundMs;
  }

  /** Takes in how long a reply took, beyond what its call asked for. */
  replied(tookMs: number): void {
    this.boundMs = clamp(tookMs * SLOWNESS_FACTOR);
  }

  /** Takes in that no reply came in time. */
  timedOut(): void {
    this.boundMs = clamp(this.boundMs * 2);
  }
}

function clamp(valueMs: number): number {
  return Math.min(MAX_BOUND_MS, Math.max(MIN_BOUND_MS, valueMs));
}
