/** Executors that may have restarted while a former owner could start tasks. */
import type {ExecutorState} from './executor-state.js';

/** The store lists an executor after a restart within this time, in ms. */
export const REGISTRATION_MS = 1000;

/** The last answer of an executor. */
interface Answer {
  /** The start time of the process that answered. */
  readonly bornMs: number;
  /** When it was requested, on the owner's monotonic clock. */
  readonly sentMs: number;
}

/**
 * Follows executors that answered while a former owner could still start tasks.
 * One that restarts after its answer knows no fencing token, so that the former
 * owner could start a task there until its start lease ends. Until it has
 * answered again after that, its runs are not known.
 */
export class UnconfirmedExecutors {
  private readonly answers = new Map<ExecutorState, Answer>();

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
    const {bornMs} = executor;
    if (sentMs >= this.startsUntilMs) this.answers.delete(executor);
    else this.answers.set(executor, {bornMs, sentMs});
  }

  /** Whether the executor has answered, but not after the start lease. */
  has(executor: ExecutorState): boolean {
    return this.answers.has(executor);
  }

  /** Removes an executor that is gone. */
  remove(executor: ExecutorState): void {
    this.answers.delete(executor);
  }

  /** Yields the executors that may have restarted since they answered. */
  *restartable(): Generator<ExecutorState> {
    for (const executor of this.answers.keys()) {
      if (this.mayHaveRestarted(executor)) yield executor;
    }
  }

  /**
   * Whether it may have restarted between its answer and the end of the start
   * lease. A list that was read later shows a restart: since the answer was
   * requested, a record of another process was read, or the list still has one.
   */
  mayHaveRestarted(executor: ExecutorState): boolean {
    const answer = this.answers.get(executor);
    if (answer === undefined) return false;
    if (this.executorsReadMs() < this.startsUntilMs + REGISTRATION_MS) {
      return true;
    }
    const {info, isListed, otherRecordReadMs} = executor;
    if (info.bornMs === 0 || otherRecordReadMs >= answer.sentMs) return true;
    return isListed && info.bornMs !== answer.bornMs;
  }
}
