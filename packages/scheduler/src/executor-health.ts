/** Tracks executors that are suspended after failures, or that drain. */
import type {Clock} from '@dragonflyward/common';

/** Number of consecutive failures that suspend an executor. */
const FAILURES_TO_SUSPEND = 5;
const MIN_SUSPENSION_MS = 1_000;
const MAX_SUSPENSION_MS = 30_000;
/** How long an executor counts as draining after it said so. */
const DRAINING_TTL_MS = 600_000;

interface FailureRun {
  readonly failures: number;
  readonly untilMs: number;
}

/** The health of executors, as their answers to requests show it. */
export class ExecutorHealth {
  private readonly failureRuns = new Map<string, FailureRun>();
  private readonly drainingUntilMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Records that the executor answered a request. */
  recordSuccess(executorId: string): void {
    this.failureRuns.delete(executorId);
  }

  /**
   * Records that the executor failed a request. Each further consecutive
   * failure doubles the suspension, up to its maximum.
   *
   * @returns whether this failure suspended the executor
   */
  recordFailure(executorId: string): boolean {
    const before = this.failureRuns.get(executorId);
    const failures = (before?.failures ?? 0) + 1;
    const excessFailures = failures - FAILURES_TO_SUSPEND;
    if (excessFailures < 0) {
      this.failureRuns.set(executorId, {failures, untilMs: -Infinity});
      return false;
    }
    const delayMs = Math.min(
      MAX_SUSPENSION_MS,
      MIN_SUSPENSION_MS * 2 ** excessFailures,
    );
    const untilMs = this.clock.monotonicMs() + delayMs;
    this.failureRuns.set(executorId, {failures, untilMs});
    return excessFailures === 0;
  }

  /** Whether the executor gets no work because it failed requests. */
  isSuspended(executorId: string): boolean {
    const run = this.failureRuns.get(executorId);
    return run !== undefined && run.untilMs > this.clock.monotonicMs();
  }

  /** Records that the executor said that it drains. */
  recordDraining(executorId: string): void {
    const untilMs = this.clock.monotonicMs() + DRAINING_TTL_MS;
    this.drainingUntilMs.set(executorId, untilMs);
  }

  /** Whether the executor said that it drains. */
  isDraining(executorId: string): boolean {
    const untilMs = this.drainingUntilMs.get(executorId);
    return untilMs !== undefined && untilMs > this.clock.monotonicMs();
  }

  /** Forgets executors that are no longer in the list of VMs. */
  retainOnly(listed: ReadonlyMap<string, unknown>): void {
    for (const id of this.failureRuns.keys()) {
      if (!listed.has(id)) this.failureRuns.delete(id);
    }
    for (const id of this.drainingUntilMs.keys()) {
      if (!listed.has(id)) this.drainingUntilMs.delete(id);
    }
  }
}
