/** Cell ownership: claims and heartbeats in the store, each with a term. */
import type {Clock} from '@dragonflyward/common';
import {encode} from 'cbor-x';
import PQueue from 'p-queue';
import {LEASES} from './claim-bounds.js';
import {endOwnersOf, FormerOwners, type FormerOwner} from './former-owners.js';
import {
  InheritedOrders,
  type LastOrders,
  type NamedOrders,
  type OrdersDeadline,
  type OrdersNotice,
} from './last-orders.js';
import type {HandoverNotice} from './messages.js';
import {chooseHeld, OrderHolds, type HeldOrders} from './order-holds.js';
import {decodeOwner} from './owner-record-checks.js';
import {OWNER_TOPIC} from './records.js';
import {StoreError, type Store} from './store.js';

/** Interval of an owner's heartbeats in the store, in ms. */
export const OWNER_HEARTBEAT_MS = 500;
/** The owner's lease on the cell: with an older heartbeat it stops acting. */
export const OWNER_LEASE_MS = 8000;

/** Assumed delay between writing a handover and receiving its notice, in ms. */
const MAX_HANDOVER_AGE_MS = 2000;
/** A former owner of which an earlier version does not say when it stops. */
const UNKNOWN_OWNER: FormerOwner = {
  vm: '',
  incarnation: 0,
  ...LEASES,
};
const OWNER_KEY = 'cell';
const HEARTBEAT_TIMEOUT_MS = 1000;

/** Address of the process that owns the cell. */
export interface OwnerAddress {
  readonly vm: string;
  readonly ip: string;
  readonly port: number;
  /** Identifies one run of the process; changes when it restarts. */
  readonly incarnation: number;
}

/** Copies the address fields only. */
export function toAddress(from: OwnerAddress): OwnerAddress {
  const {vm, ip, port, incarnation} = from;
  return {vm, ip, port, incarnation};
}

/** A record of the owner topic. */
export interface OwnerRecord extends OwnerAddress {
  readonly term: number;
  /** Whether the owner has released the cell and stopped acting. */
  readonly isReleased: boolean;
  /** Whether all owners of earlier terms had surely stopped acting. */
  readonly areFormerStopped?: boolean;
  /** Those that may not have; missing in records of earlier versions. */
  readonly formerOwners?: readonly FormerOwner[];
  /**
   * Set by a release or a handover. They are the last orders unless a successor
   * has acted since.
   */
  readonly orders?: OrdersNotice;
  /**
   * The last orders to executors that do not answer the owner. It gives them
   * none until a record that does not name them is confirmed. Missing in
   * records of earlier versions, of releases and of handovers: the owner may
   * give orders to all.
   */
  readonly heldOrders?: readonly NamedOrders[];
  /**
   * The last orders to all other executors. The owner gives no orders at all
   * until a record without this field is confirmed. Missing in records of an
   * owner that may act, and of earlier versions.
   */
  readonly heldOthers?: LastOrders;
}

/** The newest record and the offset at which a claim must be appended. */
export interface OwnerSnapshot {
  readonly record: OwnerRecord | null;
  readonly endOffset: number;
  /** When the answer arrived, on the reader's monotonic clock. */
  readonly readMs: number;
  /**
   * When the owner had told the reader that the record is stored, on the same
   * clock; Infinity or missing if it did not.
   */
  readonly toldMs?: number;
}

/**
 * By when the record of a snapshot was stored, if a claim shows that it is the
 * newest one.
 *
 * @example
 * const agoMs = clock.monotonicMs() - storedByMs(snapshot);
 */
export function storedByMs({readMs, toldMs = Infinity}: OwnerSnapshot): number {
  return Math.min(readMs, toldMs);
}

/**
 * Reads who owns the cell; see {@link decodeOwner} for records that are not
 * whole.
 *
 * @throws StoreError
 * @example
 * const {record} = await readOwner(store, clock);
 */
export async function readOwner(
  store: Store,
  clock: Clock,
): Promise<OwnerSnapshot> {
  const {records, endOffset} = await store.newest(OWNER_TOPIC);
  const readMs = clock.monotonicMs();
  const newest = records.find(({key}) => key === OWNER_KEY);
  if (newest === undefined) return {record: null, endOffset, readMs};
  const record = decodeOwner(newest.value, endOffset);
  return {record, endOffset, readMs};
}

