/** What a former owner may have started that this owner has not seen. */
import {MAX_LEASE_MS} from './inventory-reader.js';
import type {ExecutorState} from './executor-state.js';
import type {StepState} from './job-state.js';
import {RIGHT_TO_ACT_MS, RIGHT_TO_START_MS} from './ownership.js';

/** Executors' clocks may be this much slower; stated by the platform. */
const SLOW_CLOCK_FACTOR = 1.03;
/** Added to the time after which a former owner's leases have ended, in ms. */
const FORMER_LEASE_SLACK_MS = 300;
/** The longest time for which a lease can hold, on this owner's clock. */
const LEASE_BOUND_MS = MAX_LEASE_MS * SLOW_CLOCK_FACTOR + FORMER_LEASE_SLACK_MS;

/** Executors and jobs of the time before this owner's claim. */
export class FormerRuns {
  /** Executors that a former owner may have used, not yet reached. */
  private readonly executors = new Set<ExecutorState>();
  private readonly jobs = new Set<string>();

  /**
   * @param claimedMs when this owner claimed the cell
   * @param isFormerStopped whether the former owner has surely stopped
   */
  constructor(
    private readonly claimedMs: number,
    private readonly isFormerStopped: boolean,
  ) {}

  /** A former owner has used the executor. */
  addExecutor(executor: ExecutorState): void {
    this.executors.add(executor);
  }

  /** The executor has told what it runs, or is gone. */
  dropExecutor(executor: ExecutorState): void {
    this.executors.delete(executor);
  }

  /** The job was accepted before this owner's claim. */
  addJob(id: string): void {
    this.jobs.add(id);
  }

  /**
   * Whether tasks of the step may run unseen: on executors not yet reached,
   * until the leases there that a former owner can have given have ended.
   * While it may still start tasks, any task may run on an executor that has
   * started again and seen no token.
   */
  mayRun({occurrence}: StepState, nowMs: number): boolean {
    const {isFormerStopped} = this;
    const startsUntilMs =
      this.claimedMs + RIGHT_TO_START_MS * SLOW_CLOCK_FACTOR;
    if (!isFormerStopped && nowMs < startsUntilMs) return true;
    if (this.executors.size === 0) return false;
    const actsUntilMs =
      this.claimedMs + (isFormerStopped ? 0 : RIGHT_TO_ACT_MS);
    const isOld = this.jobs.has(occurrence.job.id);
    const boundMs =
      isOld || !isFormerStopped ? actsUntilMs + LEASE_BOUND_MS : 0;
    if (nowMs > boundMs) return false;
    const {service} = occurrence.job.queue;
    for (const executor of this.executors) {
      if (!executor.isReached && executor.info.service === service) return true;
    }
    return false;
  }

  /** Whether runs on the executor may go on that were never listed here. */
  mayHold(executor: ExecutorState, nowMs: number): boolean {
    if (executor.isReached || !this.executors.has(executor)) return false;
    return nowMs - this.claimedMs <= RIGHT_TO_ACT_MS + LEASE_BOUND_MS;
  }
}
