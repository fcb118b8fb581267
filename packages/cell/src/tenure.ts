/** One VM's time as the owner under one term, and when it should end. */
import type {Clock} from '@dragonflyward/common';
import type {Member, Members} from './members.js';
import type {Ownership} from './ownership.js';
import {canActAtOnce, chooseSuccessor} from './successor.js';

/** An owner to which no VM is connected releases the cell after this, in ms. */
const ISOLATION_TIMEOUT_MS = 2000;
/** The cell moves to a VM that has this multiple of the owner's cores. */
const LARGER_VM_FACTOR = 1.5;
/** Time for which an owner acts before a larger VM is looked for, in ms. */
const MIN_ACTIVE_MS = 2500;

/** Why an owner leaves the cell, and to which VM; null for any. */
export interface Departure {
  /** The event that is logged. */
  readonly event: 'ownerHandsToLarger' | 'ownerIsolated';
  readonly fields: Readonly<Record<string, unknown>>;
  readonly successor: Member | null;
}

/** Dependencies of a tenure. */
export interface TenureDeps {
  readonly ownership: Ownership;
  readonly domain: string;
  /** Cores that the VM may use. */
  readonly cores: number;
  readonly members: Members;
  readonly clock: Clock;
}

/** Decides when the owner leaves the cell to another VM. */
export class Tenure {
  readonly ownership: Ownership;
  private activeSinceMs = Infinity;
  private lastPeerMs: number;
  private hasHadPeers = false;

  constructor(private readonly deps: TenureDeps) {
    this.ownership = deps.ownership;
    this.lastPeerMs = deps.clock.monotonicMs();
  }

  /** Whether the owner has loaded the state and acts. */
  get isActive(): boolean {
    return this.activeSinceMs < Infinity;
  }

  /** Records that the owner has loaded the state and acts. */
  recordActive(): void {
    this.activeSinceMs = this.deps.clock.monotonicMs();
  }

  /**
   * Returns why the owner should leave the cell now, or null; call it at short
   * intervals.
   *
   * @example
   * const departure = tenure.checkDeparture();
   */
  checkDeparture(): Departure | null {
    const nowMs = this.deps.clock.monotonicMs();
    if (this.deps.members.count > 0) {
      this.lastPeerMs = nowMs;
      this.hasHadPeers = true;
    }
    return this.departToLarger(nowMs) ?? this.departIsolated(nowMs);
  }

  /** An owner that still loads has sent no orders and can leave at once. */
  private departToLarger(nowMs: number): Departure | null {
    const isNew = nowMs - this.activeSinceMs <= MIN_ACTIVE_MS;
    if (this.isActive && isNew) return null;
    const {members, domain, cores: ownCores} = this.deps;
    const successor = chooseSuccessor(members.connected(), {domain, nowMs});
    if (successor === null || !canActAtOnce(successor, nowMs)) return null;
    const {address, cores} = successor;
    if (cores < ownCores * LARGER_VM_FACTOR) return null;
    const fields = {successor: address.vm, cores, isLoading: !this.isActive};
    return {event: 'ownerHandsToLarger', fields, successor};
  }

  /** While isolated, the cell is released so that a reachable VM can own it. */
  private departIsolated(nowMs: number): Departure | null {
    const aloneMs = Math.round(nowMs - this.lastPeerMs);
    if (!this.hasHadPeers || aloneMs < ISOLATION_TIMEOUT_MS) return null;
    return {event: 'ownerIsolated', fields: {aloneMs}, successor: null};
  }
}
