/** Owner election: watches the owner, claims the cell and hands it over. */
import {describeError, keepRunning, runInBackground} from './background.js';
import {claimCell} from './cell-claim.js';
import {MAX_CLAIM_DELAY_MS} from './claim-delay.js';
import {ClaimTurn} from './claim-turn.js';
import type {ElectionDeps, ElectionHost} from './election-host.js';
import type {CellConnection, Member} from './members.js';
import {heartbeatPauseMs} from './heartbeat-timing.js';
import type {CellHeartbeat, HandoverNotice} from './messages.js';
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
import {OwnerActivity} from './owner-activity.js';
import {isHandover, isOfUnknownOwner} from './owner-record-checks.js';
import {StoreError} from './store.js';
import {chooseSuccessor} from './successor.js';
import {Tenure, type Departure} from './tenure.js';
import {ToldRecord} from './told-record.js';

/** Time between two checks of the owner, in ms. */
const WATCH_INTERVAL_MS = 100;
/** Time without a connection to the owner before a VM looks for one, in ms. */
const SUSPECT_AFTER_MS = 250;
/** Time within which a running owner writes its next heartbeat, in ms. */
const HEARTBEAT_WAIT_MS = OWNER_HEARTBEAT_MS * 1.6;
/** The same if this VM and its peers lost their connections to it, in ms. */
const CONFIRMED_LOSS_WAIT_MS = 100;
/** Time without an owner after which a VM counts as detached, in ms. */
const DETACHED_AFTER_MS = 1000;
/** Time after which a VM counts as detached from an owner that loads, in ms. */
const LOADING_DETACHED_MS = 2000;

/** Takes part in the owner election for one VM. */
export class Election {
  private record: OwnerRecord | null = null;
  private tenure: Tenure | null = null;
  private isDrainStarted = false;
  /** The last term in which this process may have acted. */
  private actedTerm = 0;
  private isClosed = false;
  /** Whether a claim is on its way to the store. */
  private isClaiming = false;
  private lastConnectedMs: number;
  /** The highest term whose owner this VM was connected to. */
  private connectedTerm = 0;
  private readonly activity = new OwnerActivity();
  private readonly told = new ToldRecord();
  private readonly turn: ClaimTurn;

  constructor(
    private readonly deps: ElectionDeps,
    private readonly host: ElectionHost,
  ) {
    this.lastConnectedMs = deps.clock.monotonicMs();
    this.turn = new ClaimTurn(deps, host);
  }

  /** Starts to watch the owner. */
  start(): void {
    void keepRunning('ownerWatch', () => this.watchLoop(), this.deps);
    void keepRunning('ownerHeartbeats', () => this.heartbeatLoop(), this.deps);
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
    return this.tenure !== null;
  }

  /** Whether this VM gave up a load lately and leaves the cell to others. */
  get hasLoadFailed(): boolean {
    return this.turn.hasLoadFailed;
  }

  /**
   * The end of the owner topic after the newest record known to be stored, if
   * this VM owns the cell under the highest term that it knows.
   */
  get storedEndOffset(): number | undefined {
    const {ownership, record} = this;
    if (ownership === null || ownership.isRevoked) return undefined;
    if (record?.term !== ownership.term || record.isReleased) return undefined;
    return ownership.storedEndOffset;
  }

