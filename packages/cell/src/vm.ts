/** One VM of the cell: wires up peers, configuration, election and callers. */
import {raise, type Clock, type Metrics} from '@dragonflyward/common';
import {notifyAll, type PeerLimit} from '@dragonflyward/peer';
import type {AdviceChannel} from './ticket-requester.js';
import {adviceChannels} from './advice-channels.js';
import {isJobId} from './checks.js';
import {describeError, keepRunning, runInBackground} from './background.js';
import {ConfigFeed} from './config-feed.js';
import {Election} from './election.js';
import type {DomainClosure} from './evacuation/index.js';
import {
  isAdmissionRequest,
  JobAdmission,
  type Admission,
  type AdmissionRequest,
} from './job-admission.js';
import {JobFrontend} from './job-frontend.js';
import {JobLookup} from './job-lookup.js';
import {JobTable} from './job-table.js';
import {
  MemberHandler,
  Members,
  type CellConnection,
  type CellPeerInfo,
} from './members.js';
import type {Ticket} from './executor-client.js';
import type {
  AdviceAsk,
  CellHeartbeat,
  CellHello,
  CellProtocol,
  JobRow,
  JobsNotice,
} from './messages.js';
import {Owner} from './owner.js';
import {isHeartbeat} from './owner-record-checks.js';
import {toAddress, type OwnerAddress, type Ownership} from './ownership.js';
import {PeerStoreCalls} from './peer-calls/index.js';
import {PeerClosures} from './peer-closures.js';
import type {LogFunction, Platform} from './platform.js';
import {jobsTopicFor} from './records.js';
import {RelayedStore} from './relayed-store.js';
import {RowPublisher, type RowReceiver} from './row-publisher.js';
import {StoreError} from './store.js';
import {StoredJobs} from './stored-jobs.js';
import {TableFreshness} from './table-freshness.js';
import type {ExecutorSilence} from './tenure.js';
import {isFinal, type CellConfig} from './types.js';

/** Delay before a failed load of the owner's state is retried, in ms. */
const LOAD_RETRY_DELAY_MS = 100;

const NO_SILENCE: ExecutorSilence = {silent: 0, total: 0};

/** Dependencies of a VM. */
export interface VmDeps {
  readonly self: OwnerAddress;
  readonly domain: string;
  /** Number of cores that the VM may use. */
  readonly cores: number;
  readonly seeds: readonly OwnerAddress[];
  readonly platform: Platform;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: LogFunction;
  /** Connections that other processes may open; no bound if missing. */
  readonly maxPeerConnections?: number;
}

/** The process of the cell on one VM. */
export class Vm extends MemberHandler {
  readonly frontend: JobFrontend;
  private readonly table: JobTable;
  private readonly admission: JobAdmission;
  private readonly members: Members;
  private readonly peerClosures: PeerClosures;
  private readonly store: RelayedStore;
  private readonly storeCalls: PeerStoreCalls;
  private readonly config: ConfigFeed;
  private readonly storedJobs: StoredJobs;
  private readonly lookups: JobLookup;
  private readonly freshness: TableFreshness;
  private readonly election: Election;
  private owner: Owner | null = null;
  /** An owner that still loads its state. */
  private loading: Owner | null = null;
  /** Publishes the jobs of the owner on this VM, or of the last one. */
  private publisher: RowPublisher<CellConnection> | null = null;

