/** Estimates how long a request would wait for a ticket. */

const MIN_SAMPLE_WEIGHT = 0.05;
/** Closed tickets needed before an estimate is given. */
const MIN_SAMPLES = 20;

/** What the estimate depends on. */
export interface ServiceLoad {
  /** Requests that would come before. */
  readonly ahead: number;
  /** Slots free now. */
  readonly free: number;
  /** All slots of the service. */
  readonly slots: number;
}

interface HoldTime {
  readonly meanMs: number;
  readonly samples: number;
}

/** The mean time that tickets of each service are held. */
export class CompletionEstimator {
  private readonly holdTimes = new Map<string, HoldTime>();

  /** Takes in how long a ticket of the service was held. */
  addSample(service: string, heldMs: number): void {
    const before = this.holdTimes.get(service);
    if (before === undefined) {
      this.holdTimes.set(service, {meanMs: heldMs, samples: 1});
      return;
    }
    const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / (before.samples + 1));
    const meanMs = before.meanMs + weight * (heldMs - before.meanMs);
    this.holdTimes.set(service, {meanMs, samples: before.samples + 1});
  }

  /** How long a ticket is held, as a mean; 0 while too little is known. */
  meanHoldMs(service: string): number {
    const hold = this.holdTimes.get(service);
    if (hold === undefined || hold.samples < MIN_SAMPLES) return 0;
    return hold.meanMs;
  }

  /**
   * Tells when the request would probably be done, in milliseconds from now;
   * 0 while too little is known.
   *
   * @example
   * if (estimate.timeToCompletionMs('quote', situation) > ask.deadlineMs) refuse();
   */
  timeToCompletionMs(service: string, load: ServiceLoad): number {
    const {ahead, free, slots} = load;
    const rounds = Math.max(0, ahead + 1 - free) / Math.max(1, slots);
    if (rounds === 0) return 0;
    return (rounds + 1) * this.meanHoldMs(service);
  }
}
