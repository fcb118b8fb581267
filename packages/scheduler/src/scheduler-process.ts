/** The scheduler process: connects the log, VM list, peers and shards. */
import {
  EventRing,
  HybridClock,
  logCounters,
  makeLogger,
  Metrics,
  raise,
  serveAdmin,
  SystemClock,
  type Logger,
  type ProcessRef,
  type ProcessSettings,
} from '@dragonflyward/common';
import {HttpLogClient} from '@dragonflyward/log';
import {listenPeers, PeerMesh, type PeerAddress} from '@dragonflyward/peer';
import type {JobStatus} from '@dragonflyward/state';
import {HttpWorkerClient} from '@dragonflyward/target';
import {HttpVmListClient, type VmEntry} from '@dragonflyward/vms';
import {AllowanceService} from './allowance-service.js';
import {ConfigFeed} from './config-feed.js';
import {Membership} from './membership.js';
import {SchedulerPeerHandler} from './scheduler-peer-handler.js';
import {ShardReplica} from './shard-replica.js';
import type {TicketIssuer} from './ticket-issuer.js';

const HANDOVER_TIMEOUT_MS = 10_000;
const EXPORT_CLAIMS_TIMEOUT_MS = 3_000;
const HANDOVER_CHECK_MS = 50;
const RETURN_CHECK_MS = 1_000;
/** A scheduler must run this long before it gets its domain's shard. */
const SETTLED_MS = 3_000;

/** One running scheduler. */
export class SchedulerProcess {
  readonly self: ProcessRef;
  readonly metrics = new Metrics();
  readonly events: EventRing;
  private readonly clock = new SystemClock();
  private readonly hybridClock = new HybridClock(this.clock);
  private readonly logger: Logger;
  private readonly membership: Membership;
  private readonly log: HttpLogClient;
  private readonly vmList: HttpVmListClient;
  private readonly config: ConfigFeed;
  private readonly shards = new Map<string, ShardReplica>();
  private readonly handler: SchedulerPeerHandler;
  private readonly mesh: PeerMesh;
  private readonly allowances: AllowanceService;
  private isDraining = false;
  private isStopped = false;

  constructor(private readonly cfg: ProcessSettings) {
    const {vm, logUrl, vmListUrl, logLevel} = cfg;
    const name = `scheduler@${vm.id}`;
    const {clock, metrics} = this;
    this.self = {vm: vm.id, incarnation: Date.now()};
    this.events = new EventRing(name, this.hybridClock);
    this.logger = makeLogger(name, logLevel);
    this.membership = new Membership(this.self, clock);
    const bind = {localAddress: vm.ip};
    this.log = new HttpLogClient(logUrl, bind);
    this.vmList = new HttpVmListClient(vmListUrl, bind);
    this.handler = this.makeHandler();
    this.mesh = new PeerMesh(this.handler, clock);
    const {log, events, membership, mesh} = this;
    this.config = new ConfigFeed({
      ...{log, clock, events, metrics, membership, mesh},
      ownVm: vm.id,
      domain: vm.domain,
      maxAgeMs: cfg.timing.configMaxAgeMs,
      isSnapshotAllowed: () => this.allowances.plannerTerm() !== undefined,
    });
    this.allowances = new AllowanceService({
      ...{mesh, log, membership, clock, events, metrics},
      config: this.config.state,
      shards: this.shards,
    });
  }

  /** Starts the process; returns once the ports are open. */
  async start(): Promise<void> {
    const {vm, ports} = this.cfg;
    this.config.start();
    this.allowances.start();
    await listenPeers(vm.ip, ports.scheduler, this.handler);
    await serveAdmin(vm.ip, ports.schedulerAdmin, {
      metrics: this.metrics,
      events: this.events,
      isReady: () => this.isReady(),
      status: () => this.status(),
      explain: jobId => this.explain(jobId),
    });
    logCounters(this.logger, this.metrics);
    this.events.add('processStarted', {});
    this.logger.info({vm: vm.id}, 'started');
    void this.followVmList();
    void this.returnShards();
  }

  /** Hands over all shards, then stops. */
  async drain(): Promise<void> {
    this.isDraining = true;
    this.events.add('processDraining', {});
    this.logger.info('draining');
    const handovers = [...this.shards.values()].map(replica =>
      this.handOver(replica),
    );
    await Promise.all(handovers);
    this.isStopped = true;
    for (const replica of this.shards.values()) replica.stop();
    this.allowances.stop();
    this.config.stop();
    this.mesh.close();
    this.events.add('processStopped', {});
  }

  private makeHandler(): SchedulerPeerHandler {
    return new SchedulerPeerHandler({
      self: this.self,
      hybridClock: this.hybridClock,
      membership: this.membership,
      config: () => this.config,
      shards: this.shards,
      isDraining: () => this.isDraining,
      recordDemand: report => {
        this.allowances.recordReport(report);
      },
    });
  }

