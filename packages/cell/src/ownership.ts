/** Who owns the cell: claims and heartbeats in the store, each with a term. */
import type {Clock} from '@dragonflyward/common';
import {decode, encode} from 'cbor-x';
import PQueue from 'p-queue';
import {OWNER_TOPIC} from './records.js';
import {StoreError, type Store} from './store.js';

/** How often an owner writes that it is alive, in ms. */
export const OWNER_HEARTBEAT_MS = 500;
/** An owner whose newest heartbeat is older stops acting, in ms. */
export const RIGHT_TO_ACT_MS = 8000;

/**
 * An owner whose newest heartbeat is older starts nothing, unless every VM is
 * connected to it: a VM that claims the cell would have told it. In ms.
 */
export const RIGHT_TO_START_MS = 800;

const OWNER_KEY = 'cell';
const HEARTBEAT_TIMEOUT_MS = 1000;

/** Where the process that owns the cell is. */
export interface OwnerAddress {
  readonly vm: string;
  readonly ip: string;
  readonly port: number;
  /** Which run of the process; a new run has a new one. */
  readonly incarnation: number;
}

/** Only the address, of what holds one. */
export function toAddress(from: OwnerAddress): OwnerAddress {
  const {vm, ip, port, incarnation} = from;
  return {vm, ip, port, incarnation};
}

/** The newest record of the owner's topic. */
export interface OwnerRecord extends OwnerAddress {
  readonly term: number;
  /** Gave the cell up and acts no more. */
  readonly isReleased: boolean;
}

/** The newest record and the place at which a claim has to be appended. */
export interface OwnerReading {
  readonly record: OwnerRecord | null;
  readonly endOffset: number;
}

/**
 * Reads who owns the cell.
 *
 * @throws StoreError
 * @example
 * const {record} = await readOwner(store);
 */
export async function readOwner(store: Store): Promise<OwnerReading> {
  const {records, endOffset} = await store.newest(OWNER_TOPIC);
  const newest = records.find(({key}) => key === OWNER_KEY);
  if (newest === undefined) return {record: null, endOffset};
  return {record: decode(newest.value as Buffer) as OwnerRecord, endOffset};
}

/**
 * Claims the cell if nothing was written since the reading.
 *
 * @returns the claimed ownership, or null where another writer was first
 * @throws StoreError where it is not known whether the claim took effect
 * @example
 * const ownership = await claimCell(store, clock, self, reading);
 */
export async function claimCell(
  store: Store,
  clock: Clock,
  self: OwnerAddress,
  reading: OwnerReading,
): Promise<Ownership | null> {
  const term = (reading.record?.term ?? 0) + 1;
  const record: OwnerRecord = {...self, term, isReleased: false};
  const sentMs = clock.monotonicMs();
  try {
    const endOffset = await appendOwner(store, record, reading.endOffset);
    return new Ownership(store, clock, record, {sentMs, endOffset});
  } catch (err) {
    if (!(err instanceof StoreError) || err.failure !== 'conflict') throw err;
    return null;
  }
}

/**
 * Appends only if nobody has written since. A producer's epoch would not do
 * for a claim: two claimants of one term would send the same sequence number,
 * and the store would take the second append for a repeat of the first.
 */
function appendOwner(
  store: Store,
  record: OwnerRecord,
  at: number,
): Promise<number> {
  const records = [{key: OWNER_KEY, value: encode(record)}];
  const timeoutMs = HEARTBEAT_TIMEOUT_MS;
  return store.append(OWNER_TOPIC, records, {at, timeoutMs});
}

/** What an owner's newest write has shown. */
interface Proof {
  /** When it was sent, on the owner's steady clock. */
  readonly sentMs: number;
  /** Where the owner's topic ends unless another one claims the cell. */
  readonly endOffset: number;
}

/** The right to act for the cell under one term. */
export class Ownership {
  private endOffset: number;
  private provenMs: number;
  private provenWallMs: number;
  private isLost = false;
  /** One write at a time: each follows the one before. */
  private readonly writes = new PQueue({concurrency: 1});

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly record: OwnerRecord,
    {sentMs, endOffset}: Proof,
  ) {
    this.endOffset = endOffset;
    this.provenMs = sentMs;
    this.provenWallMs = clock.wallMs();
  }

  /** The number of the ownership; executors refuse orders of lower ones. */
  get term(): number {
    return this.record.term;
  }

  /** Whether another process owns the cell now. */
  get isSuperseded(): boolean {
    return this.isLost;
  }

  /**
   * Whether orders may be sent now. The wall clock counts too, since the
   * steady clock stands still while the machine is suspended.
   */
  mayAct(): boolean {
    return this.isProvenWithin(RIGHT_TO_ACT_MS);
  }

  /** Whether the newest proof of the right is not older, in ms. */
  isProvenWithin(boundMs: number): boolean {
    if (this.isLost) return false;
    const steadyMs = this.clock.monotonicMs() - this.provenMs;
    const wallMs = this.clock.wallMs() - this.provenWallMs;
    return steadyMs < boundMs && wallMs < boundMs;
  }

  /** Ends the right at once, as when an executor has seen a higher token. */
  lose(): void {
    this.isLost = true;
  }

  /** Writes a heartbeat; a failure other than a conflict changes nothing. */
  async beat(): Promise<void> {
    await this.writes.add(() => this.write(this.record));
  }

  /**
   * Makes another process the owner; the caller has stopped acting before.
   *
   * @returns where the owner's topic ends, or -1 where it is not known that
   *     the handover is stored
   */
  async handOver(successor: OwnerAddress): Promise<number> {
    this.isLost = true;
    const term = this.record.term + 1;
    const record = {...toAddress(successor), term, isReleased: false};
    await this.writes.onIdle();
    try {
      return await appendOwner(this.store, record, this.endOffset);
    } catch (err) {
      if (err instanceof StoreError) return -1;
      throw err;
    }
  }

  /** Gives the cell up; the caller has stopped acting before. */
  async release(): Promise<void> {
    this.isLost = true;
    const record = {...this.record, isReleased: true};
    await this.writes.add(() => this.write(record));
  }

  private async write(record: OwnerRecord): Promise<void> {
    const sentMs = this.clock.monotonicMs();
    const sentWallMs = this.clock.wallMs();
    try {
      this.endOffset = await appendOwner(this.store, record, this.endOffset);
      this.provenMs = sentMs;
      this.provenWallMs = sentWallMs;
    } catch (err) {
      if (!(err instanceof StoreError)) throw err;
      if (err.failure === 'conflict') await this.look();
    }
  }

  /** Another claim, or an append of its own whose answer was lost. */
  private async look(): Promise<void> {
    try {
      const {record, endOffset} = await readOwner(this.store);
      const {term, vm, incarnation} = this.record;
      const isOwn = record?.vm === vm && record.incarnation === incarnation;
      if (isOwn && record.term === term) this.endOffset = endOffset;
      else this.isLost = true;
    } catch (err) {
      // The next heartbeat looks again; until then the right runs out.
      if (!(err instanceof StoreError)) throw err;
    }
  }
}