/**
 * The owners before the one of the record that may still act.
 *
 * @example
 * const owners = earlierOwners(snapshot.record);
 */
export function earlierOwners({
  areFormerStopped,
  formerOwners,
}: OwnerRecord | HandoverNotice): readonly FormerOwner[] {
  if (formerOwners !== undefined) return formerOwners;
  return areFormerStopped === true ? [] : [UNKNOWN_OWNER];
}

/**
 * Appends only if the topic still ends at the given offset. A producer epoch
 * would not be enough for a claim: two claimants of one term would send the
 * same sequence number, and the store would treat the second append as a retry
 * of the first.
 *
 * @throws StoreError
 * @example
 * const endOffset = await appendOwnerRecord(store, record, at);
 */
export function appendOwnerRecord(
  store: Store,
  record: OwnerRecord,
  at: number,
): Promise<number> {
  const records = [{key: OWNER_KEY, value: encode(record)}];
  const timeoutMs = HEARTBEAT_TIMEOUT_MS;
  return store.append(OWNER_TOPIC, records, {at, timeoutMs});
}

/**
 * Takes the cell over from the sender of the notice.
 *
 * @example
 * const ownership = acceptOwnership(store, clock, self, notice);
 */
export function acceptOwnership(
  store: Store,
  clock: Clock,
  self: OwnerAddress,
  notice: HandoverNotice,
): Ownership {
  const {term, endOffset, areFormerStopped} = notice;
  const formerOwners = endOwnersOf(self.vm, earlierOwners(notice));
  const record = {
    ...toAddress(self),
    term,
    isReleased: false,
    areFormerStopped,
    formerOwners,
  };
  const nowMs = clock.monotonicMs();
  const lastWrite = {sentMs: nowMs - MAX_HANDOVER_AGE_MS, endOffset};
  const former = new FormerOwners(formerOwners, nowMs, clock);
  const orders =
    notice.orders === undefined
      ? null
      : new InheritedOrders(notice.orders, nowMs);
  return new Ownership(store, clock, record, lastWrite, {orders, former});
}

/** The owner's last successful write. */
interface LastWrite {
  /** When it was sent, on the owner's monotonic clock. */
  readonly sentMs: number;
  /** End of the owner topic unless another process claims the cell. */
  readonly endOffset: number;
}

/** What a new owner knows of former ones. */
interface Takeover {
  /** Their last orders, as far as they told; null if they did not. */
  readonly orders: InheritedOrders | null;
  readonly former: FormerOwners;
}

