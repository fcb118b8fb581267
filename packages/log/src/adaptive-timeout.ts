/** Reply timeout that adapts to the observed speed of a service. */

const MIN_TIMEOUT_MS = 2_000;
const MAX_TIMEOUT_MS = 20_000;
const REPLY_TIME_FACTOR = 4;

/** Derives the reply timeout from the most recent reply time. */
export class AdaptiveTimeout {
  private timeoutMs = MIN_TIMEOUT_MS;

  /** The current timeout, to be added to the wait that a call requests. */
  get currentMs(): number {
    return this.timeoutMs;
  }

  /** Records a reply time, without the wait that the call requested. */
  recordReply(tookMs: number): void {
    this.timeoutMs = clamp(tookMs * REPLY_TIME_FACTOR);
  }

  /** Records that no reply came in time; doubles the timeout. */
  recordTimeout(): void {
    this.timeoutMs = clamp(this.timeoutMs * 2);
  }
}

function clamp(valueMs: number): number {
  return Math.min(MAX_TIMEOUT_MS, Math.max(MIN_TIMEOUT_MS, valueMs));
}
