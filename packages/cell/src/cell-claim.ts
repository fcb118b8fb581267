/** Claims of the cell, and what they tell of the owner before. */
import type {Clock} from '@dragonflyward/common';
import {LEASES, supersededLeases, type Leases} from './claim-bounds.js';
import {FormerOwners, type FormerOwner} from './former-owners.js';
import {InheritedOrders, type OrdersNotice} from './last-orders.js';
import {
  appendOwnerRecord,
  earlierOwners,
  Ownership,
  storedByMs,
  type OwnerAddress,
  type OwnerRecord,
  type OwnerSnapshot,
} from './ownership.js';
import {StoreError, type Store} from './store.js';

/** What the claimant knows of its own past. */
export interface ClaimOptions {
  /** The last term in which this process may have acted; Infinity if missing. */
  readonly actedTerm?: number;
  /**
   * When it was last connected to a VM, on its monotonic clock; the time now if
   * it is, -Infinity if it was not.
   */
  readonly connectedMs?: (vm: string) => number;
}

/**
 * Claims the cell if nothing was written since the snapshot.
 *
 * @returns the claimed ownership, or null if another writer was first
 * @throws StoreError if it is unknown whether the claim took effect
 * @example
 * const ownership = await claimCell(store, clock, self, snapshot);
 */
export async function claimCell(
  store: Store,
  clock: Clock,
  self: OwnerAddress,
  snapshot: OwnerSnapshot,
  {actedTerm = Infinity, connectedMs = () => -Infinity}: ClaimOptions = {},
): Promise<Ownership | null> {
  const term = (snapshot.record?.term ?? 0) + 1;
  // Whoever reads it does not know that this VM has told anyone of the claim.
  const formerOwners = [
    ...earlierAtClaim(clock, self, snapshot).describe(),
    ...supersededOwner(snapshot.record, self, LEASES),
  ];
  const areFormerStopped = formerOwners.every(({actMs}) => actMs <= 0);
  const orders = ordersToPassOn(clock, self, snapshot, actedTerm);
  const record = {
    ...self,
    term,
    isReleased: false,
    areFormerStopped,
    formerOwners,
    heldOrders: orders.executors,
    heldOthers: orders.others,
  };
  const sentMs = clock.monotonicMs();
  try {
    const endOffset = await appendOwnerRecord(
      store,
      record,
      snapshot.endOffset,
    );
    const lastWrite = {sentMs, endOffset};
    const former = formerAtClaim(clock, self, snapshot, connectedMs);
    return new Ownership(store, clock, record, lastWrite, {
      orders: ordersAtClaim(clock, self, snapshot, actedTerm),
      former,
    });
  } catch (err) {
    if (!(err instanceof StoreError) || err.failure !== 'conflict') throw err;
    return null;
  }
}

/** What the next owner has to know if this one is killed at once. */
function ordersToPassOn(
  clock: Clock,
  self: OwnerAddress,
  snapshot: OwnerSnapshot,
  actedTerm: number,
): OrdersNotice {
  const orders = ordersAtClaim(clock, self, snapshot, actedTerm);
  return orders?.describe(clock.monotonicMs()) ?? NOT_TOLD;
}

/** What is known at a claim if former owners did not tell. */
const NOT_TOLD: OrdersNotice = {
  executors: [],
  others: {agoMs: 0},
};

/** The last orders of former owners, or null if they do not tell. */
function ordersAtClaim(
  clock: Clock,
  self: OwnerAddress,
  snapshot: OwnerSnapshot,
  actedTerm: number,
): InheritedOrders | null {
  const nowMs = clock.monotonicMs();
  const last = lastOrdersOf(snapshot.record, self, actedTerm);
  if (last !== null) return new InheritedOrders(last, nowMs);
  return heldOrdersOf(snapshot, nowMs);
}

/**
 * The last orders to executors to which the owner of the record gives none. All
 * others may have had orders until now, unless it has given none at all.
 */
function heldOrdersOf(
  snapshot: OwnerSnapshot,
  nowMs: number,
): InheritedOrders | null {
  const storedMs = storedByMs(snapshot);
  const {heldOrders: executors = [], heldOthers} = snapshot.record ?? {};
  if (heldOthers !== undefined) {
    return new InheritedOrders({executors, others: heldOthers}, storedMs);
  }
  if (executors.length === 0) return null;
  const agoMs = storedMs - nowMs;
  return new InheritedOrders({executors, others: {agoMs}}, storedMs);
}

/** The orders of a record after which nobody has acted, or null. */
function lastOrdersOf(
  record: OwnerRecord | null,
  {vm, incarnation}: OwnerAddress,
  actedTerm: number,
): OrdersNotice | null {
  if (record === null) return null;
  const isOwn = record.vm === vm && record.incarnation === incarnation;
  // The notice of a handover to this process was lost or has not arrived.
  const isUnused = isOwn && record.term > actedTerm;
  return record.isReleased || isUnused ? (record.orders ?? null) : null;
}

/** The former owners, once the claim is confirmed. */
function formerAtClaim(
  clock: Clock,
  self: OwnerAddress,
  snapshot: OwnerSnapshot,
  connectedMs: (vm: string) => number,
): FormerOwners {
  const {record, readMs, toldMs = Infinity} = snapshot;
  const nowMs = clock.monotonicMs();
  const leases = supersededLeases({
    readAgoMs: nowMs - readMs,
    toldAgoMs: Math.max(0, nowMs - toldMs),
    connectedAgoMs: nowMs - connectedMs(record?.vm ?? ''),
  });
  const former = earlierAtClaim(clock, self, snapshot);
  former.add(supersededOwner(record, self, leases), nowMs);
  return former;
}

/**
 * The owners before the one of the record. Their times began to count when it
 * was written. They count from the claim unless that owner told this VM of it:
 * from then on, the heartbeats of this VM tell them that they are superseded.
 */
function earlierAtClaim(
  clock: Clock,
  self: OwnerAddress,
  {record, toldMs = Infinity}: OwnerSnapshot,
): FormerOwners {
  const sinceMs = Math.min(clock.monotonicMs(), toldMs);
  const earlier = record === null ? [] : earlierOwners(record);
  const former = new FormerOwners(earlier, sinceMs, clock);
  former.endAll(self.vm);
  return former;
}

/** The owner of the record, unless it has stopped or could not act. */
function supersededOwner(
  record: OwnerRecord | null,
  self: OwnerAddress,
  leases: Leases,
): readonly FormerOwner[] {
  if (record === null || record.isReleased || record.vm === self.vm) return [];
  // One that holds all executors gives no order before the claim would fail.
  if (record.heldOthers !== undefined) return [];
  const {vm, incarnation, heldOrders = []} = record;
  const heldIds = heldOrders.map(({id}) => id);
  return [{vm, incarnation, ...leases, heldIds}];
}
