/** Owner election: watches the owner, claims the cell and hands it over. */
import type {Clock} from '@dragonflyward/common';
import {claimCell} from './cell-claim.js';
import type {CellConnection, Member, Members} from './members.js';
import type {HandoverNotice} from './messages.js';
import type {OrdersNotice} from './last-orders.js';
import {
  acceptOwnership,
  OWNER_HEARTBEAT_MS,
  readOwner,
  toAddress,
  type OwnerAddress,
  type Ownership,
  type OwnerSnapshot,
  type OwnerRecord,
} from './ownership.js';
import type {LogFunction} from './platform.js';
import {StoreError, type Store} from './store.js';
import {chooseSuccessor} from './successor.js';

/** Time between two checks of the owner, in ms. */
const WATCH_INTERVAL_MS = 100;
/** Time without a connection to the owner before a VM looks for one, in ms. */
const SUSPECT_AFTER_MS = 250;
/** Time within which a running owner writes its next heartbeat, in ms. */
const HEARTBEAT_WAIT_MS = OWNER_HEARTBEAT_MS * 1.6;
/** The same if this VM and its peers lost their connections to it, in ms. */
const CONFIRMED_LOSS_WAIT_MS = 100;
/** A VM waits this multiple of its store round trip before it claims. */
const CLAIM_DELAY_RTT_FACTOR = 4;
/** Upper bound of that delay, in ms. */
const MAX_CLAIM_DELAY_MS = 250;
/** Extra delay of a VM that knows a VM with more cores, in ms. */
const SMALL_VM_DELAY_MS = 200;
/** An owner to which no VM is connected releases the cell after this, in ms. */
const ISOLATION_TIMEOUT_MS = 2000;
/** The cell moves to a VM that has this multiple of the owner's cores. */
const LARGER_VM_FACTOR = 1.5;
/** Time as the owner before a larger VM is looked for, in ms. */
const MIN_OWNED_MS = 2500;
/** Time without an owner after which a VM counts as detached, in ms. */
const DETACHED_AFTER_MS = 1000;

/** Callbacks of the VM for changes of the owner. */
export interface ElectionHost {
  /**
   * Starts to act as the owner.
   *
   * @returns false if the ownership was lost in the meantime
   */
  readonly becomeOwner: (ownership: Ownership) => Promise<boolean>;
  /** Stops sending orders; does nothing on a VM that is not the owner. */
  readonly stopActing: () => void;
  /**
   * The last orders that were sent to executors, after `stopActing`; null on a
   * VM whose owner has not started to act.
   */
  readonly describeOrders: () => OrdersNotice | null;
  /** Discards the owner's state. */
  readonly discardOwner: () => void;
  /** Called when the VM has had no owner for a while, or has one again. */
  readonly setDetached: (isDetached: boolean) => void;
  /** Sends the owner known here, and the VM's state, to the other VMs. */
  readonly announce: () => void;
}

/** Dependencies of an election. */
export interface ElectionDeps {
  readonly self: OwnerAddress;
  readonly domain: string;
  /** Cores that the VM may use. */
  readonly cores: number;
  readonly members: Members;
  readonly store: Store;
  readonly clock: Clock;
  readonly log: LogFunction;
}

/** Takes part in the owner election for one VM. */
export class Election {
  private record: OwnerRecord | null = null;
  private ownership: Ownership | null = null;
  private isDrainStarted = false;
  /** The last term in which this process may have acted. */
  private actedTerm = 0;
  private isClosed = false;
  /** Whether a claim is on its way to the store. */
  private isClaiming = false;
  private lastConnectedMs: number;
  /** The highest term whose owner this VM was connected to. */
  private connectedTerm = 0;
  private lastPeerMs: number;
  private hasHadPeers = false;
  private ownedSinceMs = Infinity;

  constructor(
    private readonly deps: ElectionDeps,
    private readonly host: ElectionHost,
  ) {
    this.lastConnectedMs = deps.clock.monotonicMs();
    this.lastPeerMs = deps.clock.monotonicMs();
  }

  /** Starts to watch the owner. */
  start(): void {
    void this.watchLoop();
    void this.heartbeatLoop();
  }

  /** Stops watching the owner. */
  close(): void {
    this.isClosed = true;
  }

