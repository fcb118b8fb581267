/** One VM of the cell: peers, configuration, election, callers. */
import type {Clock, Metrics} from '@dragonflyward/common';
import type {AdviceLane} from './advice-desk.js';
import {Follower} from './follower.js';
import {Front, type Lookup} from './front.js';
import {JobTable} from './job-table.js';
import {
  MemberHandler,
  Members,
  type Member,
  type CellConnection,
  type CellPeerInfo,
} from './members.js';
import type {
  CellHeartbeat,
  CellHello,
  CellProtocol,
  JobRow,
} from './messages.js';
import {Owner} from './owner.js';
import {
  claimCell,
  Ownership,
  OWNER_HEARTBEAT_MS,
  readOwner,
  type OwnerAddress,
  type OwnerReading,
  type OwnerRecord,
} from './ownership.js';
import type {LogLine, Platform} from './platform.js';
import {jobsTopicOf} from './records.js';
import {makeStoreCall, RelayedStore} from './relayed-store.js';
import {StoreError, type PlacedRecord} from './store.js';
import {StoredJobs} from './stored-jobs.js';
import type {CellConfig} from './types.js';

/** Time between two looks at the owner, in ms. */
const WATCH_MS = 100;
/** An owner without a connection for that long is looked for, in ms. */
const SUSPECT_MS = 250;
/** Time in which a living owner writes a heartbeat, in ms. */
const SILENT_OWNER_MS = OWNER_HEARTBEAT_MS * 1.6;
/** The same where other VMs have lost the owner too. */
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
/** Without an owner for that long, a VM reads the jobs itself, in ms. */
const DETACHED_MS = 1000;
/** How long the store may wait for a configuration, in ms. */
const CONFIG_WAIT_MS = 1000;
/** How long a peer may take to send its configuration, in ms. */
const CONFIG_ASK_TIMEOUT_MS = 800;
/** How long the owner may take to tell a job's phase, in ms. */
const PHASE_ASK_TIMEOUT_MS = 700;

/** What makes a VM. */
export interface VmDeps {
  readonly self: OwnerAddress;
  readonly domain: string;
  /** Cores that the VM may use. */
  readonly cores: number;
  readonly seeds: readonly OwnerAddress[];
  readonly platform: Platform;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: LogLine;
}

/** One process of the cell. */
export class Vm extends MemberHandler {
  readonly front: Front;
  readonly table: JobTable;
  private readonly members: Members;
  private readonly store: RelayedStore;
  private readonly configFollower: Follower;
  private readonly storedJobs: StoredJobs;
  private config: CellConfig | null = null;
  private configValue: Uint8Array = new Uint8Array(0);
  private known: OwnerRecord | null = null;
  private owner: Owner | null = null;
  private ownership: Ownership | null = null;
  private isDraining = false;
  private isClosed = false;
  private lastLinkedMs: number;
  private lastAccompaniedMs: number;
  private hasBeenAccompanied = false;
  private ownedSinceMs = Infinity;
  private isAskingConfig = false;

  constructor(private readonly deps: VmDeps) {
    super();
    const {self, seeds, platform, clock, metrics, log} = deps;
    this.table = new JobTable(clock);
    this.lastLinkedMs = clock.monotonicMs();
    this.lastAccompaniedMs = clock.monotonicMs();
    this.members = new Members(self, this, seeds);
    this.store = new RelayedStore(
      platform.store,
      () => this.members.storePeers(),
      clock,
    );
    this.configFollower = new Follower(
      this.store,
      clock,
      {topic: platform.operatorTopic, pauseMs: 0, waitMs: CONFIG_WAIT_MS},
      record => this.takeConfigRecord(record),
    );
    this.storedJobs = new StoredJobs(this.store, clock, this.table);
    this.front = new Front({
      store: this.store,
      jobsTopic: jobsTopicOf(self.vm),
      clock,
      metrics,
      log,
      table: this.table,
      lookup: (id, timeoutMs) => this.lookup(id, timeoutMs),
      tellJob: value => this.tellJob(value),
      tellCancel: id => this.tellCancel(id),
    });
  }

  /** Starts to listen, to follow and to watch the owner. */
  async start(): Promise<void> {
    await this.members.start();
    void this.configFollower.run();
    void this.watchLoop();
    void this.beatLoop();
  }

