/** Executors that may have restarted while a former owner could start tasks. */
import type {ExecutorState} from './executor-state.js';

/** The store lists an executor after a restart within this time, in ms. */
export const REGISTRATION_MS = 1000;

/**
 * Follows executors that answered while a former owner could still start tasks.
 * One that restarts after its answer knows no fencing token, so that the former
 * owner could start a task there until its start lease ends. Until it has
 * answered again after that, its runs are not known.
 */
export class UnconfirmedExecutors {
  /** The start time of the process that answered. */
  private readonly answeredBornMs = new Map<ExecutorState, number>();

  /**
   * @param startsUntilMs former owners start nothing after this time
   * @param executorsReadMs when the newest read of the executors' records was
   *     sent
   */
  constructor(
    private readonly startsUntilMs: number,
    private readonly executorsReadMs: () => number,
  ) {}

  /**
   * Records an inventory of the executor.
   *
   * @param sentMs when the inventory was requested
   * @example
   * unconfirmed.recordAnswer(executor, sentMs);
   */
  recordAnswer(executor: ExecutorState, sentMs: number): void {
    if (sentMs >= this.startsUntilMs) this.answeredBornMs.delete(executor);
    else this.answeredBornMs.set(executor, executor.bornMs);
  }

  /** Whether the executor has answered, but not after the start lease. */
  has(executor: ExecutorState): boolean {
    return this.answeredBornMs.has(executor);
  }

  /** Removes an executor that is gone. */
  remove(executor: ExecutorState): void {
    this.answeredBornMs.delete(executor);
  }

  /** Yields the executors that may have restarted since they answered. */
  *restartable(): Generator<ExecutorState> {
    for (const executor of this.answeredBornMs.keys()) {
      if (this.mayHaveRestarted(executor)) yield executor;
    }
  }

  /**
   * Whether it may have restarted between its answer and the end of the start
   * lease. A list that was read later shows a restart; one that is missing
   * there has not written a record either.
   */
  mayHaveRestarted(executor: ExecutorState): boolean {
    const answeredBornMs = this.answeredBornMs.get(executor);
    if (answeredBornMs === undefined) return false;
    if (this.executorsReadMs() < this.startsUntilMs + REGISTRATION_MS) {
      return true;
    }
    const {info, isListed} = executor;
    if (info.bornMs === 0 || info.bornMs > answeredBornMs) return true;
    return isListed && info.bornMs < answeredBornMs;
  }
}
