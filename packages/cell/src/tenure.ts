/** One VM's time as the owner under one term, and when it should end. */
import type {Clock} from '@dragonflyward/common';
import type {Member, Members} from './members.js';
import type {Ownership} from './ownership.js';
import {canActAtOnce, chooseSuccessor, mayOwn} from './successor.js';

/** An owner to which no VM is connected releases the cell after this, in ms. */
const ISOLATION_TIMEOUT_MS = 2000;
/** The cell moves to a VM that has this multiple of the owner's cores. */
const LARGER_VM_FACTOR = 1.5;
/**
 * Time without progress after which an owner gives its load up, in ms: the next
 * one can still renew the executors' leases.
 */
export const LOAD_STALL_MS = 3000;
/** The store is out if no heartbeat of this time has succeeded, in ms. */
const STORE_CHECK_MS = 1500;
/** Time for which an owner acts before a larger VM is looked for, in ms. */
const MIN_ACTIVE_MS = 2500;

/** An owner hands over if more than this share of its executors is silent. */
const MAX_SILENT_SHARE = 0.5;
/** Fewer silent executors say little of the owner. */
const MIN_SILENT_EXECUTORS = 4;
/** Time for which an owner acts before it blames its own VM for that, in ms. */
const MIN_ACTIVE_FOR_SILENCE_MS = 10_000;

/** How many of the executors with work do not answer the owner. */
export interface ExecutorSilence {
  readonly silent: number;
  readonly total: number;
}

/** Why an owner leaves the cell, and to which VM; null for any. */
export interface Departure {
  /** The event that is logged. */
  readonly event:
    | 'ownerHandsToLarger'
    | 'ownerIsolated'
    | 'ownerGivesUpLoad'
    | 'ownerUnanswered';
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
  /** When the load last made progress, on the monotonic clock. */
  readonly loadProgressMs: () => number;
  readonly executorSilence: () => ExecutorSilence;
}

/** Decides when the owner leaves the cell to another VM. */
export class Tenure {
  readonly ownership: Ownership;
  private activeSinceMs = Infinity;
  private lastPeerMs: number;
  private hasHadPeers = false;
  private readonly startedMs: number;
  /** Since when the load has made no progress although the store answers. */
  private stalledSinceMs: number;
  private progressMs = -Infinity;

  constructor(private readonly deps: TenureDeps) {
    this.ownership = deps.ownership;
    this.startedMs = deps.clock.monotonicMs();
    this.lastPeerMs = this.startedMs;
    this.stalledSinceMs = this.startedMs;
  }

  /** Whether the owner has loaded the state and acts. */
  get isActive(): boolean {
    return this.activeSinceMs < Infinity;
  }

  /** Whether it had time enough to load the state, and has not. */
  get hasFailedToLoad(): boolean {
    return !this.isActive && this.ageMs >= LOAD_STALL_MS;
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
    return (
      this.departToLarger(nowMs) ??
      this.departStalled(nowMs) ??
      this.departUnanswered(nowMs) ??
      this.departIsolated(nowMs)
    );
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

  /** Another VM may reach the store better; if none is connected, it stays. */
  private departStalled(nowMs: number): Departure | null {
    const {members, domain} = this.deps;
    const stalledMs = Math.round(this.updateStalledMs(nowMs));
    if (this.isActive || stalledMs < LOAD_STALL_MS) return null;
    if (![...members.connected()].some(mayOwn)) return null;
    const best = chooseSuccessor(members.connected(), {domain, nowMs});
    const isReady = best !== null && canActAtOnce(best, nowMs);
    const successor = isReady ? best : null;
    const fields = {
      loadingMs: Math.round(this.ageMs),
      stalledMs,
      successor: successor?.address.vm ?? '',
    };
    return {event: 'ownerGivesUpLoad', fields, successor};
  }

  /** While the store takes no heartbeats either, nobody could load. */
  private updateStalledMs(nowMs: number): number {
    const {ownership, loadProgressMs} = this.deps;
    const progressMs = loadProgressMs();
    const isStoreOut = !ownership.isConfirmedWithin(STORE_CHECK_MS);
    if (progressMs > this.progressMs || isStoreOut) this.stalledSinceMs = nowMs;
    this.progressMs = progressMs;
    return nowMs - this.stalledSinceMs;
  }

  private get ageMs(): number {
    return this.deps.clock.monotonicMs() - this.startedMs;
  }

  /**
   * Most executors do not fall silent at once, but the link of one VM may be
   * cut or choked. Another VM renews their leases before these expire.
   */
  private departUnanswered(nowMs: number): Departure | null {
    if (nowMs - this.activeSinceMs < MIN_ACTIVE_FOR_SILENCE_MS) return null;
    const {silent, total} = this.deps.executorSilence();
    const isMost = silent > total * MAX_SILENT_SHARE;
    if (silent < MIN_SILENT_EXECUTORS || !isMost) return null;
    const {members, domain, cores} = this.deps;
    const successor = chooseSuccessor(members.connected(), {domain, nowMs});
    if (successor === null || !canActAtOnce(successor, nowMs)) return null;
    if (successor.cores < cores) return null;
    const fields = {successor: successor.address.vm, silent, total};
    return {event: 'ownerUnanswered', fields, successor};
  }

  /** While isolated, the cell is released so that a reachable VM can own it. */
  private departIsolated(nowMs: number): Departure | null {
    const aloneMs = Math.round(nowMs - this.lastPeerMs);
    if (!this.hasHadPeers || aloneMs < ISOLATION_TIMEOUT_MS) return null;
    return {event: 'ownerIsolated', fields: {aloneMs}, successor: null};
  }
}
