/** The gateway process: its components, start and graceful shutdown. */
import type http from 'node:http';
import {
  EventRing,
  HybridClock,
  logCounters,
  makeLogger,
  Metrics,
  serveAdmin,
  SystemClock,
  type Logger,
  type ProcessRef,
  type ProcessSettings,
} from '@dragonflyward/common';
import {HttpLogClient} from '@dragonflyward/log';
import {PeerMesh, type PeerAsk, type PeerReply} from '@dragonflyward/peer';
import {HttpExecutorClient} from '@dragonflyward/target';
import {HttpVmListClient} from '@dragonflyward/vms';
import {CallerRoutes} from './caller-routes.js';
import {CallerServer} from './caller-server.js';
import {ConfigFeed, MeshConfigPeers} from './config-feed.js';
import {idleConnectionsPerExecutor} from './idle-connections.js';
import {GatewayPeerHandler} from './gateway-peer-handler.js';
import {JobRoutes, ShardClient} from './job-routes.js';
import {MeshTicketSource} from './mesh-ticket-source.js';
import {OwnerDirectory} from './owner-directory.js';
import {RequestRelay} from './request-relay.js';
import {TicketRegistry} from './ticket-registry.js';
import {VmView} from './vm-view.js';

/** Forwards the requests of the job API to shard owners. */
class MeshShardClient extends ShardClient {
  constructor(
    private readonly tickets: MeshTicketSource,
    private readonly vms: VmView,
    override readonly ownDomain: string,
  ) {
    super();
  }

  override request(
    shard: string,
    request: PeerAsk,
    timeoutMs: number,
  ): Promise<PeerReply> {
    return this.tickets.request(shard, request, timeoutMs);
  }

  override domains(): readonly string[] {
    return this.vms.domains();
  }
}

/** One gateway process. */
export class Gateway {
  private readonly clock = new SystemClock();
  private readonly startedMs = this.clock.monotonicMs();
  private readonly metrics = new Metrics();
  private readonly self: ProcessRef;
  private readonly events: EventRing;
  private readonly logger: Logger;
  private readonly owners = new OwnerDirectory();
  private readonly registry = new TicketRegistry(this.clock);
  private readonly executors: HttpExecutorClient;
  private readonly vms: VmView;
  private readonly mesh: PeerMesh;
  private readonly config: ConfigFeed;
  private readonly tickets: MeshTicketSource;
  private readonly server: CallerServer;
  private admin: http.Server | undefined;
  private isDraining = false;

  constructor(private readonly settings: ProcessSettings) {
    const {clock, metrics, owners, registry} = this;
    const {vm, timing} = settings;
    this.self = {vm: vm.id, incarnation: Date.now()};
    const name = `dragonflyward-gateway@${vm.id}`;
    this.events = new EventRing(name, new HybridClock(clock));
    this.logger = makeLogger(name, settings.logLevel);
    const options = {localAddress: vm.ip};
    this.executors = new HttpExecutorClient(options);
    this.mesh = new PeerMesh(this.createPeerHandler(), clock);
    const list = new HttpVmListClient(settings.vmListUrl, options);
    this.vms = new VmView(list, clock, vm, () => {
      this.applyVmList();
    });
    this.config = new ConfigFeed({
      log: new HttpLogClient(settings.logUrl, options),
      clock,
      events: this.events,
      metrics,
      peers: new MeshConfigPeers(this.mesh, this.vms, vm.id),
      domain: vm.domain,
      maxAgeMs: timing.configMaxAgeMs,
    });
    const {mesh, vms, config, executors, events} = this;
    this.tickets = new MeshTicketSource({clock, mesh, owners, registry, vms});
    const {tickets} = this;
    const routes = new CallerRoutes({
      relay: new RequestRelay({
        clock,
        metrics,
        events,
        config,
        tickets,
        executors,
      }),
      jobs: new JobRoutes(config, new MeshShardClient(tickets, vms, vm.domain)),
      metrics,
      events,
    });
    this.server = new CallerServer((req, res) => {
      void routes.serve(req, res);
    }, metrics);
  }

  /** Starts the servers and the periodic reads. */
  async start(): Promise<void> {
    const {vm, ports, timing} = this.settings;
    const {metrics, events} = this;
    this.admin = await serveAdmin(vm.ip, ports.gatewayAdmin, {
      metrics,
      events,
      isReady: () => this.isReady(),
      status: () => this.status(),
    });
    this.config.start();
    this.vms.start(timing.vmListPeriodMs);
    await this.server.listen(vm.ip, ports.gateway);
    logCounters(this.logger, metrics);
    metrics.gauge('tickets_open', () => this.registry.size());
    metrics.gauge('config_offset', () => this.config.state.nextOffset);
    events.add('processStarted', {}, 'gateway');
    this.logger.info('started');
  }

  /** Whether callers' requests can be served. */
  isReady(): boolean {
    if (this.isDraining || this.owners.isEmpty()) return false;
    return this.config.isApplied() && this.config.isFresh();
  }

  /**
   * Shuts down gracefully: reports not ready, keeps serving until the load
   * balancer has noticed, and closes once all open requests are answered.
   *
   * @example
   * onTermination(() => gateway.drain(), timing.drainBoundMs);
   */
  async drain(): Promise<void> {
    this.isDraining = true;
    this.events.add('processDraining', {}, 'gateway');
    this.logger.info('draining');
    this.server.startDraining();
    await this.clock.sleep(this.settings.timing.balancerDelayMs);
    await this.server.close();
    this.config.stop();
    this.vms.stop();
    this.executors.close();
    this.mesh.close();
    this.admin?.close();
    this.events.add('processStopped', {}, 'gateway');
    this.logger.info('stopped');
  }

  private createPeerHandler(): GatewayPeerHandler {
    return new GatewayPeerHandler({
      self: this.self,
      events: this.events,
      owners: this.owners,
      registry: this.registry,
      listClaims: shard => this.tickets.listClaims(shard),
      upMs: () => this.clock.monotonicMs() - this.startedMs,
      configOffset: () => this.config.state.nextOffset,
      configAgeMs: () => this.config.ageMs(),
      isDraining: () => this.isDraining,
      onOwnerHeartbeat: shards => {
        for (const shard of shards) {
          this.tickets.sendPendingCloses(shard);
          this.tickets.sendPendingReleases(shard);
        }
      },
    });
  }

  private applyVmList(): void {
    const entries = this.vms.entryVms();
    const port = this.settings.ports.scheduler;
    this.mesh.setPeers(entries.map(({id, ip}) => ({vm: id, ip, port})));
    const maxIdle = idleConnectionsPerExecutor(
      this.vms.executors(),
      entries.length,
    );
    this.executors.setMaxIdleConnections(maxIdle);
  }

  private status(): Readonly<Record<string, unknown>> {
    return {
      process: this.self,
      role: 'gateway',
      isReady: this.isReady(),
      isDraining: this.isDraining,
      configOffset: this.config.state.nextOffset,
      configRevision: this.config.state.revision,
      configAgeMs: this.config.ageMs(),
      isConfigFresh: this.config.isFresh(),
      owners: this.owners.list(),
      openTickets: this.registry.size(),
      openRequests: this.server.openRequests(),
    };
  }
}
