/** The executors that answer an owner, for the next one. */
import type {CellState} from './cell-state.js';
import {leaseLeftMs} from './executor-state.js';
import {LOCAL_LEASE_MS} from './former-leases.js';
import {CLOCK_RATE_FACTOR} from './former-owners.js';
import type {NamedOrders} from './last-orders.js';

/** An executor is named if the next owner waits that much less, in ms. */
const MIN_GAIN_MS = 250;

/**
 * Describes the last orders to executors that answer. One that is lost just
 * before a handover has missed no renewal yet, and one without runs gets none.
 *
 * @example
 * const named = describeAnswering(state, nowMs);
 */
export function describeAnswering(
  {executors}: Pick<CellState, 'executors'>,
  nowMs: number,
): readonly NamedOrders[] {
  const named: NamedOrders[] = [];
  for (const executor of executors.values()) {
    const {info, isReached, missedRenewals, clockMs} = executor;
    // Without its clock, the end of its leases is not known.
    if (!isReached || missedRenewals > 0 || Number.isNaN(clockMs)) continue;
    const leftMs = leaseLeftMs(executor, nowMs);
    const agoMs = LOCAL_LEASE_MS - leftMs * CLOCK_RATE_FACTOR;
    if (agoMs < MIN_GAIN_MS) continue;
    const {id, bornMs} = info;
    named.push({id, agoMs, unlistedForMs: 0, bornMs, wasReached: true});
  }
  return named;
}
