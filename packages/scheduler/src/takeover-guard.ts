/** Holds back, after a takeover, the tasks that may run unseen. */
import {lapseMs, NETWORK_DELAY_MARGIN_MS} from './lease-book.js';
import type {WorkerTask} from './worker-task.js';

/**
 * Knows when a task that no worker has shown surely runs nowhere: once all
 * listed workers have answered, or all leases of earlier terms have run out.
 */
export class TakeoverGuard {
  isOver = false;
  unansweredCount = 0;
  private readonly lapsedMs: number;

  constructor(
    private readonly startMs: number,
    taskLeaseMs: number,
  ) {
    this.lapsedMs = lapseMs(startMs, taskLeaseMs) + NETWORK_DELAY_MARGIN_MS;
  }

  /** Whether a list of VMs asked for at the time shows all workers. */
  isListNew(listSentMs: number | undefined): boolean {
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
    workers: readonly WorkerTask[],
  ): boolean {
    const isAnswered = workers.every(worker => worker.hasAnswered);
    this.unansweredCount = workers.filter(worker => !worker.hasAnswered).length;
    const isLapsed = nowMs > this.lapsedMs;
    this.isOver =
      isLapsed ||
      (this.isListNew(listSentMs) && isAnswered && workers.length > 0);
    return this.isOver;
  }
}