  constructor(private readonly deps: VmDeps) {
    super();
    const {self, seeds, platform, clock, metrics, log} = deps;
    const {maxPeerConnections} = deps;
    this.table = new JobTable(clock);
    this.freshness = new TableFreshness(clock);
    this.peerClosures = new PeerClosures(deps);
    this.members = new Members(self, this, seeds, clock, maxPeerConnections);
    this.store = new RelayedStore(
      platform.store,
      () => this.members.storePeers(),
      clock,
      () => this.members.ownerStore(),
    );
    this.storeCalls = new PeerStoreCalls(platform.store, clock, metrics);
    this.config = new ConfigFeed({
      platform,
      store: this.store,
      members: this.members,
      clock,
      log,
      onConfig: config => {
        this.owner?.setConfig(config);
        this.broadcast(this.heartbeat());
      },
      onClosure: (closure, offset) => this.applyClosure(closure, offset),
    });
    metrics.gauge('config_version', () => this.config.version);
    metrics.gauge('config_lag_ms', () => this.config.lagMs);
    metrics.gauge('config_read_age_ms', () => this.config.readAgeMs);
    metrics.gauge(
      'closed_domains',
      () => this.config.closedDomains.list.length,
    );
    metrics.gauge(
      'steps_waiting_for_closed_domains',
      () => this.owner?.closedWaits ?? 0,
    );
    this.storedJobs = new StoredJobs(this.store, clock, this.table, log);
    this.lookups = new JobLookup({
      owner: () => this.owner,
      ownerConnection: () => this.election.ownerConnection(),
      term: () => this.election.term,
      storedJobs: this.storedJobs,
      clock,
      log,
    });
    this.admission = new JobAdmission({
      table: this.table,
      clock,
      vmCount: () => this.members.knownCount,
      isOwner: () => this.owner !== null,
      askOwner: (req, timeoutMs) => this.askAdmission(req, timeoutMs),
    });
    this.frontend = new JobFrontend({
      store: this.store,
      jobsTopic: jobsTopicFor(self.vm),
      clock,
      metrics,
      log,
      table: this.table,
      admission: this.admission,
      lookup: (id, timeoutMs) => this.lookups.find(id, timeoutMs),
      notifyJob: (id, value) => this.notifyJob(id, value),
      notifyCancel: id => this.notifyCancel(id),
      storeMs: () => this.members.ownerStore()?.callMs ?? this.store.callMs,
      isTableFresh: () => this.isTableFresh(),
    });
    const {store, members} = this;
    this.election = new Election(
      {...deps, store, members},
      {
        becomeOwner: ownership => this.becomeOwner(ownership),
        loadProgressMs: () => this.loading?.loadProgressMs ?? -Infinity,
        executorSilence: () => this.owner?.executorSilence ?? NO_SILENCE,
        hasConfig: () => this.config.current !== null,
        stopActing: () => this.closeOwners(),
        describeOrders: () => this.owner?.describeOrders() ?? null,
        discardOwner: () => {
          this.owner = null;
        },
        setDetached: isDetached => this.setDetached(isDetached),
        announce: () => this.broadcast(this.heartbeat()),
      },
    );
  }

  /** Starts to listen, to follow the configuration and to watch the owner. */
  async start(): Promise<void> {
    await this.members.start();
    this.config.start();
    this.election.start();
  }

  /** Leaves the elections and hands the cell over. */
  drain(): Promise<void> {
    return this.election.drain();
  }

  /** The configuration in force, or null before the first. */
  get currentConfig(): CellConfig | null {
    return this.config.current;
  }

  /**
   * Whether this VM is ready to serve callers. It is while the owner that it is
   * connected to loads the state: it stores jobs and answers from the store.
   */
  get isReady(): boolean {
    if (this.election.isDraining || this.config.current === null) return false;
    return this.owner !== null || this.election.hasOwner();
  }

  /** Stops everything that the VM runs. */
  close(): void {
    this.election.close();
    this.closeOwners();
    this.config.stop();
    this.storedJobs.stop();
    this.members.close();
  }

  override hello(): CellHello {
    const {self, domain, cores} = this.deps;
    return {type: 'hello', self, domain, cores};
  }

  override heartbeat(): CellHeartbeat {
    const {knownOwner, isDraining, isOwner, storedEndOffset} = this.election;
    return {
      type: 'heartbeat',
      owner:
        knownOwner === null || knownOwner.isReleased
          ? null
          : toAddress(knownOwner),
      term: knownOwner?.term ?? 0,
      configVersion: this.config.version,
      isStoreOk: this.store.isReachable,
      storeMs: Math.round(this.store.callMs),
      isDraining,
      isOwnerSeen: isOwner || this.election.hasOwner(),
      hasLoadFailed: this.election.hasLoadFailed,
      isActing: this.owner !== null,
      ...(storedEndOffset === undefined ? {} : {storedEndOffset}),
    };
  }

  override async handleAsk(
    from: CellPeerInfo,
    ask: CellProtocol['ask'],
  ): Promise<CellProtocol['reply']> {
    switch (ask.type) {
      case 'phaseAsk':
        return {type: 'phase', ...(await this.lookups.answer(ask.id))};
      case 'adviceAsk':
        return {type: 'advice', tickets: await this.advise(ask)};
      case 'admissionAsk': {
        const {req} = ask;
        const mayGrant = this.owner !== null && isAdmissionRequest(req);
        const admission = mayGrant ? this.admission.grant(req) : null;
        return {type: 'admission', admission};
      }
      case 'configAsk':
        return {type: 'config', value: this.config.stored};
      case 'storeAsk':
        return this.storeCalls.make(from.self.vm, ask.call);
    }
  }

