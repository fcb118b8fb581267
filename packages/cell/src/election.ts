/** Who owns the cell: watches the owner, claims the cell, hands it over. */
import type {Clock} from '@dragonflyward/common';
import type {CellConnection, Member, Members} from './members.js';
import {
  claimCell,
  Ownership,
  OWNER_HEARTBEAT_MS,
  readOwner,
  toAddress,
  type OwnerAddress,
  type OwnerReading,
  type OwnerRecord,
} from './ownership.js';
import type {LogLine} from './platform.js';
import {StoreError, type Store} from './store.js';

/** Time between two looks at the owner, in ms. */
const WATCH_MS = 100;
/** An owner without a connection for that long is looked for, in ms. */
const SUSPECT_MS = 250;
/** Time in which a living owner writes a heartbeat, in ms. */
const SILENT_OWNER_MS = OWNER_HEARTBEAT_MS * 1.6;
/** The same where this VM and others were connected to it, and lost it. */
const AGREED_MS = 100;
/** A VM waits this many times its way to the store before it claims. */
const CLAIM_DELAY_FACTOR = 4;
/** The most that it waits, in ms. */
const MAX_CLAIM_DELAY_MS = 250;
/** A VM waits longer where it knows a larger one, in ms. */
const SMALL_DELAY_MS = 200;
/** An owner that no VM is connected to gives up after that time, in ms. */
const ALONE_MS = 2000;
/** A handover may have been written that long before it is heard of, in ms. */
const HANDOVER_AGE_MS = 2000;
/** A VM with this many times the cores is the better owner. */
const LARGER_FACTOR = 1.5;
/** An owner looks for a larger VM once it has owned for that long, in ms. */
const SETTLED_MS = 2500;
/** Without an owner for that long, a VM counts as detached, in ms. */
const DETACHED_MS = 1000;

/** What a VM does as it becomes the owner, or loses the owner. */
export interface ElectionHost {
  /**
   * Acts as the owner from now on.
   *
   * @returns whether it does; false where the ownership was lost meanwhile
   */
  readonly ownCell: (
    ownership: Ownership,
    isFormerStopped: boolean,
  ) => Promise<boolean>;
  /** Sends no more orders; nothing where it does not act. */
  readonly stopActing: () => void;
  /** Forgets all that it knows as the owner. */
  readonly dropOwner: () => void;
  /** The VM has had no owner for a while, or has one again. */
  readonly setDetached: (isDetached: boolean) => void;
  /** Tells the other VMs what this one knows of the owner. */
  readonly announce: () => void;
}

/** What an election needs of its VM. */
export interface ElectionDeps {
  readonly self: OwnerAddress;
  readonly domain: string;
  /** Cores that the VM may use. */
  readonly cores: number;
  readonly members: Members;
  readonly store: Store;
  readonly clock: Clock;
  readonly log: LogLine;
}

/** One VM's part in the choice of the owner. */
export class Election {
  private record: OwnerRecord | null = null;
  private held: Ownership | null = null;
  private isLeaving = false;
  private isClosed = false;
  private lastLinkedMs: number;
  /** The highest term whose owner this VM was connected to. */
  private linkedTerm = 0;
  private lastAccompaniedMs: number;
  private hasBeenAccompanied = false;
  private ownedSinceMs = Infinity;

  constructor(
    private readonly deps: ElectionDeps,
    private readonly host: ElectionHost,
  ) {
    this.lastLinkedMs = deps.clock.monotonicMs();
    this.lastAccompaniedMs = deps.clock.monotonicMs();
  }

  /** Starts to watch the owner. */
  start(): void {
    void this.watchLoop();
    void this.beatLoop();
  }

  /** Stops to watch. */
  close(): void {
    this.isClosed = true;
  }

  /** The newest owner that is known here; null for none. */
  get known(): OwnerRecord | null {
    return this.record;
  }

  /** The highest term that is known here; 0 for none. */
  get term(): number {
    return this.record?.term ?? 0;
  }

  /** Whether this VM owns the cell or is about to. */
  get isOwner(): boolean {
    return this.held !== null;
  }

  /** Whether the VM is being shut down. */
  get isDraining(): boolean {
    return this.isLeaving;
  }