/** The owner's lease on the cell under one term. */
export class Ownership {
  private readonly record: OwnerRecord;
  private endOffset: number;
  private confirmedMs: number;
  private confirmedWallMs: number;
  private isLost = false;
  private readonly startedMs: number;
  private readonly formerOwners: FormerOwners;
  private readonly inheritedOrders: InheritedOrders | null;
  private readonly holds: OrderHolds;
  /** The last orders to executors that get none from this owner. */
  private heldExecutors: (() => readonly NamedOrders[]) | null = null;
  private isHolding: boolean;
  /** Called when the next record is confirmed. */
  private confirmationWaits: Array<() => void> = [];
  /** Serializes writes: each appends at the end offset of the one before. */
  private readonly writes = new PQueue({concurrency: 1});

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    record: OwnerRecord,
    {sentMs, endOffset}: LastWrite,
    {orders, former}: Takeover,
  ) {
    this.endOffset = endOffset;
    this.confirmedMs = sentMs;
    this.confirmedWallMs = clock.wallMs();
    this.startedMs = clock.monotonicMs();
    this.formerOwners = former;
    this.inheritedOrders = orders;
    const {heldOrders = [], heldOthers, ...own} = record;
    this.record = own;
    this.isHolding = heldOthers !== undefined;
    this.holds = new OrderHolds({
      executors: heldOrders,
      isAll: this.isHolding,
    });
  }

  /** Fencing token; executors refuse orders with a lower one. */
  get term(): number {
    return this.record.term;
  }

  /** The end of the owner topic after the newest record known to be stored. */
  get storedEndOffset(): number {
    return this.endOffset;
  }

  /** By when, on the monotonic clock, former owners have stopped acting. */
  get formerActUntilMs(): number {
    return Math.max(this.startedMs, this.formerOwners.actUntilMs);
  }

  /** By when, on the monotonic clock, former owners start nothing more. */
  get formerStartUntilMs(): number {
    return Math.max(this.startedMs, this.formerOwners.startUntilMs);
  }

  /** Whether all former owners have surely stopped acting. */
  get areFormerStopped(): boolean {
    return this.clock.monotonicMs() >= this.formerActUntilMs;
  }

  /** Records that a VM runs a new process; see {@link FormerOwners}. */
  recordProcess(address: OwnerAddress): boolean {
    return this.formerOwners.recordProcess(address);
  }

  /** The last orders of former owners to the executor. */
  formerOrders(executorId: string): OrdersDeadline {
    const stopped = this.stoppedOrders(executorId);
    const untilMs = this.formerOwners.ordersUntilMs(executorId);
    if (untilMs <= stopped.untilMs) return stopped;
    return {...stopped, untilMs};
  }

  /** The same without the owners that were not seen to stop. */
  stoppedOrders(executorId: string): OrdersDeadline {
    return this.inheritedOrders?.find(executorId) ?? {untilMs: this.startedMs};
  }

  /** What this owner knows of former ones, for the log. */
  describeTakeover(): Readonly<Record<string, unknown>> {
    const nowMs = this.clock.monotonicMs();
    return {
      areFormerStopped: this.areFormerStopped,
      formerActMs: Math.round(Math.max(0, this.formerActUntilMs - nowMs)),
      ...this.inheritedOrders?.summary,
    };
  }

  /** What the next owner has to know if this one has sent no orders. */
  describeFormerOrders(): OrdersNotice {
    const nowMs = this.clock.monotonicMs();
    if (this.inheritedOrders !== null) {
      return this.inheritedOrders.describe(nowMs);
    }
    const agoMs = nowMs - this.startedMs;
    return {executors: [], others: {agoMs}};
  }

  /** Whether the ownership has ended: released, handed over or superseded. */
  get isRevoked(): boolean {
    return this.isLost;
  }

  /**
   * Whether orders may be sent now. The wall clock is checked too, since the
   * monotonic clock stops while the machine is suspended.
   */
  mayAct(): boolean {
    return this.isConfirmedWithin(OWNER_LEASE_MS);
  }

  /** Whether the newest confirmed write was sent within the given time. */
  isConfirmedWithin(boundMs: number): boolean {
    if (this.isLost) return false;
    const monotonicMs = this.clock.monotonicMs() - this.confirmedMs;
    const wallMs = this.clock.wallMs() - this.confirmedWallMs;
    return monotonicMs < boundMs && wallMs < boundMs;
  }

  /**
   * Resolves when the next record is confirmed.
   *
   * @example
   * await Promise.race([ownership.nextConfirmation(), clock.sleep(500)]);
   */
  nextConfirmation(): Promise<void> {
    return new Promise(resolve => this.confirmationWaits.push(resolve));
  }

  /**
   * Lets this owner give orders, once a record is confirmed that says to which
   * executors it gives none. Until then it holds all if it has claimed the cell.
   *
   * @example
   * ownership.setHeldExecutors(() => named);
   * await ownership.beginOrders();
   */
  async beginOrders(): Promise<void> {
    if (!this.isHolding) return;
    this.isHolding = false;
    await this.renew();
  }

  /** Sets who describes the executors that get no orders, once known. */
  setHeldExecutors(describe: () => readonly NamedOrders[]): void {
    this.heldExecutors = describe;
  }

  /** Whether this owner has not begun to give orders. */
  get isHoldingAll(): boolean {
    return this.isHolding;
  }

  /** Whether a record may say that the executor gets no orders. */
  isHeld(executorId: string): boolean {
    return this.holds.isHeld(executorId);
  }

  /** Whether a record may say so of this executor alone. */
  isNamed(executorId: string): boolean {
    return this.holds.isNamed(executorId);
  }

  /** Ends the ownership at once, as when an executor saw a higher token. */
  revoke(): void {
    this.isLost = true;
  }

  /** Writes a heartbeat; failures other than a conflict have no effect. */
  async renew(): Promise<void> {
    await this.writes.add(() => this.writeHeartbeat());
  }

  /**
   * Makes another process the owner; the caller must have stopped acting.
   *
   * @param orders the last orders that this owner and former ones have sent
   * @returns the end of the owner topic, or -1 if it is not certain that the
   *     handover is stored
   */
  async handOver(
    successor: OwnerAddress,
    orders: OrdersNotice = this.describeFormerOrders(),
  ): Promise<number> {
    this.isLost = true;
    const term = this.record.term + 1;
    const {areFormerStopped} = this;
    const record = {
      ...toAddress(successor),
      term,
      isReleased: false,
      areFormerStopped,
    };
    await this.writes.onIdle();
    const formerOwners = this.formerOwners.describe();
    try {
      return await appendOwnerRecord(
        this.store,
        {...record, formerOwners, orders},
        this.endOffset,
      );
    } catch (err) {
      if (err instanceof StoreError) return -1;
      throw err;
    }
  }

  /** The notice to the successor, once the handover is stored. */
  handoverNotice(endOffset: number, orders: OrdersNotice): HandoverNotice {
    return {
      type: 'handover',
      term: this.record.term + 1,
      areFormerStopped: this.areFormerStopped,
      formerOwners: this.formerOwners.describe(),
      orders,
      endOffset,
    };
  }

  /**
   * Releases the cell; the caller must have stopped acting.
   *
   * @param orders the last orders that this owner and former ones have sent
   */
  async release(orders?: OrdersNotice): Promise<void> {
    this.isLost = true;
    const record = {
      ...this.record,
      heldOrders: [],
      isReleased: true,
      orders: orders ?? this.describeFormerOrders(),
    };
    await this.writes.add(() => this.write(record));
  }

  private async writeHeartbeat(): Promise<void> {
    // A record after a release or a handover would take it back.
    if (this.isLost) return;
    const held = this.describeHeld();
    this.holds.recordSent(held);
    const others = held.isAll
      ? {heldOthers: this.describeFormerOrders().others}
      : {};
    const heldOrders = held.executors;
    const isStored = await this.write({...this.record, heldOrders, ...others});
    if (isStored) this.holds.recordConfirmed(held);
  }

  private describeHeld(): HeldOrders {
    const isAll = this.isHolding;
    const former = this.describeFormerOrders().executors;
    const own = this.heldExecutors?.() ?? [];
    // Those that answered have had no order either, and the same bounds.
    if (isAll) return {executors: mergeNamed(former, own), isAll};
    const executors = this.heldExecutors === null ? chooseHeld(former) : own;
    return {executors, isAll};
  }

  /** Returns whether the record is surely stored. */
  private async write(record: OwnerRecord): Promise<boolean> {
    const sentMs = this.clock.monotonicMs();
    const sentWallMs = this.clock.wallMs();
    try {
      this.endOffset = await appendOwnerRecord(
        this.store,
        {
          ...record,
          areFormerStopped: this.areFormerStopped,
          formerOwners: this.formerOwners.describe(),
        },
        this.endOffset,
      );
      this.confirmedMs = sentMs;
      this.confirmedWallMs = sentWallMs;
      const waits = this.confirmationWaits;
      this.confirmationWaits = [];
      for (const resolve of waits) resolve();
      return true;
    } catch (err) {
      if (!(err instanceof StoreError)) throw err;
      if (err.failure === 'conflict') await this.resolveConflict();
      return false;
    }
  }

  /**
   * Finds out whether a conflict is due to another claim or to an append of
   * this owner whose answer was lost.
   */
  private async resolveConflict(): Promise<void> {
    try {
      const {record, endOffset} = await readOwner(this.store, this.clock);
      const {term, vm, incarnation} = this.record;
      const isOwn = record?.vm === vm && record.incarnation === incarnation;
      if (isOwn && record.term === term) this.endOffset = endOffset;
      else this.isLost = true;
    } catch (err) {
      // The next heartbeat reads again; without one the lease expires.
      if (!(err instanceof StoreError)) throw err;
    }
  }
}

function mergeNamed(
  former: readonly NamedOrders[],
  own: readonly NamedOrders[],
): readonly NamedOrders[] {
  const named = new Map(former.map(each => [each.id, each]));
  for (const each of own) named.set(each.id, {...named.get(each.id), ...each});
  return [...named.values()];
}
