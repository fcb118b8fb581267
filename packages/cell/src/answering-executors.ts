/** The executors that answer an owner, for the next one. */
import type {CellState} from './cell-state.js';
import {leaseLeftMs, type ExecutorState} from './executor-state.js';
import {LOCAL_LEASE_MS} from './former-leases.js';
import type {FormerOwnerRuns} from './former-owner-runs.js';
import {CLOCK_RATE_FACTOR} from './former-owners.js';
import type {NamedOrders} from './last-orders.js';

/** An executor is named if the next owner waits that much less, in ms. */
const MIN_GAIN_MS = 250;

/**
 * Describes the last orders to executors that answer, those without runs first.
 * One that is lost just before a handover has missed no renewal yet, and one
 * without runs gets none.
 *
 * @example
 * const named = describeAnswering(state, formerOwnerRuns, nowMs);
 */
export function describeAnswering(
  {executors}: Pick<CellState, 'executors'>,
  formerOwnerRuns: Pick<FormerOwnerRuns, 'describeRuns'>,
  nowMs: number,
): readonly NamedOrders[] {
  const idle: NamedOrders[] = [];
  const busy: NamedOrders[] = [];
  for (const executor of executors.values()) {
    const {info, isReached, missedRenewals, clockMs} = executor;
    // Without its clock, the end of its leases is not known.
    if (!isReached || missedRenewals > 0 || Number.isNaN(clockMs)) continue;
    const {id} = info;
    const runs = formerOwnerRuns.describeRuns(executor);
    const agoMs = lastOrderAgoMs(executor, nowMs);
    // An idle executor has not been silent since its last order.
    if (runs?.length === 0) idle.push({id, agoMs: 0, runs});
    else if (runs !== null && agoMs >= MIN_GAIN_MS) busy.push({id, agoMs});
  }
  return [...idle, ...busy.sort((a, b) => b.agoMs - a.agoMs)];
}

function lastOrderAgoMs(executor: ExecutorState, nowMs: number): number {
  const leftMs = leaseLeftMs(executor, nowMs);
  return LOCAL_LEASE_MS - leftMs * CLOCK_RATE_FACTOR;
}
