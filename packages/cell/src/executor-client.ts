/** Orders to executors and their answers. */
import type {RunOutcome} from './types.js';

/** A run in an executor's inventory. */
export interface ReportedRun {
  readonly task: string;
  readonly run: number;
  /** The newest checkpoint; empty if there is none. */
  readonly checkpoint: string;
  /** The processor share that the run may use, 0 to 100. */
  readonly percent: number;
  /** Tail latency of a service task in ms, else processor use in milli-CPU. */
  readonly usage: number;
}

/** A run that has ended; reported until its end is acknowledged. */
export interface EndedRun {
  /** Counts the ends since the executor started. */
  readonly number: number;
  readonly task: string;
  readonly run: number;
  readonly how: RunOutcome;
  readonly checkpoint: string;
}

/** An executor's answer to a lease renewal: its running and ended runs. */
export interface Inventory {
  readonly clockMs: number;
  readonly bornMs: number;
  readonly running: readonly ReportedRun[];
  readonly ended: readonly EndedRun[];
}

/** An order to start a run. */
export interface StartOrder {
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  /** When all runs on the executor end unless extended, on its clock. */
  readonly leaseUntilMs: number;
  /** Start time of the process that has that clock: no other one gets it. */
  readonly bornMs: number;
  /**
   * The least that this clock shows: a process whose clock shows less is another
   * one, which may have the same start time. NaN or missing if not known.
   */
  readonly leastClockMs?: number;
  readonly token: number;
  readonly checkpoint: string;
  readonly ticket: string;
}

/** An order to extend the lease and return the inventory. */
export interface RenewLeaseOrder {
  readonly token: number;
  readonly ackedThrough: number;
  /** Missing if the executor's clock is not yet known. */
  readonly leaseUntilMs?: number;
  /**
   * Start time of the process that gets the lease and the acknowledgement;
   * another one only returns its inventory. Missing for any process.
   */
  readonly bornMs?: number;
  /** The least that the clock of that process shows, as for a start. */
  readonly leastClockMs?: number;
  /** How long the executor may wait for a run to end before it answers. */
  readonly waitMs: number;
  /** Time after which the order counts as not answered. */
  readonly timeoutMs: number;
}

/** Why an order was not carried out. */
export type OrderFailure =
  /** The executor has seen a higher token. */
  | 'fenced'
  /** A run with the same or a higher number was stopped or has ended there. */
  | 'oldRun'
  /** The lease expired before the order arrived. */
  | 'late'
  | 'noRoom'
  | 'badTicket'
  /** The executor is unhealthy and did nothing. */
  | 'unhealthy'
  | 'badOrder'
  /** Another executor answered. */
  | 'otherLife'
  /** Another process of the executor answers, so the order was not sent. */
  | 'restarted'
  /** The owner may not give it any more, so it was not sent. */
  | 'notAllowed'
  /** Nobody answered in time to whom the order could be sent. */
  | 'notSent'
  /** No answer: the order may have been or may yet be carried out. */
  | 'unknown';

/** Answer to an order. */
export interface OrderReply {
  readonly failure: OrderFailure | null;
  /** The executor's clock; NaN if it sent none. */
  readonly clockMs: number;
  /** Whether its address refused the connection; missing for false. */
  readonly isRefused?: boolean;
}

/**
 * A client of one executor. An order that names a process has an effect on that
 * process only, however late it is carried out.
 */
export abstract class ExecutorClient {
  /**
   * Sends a start.
   *
   * @param mayStart whether the order may still be given, right before it is
   *     sent
   * @example
   * const reply = await client.start(order, () => owner.mayStart());
   */
  abstract start(
    order: StartOrder,
    mayStart: () => boolean,
  ): Promise<OrderReply>;
  abstract stop(task: string, run: number, token: number): Promise<OrderReply>;
  abstract limitCpu(
    task: string,
    run: number,
    percent: number,
    token: number,
  ): Promise<OrderReply>;
  abstract renewLease(order: RenewLeaseOrder): Promise<Inventory | OrderReply>;
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
   * @returns a ticket for each executor that may, or null if the call failed
   */
  abstract advise(
    step: string,
    executorIds: readonly string[],
    timeoutMs: number,
  ): Promise<readonly Ticket[] | null>;
}

/** Whether the answer to a lease renewal is an inventory. */
export function isInventory(reply: Inventory | OrderReply): reply is Inventory {
  return 'running' in reply;
}