  /** The newest known owner, or null. */
  get knownOwner(): OwnerRecord | null {
    return this.record;
  }

  /** The highest known term, or 0. */
  get term(): number {
    return this.record?.term ?? 0;
  }

  /** Whether this VM owns the cell or is becoming its owner. */
  get isOwner(): boolean {
    return this.ownership !== null;
  }

  /** Whether the VM is being shut down. */
  get isDraining(): boolean {
    return this.isDrainStarted;
  }

  /** Returns the connection to the owner, if there is one. */
  ownerConnection(): CellConnection | undefined {
    const {record} = this;
    if (record === null || record.isReleased) return undefined;
    return this.deps.members.connectionTo(record);
  }

  /** Whether this VM is connected to the owner. */
  hasOwner(): boolean {
    return this.ownerConnection() !== undefined;
  }

  /** Follows an owner whose term is higher than the known one. */
  follow(record: OwnerRecord): void {
    if (record.term <= (this.record?.term ?? 0)) return;
    this.deps.log('ownerChanged', {term: record.term, owner: record.vm});
    this.record = record;
    if (this.ownership !== null && this.ownership.term < record.term) {
      this.ownership.revoke();
      this.stopOwning();
    }
    this.lastConnectedMs = this.deps.clock.monotonicMs();
    this.deps.members.setOwner(toAddress(record));
  }

  /** Records that the owner of a term has released the cell. */
  markReleased(term: number): void {
    if (this.record === null || this.record.term !== term) return;
    this.record = {...this.record, isReleased: true};
  }

  /** Leaves the elections and hands the cell over. */
  async drain(): Promise<void> {
    this.isDrainStarted = true;
    const {ownership} = this;
    // Until the others know, an owner may choose this VM as its successor.
    if (ownership === null) return this.host.announce();
    this.host.stopActing();
    const successor = this.chooseSuccessor();
    this.deps.log('ownerHandsOver', {
      term: ownership.term,
      successor: successor?.address.vm ?? '',
    });
    if (successor !== null) await this.handOver(ownership, successor);
    else await ownership.release(this.lastOrders(ownership));
    // Unless a successor is known, the other VMs have to look for an owner.
    this.markReleased(ownership.term);
    this.stopOwning();
    this.host.announce();
  }

  /**
   * Records the process of a VM that has just connected: the earlier process,
   * which may have been the former owner, has ended.
   */
  recordProcess(address: OwnerAddress): void {
    if (this.ownership?.recordProcess(address) !== true) return;
    const {term} = this.ownership;
    this.deps.log('formerOwnerStopped', {term, former: address.vm});
  }

  /** Records the processes that connected before this VM owned the cell. */
  private recordConnectedProcesses(): void {
    for (const {address} of this.deps.members.connected()) {
      this.recordProcess(address);
    }
  }

  /** Becomes the owner after the former one wrote this VM into the store. */
  acceptHandover(notice: HandoverNotice): void {
    const {self, clock, log, store, members} = this.deps;
    const {term} = notice;
    if (!this.mayAccept(term)) return log('handoverIgnored', {term});
    const ownership = acceptOwnership(store, clock, self, notice);
    this.actedTerm = term;
    log('ownerTakesOver', {term, ...ownership.describeTakeover()});
    this.record = {...self, term, isReleased: false};
    if (this.isDrainStarted) return void this.passOn(ownership);
    this.ownership = ownership;
    members.setOwner(self);
    this.recordConnectedProcesses();
    void this.activate(ownership);
  }

  /** Whether a handover is news, and no claim of this VM is on its way. */
  private mayAccept(term: number): boolean {
    if (this.ownership !== null || this.isClaiming) return false;
    return term > (this.record?.term ?? 0) || this.isNamedOwner(term);
  }

  /** Whether another VM has already told this one that it owns the term. */
  private isNamedOwner(term: number): boolean {
    const {record, deps} = this;
    if (record === null || record.isReleased) return false;
    return record.term === term && record.vm === deps.self.vm;
  }

