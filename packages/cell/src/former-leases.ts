/** The leases that former owners gave to executors. */
import type {Clock} from '@dragonflyward/common';
import {EXECUTOR_LEASE_MS} from './executor-loop.js';
import type {ExecutorState} from './executor-state.js';
import {MAX_EXECUTOR_LEASE_MS} from './inventory-reader.js';
import type {OrdersDeadline} from './last-orders.js';
import type {Ownership} from './ownership.js';
import {REGISTRATION_MS} from './unconfirmed-executors.js';

/** The most by which an executor's clock is slower, as the platform states. */
const SLOW_CLOCK_FACTOR = 1.03;
/** Safety margin after the end of a former owner's leases, in ms. */
const FORMER_LEASE_SLACK_MS = 300;
/** The lease that an owner gives, measured on this owner's clock. */
export const LOCAL_LEASE_MS =
  EXECUTOR_LEASE_MS * SLOW_CLOCK_FACTOR + FORMER_LEASE_SLACK_MS;
/** The longest executor lease, measured on this owner's clock. */
const MAX_LOCAL_LEASE_MS =
  MAX_EXECUTOR_LEASE_MS * SLOW_CLOCK_FACTOR + FORMER_LEASE_SLACK_MS;
/** Within this time of a restart of an executor, its owner knows, in ms. */
const RESTART_NOTICE_MS = 3000;
/** The most by which the wall clocks of two machines differ, in ms. */
const MAX_WALL_SKEW_MS = 5000;
/** Leases that are due to the restart of an executor have expired by then. */
const RESTART_LEASE_MS =
  RESTART_NOTICE_MS + MAX_LOCAL_LEASE_MS + MAX_WALL_SKEW_MS;
/** After an outage, the store lists executors again within this time, in ms. */
const RELISTING_MS = 3000;

/** The takeover from a former owner. */
export interface Takeover {
  /** When this owner claimed the cell, on its monotonic clock. */
  readonly claimedMs: number;
  readonly ownership: Ownership;
  readonly clock: Clock;
  /** When the newest read of the executors' records was sent. */
  readonly executorsReadMs: () => number;
}

/** Computes by when the leases that former owners gave have expired. */
export class FormerLeases {
  /** Since when those are not listed that the store did not list at first. */
  private readonly unlistedMs = new Map<ExecutorState, number>();

  constructor(private readonly takeover: Takeover) {}

  /** Adds an executor that a former owner has used. */
  addExecutor(executor: ExecutorState): void {
    if (executor.isListed) return;
    const nowMs = this.takeover.clock.monotonicMs();
    const {unlistedMs} = this.formerOrders(executor);
    this.unlistedMs.set(executor, Math.min(nowMs, unlistedMs));
  }

  /** How long the executor has not been listed, in ms; 0 if it is. */
  unlistedForMs(executor: ExecutorState, nowMs: number): number {
    if (executor.isListed) return 0;
    return nowMs - (this.unlistedMs.get(executor) ?? nowMs);
  }

  /** The tasks that may run there, as told; undefined if any task may. */
  toldRuns(executor: ExecutorState): readonly string[] | undefined {
    return this.formerOrders(executor).runs;
  }

  /** By when the leases have expired of an executor that has not restarted. */
  usuallyUntilMs(executor: ExecutorState): number {
    return this.formerOrders(executor).untilMs + LOCAL_LEASE_MS;
  }

  /** By when all leases that former owners gave there have expired. */
  untilMs(executor: ExecutorState, nowMs: number): number {
    return Math.max(
      this.usuallyUntilMs(executor),
      this.restartLeaseUntilMs(executor, nowMs),
    );
  }

  /**
   * How long these leases last on an executor that has just answered, in ms on
   * its clock. It accepts no more orders of former owners.
   */
  leftOnAnswerMs(executor: ExecutorState, nowMs: number): number {
    const {bornMs} = executor;
    const ageMs = this.takeover.clock.wallMs() - bornMs;
    if (bornMs === 0 || ageMs <= RESTART_LEASE_MS) return MAX_EXECUTOR_LEASE_MS;
    const leftMs = this.usuallyUntilMs(executor) - nowMs;
    return Math.min(EXECUTOR_LEASE_MS, Math.max(0, leftMs));
  }

  /**
   * When an order with a time of the clock before a restart, whose lease is the
   * longest one, counts no more; -Infinity if the executor has not restarted
   * so late.
   */
  private restartLeaseUntilMs(executor: ExecutorState, nowMs: number): number {
    const {clock, executorsReadMs} = this.takeover;
    const {untilMs, wasReached} = this.formerOrders(executor);
    const latestMs = untilMs + MAX_LOCAL_LEASE_MS;
    if (nowMs > latestMs) return -Infinity;
    if (executorsReadMs() < untilMs + REGISTRATION_MS) return latestMs;
    if (wasReached && !executor.isListed) return -Infinity;
    const unlistedMs = this.unlistedMs.get(executor);
    const bornMs = this.listedBornMs(executor);
    if (unlistedMs !== undefined && !executor.isListed && bornMs === 0) {
      if (executorsReadMs() < unlistedMs + RELISTING_MS) return latestMs;
      return Math.min(latestMs, unlistedMs + MAX_LOCAL_LEASE_MS);
    }
    const isNew = bornMs === 0 || clock.wallMs() - bornMs <= RESTART_LEASE_MS;
    return isNew ? latestMs : -Infinity;
  }

  /** Its start in the last list that showed it to an owner; 0 if none did. */
  listedBornMs(executor: ExecutorState): number {
    const {info, isListed} = executor;
    if (isListed || !this.unlistedMs.has(executor)) return info.bornMs;
    return this.formerOrders(executor).bornMs;
  }

  private formerOrders({info}: ExecutorState): OrdersDeadline {
    return this.takeover.ownership.formerOrders(info.id);
  }
}
