/** Holds back, after a takeover, tasks that may still run on a worker. */
import {leaseExpiryMs, NETWORK_DELAY_MARGIN_MS} from './lease-table.js';
import type {WorkerSession} from './worker-session.js';

/**
 * Decides when a task that no worker has reported cannot be running: once
 * all listed workers have answered, or all leases of earlier terms expired.
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

  /** Whether a VM list requested at the given time shows all workers. */
  isListFresh(listSentMs: number | undefined): boolean {
    return listSentMs !== undefined && listSentMs >= this.startMs;
  }

  /**
   * Updates the state of the wait; returns true once it is over.
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