  /**
   * Gives up a cell that was handed over while this VM shuts down: to a VM that
   * is not smaller, since a small one would soon hand it on. Such a VM claims a
   * released cell.
   */
  private async passOn(ownership: Ownership): Promise<void> {
    const {term} = ownership;
    const successor = this.chooseSuccessor();
    if (successor === null || successor.cores < this.deps.cores) {
      this.deps.log('ownerReleases', {term});
      await ownership.release();
    } else {
      const {vm} = successor.address;
      this.deps.log('ownerHandsOver', {term, successor: vm});
      await this.handOver(ownership, successor);
    }
    this.markReleased(term);
    this.host.announce();
  }

  private async activate(ownership: Ownership): Promise<void> {
    const isActive = await this.host.becomeOwner(ownership);
    if (isActive) this.ownedSinceMs = this.deps.clock.monotonicMs();
    else if (this.ownership === ownership) this.stopOwning();
  }

  private stopOwning(): void {
    this.host.stopActing();
    this.host.discardOwner();
    this.ownership = null;
    this.deps.log('ownerStopped', {});
  }

  private chooseSuccessor(): Member | null {
    const {members, domain, clock} = this.deps;
    const nowMs = clock.monotonicMs();
    return chooseSuccessor(members.connected(), {domain, nowMs});
  }

  /** Hands the cell over to a VM that is much larger than this one. */
  private async handOverToLarger(ownership: Ownership): Promise<void> {
    const successor = this.chooseSuccessor();
    if (successor === null) return;
    if (successor.cores < this.deps.cores * LARGER_VM_FACTOR) return;
    this.deps.log('ownerHandsToLarger', {
      term: ownership.term,
      successor: successor.address.vm,
      cores: successor.cores,
    });
    this.host.stopActing();
    await this.handOver(ownership, successor);
    this.stopOwning();
  }

  /** Writes the successor into the store and notifies it. */
  private async handOver(
    ownership: Ownership,
    {address, connection}: Member,
  ): Promise<void> {
    const orders = this.lastOrders(ownership);
    const endOffset = await ownership.handOver(address, orders);
    // Appends at the same offset, so it fails if the handover is stored.
    if (endOffset < 0) return ownership.release(orders);
    const notice = ownership.handoverNotice(endOffset, orders);
    connection.notify(notice);
    const {term} = notice;
    this.follow({...address, term, isReleased: false});
  }

  /** The last orders of this owner, which has stopped, and of former ones. */
  private lastOrders(ownership: Ownership): OrdersNotice {
    return this.host.describeOrders() ?? ownership.describeFormerOrders();
  }

  private async heartbeatLoop(): Promise<void> {
    while (!this.isClosed) {
      const {ownership} = this;
      if (ownership !== null && !ownership.isRevoked) await ownership.renew();
      await this.deps.clock.sleep(OWNER_HEARTBEAT_MS);
    }
  }

  private async watchLoop(): Promise<void> {
    while (!this.isClosed) {
      try {
        await this.watchOnce();
      } catch (err) {
        if (!(err instanceof StoreError)) throw err;
        this.deps.log('electionFailed', {failure: err.failure});
      }
      await this.deps.clock.sleep(WATCH_INTERVAL_MS);
    }
  }

  private async watchOnce(): Promise<void> {
    const nowMs = this.deps.clock.monotonicMs();
    if (this.ownership !== null) return this.tickAsOwner(this.ownership, nowMs);
    if (this.hasOwner()) {
      this.lastConnectedMs = nowMs;
      this.connectedTerm = this.term;
      this.host.setDetached(false);
      return;
    }
    const disconnectedMs = nowMs - this.lastConnectedMs;
    if (disconnectedMs > DETACHED_AFTER_MS) this.host.setDetached(true);
    const isReleased = this.record === null || this.record.isReleased;
    if (isReleased || disconnectedMs > SUSPECT_AFTER_MS) await this.findOwner();
  }

  private async tickAsOwner(
    ownership: Ownership,
    nowMs: number,
  ): Promise<void> {
    if (ownership.isRevoked) {
      this.stopOwning();
      this.lastConnectedMs = nowMs;
      return;
    }
    if (this.deps.members.count > 0) {
      this.lastPeerMs = nowMs;
      this.hasHadPeers = true;
    }
    if (nowMs - this.ownedSinceMs > MIN_OWNED_MS) {
      await this.handOverToLarger(ownership);
    }
    const isolatedMs = nowMs - this.lastPeerMs;
    if (this.hasHadPeers && isolatedMs >= ISOLATION_TIMEOUT_MS) {
      await this.releaseIsolated(ownership, isolatedMs);
    }
  }

