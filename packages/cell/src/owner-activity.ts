/** What a VM knows of whether the owner acts or still loads the state. */

/**
 * Time for which an owner may load before it counts as idle, in ms: longer than
 * an owner needs to give up a load that makes no progress.
 */
const IDLE_OWNER_MS = 8000;
/** The longest such time, in ms. */
const MAX_IDLE_OWNER_MS = 64_000;

/** By how much another VM may claim the cell before this one would, in ms. */
const MAX_LEAD_MS = 2500;
/** Time after which the store is read to check an owner that loads, in ms. */
const CHECK_AFTER_MS = 2000;
/** Time between two such reads, in ms. */
const CHECK_INTERVAL_MS = 1000;

/** Follows one owner after the other. */
export class OwnerActivity {
  private term = 0;
  private hasActed = true;
  private sinceMs = 0;
  private checkedMs = -Infinity;
  /** The number of owners in a row that have not acted in time. */
  private idleOwners = 0;

  /**
   * Records that the VM has learned of an owner or becomes one.
   *
   * @example
   * activity.begin(record.term, clock.monotonicMs());
   */
  begin(term: number, nowMs: number): void {
    if (this.wasIdle(nowMs)) this.idleOwners += 1;
    this.term = term;
    this.hasActed = false;
    this.sinceMs = nowMs;
  }

  /** Whether the owner before was idle, when this VM learns of another one. */
  wasIdle(nowMs: number): boolean {
    return this.idleMs(nowMs) >= this.boundMs - MAX_LEAD_MS;
  }

  /** Records whether the owner of the term has said that it acts. */
  record(term: number, isActing: boolean): void {
    if (term !== this.term || !isActing) return;
    this.hasActed = true;
    this.idleOwners = 0;
  }

  /** Whether it is time to check by the store whether a load could go on. */
  takeCheck(nowMs: number): boolean {
    if (this.idleMs(nowMs) < CHECK_AFTER_MS) return false;
    // All VMs check when the time is over, else the delays of claims mix up.
    const isOver = this.isIdle(nowMs);
    const isNew = this.checkedMs < this.sinceMs + this.boundMs;
    const isDue = nowMs - this.checkedMs >= CHECK_INTERVAL_MS;
    if (!isDue && !(isOver && isNew)) return false;
    this.checkedMs = nowMs;
    return true;
  }

  /** Records that the store fails: the owner could not load meanwhile. */
  recordStoreFailure(nowMs: number): void {
    this.sinceMs = nowMs;
  }

  /** For how long the owner has not acted, in ms; 0 if it has acted. */
  idleMs(nowMs: number): number {
    return this.hasActed ? 0 : nowMs - this.sinceMs;
  }

  /**
   * Whether the owner has not acted in time. Each successor of an idle owner
   * has twice as long, so that a load that is slow everywhere ends.
   */
  isIdle(nowMs: number): boolean {
    return this.idleMs(nowMs) >= this.boundMs;
  }

  private get boundMs(): number {
    return Math.min(MAX_IDLE_OWNER_MS, IDLE_OWNER_MS * 2 ** this.idleOwners);
  }
}
