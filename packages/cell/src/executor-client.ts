/** What the cell orders of an executor. */
import type {RunEnd} from './types.js';

/** A run as the executor lists it. */
export interface ListedRun {
  readonly task: string;
  readonly run: number;
  /** The newest checkpoint; empty where there is none. */
  readonly checkpoint: string;
  /** The share of the processor that the run may use, 0 to 100. */
  readonly percent: number;
  /** Tail latency in ms of a service task, else processor use in milli. */
  readonly usage: number;
}

/** An end as the executor lists it until it is acknowledged. */
export interface ListedEnd {
  /** Grows by one with each end in one life of the executor. */
  readonly number: number;
  readonly task: string;
  readonly run: number;
  readonly how: RunEnd;
  readonly checkpoint: string;
}

/** All that an executor answers to a hold. */
export interface Inventory {
  readonly clockMs: number;
  readonly bornMs: number;
  readonly running: readonly ListedRun[];
  readonly ended: readonly ListedEnd[];
}

/** An order to start a run. */
export interface StartOrder {
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  /** When all runs there end unless extended, on the executor's clock. */
  readonly leaseUntilMs: number;
  readonly token: number;
  readonly checkpoint: string;
  readonly ticket: string;
}

/** An order to extend the lease and list everything. */
export interface HoldOrder {
  readonly token: number;
  readonly ackedThrough: number;
  /** Missing where the executor's clock is not known yet. */
  readonly leaseUntilMs?: number;
  /** How long the executor may wait for an end before it answers. */
  readonly waitMs: number;
  /** When the order counts as not answered. */
  readonly timeoutMs: number;
}

/** Why an executor did not do what it was told. */
export type OrderFailure =
  /** A higher token was seen there. */
  | 'fenced'
  /** A run that is not lower was stopped or ended there. */
  | 'oldRun'
  /** The lease had ended before the order arrived. */
  | 'late'
  | 'noRoom'
  | 'badTicket'
  /** The executor is unhealthy and did nothing. */
  | 'unhealthy'
  | 'badOrder'
  /** Another life of the executor, or another one, answered. */
  | 'otherLife'
  /** No answer: the order may be carried out, even later. */
  | 'unknown';

/** Answer to an order. */
export interface OrderReply {
  readonly failure: OrderFailure | null;
  /** The executor's clock; NaN where it gave none. */
  readonly clockMs: number;
}

/** A connection to one life of an executor. */
export abstract class ExecutorClient {
  abstract start(order: StartOrder): Promise<OrderReply>;
  abstract stop(task: string, run: number, token: number): Promise<OrderReply>;
  abstract pace(
    task: string,
    run: number,
    percent: number,
    token: number,
  ): Promise<OrderReply>;
  abstract hold(order: HoldOrder): Promise<Inventory | OrderReply>;
  abstract close(): void;
}

/** A permission to run a step on an executor. */
export interface Ticket {
  readonly executorId: string;
  readonly ticket: string;
}

/** The advice service. */
export abstract class AdviceClient {
  /**
   * Asks which of the executors may run the step.
   *
   * @returns a ticket for each that may, or null where the call failed
   */
  abstract advise(
    step: string,
    executorIds: readonly string[],
    timeoutMs: number,
  ): Promise<readonly Ticket[] | null>;
}

/** Tells an inventory from a failed hold. */
export function isInventory(reply: Inventory | OrderReply): reply is Inventory {
  return 'running' in reply;
}
