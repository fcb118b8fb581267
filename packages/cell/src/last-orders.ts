/** What an owner that stops tells the next one about its executors. */
import {stretchTime} from './former-owners.js';

/** The most executors that are named in one handover or release. */
const MAX_NAMED_EXECUTORS = 500;

/** The last orders that owners can have sent; times count to the writing. */
export interface LastOrders {
  /** Time since the last order, in ms; negative if some may follow. */
  readonly agoMs: number;
  /**
   * Names of the tasks that may run there. Missing if any task may, also in
   * notices of earlier versions.
   */
  readonly runs?: readonly string[];
}

/** The last orders to one executor. */
export interface NamedOrders extends LastOrders {
  readonly id: string;
}

/** The last orders to all executors of the cell. */
export interface OrdersNotice {
  readonly executors: readonly NamedOrders[];
  /** For executors that are not named. */
  readonly others: LastOrders;
}

/** The last orders, on the clock of the VM that was told of them. */
export interface OrdersDeadline {
  /** When the last order was sent at the latest. */
  readonly untilMs: number;
  /** Names of the tasks that may run there; missing if any task may. */
  readonly runs?: readonly string[];
}

/** Orders of an owner that stops now and knows all that it does not name. */
export const JUST_NOW: LastOrders = {agoMs: 0};

/**
 * Describes the last orders of an owner that has stopped just now.
 *
 * @param executors those that do not answer, or whose leases last longer than
 *     an order gives
 * @param answering those that answer, which need not be named, the most
 *     important ones first
 */
export function ordersNotice(
  executors: readonly NamedOrders[],
  answering: readonly NamedOrders[] = [],
): OrdersNotice {
  if (executors.length <= MAX_NAMED_EXECUTORS) {
    const all = [...executors, ...answering].slice(0, MAX_NAMED_EXECUTORS);
    return {executors: all, others: JUST_NOW};
  }
  // Those that have been waited for longest gain most by being named.
  const earliestFirst = [...executors].sort((a, b) => b.agoMs - a.agoMs);
  const unnamed = earliestFirst.slice(MAX_NAMED_EXECUTORS);
  const agoMs = Math.min(0, ...unnamed.map(each => each.agoMs));
  return {
    executors: earliestFirst.slice(0, MAX_NAMED_EXECUTORS),
    others: {agoMs},
  };
}

/** The orders of former owners, as the last one told this one. */
export class InheritedOrders {
  private readonly named: ReadonlyMap<string, NamedOrders>;

  /**
   * @param readMs when the notice was read, on this VM's clock
   */
  constructor(
    private readonly notice: OrdersNotice,
    private readonly readMs: number,
  ) {
    this.named = new Map(notice.executors.map(each => [each.id, each]));
  }

  /** How much was told, for the log. */
  get summary(): Readonly<Record<string, unknown>> {
    return {namedExecutors: this.notice.executors.length};
  }

  /** The last orders of former owners to the executor. */
  find(id: string): OrdersDeadline {
    const orders = this.named.get(id) ?? this.notice.others;
    const {agoMs, runs} = orders;
    return {
      untilMs: this.toLatestMs(agoMs),
      ...(runs === undefined ? {} : {runs}),
    };
  }

  /** The same notice for the next owner; this one has sent no orders. */
  describe(nowMs: number): OrdersNotice {
    const age = <T extends LastOrders>(orders: T): T => ({
      ...orders,
      agoMs: nowMs - this.toLatestMs(orders.agoMs),
    });
    return {
      executors: this.notice.executors.map(age),
      others: age(this.notice.others),
    };
  }

  private toLatestMs(agoMs: number): number {
    return this.readMs + stretchTime(-agoMs);
  }
}
