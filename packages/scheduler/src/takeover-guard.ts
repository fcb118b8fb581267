/** Holds back, after a takeover, the tasks that may run unseen. */
import {leaseExpiryMs, NETWORK_DELAY_MARGIN_MS} from './lease-table.js';
import type {WorkerSession} from './worker-session.js';

/**
 * Knows when a task that no worker has shown surely runs nowhere: once all
 * listed workers have answered, or all leases of earlier terms have run out.
 */
export class TakeoverGuard {
  isHoldOver = false;
  unansweredCount = 0;
  private readonly leasesExpiredMs: number;

  constructor(
    private readonly startMs: number,
    taskLeaseMs: number,
  ) {
    this.leasesExpiredMs =
      leaseExpiryMs(startMs, taskLeaseMs) + NETWORK_DELAY_MARGIN_MS;
  }

  /** Whether a list of VMs asked for at the time shows all workers. */
  isListFresh(listSentMs: number | undefined): boolean {
    return listSentMs !== undefined && listSentMs >= this.startMs;
  }

  /**
   * Looks again; true once the hold is over.
   *
   * @example
   * if (guard.update(nowMs, membership.listSentMs, workers)) resumeAll();
   */
  update(
    nowMs: number,
    listSentMs: number | undefined,
    workers: readonly WorkerSession[],
  ): boolean {
    const haveAllAnswered = workers.every(worker => worker.hasAnswered);
    this.unansweredCount = workers.filter(worker => !worker.hasAnswered).length;
    const areLeasesExpired = nowMs > this.leasesExpiredMs;
    this.isHoldOver =
      areLeasesExpired ||
      (this.isListFresh(listSentMs) && haveAllAnswered && workers.length > 0);
    return this.isHoldOver;
  }
}
