/** Counts the starts of an owner and why some were not carried out. */
import type {OrderFailure} from './executor-client.js';

/** Why the owner no longer gives a start that it has decided. */
export type StartObstacle =
  /** The owner has stopped, or its lease for starts has ended. */
  | 'lease'
  /** The executor gets no orders until a record is stored. */
  | 'held'
  /** The failure domain was closed in the meantime. */
  | 'closed'
  /** The queue is sent to another service now. */
  | 'rerouted'
  /** The task has been stopped or placed elsewhere. */
  | 'moved';

/** The starts since the last report. */
export interface StartReport {
  readonly starts: number;
  readonly failed: Readonly<Record<string, number>>;
}

/** Counts starts between two lines of the log. */
export class StartCounts {
  private starts = 0;
  private failed: Record<string, number> = {};

  /** Counts tasks whose start was decided. */
  recordStarts(count: number): void {
    this.starts += count;
  }

  /** Counts a start that was not carried out, or not surely. */
  recordFailure(failure: OrderFailure | null, obstacle: StartObstacle | null) {
    const reason = obstacle ?? failure ?? 'badOrder';
    this.failed[reason] = (this.failed[reason] ?? 0) + 1;
  }

  /**
   * Returns and resets the counts.
   *
   * @example
   * log('startState', counts.takeReport());
   */
  takeReport(): StartReport {
    const {starts, failed} = this;
    this.starts = 0;
    this.failed = {};
    return {starts, failed};
  }
}
