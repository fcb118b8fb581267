/** Detects an owner that cannot read the log while its successors can. */
import type {OwnershipOptions} from './ownership-types.js';

/**
 * How long an owner may depend on promises while its successors can read the
 * log.
 */
export const OWNER_STALL_TIMEOUT_MS = 10_000;

type StallDetectorOptions = Pick<
  OwnershipOptions,
  'clock' | 'state' | 'tail' | 'timing'
>;

/**
 * Compares the owner's requests for promises with this process's own reads of
 * the log.
 */
export class StallDetector {
  private logUpSinceMs = Infinity;
  private requestingSinceMs = Infinity;
  private lastRequestMs = -Infinity;
  /** The term of the owner that sent the latest request. */
  private requestTerm = 0;

  constructor(private readonly options: StallDetectorOptions) {}

  /**
   * Updates the time since which this process can read the log. Must be called
   * often.
   */
  updateLogStatus(): void {
    const {clock, tail, timing} = this.options;
    const nowMs = clock.monotonicMs();
    const isUp = nowMs - tail.lastCaughtUpMs <= timing.ownerLeaseMs;
    if (!isUp) this.logUpSinceMs = Infinity;
    else if (this.logUpSinceMs === Infinity) this.logUpSinceMs = nowMs;
  }

  /**
   * Records that the owner requested a promise, which it does without a recent
   * read of the log.
   */
  recordPromiseRequest(): void {
    const nowMs = this.options.clock.monotonicMs();
    if (!this.isOwnerRequesting(nowMs)) this.requestingSinceMs = nowMs;
    this.lastRequestMs = nowMs;
    this.requestTerm = this.options.state.term;
  }

  /** Whether the owner has not read the log for too long. */
  isStalled(): boolean {
    const nowMs = this.options.clock.monotonicMs();
    if (!this.isOwnerRequesting(nowMs)) return false;
    const sinceMs = Math.max(this.logUpSinceMs, this.requestingSinceMs);
    return nowMs - sinceMs > OWNER_STALL_TIMEOUT_MS;
  }

  private isOwnerRequesting(nowMs: number): boolean {
    const {state, timing} = this.options;
    if (this.requestTerm !== state.term) return false;
    return nowMs - this.lastRequestMs <= timing.ownerLeaseMs;
  }
}