  override handleNotice(
    from: CellPeerInfo,
    notice: CellProtocol['notice'],
  ): void {
    switch (notice.type) {
      case 'heartbeat':
        return this.handleHeartbeat(from, notice);
      case 'job':
        return this.addNotifiedJob(from, notice.value);
      case 'cancel':
        return this.addNotifiedCancel(notice.id);
      case 'jobs':
        return this.handleJobRows(notice);
      case 'members':
        return this.members.setKnownMembers(notice.members);
      case 'handover':
        return this.election.acceptHandover(notice);
    }
  }

  override onMessageError = (
    from: CellPeerInfo | undefined,
    err: unknown,
  ): void => {
    const vm = from?.self.vm ?? '';
    this.deps.log('peerMessageFailed', {vm, err: describeError(err)});
  };

  override onLimitExceeded = (limit: PeerLimit): void =>
    this.peerClosures.record(limit);

  override onPeerUp(connection: CellConnection): void {
    this.members.add(connection);
    this.logPeer('peerConnected', connection);
    if (connection.info !== undefined) {
      this.election.recordProcess(connection.info.self);
    }
    connection.notify(this.heartbeat());
  }

  override onPeerDown(connection: CellConnection): void {
    this.members.remove(connection);
    this.logPeer('peerLost', connection);
    const isOwner = connection.info?.self.vm === this.election.knownOwner?.vm;
    if (isOwner && !this.election.hasOwner()) this.broadcast(this.heartbeat());
  }

  private logPeer(
    event: 'peerConnected' | 'peerLost',
    {info}: CellConnection,
  ): void {
    const vm = info?.self.vm ?? '';
    const isOwner = vm === this.election.knownOwner?.vm;
    this.deps.log(event, {vm, isOwner, connected: this.members.count});
  }

  private async askAdmission(
    req: AdmissionRequest,
    timeoutMs: number,
  ): Promise<Admission | null> {
    const connection = this.election.ownerConnection();
    if (connection === undefined) return null;
    try {
      const ask = {type: 'admissionAsk', req} as const;
      const reply = await connection.ask(ask, timeoutMs);
      return reply.type === 'admission' ? reply.admission : null;
    } catch (err) {
      this.deps.log('admissionAskFailed', {job: req.id, err: String(err)});
      return null;
    }
  }

  private async advise(
    ask: Omit<AdviceAsk, 'type'>,
  ): Promise<readonly Ticket[] | null> {
    const {advice} = this.deps.platform;
    if (advice === null) return null;
    return advice.advise(ask.step, ask.executorIds, ask.timeoutMs);
  }

  private handleHeartbeat(from: CellPeerInfo, heartbeat: CellHeartbeat): void {
    if (!isHeartbeat(heartbeat)) return raise('badRequest', 'not a heartbeat');
    this.members.recordHeartbeat(from.self.vm, heartbeat);
    this.election.recordHeartbeat(from.self, heartbeat);
    runInBackground(
      'configRequest',
      this.config.recordPeerVersion(from.self, heartbeat.configVersion),
      this.deps.log,
    );
  }

  private handleJobRows(notice: JobsNotice): void {
    const {term} = notice;
    // A former owner may be late; of its rows, only those of ends still hold.
    const isLate = term < this.freshness.fullUpdateTerm;
    const isFull = notice.isFull && !isLate;
    const rows = isLate
      ? notice.rows.filter(({phase}) => isFinal(phase))
      : notice.rows;
    if (isFull) this.table.replaceOpen(rows);
    else for (const row of rows) this.table.set(row);
    for (const {id} of rows) {
      this.freshness.recordPublished(id);
      this.table.confirm(id);
    }
    if (isFull) this.freshness.recordFullUpdate(term);
  }

  private addNotifiedJob({self}: CellPeerInfo, value: Uint8Array): void {
    const id = this.owner?.addStoredJob(value) ?? null;
    if (id !== null) this.publisher?.recordTaker(id, self.vm);
  }

  private addNotifiedCancel(id: string): void {
    if (!isJobId(id)) return raise('badRequest', 'not the id of a job');
    this.owner?.addStoredCancel(id);
  }

  private isTableFresh(): boolean {
    const connectedTerm = this.election.hasOwner() ? this.election.term : 0;
    const knowsAllJobs =
      this.owner?.isJobListFresh ?? this.storedJobs.checkFresh();
    return this.freshness.isFresh({
      connectedTerm,
      knowsAllJobs,
    });
  }

