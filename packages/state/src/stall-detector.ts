/** Notices an owner that cannot read a log which its successors can read. */
import type {OwnershipOptions} from './ownership-types.js';

/** How long an owner may depend on promises while the log can be read. */
export const STALL_GRACE_MS = 10_000;

type StallWatchOptions = Pick<OwnershipOptions, 'clock' | 'tail' | 'timing'>;

/** Compares the owner's asks for promises with this process's own reads. */
export class StallWatch {
  private logUpSinceMs = Infinity;
  private askedSinceMs = Infinity;
  private askedMs = -Infinity;

  constructor(private readonly options: StallWatchOptions) {}

  /** Looks at the own tail; called often. */
  update(): void {
    const {clock, tail, timing} = this.options;
    const nowMs = clock.monotonicMs();
    const isUp = nowMs - tail.lastProofMs <= timing.ownerLeaseMs;
    if (!isUp) this.logUpSinceMs = Infinity;
    else if (this.logUpSinceMs === Infinity) this.logUpSinceMs = nowMs;
  }

  /** The owner asked for a promise, as it has no new read of the log. */
  noteAsk(): void {
    const nowMs = this.options.clock.monotonicMs();
    if (!this.isAsking(nowMs)) this.askedSinceMs = nowMs;
    this.askedMs = nowMs;
  }

  /** Whether the owner has been without the log for too long. */
  isStalled(): boolean {
    const nowMs = this.options.clock.monotonicMs();
    if (!this.isAsking(nowMs)) return false;
    const sinceMs = Math.max(this.logUpSinceMs, this.askedSinceMs);
    return nowMs - sinceMs > STALL_GRACE_MS;
  }

  private isAsking(nowMs: number): boolean {
    return nowMs - this.askedMs <= this.options.timing.ownerLeaseMs;
  }
}