  /** The connection to the owner, where there is one. */
  ownerConnection(): CellConnection | undefined {
    const {record} = this;
    if (record === null || record.isReleased) return undefined;
    return this.deps.members.connectionTo(record);
  }

  /** Whether this VM is connected to the owner. */
  isLinked(): boolean {
    return this.ownerConnection() !== undefined;
  }

  /** Follows an owner of a higher term than the one that is known. */
  follow(record: OwnerRecord): void {
    if (record.term <= (this.record?.term ?? 0)) return;
    this.deps.log('ownerChanged', {term: record.term, owner: record.vm});
    this.record = record;
    if (this.held !== null && this.held.term < record.term) {
      this.held.lose();
      this.drop();
    }
    this.lastLinkedMs = this.deps.clock.monotonicMs();
    this.deps.members.setOwner(toAddress(record));
  }

  /** The owner of that term has given the cell up. */
  noteReleased(term: number): void {
    if (this.record === null || this.record.term !== term) return;
    this.record = {...this.record, isReleased: true};
  }

  /** Takes no part in elections any more and hands the cell over. */
  async drain(): Promise<void> {
    this.isLeaving = true;
    const {held} = this;
    if (held === null) return;
    this.host.stopActing();
    const successor = this.chooseSuccessor();
    this.deps.log('ownerHandsOver', {
      term: held.term,
      successor: successor?.address.vm ?? '',
    });
    if (successor !== null) await this.handOver(held, successor);
    else await held.release();
    this.drop();
    this.host.announce();
  }

  /** The former owner has written this VM's name into the store. */
  takeOver(term: number, endOffset: number): void {
    const {self, clock, log, store, members} = this.deps;
    if (this.isLeaving || this.held !== null) return;
    if (term <= (this.record?.term ?? 0)) return;
    log('ownerTakesOver', {term});
    this.record = {...self, term, isReleased: false};
    const sentMs = clock.monotonicMs() - HANDOVER_AGE_MS;
    const proof = {sentMs, endOffset};
    const ownership = new Ownership(store, clock, this.record, proof);
    this.held = ownership;
    members.setOwner(self);
    void this.own(ownership, true);
  }

  private async own(
    ownership: Ownership,
    isFormerStopped: boolean,
  ): Promise<void> {
    const isOwning = await this.host.ownCell(ownership, isFormerStopped);
    if (isOwning) this.ownedSinceMs = this.deps.clock.monotonicMs();
    else if (this.held === ownership) this.drop();
  }

  private drop(): void {
    this.host.stopActing();
    this.host.dropOwner();
    this.held = null;
    this.deps.log('ownerStopped', {});
  }

  /** The VM that can own the cell best: the largest, then the nearest. */
  private chooseSuccessor(): Member | null {
    const able = [...this.deps.members.connected()].filter(
      ({isStoreOk, isDraining}) => isStoreOk && !isDraining,
    );
    const isFar = ({domain}: Member): number =>
      Number(domain !== this.deps.domain);
    able.sort((a, b) => b.cores - a.cores || isFar(a) - isFar(b));
    return able[0] ?? null;
  }

  /** Gives the cell to a much larger VM, where this one is small. */
  private async giveToLarger(ownership: Ownership): Promise<void> {
    const successor = this.chooseSuccessor();
    if (successor === null) return;
    if (successor.cores < this.deps.cores * LARGER_FACTOR) return;
    this.deps.log('ownerGivesToLarger', {
      term: ownership.term,
      successor: successor.address.vm,
      cores: successor.cores,
    });
    this.host.stopActing();
    await this.handOver(ownership, successor);
    this.drop();
  }

  /** Writes the successor's name into the store and tells it. */
  private async handOver(
    ownership: Ownership,
    {address, connection}: Member,
  ): Promise<void> {
    const endOffset = await ownership.handOver(address);
    if (endOffset < 0) return;
    const term = ownership.term + 1;
    connection.notify({type: 'handover', term, endOffset});
    this.follow({...address, term, isReleased: false});
  }

  private async beatLoop(): Promise<void> {
    while (!this.isClosed) {
      const {held} = this;
      if (held !== null && !held.isSuperseded) await held.beat();
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
      await this.deps.clock.sleep(WATCH_MS);
    }
  }

