/** Processes of an executor that another one has followed under its id. */

/** A record of a process that has ended may be stored this late, in ms. */
const LATE_RECORD_MS = 10_000;

/**
 * Remembers processes by their start times, which are no order: the clock of a
 * machine may be set back between two starts. It forgets them after a while, as
 * a later process may have the same start time.
 */
export class EndedProcesses {
  /** When each one counts as ended no more, on the owner's monotonic clock. */
  private readonly untilMs = new Map<number, number>();

  /**
   * Records that another process has followed the one that started then.
   *
   * @param bornMs start time of the process that has ended; 0 if not known
   * @example
   * ended.add(former.bornMs, clock.monotonicMs());
   */
  add(bornMs: number, nowMs: number): void {
    for (const [each, untilMs] of this.untilMs) {
      if (nowMs >= untilMs) this.untilMs.delete(each);
    }
    if (bornMs !== 0) this.untilMs.set(bornMs, nowMs + LATE_RECORD_MS);
  }

  /** Records that a process with this start time has answered. */
  delete(bornMs: number): void {
    this.untilMs.delete(bornMs);
  }

  /**
   * Whether a record with this start time is that of an ended process.
   *
   * @example
   * if (ended.has(info.bornMs, nowMs)) return;
   */
  has(bornMs: number, nowMs: number): boolean {
    const untilMs = this.untilMs.get(bornMs);
    return untilMs !== undefined && nowMs < untilMs;
  }
}
