/** Sets executors aside that fail what they are given, or that drain. */
import type {Clock} from '@dragonflyward/common';

/** Failures in a row after which an executor is set aside. */
const FAILURES_TO_SET_ASIDE = 5;
const SET_ASIDE_MIN_MS = 1_000;
const SET_ASIDE_MAX_MS = 30_000;
/** How long an executor's own word that it drains is kept. */
const DRAINING_KEPT_MS = 600_000;

interface FailureRun {
  readonly failures: number;
  readonly untilMs: number;
}

/** What is known of how executors fare. */
export class ExecutorHealth {
  private readonly runs = new Map<string, FailureRun>();
  private readonly drainingUntil = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Takes in that the executor answered. */
  addSuccess(executorId: string): void {
    this.runs.delete(executorId);
  }

  /**
   * Takes in that the executor failed a request.
   *
   * @returns whether this set the executor aside
   */
  addFailure(executorId: string): boolean {
    const before = this.runs.get(executorId);
    const failures = (before?.failures ?? 0) + 1;
    const over = failures - FAILURES_TO_SET_ASIDE;
    if (over < 0) {
      this.runs.set(executorId, {failures, untilMs: -Infinity});
      return false;
    }
    const delayMs = Math.min(SET_ASIDE_MAX_MS, SET_ASIDE_MIN_MS * 2 ** over);
    const untilMs = this.clock.monotonicMs() + delayMs;
    this.runs.set(executorId, {failures, untilMs});
    return over === 0;
  }

  /** Whether the executor gets no work because it failed what it had. */
  isSetAside(executorId: string): boolean {
    const run = this.runs.get(executorId);
    return run !== undefined && run.untilMs > this.clock.monotonicMs();
  }

  /** Takes in that the executor said that it drains. */
  addDraining(executorId: string): void {
    const untilMs = this.clock.monotonicMs() + DRAINING_KEPT_MS;
    this.drainingUntil.set(executorId, untilMs);
  }

  /** Whether the executor said that it drains. */
  isDraining(executorId: string): boolean {
    const untilMs = this.drainingUntil.get(executorId);
    return untilMs !== undefined && untilMs > this.clock.monotonicMs();
  }

  /** Forgets executors that are no longer in the list of VMs. */
  keepOnly(listed: ReadonlyMap<string, unknown>): void {
    for (const id of this.runs.keys()) {
      if (!listed.has(id)) this.runs.delete(id);
    }
    for (const id of this.drainingUntil.keys()) {
      if (!listed.has(id)) this.drainingUntil.delete(id);
    }
  }
}
