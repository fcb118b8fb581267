/** Runs that a former owner may have started and that are not known here. */
import {MAX_EXECUTOR_LEASE_MS} from './inventory-reader.js';
import type {ExecutorState} from './executor-state.js';
import type {StepState} from './job-state.js';
import {OWNER_LEASE_MS, START_LEASE_MS} from './ownership.js';

/** The most by which an executor's clock is slower, as the platform states. */
const SLOW_CLOCK_FACTOR = 1.03;
/** Safety margin after the end of a former owner's leases, in ms. */
const FORMER_LEASE_SLACK_MS = 300;
/** The longest executor lease, measured on this owner's clock. */
const MAX_LOCAL_LEASE_MS =
  MAX_EXECUTOR_LEASE_MS * SLOW_CLOCK_FACTOR + FORMER_LEASE_SLACK_MS;

/** Tracks executors and jobs from before this owner claimed the cell. */
export class FormerOwnerRuns {
  /** Executors that a former owner may have used and that have not answered. */
  private readonly executors = new Set<ExecutorState>();
  private readonly jobs = new Set<string>();

  /**
   * @param claimedMs when this owner claimed the cell
   * @param isFormerStopped whether the former owner is known to have stopped
   */
  constructor(
    private readonly claimedMs: number,
    private readonly isFormerStopped: boolean,
  ) {}

  /** Adds an executor that a former owner has used. */
  addExecutor(executor: ExecutorState): void {
    this.executors.add(executor);
  }

  /** Removes an executor that has reported its runs or is gone. */
  removeExecutor(executor: ExecutorState): void {
    this.executors.delete(executor);
  }

  /** Adds a job that was accepted before this owner's claim. */
  addJob(id: string): void {
    this.jobs.add(id);
  }

  /**
   * Whether unknown runs of the step's tasks may exist: on executors that have
   * not answered yet, until all leases that a former owner can have granted
   * there have expired. While the former owner may still start tasks, any task
   * may run on an executor that has restarted and thus knows no fencing token.
   */
  mayHaveUnknownRuns({occurrence}: StepState, nowMs: number): boolean {
    const {isFormerStopped} = this;
    const startsUntilMs = this.claimedMs + START_LEASE_MS * SLOW_CLOCK_FACTOR;
    if (!isFormerStopped && nowMs < startsUntilMs) return true;
    if (this.executors.size === 0) return false;
    const actsUntilMs = this.claimedMs + (isFormerStopped ? 0 : OWNER_LEASE_MS);
    const wasAcceptedEarlier = this.jobs.has(occurrence.job.id);
    const untilMs =
      wasAcceptedEarlier || !isFormerStopped
        ? actsUntilMs + MAX_LOCAL_LEASE_MS
        : 0;
    if (nowMs > untilMs) return false;
    const {service} = occurrence.job.queue;
    for (const executor of this.executors) {
      if (!executor.isReached && executor.info.service === service) return true;
    }
    return false;
  }

  /** Whether the executor may have runs that it has not reported yet. */
  mayHoldUnknownRuns(executor: ExecutorState, nowMs: number): boolean {
    if (executor.isReached || !this.executors.has(executor)) return false;
    return nowMs - this.claimedMs <= OWNER_LEASE_MS + MAX_LOCAL_LEASE_MS;
  }
}
