/** What an owner that hands over or releases the cell tells of executors. */
import {describeAnswering} from './answering-executors.js';
import type {CellState} from './cell-state.js';
import type {FormerOwnerRuns} from './former-owner-runs.js';
import {
  ordersNotice,
  type NamedOrders,
  type OrdersNotice,
} from './last-orders.js';

/** The most tasks that are named in one handover or release. */
const MAX_NAMED_TASKS = 500;

type Executors = Pick<CellState, 'executors'>;

/**
 * Describes the last orders of an owner that has stopped just now, and which
 * tasks may run on executors that do not answer it. An owner in office may
 * start others there and must not tell.
 *
 * @example
 * const notice = stopNotice(silent, state, formerOwnerRuns, nowMs);
 */
export function stopNotice(
  silent: readonly NamedOrders[],
  state: Executors,
  formerOwnerRuns: Pick<FormerOwnerRuns, 'describeRuns'>,
  nowMs: number,
): OrdersNotice {
  const named = addRuns(silent, state, formerOwnerRuns);
  return ordersNotice(named, describeAnswering(state, formerOwnerRuns, nowMs));
}

/** Adds the tasks that may run on each executor, as far as they are known. */
function addRuns(
  named: readonly NamedOrders[],
  {executors}: Executors,
  formerOwnerRuns: Pick<FormerOwnerRuns, 'describeRuns'>,
): readonly NamedOrders[] {
  let count = 0;
  return named.map(orders => {
    const executor = executors.get(orders.id);
    if (executor === undefined) return orders;
    const runs = formerOwnerRuns.describeRuns(executor);
    if (runs === null || count + runs.length > MAX_NAMED_TASKS) return orders;
    count += runs.length;
    return {...orders, runs};
  });
}
