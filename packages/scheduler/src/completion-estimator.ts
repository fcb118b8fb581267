/** Estimates how soon a request would complete if it waited. */

/** Lowest weight of a new sample in the moving average. */
const MIN_SAMPLE_WEIGHT = 0.05;
/** Number of closed tickets needed before an estimate is given. */
const MIN_SAMPLES = 20;

/** The load of a service when a request arrives. */
export interface ServiceLoad {
  /** Waiting requests that would be served first. */
  readonly ahead: number;
  /** Slots that are free now. */
  readonly free: number;
  /** All slots of the service. */
  readonly slots: number;
}

interface HoldTime {
  readonly meanMs: number;
  readonly samples: number;
}

/** Averages how long tickets of each service are held. */
export class CompletionEstimator {
  private readonly holdTimes = new Map<string, HoldTime>();

  /** Adds how long a ticket of the service was held. */
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

  /** Mean time that a ticket is held; 0 while there are too few samples. */
  meanHoldMs(service: string): number {
    const hold = this.holdTimes.get(service);
    if (hold === undefined || hold.samples < MIN_SAMPLES) return 0;
    return hold.meanMs;
  }

  /**
   * Estimates the time until the request completes; 0 if a slot is free or
   * there are too few samples.
   *
   * @example
   * if (estimator.timeToCompletionMs('quote', load) > ask.deadlineMs) refuse();
   */
  timeToCompletionMs(service: string, load: ServiceLoad): number {
    const {ahead, free, slots} = load;
    const rounds = Math.max(0, ahead + 1 - free) / Math.max(1, slots);
    if (rounds === 0) return 0;
    return (rounds + 1) * this.meanHoldMs(service);
  }
}
