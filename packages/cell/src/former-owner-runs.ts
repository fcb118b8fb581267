/** Runs that a former owner may have started and that are not known here. */
import {MAX_EXECUTOR_LEASE_MS} from './inventory-reader.js';
import type {ExecutorState} from './executor-state.js';
import type {StepState, TaskState} from './job-state.js';
import {OWNER_LEASE_MS, START_LEASE_MS} from './ownership.js';

/** The most by which an executor's clock is slower, as the platform states. */
const SLOW_CLOCK_FACTOR = 1.03;
/** Safety margin after the end of a former owner's leases, in ms. */
const FORMER_LEASE_SLACK_MS = 300;
/** The longest executor lease, measured on this owner's clock. */
const MAX_LOCAL_LEASE_MS =
  MAX_EXECUTOR_LEASE_MS * SLOW_CLOCK_FACTOR + FORMER_LEASE_SLACK_MS;

/** The takeover from a former owner. */
export interface Takeover {
  /** When this owner claimed the cell, on its monotonic clock. */
  readonly claimedMs: number;
  /** Whether the former owner is known to have stopped. */
  readonly isFormerStopped: boolean;
  /** The lowest run number that this owner gives. */
  readonly firstRun: number;
}

/** Tracks executors and jobs from before this owner claimed the cell. */
export class FormerOwnerRuns {
  /** Executors that a former owner may have used and that have not answered. */
  private readonly executors = new Set<ExecutorState>();
  /** Jobs that may have been stored while a former owner could start tasks. */
  private readonly jobs = new Set<string>();
  /** A former owner starts nothing after this time. */
  private readonly startsUntilMs: number;
  /** All leases that a former owner has granted have expired by this time. */
  private readonly leasesUntilMs: number;

  constructor(private readonly takeover: Takeover) {
    const {claimedMs, isFormerStopped} = takeover;
    const startLeaseMs = START_LEASE_MS * SLOW_CLOCK_FACTOR;
    this.startsUntilMs = claimedMs + (isFormerStopped ? 0 : startLeaseMs);
    const ownerLeaseMs = isFormerStopped ? 0 : OWNER_LEASE_MS;
    this.leasesUntilMs = claimedMs + ownerLeaseMs + MAX_LOCAL_LEASE_MS;
  }

  /** Adds an executor that a former owner has used. */
  addExecutor(executor: ExecutorState): void {
    this.executors.add(executor);
  }

  /** Removes an executor that has reported its runs or is gone. */
  removeExecutor(executor: ExecutorState): void {
    this.executors.delete(executor);
  }

  /**
   * Adds a job unless it was stored after the last start of a former owner.
   *
   * @param freshMs all jobs stored before this time were known before this one
   */
  addJob(id: string, freshMs: number): void {
    if (freshMs < this.startsUntilMs) this.jobs.add(id);
  }

  /**
   * Whether an unknown run of the task may exist: on an executor that has not
   * answered yet, until all leases that a former owner can have granted there
   * have expired. While the former owner may still start tasks, any task may
   * run on an executor that has restarted and thus knows no fencing token.
   *
   * @example
   * if (formerOwnerRuns.mayHaveUnknownRuns(task, nowMs)) return;
   */
  mayHaveUnknownRuns(task: TaskState, nowMs: number): boolean {
    if (nowMs < this.startsUntilMs) return true;
    if (this.executors.size === 0 || nowMs > this.leasesUntilMs) return false;
    if (!this.mayHaveBeenStarted(task)) return false;
    const {service} = task.step.occurrence.job.queue;
    for (const executor of this.executors) {
      if (!executor.isReached && executor.info.service === service) return true;
    }
    return false;
  }

  /** Whether the executor may have runs that it has not reported yet. */
  mayHoldUnknownRuns(executor: ExecutorState, nowMs: number): boolean {
    if (executor.isReached || !this.executors.has(executor)) return false;
    return nowMs <= this.leasesUntilMs;
  }

  /** Whether a former owner may have started a run that is not known here. */
  private mayHaveBeenStarted(task: TaskState): boolean {
    const {step} = task;
    if (!this.jobs.has(step.occurrence.job.id)) return false;
    return !this.isAccountedFor(task) && !this.wasBlocked(step);
  }

  /**
   * Whether every run of the task is known: this owner has started it, or an
   * executor listed it when a former owner could start nothing any more. A
   * former owner starts a task only where no other run of it can exist.
   */
  private isAccountedFor({run, listedMs}: TaskState): boolean {
    return run >= this.takeover.firstRun || listedMs >= this.startsUntilMs;
  }

  /**
   * Whether a dependency of the step was still running when a former owner
   * could start nothing any more.
   */
  private wasBlocked({spec, occurrence}: StepState): boolean {
    return spec.after.some(i =>
      occurrence.steps[i]?.tasks.some(each => this.isAccountedFor(each)),
    );
  }
}