  /** The configuration in force here; null before the first. */
  get currentConfig(): CellConfig | null {
    return this.config;
  }

  /** Whether callers should be sent here. */
  get isReady(): boolean {
    if (this.isDraining || this.config === null) return false;
    return this.owner !== null || this.isLinked();
  }

  /** Takes no part in elections any more and hands the cell over. */
  async drain(): Promise<void> {
    this.isDraining = true;
    const {owner, ownership} = this;
    if (ownership === null) return;
    owner?.close();
    const successor = this.chooseSuccessor();
    this.deps.log('ownerHandsOver', {
      term: ownership.term,
      successor: successor?.address.vm ?? '',
    });
    if (successor !== null) await this.handOver(ownership, successor);
    else await ownership.release();
    this.dropOwner();
    this.broadcast(this.heartbeat());
  }

  /** The VM that can own the cell best: the largest, then the nearest. */
  private chooseSuccessor(): Member | null {
    const able = [...this.members.connected()].filter(
      ({isStoreOk, isDraining}) => isStoreOk && !isDraining,
    );
    const isFar = ({domain}: Member): number =>
      Number(domain !== this.deps.domain);
    able.sort((a, b) => b.cores - a.cores || isFar(a) - isFar(b));
    return able[0] ?? null;
  }

  /** Gives the cell to a much larger VM, where this one is small. */
  private async giveToLarger(): Promise<void> {
    const {owner, ownership} = this;
    const successor = this.chooseSuccessor();
    if (owner === null || ownership === null || successor === null) return;
    if (successor.cores < this.deps.cores * LARGER_FACTOR) return;
    this.deps.log('ownerGivesToLarger', {
      term: ownership.term,
      successor: successor.address.vm,
      cores: successor.cores,
    });
    owner.close();
    await this.handOver(ownership, successor);
    this.dropOwner();
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

  /** The former owner has written this VM's name into the store. */
  private takeOver(term: number, endOffset: number): void {
    const {self, clock, log} = this.deps;
    if (this.isDraining || this.ownership !== null) return;
    if (term <= (this.known?.term ?? 0)) return;
    log('ownerTakesOver', {term});
    this.known = {...self, term, isReleased: false};
    const sentMs = clock.monotonicMs() - HANDOVER_AGE_MS;
    const proof = {sentMs, endOffset};
    const ownership = new Ownership(this.store, clock, this.known, proof);
    this.ownership = ownership;
    this.members.setOwner(self);
    void this.runOwner(ownership, true);
  }

  /** Ends everything. */
  close(): void {
    this.isClosed = true;
    this.owner?.close();
    this.configFollower.stop();
    this.storedJobs.stop();
    this.members.close();
  }

  override hello(): CellHello {
    const {self, domain, cores} = this.deps;
    return {type: 'hello', self, domain, cores};
  }

  override heartbeat(): CellHeartbeat {
    const {known, config, isDraining} = this;
    const owner = known === null || known.isReleased ? null : toAddress(known);
    return {
      type: 'heartbeat',
      owner,
      term: known?.term ?? 0,
      configVersion: config?.version ?? -1,
      isStoreOk: this.store.isDirectOk,
      isDraining,
      isOwnerSeen: this.ownership !== null || this.isLinked(),
    };
  }

  override async answer(
    _from: CellPeerInfo,
    ask: CellProtocol['ask'],
  ): Promise<CellProtocol['reply']> {
    switch (ask.type) {
      case 'phaseAsk':
        return {
          type: 'phase',
          row: this.owner?.rowOf(ask.id) ?? null,
          isSure: this.owner?.isSure ?? false,
        };
      case 'adviceAsk':
        return {type: 'advice', tickets: await this.advise(ask)};
      case 'configAsk':
        return {type: 'config', value: this.configValue};
      case 'storeAsk':
        return makeStoreCall(this.deps.platform.store, ask.call);
    }
  }

  override notice(from: CellPeerInfo, notice: CellProtocol['notice']): void {
    switch (notice.type) {
      case 'heartbeat':
        return this.takeHeartbeat(from, notice);
      case 'job':
        return this.owner?.addStoredJob(notice.value);
      case 'cancel':
        return this.owner?.addStoredCancel(notice.id);
      case 'jobs':
        for (const row of notice.rows) this.table.set(row);
        return;
      case 'members':
        return this.members.setKnown(notice.members);
      case 'handover':
        return this.takeOver(notice.term, notice.endOffset);
    }
  }

  override peerUp(connection: CellConnection): void {
    this.members.add(connection);
    connection.notify(this.heartbeat());
    if (this.owner === null) return;
    const rows = this.owner.allRows();
    const term = this.owner.state.term;
    connection.notify({type: 'jobs', term, isFull: true, rows});
    this.sendMembers();
  }

  override peerDown(connection: CellConnection): void {
    this.members.remove(connection);
    const isOwner = connection.info?.self.vm === this.known?.vm;
    if (isOwner && !this.isLinked()) this.broadcast(this.heartbeat());
  }

  private async advise(ask: {
    readonly step: string;
    readonly executorIds: readonly string[];
    readonly timeoutMs: number;
  }): ReturnType<AdviceLane['ask']> {
    const {advice} = this.deps.platform;
    if (advice === null) return null;
    return advice.advise(ask.step, ask.executorIds, ask.timeoutMs);
  }

  private takeHeartbeat(from: CellPeerInfo, beat: CellHeartbeat): void {
    this.members.note(from.self.vm, beat);
    if (beat.owner !== null && beat.term > (this.known?.term ?? 0)) {
      this.follow({...beat.owner, term: beat.term, isReleased: false});
    }
    const isReleased = beat.owner === null && beat.term === this.known?.term;
    if (isReleased && this.known !== null) {
      this.known = {...this.known, isReleased: true};
    }
    if (beat.configVersion > (this.config?.version ?? -1)) {
      void this.askConfig(from.self);
    }
  }

  private async askConfig(address: OwnerAddress): Promise<void> {
    const connection = this.members.connectionTo(address);
    if (connection === undefined || this.isAskingConfig) return;
    this.isAskingConfig = true;
    try {
      const reply = await connection.ask(
        {type: 'configAsk'},
        CONFIG_ASK_TIMEOUT_MS,
      );
      if (reply.type === 'config') this.takeConfigValue(reply.value, 'peer');
    } catch (err) {
      this.deps.log('configAskFailed', {peer: address.vm, err: String(err)});
    } finally {
      this.isAskingConfig = false;
    }
  }

  private takeConfigRecord(record: PlacedRecord): void {
    const config = this.deps.platform.decodeConfig(record);
    if (config !== null) this.applyConfig(config, record.value, 'store');
  }

  private takeConfigValue(value: Uint8Array, source: string): void {
    if (value.length === 0) return;
    const record = {key: 'config', value, offset: -1};
    const config = this.deps.platform.decodeConfig(record);
    if (config !== null) this.applyConfig(config, value, source);
  }

  private applyConfig(
    config: CellConfig,
    value: Uint8Array,
    source: string,
  ): void {
    if (config.version <= (this.config?.version ?? -1)) return;
    this.config = config;
    this.configValue = value;
    this.deps.log('configApplied', {
      version: config.version,
      source,
      queues: config.queues.length,
      keys: config.keys.size,
    });
    this.owner?.setConfig(config);
    this.broadcast(this.heartbeat());
  }

  private broadcast(notice: CellProtocol['notice']): void {
    for (const {connection} of this.members.connected()) {
      connection.notify(notice);
    }
  }

  private sendMembers(): void {
    const members = [this.deps.self, ...this.members.addresses()];
    this.members.setKnown(members);
    this.broadcast({type: 'members', members});
  }

  private tellJob(value: Uint8Array): void {
    if (this.owner !== null) return this.owner.addStoredJob(value);
    this.ownerConnection()?.notify({type: 'job', value});
  }

  private tellCancel(id: string): void {
    if (this.owner !== null) return this.owner.addStoredCancel(id);
    this.ownerConnection()?.notify({type: 'cancel', id});
  }

  private async lookup(id: string, timeoutMs: number): Promise<Lookup> {
    if (this.owner !== null) {
      return {row: this.owner.rowOf(id), isSure: this.owner.isSure};
    }
    const connection = this.ownerConnection();
    if (connection === undefined) return this.storedJobs.lookup(id);
    const boundMs = Math.max(1, Math.min(timeoutMs, PHASE_ASK_TIMEOUT_MS));
    try {
      const reply = await connection.ask({type: 'phaseAsk', id}, boundMs);
      if (reply.type === 'phase') return reply;
    } catch (err) {
      this.deps.log('phaseAskFailed', {job: id, err: String(err)});
    }
    return this.storedJobs.lookup(id);
  }

  private ownerConnection(): CellConnection | undefined {
    const {known} = this;
    if (known === null || known.isReleased) return undefined;
    return this.members.connectionTo(known);
  }

  private isLinked(): boolean {
    return this.ownerConnection() !== undefined;
  }

  private follow(record: OwnerRecord): void {
    if (record.term <= (this.known?.term ?? 0)) return;
    this.deps.log('ownerChanged', {term: record.term, owner: record.vm});
    this.known = record;
    if (this.ownership !== null && this.ownership.term < record.term) {
      this.ownership.lose();
      this.dropOwner();
    }
    this.lastLinkedMs = this.deps.clock.monotonicMs();
    this.members.setOwner(toAddress(record));
  }

  private dropOwner(): void {
    this.owner?.close();
    this.owner = null;
    this.ownership = null;
    this.deps.log('ownerStopped', {});
  }

  private async beatLoop(): Promise<void> {
    while (!this.isClosed) {
      const {ownership} = this;
      if (ownership !== null && !ownership.isSuperseded) await ownership.beat();
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
    if (this.ownership !== null) return this.watchSelf(nowMs);
    if (this.isLinked()) {
      this.lastLinkedMs = nowMs;
      this.storedJobs.stop();
      return;
    }
    const aloneMs = nowMs - this.lastLinkedMs;
    if (aloneMs > DETACHED_MS) this.storedJobs.start();
    const isReleased = this.known === null || this.known.isReleased;
    if (isReleased || aloneMs > SUSPECT_MS) await this.seekOwner();
  }

  private async watchSelf(nowMs: number): Promise<void> {
    const {ownership} = this;
    if (ownership === null) return;
    if (ownership.isSuperseded) {
      this.dropOwner();
      this.lastLinkedMs = nowMs;
      return;
    }
    if (this.members.addresses().length > 0) {
      this.lastAccompaniedMs = nowMs;
      this.hasBeenAccompanied = true;
    }
    if (nowMs - this.ownedSinceMs > SETTLED_MS) await this.giveToLarger();
    const aloneMs = nowMs - this.lastAccompaniedMs;
    if (!this.hasBeenAccompanied || aloneMs < ALONE_MS) return;
    this.deps.log('ownerAlone', {
      term: ownership.term,
      aloneMs: Math.round(aloneMs),
    });
    this.hasBeenAccompanied = false;
    this.owner?.close();
    await ownership.release();
    this.known = {...this.deps.self, term: ownership.term, isReleased: true};
    this.dropOwner();
    await this.deps.clock.sleep(MAX_CLAIM_DELAY_MS);
  }

  /** Finds the owner, or claims the cell where it has none that lives. */
  private async seekOwner(): Promise<void> {
    const {clock} = this.deps;
    const sentMs = clock.monotonicMs();
    const reading = await readOwner(this.store);
    const rttMs = clock.monotonicMs() - sentMs;
    if (this.isKnownNow(reading)) return;
    if (reading.record?.vm === this.deps.self.vm) return this.claim(reading);
    // VMs near the store are first, so that claims do not race.
    const nearMs = Math.min(MAX_CLAIM_DELAY_MS, rttMs * CLAIM_DELAY_FACTOR);
    const isSmall = this.members.largestCores() > this.deps.cores;
    const delayMs = nearMs + (isSmall ? SMALL_DELAY_MS : 0);
    const isFree = reading.record === null || reading.record.isReleased;
    await clock.sleep(delayMs);
    if (this.isLinked()) return;
    if (isFree) return this.claim(reading);
    if (this.members.isOwnerSeen(reading.record?.term ?? 0)) return;
    await clock.sleep(this.members.count > 0 ? AGREED_MS : SILENT_OWNER_MS);
    // An owner that lives has written a heartbeat by now: then this fails.
    if (!this.isLinked()) await this.claim(reading);
  }

  /** Follows the owner that the store names, where it is a newer one. */
  private isKnownNow({record}: OwnerReading): boolean {
    if (record === null || record.isReleased) return false;
    if (record.term <= (this.known?.term ?? 0)) return false;
    // An own claim whose answer was lost, or one of an earlier run.
    if (record.vm === this.deps.self.vm) return false;
    this.follow(record);
    return true;
  }

  private async claim(reading: OwnerReading): Promise<void> {
    const {self, clock, log} = this.deps;
    const {record} = reading;
    if (this.isDraining) return;
    const ownership = await claimCell(this.store, clock, self, reading);
    if (ownership === null) return;
    if (this.hasToDrain()) return ownership.release();
    const isFormerStopped =
      record === null || record.isReleased || record.vm === self.vm;
    log('ownerClaimed', {
      term: ownership.term,
      former: record?.vm ?? '',
      isFormerStopped,
    });
    this.known = {...self, term: ownership.term, isReleased: false};
    this.ownership = ownership;
    this.hasBeenAccompanied = false;
    this.members.setOwner(toAddress(this.known));
    await this.runOwner(ownership, isFormerStopped);
  }

  /** Looked at anew after a wait, in which the process may be told to end. */
  private hasToDrain(): boolean {
    return this.isDraining;
  }

  private async runOwner(
    ownership: Ownership,
    isFormerStopped: boolean,
  ): Promise<void> {
    const {platform, clock, metrics, log} = this.deps;
    const owner = new Owner({
      platform,
      store: this.store,
      clock,
      metrics,
      log,
      ownership,
      isFormerStopped,
      isLinkedToAll: () => this.members.isLinkedToAll(),
      lanes: () => this.lanes(),
      publish: rows => this.publish(rows, ownership.term),
    });
    const isStarted = await startOwner(owner, this.config, clock, ownership);
    if (!isStarted || ownership.isSuperseded) {
      owner.close();
      this.dropOwner();
      return;
    }
    this.owner = owner;
    this.ownedSinceMs = clock.monotonicMs();
    if (this.config !== null) owner.setConfig(this.config);
    this.broadcast(this.heartbeat());
    this.publish(owner.allRows(), ownership.term);
    this.sendMembers();
  }

  private publish(rows: readonly JobRow[], term: number): void {
    for (const row of rows) this.table.set(row);
    this.broadcast({type: 'jobs', term, isFull: false, rows});
  }

  private lanes(): readonly AdviceLane[] {
    const {self, domain} = this.deps;
    const own: AdviceLane = {
      vm: self.vm,
      isNear: true,
      ask: (step, executorIds, timeoutMs) =>
        this.advise({step, executorIds, timeoutMs}),
    };
    const lanes = [own];
    for (const member of this.members.connected()) {
      if (member.isDraining) continue;
      lanes.push({
        vm: member.address.vm,
        isNear: member.domain === domain,
        ask: (step, executorIds, timeoutMs) =>
          askAdvice(member.connection, step, executorIds, timeoutMs),
      });
    }
    return lanes;
  }
}

/** Time that an answer of a peer may take on top of the call itself, in ms. */
const LANE_SLACK_MS = 150;

async function askAdvice(
  connection: CellConnection,
  step: string,
  executorIds: readonly string[],
  timeoutMs: number,
): ReturnType<AdviceLane['ask']> {
  const ask = {type: 'adviceAsk', step, executorIds, timeoutMs} as const;
  try {
    const reply = await connection.ask(ask, timeoutMs + LANE_SLACK_MS);
    return reply.type === 'advice' ? reply.tickets : null;
  } catch {
    // The desk asks another VM; the lost connection is logged where it ends.
    return null;
  }
}

/** Loads the owner's state, again where the store fails for a while. */
async function startOwner(
  owner: Owner,
  config: CellConfig | null,
  clock: Clock,
  ownership: Ownership,
): Promise<boolean> {
  while (!ownership.isSuperseded) {
    try {
      return await owner.start(config);
    } catch (err) {
      if (!(err instanceof StoreError)) throw err;
      await clock.sleep(WATCH_MS);
    }
  }
  return false;
}

function toAddress({vm, ip, port, incarnation}: OwnerAddress): OwnerAddress {
  return {vm, ip, port, incarnation};
}