  private get ownership(): Ownership | null {
    return this.tenure?.ownership ?? null;
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

  /** Learns from another VM who owns the cell, and whether the owner acts. */
  recordHeartbeat(
    {vm, incarnation}: OwnerAddress,
    {owner, term, isActing = true, storedEndOffset}: CellHeartbeat,
  ): void {
    if (owner === null) return this.markReleased(term);
    this.follow({...owner, term, isReleased: false});
    const isSender = owner.vm === vm && owner.incarnation === incarnation;
    if (!isSender) return;
    this.activity.record(term, isActing);
    if (storedEndOffset === undefined) return;
    const nowMs = this.deps.clock.monotonicMs();
    this.told.record(owner, {term, endOffset: storedEndOffset}, nowMs);
  }

  /** Follows an owner whose term is higher than the known one. */
  follow(record: OwnerRecord): void {
    if (record.term <= (this.record?.term ?? 0)) return;
    this.deps.log('ownerChanged', {term: record.term, owner: record.vm});
    this.setRecord(record);
    if (this.ownership !== null && this.ownership.term < record.term) {
      this.ownership.revoke();
      this.stopOwning();
    }
    this.lastConnectedMs = this.deps.clock.monotonicMs();
    this.deps.members.setOwner(toAddress(record));
  }

  /** Records a new owner; the one before is passed over if it was idle. */
  private setRecord(record: OwnerRecord): void {
    const nowMs = this.deps.clock.monotonicMs();
    if (this.record !== null && this.activity.wasIdle(nowMs)) {
      this.deps.members.recordIdle(this.record);
    }
    this.record = record;
    this.activity.begin(record.term, nowMs);
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
    if (!isHandover(notice) || !this.mayAccept(term)) {
      return log('handoverIgnored', {term});
    }
    const ownership = acceptOwnership(store, clock, self, notice);
    this.actedTerm = term;
    log('ownerTakesOver', {term, ...ownership.describeTakeover()});
    this.setRecord({...self, term, isReleased: false});
    if (this.isDrainStarted) {
      return runInBackground('passOn', this.passOn(ownership), log);
    }
    members.setOwner(self);
    runInBackground('tenure', this.beginTenure(ownership), log);
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

  /** Starts to own the cell, and to act once the state is loaded. */
  private async beginTenure(ownership: Ownership): Promise<void> {
    const tenure = new Tenure({...this.deps, ...this.host, ownership});
    this.tenure = tenure;
    this.recordConnectedProcesses();
    // The load reads the store, and the VM is not ready for callers meanwhile.
    this.host.setDetached(false);
    const isActive = await this.becomeOwner(ownership);
    if (!isActive) {
      if (this.tenure === tenure) this.stopOwning();
      return;
    }
    tenure.recordActive();
    this.activity.record(ownership.term, true);
    this.turn.recordLoad(true);
  }

  /** An owner that cannot load the state must not keep the cell. */
  private async becomeOwner(ownership: Ownership): Promise<boolean> {
    try {
      return await this.host.becomeOwner(ownership);
    } catch (err) {
      const {term} = ownership;
      this.deps.log('ownerLoadFailed', {term, failure: describeError(err)});
      this.turn.recordLoad(false);
      await ownership.release();
      return false;
    }
  }

  private stopOwning(): void {
    this.host.stopActing();
    this.host.discardOwner();
    if (this.tenure?.hasFailedToLoad === true) this.turn.recordLoad(false);
    this.tenure = null;
    this.lastConnectedMs = this.deps.clock.monotonicMs();
    this.deps.log('ownerStopped', {});
  }

  private chooseSuccessor(): Member | null {
    const {members, domain, clock} = this.deps;
    const nowMs = clock.monotonicMs();
    return chooseSuccessor(members.connected(), {domain, nowMs});
  }

  /** Hands the cell over or releases it. */
  private async leave(
    {ownership}: Tenure,
    {event, fields, successor}: Departure,
  ): Promise<void> {
    const {term} = ownership;
    this.deps.log(event, {term, ...fields});
    this.host.stopActing();
    if (successor !== null) await this.handOver(ownership, successor);
    else await ownership.release(this.lastOrders(ownership));
    // Unless a successor is known, the other VMs have to look for an owner.
    this.markReleased(term);
    if (this.ownership === ownership) this.stopOwning();
    this.host.announce();
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
      const {ownership, deps} = this;
      const sentMs = deps.clock.monotonicMs();
      if (ownership !== null && !ownership.isRevoked) {
        await this.renew(ownership);
      }
      const tookMs = deps.clock.monotonicMs() - sentMs;
      await deps.clock.sleep(heartbeatPauseMs(tookMs));
    }
  }

  /** Writes a heartbeat, and tells the other VMs at once that it is stored. */
  private async renew(ownership: Ownership): Promise<void> {
    const before = ownership.storedEndOffset;
    await ownership.renew();
    if (ownership.isRevoked || ownership.storedEndOffset === before) return;
    this.host.announce();
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
    if (this.tenure !== null) return this.tickAsOwner(this.tenure);
    const nowMs = this.deps.clock.monotonicMs();
    if (this.hasOwner()) {
      this.lastConnectedMs = nowMs;
      this.connectedTerm = this.term;
      this.host.setDetached(this.activity.idleMs(nowMs) > LOADING_DETACHED_MS);
      return this.checkLoadingOwner(nowMs);
    }
    const disconnectedMs = nowMs - this.lastConnectedMs;
    if (disconnectedMs > DETACHED_AFTER_MS) this.host.setDetached(true);
    const isReleased = this.record === null || this.record.isReleased;
    if (isReleased || disconnectedMs > SUSPECT_AFTER_MS) await this.findOwner();
  }

  private async tickAsOwner(tenure: Tenure): Promise<void> {
    if (tenure.ownership.isRevoked) return this.stopOwning();
    const departure = tenure.checkDeparture();
    if (departure === null) return;
    await this.leave(tenure, departure);
    if (departure.successor !== null) return;
    // A VM that is reachable claims the cell first.
    await this.deps.clock.sleep(MAX_CLAIM_DELAY_MS);
  }

  /** Claims the cell of an owner that is connected but does not get to act. */
  private async checkLoadingOwner(nowMs: number): Promise<void> {
    if (!this.activity.takeCheck(nowMs)) return;
    const rttMs = await this.measureStore();
    if (!this.activity.isIdle(nowMs) || this.isLeftToOthers()) return;
    await this.deps.clock.sleep(this.turn.delayMs(rttMs, this.record?.vm));
    await this.claimFromIdle();
  }

  /** While the store fails for this VM too, it does not blame the owner. */
  private async measureStore(): Promise<number> {
    const {clock, store} = this.deps;
    const sentMs = clock.monotonicMs();
    try {
      this.followIfNewer(await readOwner(store, clock));
      return clock.monotonicMs() - sentMs;
    } catch (err) {
      this.activity.recordStoreFailure(clock.monotonicMs());
      throw err;
    }
  }

  private async claimFromIdle(): Promise<void> {
    const {clock, store, log, metrics} = this.deps;
    // The idle owner's heartbeats move the end at which a claim is appended.
    const snapshot = await readOwner(store, clock);
    const nowMs = clock.monotonicMs();
    if (this.followIfNewer(snapshot) || !this.activity.isIdle(nowMs)) return;
    metrics.count('idle_owner_claims_total');
    log('ownerIdle', {
      term: this.term,
      owner: this.record?.vm ?? '',
      idleMs: Math.round(this.activity.idleMs(nowMs)),
      isReleased: snapshot.record?.isReleased ?? true,
    });
    await this.claim(snapshot);
  }

  /** Finds the owner, or claims the cell if it has no running owner. */
  private async findOwner(): Promise<void> {
    const {clock, store, members, self} = this.deps;
    const sentMs = clock.monotonicMs();
    const snapshot = await readOwner(store, clock);
    const rttMs = clock.monotonicMs() - sentMs;
    if (this.followIfNewer(snapshot)) return;
    const isOwn = snapshot.record?.vm === self.vm;
    // The others wait for a VM that the record names as the owner.
    const isNamed = isOwn && snapshot.record?.isReleased === false;
    if (!isNamed && this.isLeftToOthers()) return;
    if (isOwn) return this.claim(snapshot);
    const isUnowned = snapshot.record === null || snapshot.record.isReleased;
    await clock.sleep(this.turn.delayMs(rttMs, this.record?.vm));
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

  private isLeftToOthers(): boolean {
    const nowMs = this.deps.clock.monotonicMs();
    const unownedMs = nowMs - this.lastConnectedMs;
    return this.turn.isLeftToOthers(unownedMs, this.record?.vm);
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
    // It has no address; it is superseded as one that stopped its heartbeats.
    if (isOfUnknownOwner(record)) return false;
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
      const toldMs = this.told.sinceMs(snapshot);
      const claimed = {...snapshot, toldMs};
      return await claimCell(store, clock, self, claimed, {
        actedTerm: this.actedTerm,
        connectedMs: vm => members.connectedMs(vm),
      });
    } finally {
      this.isClaiming = false;
    }
  }

  /** For how long this VM had no owner, and its place among the others. */
  private describeClaim(): Readonly<Record<string, unknown>> {
    const {clock, cores, members} = this.deps;
    return {
      unownedMs: Math.round(clock.monotonicMs() - this.lastConnectedMs),
      cores,
      maxPeerCores: members.maxPeerCores(this.record?.vm),
      connected: members.count,
    };
  }

  private async claim(snapshot: OwnerSnapshot): Promise<void> {
    const {self, log, members} = this.deps;
    const {record} = snapshot;
    // A handover may have arrived since the snapshot was read.
    if (this.isDrainStarted || this.ownership !== null) return;
    const reason = this.describeClaim();
    const ownership = await this.sendClaim(snapshot);
    if (ownership === null) return;
    if (record !== null && isOfUnknownOwner(record)) {
      log('ownerRecordMalformed', {term: record.term});
    }
    if (this.isDraining) return ownership.release();
    this.actedTerm = ownership.term;
    log('ownerClaimed', {
      term: ownership.term,
      former: record?.vm ?? '',
      ...reason,
      ...ownership.describeTakeover(),
    });
    this.setRecord({...self, term: ownership.term, isReleased: false});
    members.setOwner(self);
    runInBackground('tenure', this.beginTenure(ownership), log);
    this.host.announce();
  }
}