  private async watchOnce(): Promise<void> {
    const nowMs = this.deps.clock.monotonicMs();
    if (this.held !== null) return this.watchSelf(this.held, nowMs);
    if (this.isLinked()) {
      this.lastLinkedMs = nowMs;
      this.linkedTerm = this.term;
      this.host.setDetached(false);
      return;
    }
    const aloneMs = nowMs - this.lastLinkedMs;
    if (aloneMs > DETACHED_MS) this.host.setDetached(true);
    const isReleased = this.record === null || this.record.isReleased;
    if (isReleased || aloneMs > SUSPECT_MS) await this.seekOwner();
  }

  private async watchSelf(ownership: Ownership, nowMs: number): Promise<void> {
    if (ownership.isSuperseded) {
      this.drop();
      this.lastLinkedMs = nowMs;
      return;
    }
    if (this.deps.members.count > 0) {
      this.lastAccompaniedMs = nowMs;
      this.hasBeenAccompanied = true;
    }
    if (nowMs - this.ownedSinceMs > SETTLED_MS) {
      await this.giveToLarger(ownership);
    }
    const aloneMs = nowMs - this.lastAccompaniedMs;
    if (this.hasBeenAccompanied && aloneMs >= ALONE_MS) {
      await this.giveUpAlone(ownership, aloneMs);
    }
  }

  /** No VM is connected: one that callers reach may own the cell instead. */
  private async giveUpAlone(
    ownership: Ownership,
    aloneMs: number,
  ): Promise<void> {
    const {term} = ownership;
    this.deps.log('ownerAlone', {term, aloneMs: Math.round(aloneMs)});
    this.hasBeenAccompanied = false;
    this.host.stopActing();
    await ownership.release();
    this.record = {...this.deps.self, term, isReleased: true};
    this.drop();
    await this.deps.clock.sleep(MAX_CLAIM_DELAY_MS);
  }

  /** Finds the owner, or claims the cell where it has none that lives. */
  private async seekOwner(): Promise<void> {
    const {clock, store, members, self, cores} = this.deps;
    const sentMs = clock.monotonicMs();
    const reading = await readOwner(store);
    const rttMs = clock.monotonicMs() - sentMs;
    if (this.isKnownNow(reading)) return;
    if (reading.record?.vm === self.vm) return this.claim(reading);
    // VMs near the store are first, so that claims do not race.
    const nearMs = Math.min(MAX_CLAIM_DELAY_MS, rttMs * CLAIM_DELAY_FACTOR);
    const isSmall = members.largestCores() > cores;
    const isFree = reading.record === null || reading.record.isReleased;
    await clock.sleep(nearMs + (isSmall ? SMALL_DELAY_MS : 0));
    if (this.isLinked()) return;
    if (isFree) return this.claim(reading);
    if (members.isOwnerSeen(reading.record?.term ?? 0)) return;
    const isAgreed = members.count > 0 && this.hasMet(reading);
    await clock.sleep(isAgreed ? AGREED_MS : SILENT_OWNER_MS);
    // An owner that lives has written a heartbeat by now: then this fails.
    if (!this.isLinked()) await this.claim(reading);
  }

  /** An owner that this VM never reached may not have met any VM yet. */
  private hasMet({record}: OwnerReading): boolean {
    return this.linkedTerm >= (record?.term ?? 0);
  }

  /** Follows the owner that the store names, where it is a newer one. */
  private isKnownNow({record}: OwnerReading): boolean {
    if (record === null || record.isReleased) return false;
    if (record.term <= (this.record?.term ?? 0)) return false;
    // An own claim whose answer was lost, or one of an earlier run.
    if (record.vm === this.deps.self.vm) return false;
    this.follow(record);
    return true;
  }

  private async claim(reading: OwnerReading): Promise<void> {
    const {self, clock, log, store, members} = this.deps;
    const {record} = reading;
    if (this.isLeaving) return;
    const ownership = await claimCell(store, clock, self, reading);
    if (ownership === null) return;
    if (this.isDraining) return ownership.release();
    const isFormerStopped =
      record === null || record.isReleased || record.vm === self.vm;
    log('ownerClaimed', {
      term: ownership.term,
      former: record?.vm ?? '',
      isFormerStopped,
    });
    this.record = {...self, term: ownership.term, isReleased: false};
    this.held = ownership;
    this.hasBeenAccompanied = false;
    members.setOwner(toAddress(this.record));
    await this.own(ownership, isFormerStopped);
  }
}