  private isReady(): boolean {
    return !this.isDraining && this.config.state.nextOffset > 0;
  }

  private async handOver(shard: ShardReplica): Promise<void> {
    if (!shard.isActive) return;
    const {issuer: old} = shard;
    const [next, ...others] = shard.handoverCandidates();
    if (next === undefined) return;
    const endMs = this.clock.monotonicMs() + HANDOVER_TIMEOUT_MS;
    while (shard.isActive && this.clock.monotonicMs() < endMs) {
      await shard.ownership.handOver(next, others).catch(() => undefined);
      await this.clock.sleep(HANDOVER_CHECK_MS);
    }
    if (!shard.isActive && old !== undefined) await this.sendClaims(old, next);
  }

  /** Sends the claims to the next owner, so that it detects duplicates. */
  private async sendClaims(
    issuer: TicketIssuer,
    successor: ProcessRef,
  ): Promise<void> {
    const claims = issuer.exportClaims();
    if (claims === undefined) return;
    await this.mesh
      .connectionTo(successor.vm)
      ?.ask(claims, EXPORT_CLAIMS_TIMEOUT_MS)
      .catch(() => undefined);
  }

  /** Returns shards of other failure domains to schedulers in them. */
  private async returnShards(): Promise<void> {
    while (!this.isStopped) {
      await this.clock.sleep(RETURN_CHECK_MS);
      for (const [shard, replica] of this.shards) {
        if (this.isReturnDue(shard, replica)) await this.handOver(replica);
      }
    }
  }

  private isReturnDue(shard: string, replica: ShardReplica): boolean {
    if (shard === this.cfg.vm.domain || !replica.isActive) return false;
    const [successor] = replica.handoverCandidates();
    if (successor === undefined) return false;
    return this.membership.isSettledIn(shard, successor, SETTLED_MS);
  }

  private async followVmList(): Promise<void> {
    while (!this.isStopped) {
      const sentMs = this.clock.monotonicMs();
      try {
        this.membership.setVms(await this.vmList.list(), sentMs);
        this.updatePeers();
      } catch {
        this.metrics.count('vm_list_failures_total');
      }
      await this.clock.sleep(this.cfg.timing.vmListPeriodMs);
    }
  }

  private updatePeers(): void {
    const {ports} = this.cfg;
    const addresses: PeerAddress[] = [];
    for (const entry of this.membership.entryVms()) {
      if (entry.id === this.self.vm) continue;
      addresses.push({vm: entry.id, ip: entry.ip, port: ports.scheduler});
    }
    this.mesh.setPeers(addresses);
    this.updateShards();
  }

  private updateShards(): void {
    if (this.isDraining) return;
    for (const shard of this.membership.domains()) {
      const rank = this.rankIn(shard);
      const replica = this.shards.get(shard);
      if (rank >= 0 && replica === undefined) this.addShard(shard, rank);
      if (rank < 0 && replica !== undefined && !replica.isOwnerOrSuccessor) {
        replica.stop();
        this.shards.delete(shard);
      }
    }
  }

  private rankIn(shard: string): number {
    const followers = this.membership.followers(shard);
    return followers.findIndex(vm => vm.id === this.self.vm);
  }

  private addShard(shard: string, rank: number): void {
    const {self, log, membership, mesh, clock, events, metrics} = this;
    const bind = {localAddress: this.cfg.vm.ip};
    const replica = new ShardReplica({
      ...{shard, rank, self, log, membership, mesh, clock, events, metrics},
      config: this.config.state,
      allowances: this.allowances,
      timing: this.cfg.timing,
      makeWorkerClient: (vm: VmEntry, name: string) =>
        new HttpWorkerClient(vm.ip, vm.port, name, bind),
    });
    this.shards.set(shard, replica);
    void replica.run();
  }

  private explain(jobId: string): JobStatus {
    for (const {owner, shardState} of this.shards.values()) {
      if (owner !== undefined && shardState.jobs.has(jobId)) {
        return owner.jobs.status(jobId);
      }
    }
    return raise('jobUnknown', jobId);
  }

  private status(): Readonly<Record<string, unknown>> {
    const nowMs = this.clock.monotonicMs();
    return {
      process: this.self,
      role: 'scheduler',
      isReady: this.isReady(),
      isDraining: this.isDraining,
      configOffset: this.config.state.nextOffset,
      configRevision: this.config.state.revision,
      configAgeMs: this.config.readAgeMs(),
      shards: [...this.shards].map(([shard, replica]) => ({
        shard,
        term: replica.shardState.term,
        owner: replica.shardState.owner,
        successors: replica.shardState.successors,
        isActive: replica.isActive,
        isDomainClosed: this.config.state.isDomainClosed(shard),
        offset: replica.shardState.nextOffset,
        logAgeMs: nowMs - replica.tail.lastCaughtUpMs,
        ...replica.owner?.summary(),
      })),
    };
  }
}
