/** The leases that former owners gave to executors. */
import {EXECUTOR_LEASE_MS} from './executor-loop.js';
import type {ExecutorState} from './executor-state.js';
import type {Ownership} from './ownership.js';

/** The most by which an executor's clock is slower, as the platform states. */
const SLOW_CLOCK_FACTOR = 1.03;
/** Safety margin after the end of a former owner's leases, in ms. */
const FORMER_LEASE_SLACK_MS = 300;
/** The lease that an owner gives, measured on this owner's clock. */
export const LOCAL_LEASE_MS =
  EXECUTOR_LEASE_MS * SLOW_CLOCK_FACTOR + FORMER_LEASE_SLACK_MS;

/** Computes by when the leases that former owners gave have expired. */
export class FormerLeases {
  constructor(private readonly ownership: Pick<Ownership, 'formerOrders'>) {}

  /** The tasks that may run there, as told; undefined if any task may. */
  toldRuns({info}: ExecutorState): readonly string[] | undefined {
    return this.ownership.formerOrders(info.id).runs;
  }

  /** By when all leases that former owners gave there have expired. */
  untilMs({info}: ExecutorState): number {
    return this.ownership.formerOrders(info.id).untilMs + LOCAL_LEASE_MS;
  }

  /**
   * How long these leases last on an executor that has just answered, in ms on
   * its clock. It accepts no more orders of former owners.
   */
  leftOnAnswerMs(executor: ExecutorState, nowMs: number): number {
    const leftMs = this.untilMs(executor) - nowMs;
    return Math.min(EXECUTOR_LEASE_MS, Math.max(0, leftMs));
  }
}