  private setDetached(isDetached: boolean): void {
    if (isDetached) this.storedJobs.start();
    else this.storedJobs.stop();
  }

  private broadcast(notice: CellProtocol['notice']): void {
    const members = [...this.members.connected()];
    notifyAll(
      members.map(({connection}) => connection),
      notice,
    );
  }

  private sendMembers(): void {
    const members = this.members.listed(this.deps.cores);
    this.members.setKnownMembers(members);
    this.broadcast({type: 'members', members});
  }

  private notifyJob(id: string, value: Uint8Array): void {
    if (this.owner !== null) return void this.owner.addStoredJob(value);
    this.freshness.recordNotified(id);
    this.election.ownerConnection()?.notify({type: 'job', value});
  }

  private notifyCancel(id: string): void {
    if (this.owner !== null) return this.owner.addStoredCancel(id);
    this.election.ownerConnection()?.notify({type: 'cancel', id});
  }

  private closeOwners(): void {
    this.publisher?.close();
    this.owner?.close();
    this.loading?.close();
  }

  private applyClosure(
    {domain, isClosed}: DomainClosure,
    offset: number,
  ): void {
    this.owner?.updateClosedDomains();
    this.loading?.updateClosedDomains();
    // Only the owner knows what runs there.
    const use = this.owner?.describeDomain(domain) ?? {};
    const event = isClosed ? 'domainClosed' : 'domainOpened';
    this.deps.log(event, {domain, offset, ...use});
  }

  private async becomeOwner(ownership: Ownership): Promise<boolean> {
    const owner = this.createOwner(ownership);
    // Its own load needs the link.
    this.storedJobs.stop();
    this.loading = owner;
    const isStarted = await this.loadOwner(owner, ownership);
    if (this.loading === owner) this.loading = null;
    if (!isStarted || ownership.isRevoked) {
      owner.close();
      return false;
    }
    this.owner = owner;
    const {current} = this.config;
    if (current !== null) owner.setConfig(current);
    this.broadcast(this.heartbeat());
    this.publisher = this.startPublisher(owner);
    this.table.replaceOpen(owner.currentRows());
    this.table.confirmAll();
    this.freshness.recordFullUpdate(owner.state.term);
    return true;
  }

  private startPublisher(owner: Owner): RowPublisher<CellConnection> {
    const publisher = new RowPublisher<CellConnection>({
      clock: this.deps.clock,
      term: owner.state.term,
      receivers: () => this.connections(),
      currentRows: () => owner.currentRows(),
      send: notifyAll,
      onNewReceivers: () => this.sendMembers(),
    });
    void keepRunning('publisher', () => publisher.run(), this.deps);
    return publisher;
  }

  private *connections(): Generator<RowReceiver<CellConnection>> {
    for (const {address, connection} of this.members.connected()) {
      yield {vm: address.vm, connection};
    }
  }

  private createOwner(ownership: Ownership): Owner {
    const {platform, clock, metrics, log, self, domain} = this.deps;
    const {store, members, config} = this;
    const ask: AdviceChannel['ask'] = (step, executorIds, timeoutMs) =>
      this.advise({step, executorIds, timeoutMs});
    const channelDeps = {vm: self.vm, domain, members, ask};
    return new Owner({
      platform,
      store,
      clock,
      metrics,
      log,
      ownership,
      isConnectedToAll: () => members.isConnectedToAll(),
      closedDomains: config.closedDomains,
      areClosuresKnown: () => !platform.mayCloseDomains || config.isLoaded,
      adviceChannels: () => [...adviceChannels(channelDeps)],
      publish: rows => this.publish(rows),
    });
  }

  /** Loads the owner's state; retries while the store fails. */
  private async loadOwner(
    owner: Owner,
    ownership: Ownership,
  ): Promise<boolean> {
    while (!ownership.isRevoked) {
      try {
        return await owner.start(this.config.current);
      } catch (err) {
        if (!(err instanceof StoreError)) throw err;
        if (ownership.isRevoked) break;
        const {failure} = err;
        this.deps.log('ownerLoadFailed', {failure, ...owner.describeLoad()});
        await this.deps.clock.sleep(LOAD_RETRY_DELAY_MS);
      }
    }
    return false;
  }

  private publish(rows: readonly JobRow[]): void {
    for (const row of rows) {
      this.table.set(row);
      this.table.confirm(row.id);
    }
    this.publisher?.publish(rows);
  }
}
