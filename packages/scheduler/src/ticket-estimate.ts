/** Estimates how long a request would wait for a ticket. */

const SMOOTHING = 0.05;
/** Closed tickets needed before an estimate is given. */
const MIN_SAMPLES = 20;

/** What the estimate depends on. */
export interface WaitSituation {
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
export class WaitEstimate {
  private readonly holdTimes = new Map<string, HoldTime>();

  /** Takes in how long a ticket of the service was held. */
  add(service: string, heldMs: number): void {
    const before = this.holdTimes.get(service);
    if (before === undefined) {
      this.holdTimes.set(service, {meanMs: heldMs, samples: 1});
      return;
    }
    const weight = Math.max(SMOOTHING, 1 / (before.samples + 1));
    const meanMs = before.meanMs + weight * (heldMs - before.meanMs);
    this.holdTimes.set(service, {meanMs, samples: before.samples + 1});
  }

  /** How long a ticket is held, as a mean; 0 while too little is known. */
  holdMs(service: string): number {
    const hold = this.holdTimes.get(service);
    if (hold === undefined || hold.samples < MIN_SAMPLES) return 0;
    return hold.meanMs;
  }

  /**
   * Tells when the request would probably be done, in milliseconds from now;
   * 0 while too little is known.
   *
   * @example
   * if (estimate.doneInMs('quote', situation) > ask.deadlineMs) refuse();
   */
  doneInMs(service: string, situation: WaitSituation): number {
    const {ahead, free, slots} = situation;
    const turns = Math.max(0, ahead + 1 - free) / Math.max(1, slots);
    if (turns === 0) return 0;
    return (turns + 1) * this.holdMs(service);
  }
}