  /** Releases the cell while isolated, so that a reachable VM can own it. */
  private async releaseIsolated(
    ownership: Ownership,
    isolatedMs: number,
  ): Promise<void> {
    const {term} = ownership;
    this.deps.log('ownerIsolated', {term, aloneMs: Math.round(isolatedMs)});
    this.hasHadPeers = false;
    this.host.stopActing();
    await ownership.release(this.lastOrders(ownership));
    this.record = {...this.deps.self, term, isReleased: true};
    this.stopOwning();
    await this.deps.clock.sleep(MAX_CLAIM_DELAY_MS);
  }

  /** Finds the owner, or claims the cell if it has no running owner. */
  private async findOwner(): Promise<void> {
    const {clock, store, members, self, cores} = this.deps;
    const sentMs = clock.monotonicMs();
    const snapshot = await readOwner(store, clock);
    const rttMs = clock.monotonicMs() - sentMs;
    if (this.followIfNewer(snapshot)) return;
    if (snapshot.record?.vm === self.vm) return this.claim(snapshot);
    // VMs with a short round trip claim first, so that claims do not race.
    const rttDelayMs = Math.min(
      MAX_CLAIM_DELAY_MS,
      rttMs * CLAIM_DELAY_RTT_FACTOR,
    );
    const isSmall = members.maxPeerCores() > cores;
    const isUnowned = snapshot.record === null || snapshot.record.isReleased;
    await clock.sleep(rttDelayMs + (isSmall ? SMALL_VM_DELAY_MS : 0));
    if (this.hasOwner()) return;
    if (isUnowned) return this.claim(snapshot);
    if (members.isOwnerSeen(snapshot.record?.term ?? 0)) return;
    const isLossConfirmed = members.count > 0 && this.wasConnectedTo(snapshot);
    await clock.sleep(
      isLossConfirmed ? CONFIRMED_LOSS_WAIT_MS : HEARTBEAT_WAIT_MS,
    );
    // If the owner runs, it has written a heartbeat by now and this fails.
    if (!this.hasOwner()) await this.claim(snapshot);
  }

  /**
   * Whether this VM was connected to the owner. An owner that it never reached
   * may have just started and not be connected to any VM yet.
   */
  private wasConnectedTo({record}: OwnerSnapshot): boolean {
    return this.connectedTerm >= (record?.term ?? 0);
  }

  /** Follows the owner in the store if it is newer than the known one. */
  private followIfNewer({record}: OwnerSnapshot): boolean {
    if (record === null || record.isReleased) return false;
    if (record.term <= (this.record?.term ?? 0)) return false;
    // This VM's claim: its answer was lost, or an earlier process made it.
    if (record.vm === this.deps.self.vm) return false;
    this.follow(record);
    return true;
  }

  private async sendClaim(snapshot: OwnerSnapshot): Promise<Ownership | null> {
    const {self, clock, store, members} = this.deps;
    this.isClaiming = true;
    try {
      return await claimCell(store, clock, self, snapshot, {
        actedTerm: this.actedTerm,
        connectedMs: vm => members.connectedMs(vm),
      });
    } finally {
      this.isClaiming = false;
    }
  }

  private async claim(snapshot: OwnerSnapshot): Promise<void> {
    const {self, log, members} = this.deps;
    const {record} = snapshot;
    // A handover may have arrived since the snapshot was read.
    if (this.isDrainStarted || this.ownership !== null) return;
    const ownership = await this.sendClaim(snapshot);
    if (ownership === null) return;
    if (this.isDraining) return ownership.release();
    this.actedTerm = ownership.term;
    log('ownerClaimed', {
      term: ownership.term,
      former: record?.vm ?? '',
      ...ownership.describeTakeover(),
    });
    this.record = {...self, term: ownership.term, isReleased: false};
    this.ownership = ownership;
    this.hasHadPeers = false;
    members.setOwner(toAddress(this.record));
    this.recordConnectedProcesses();
    await this.activate(ownership);
  }
}
