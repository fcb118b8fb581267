/** One scheduler's replica of a shard: its stream, ownership and owner. */
import {
  addResources,
  fitsIn,
  NO_RESOURCES,
  type Clock,
  type EventRing,
  type Metrics,
  type ProcessRef,
  type Resources,
  type TimingSettings,
} from '@dragonflyward/common';
import {StreamTail, StreamWriter, type LogClient} from '@dragonflyward/log';
import type {
  OpenTicketsAsk,
  PeerConnection,
  PeerMesh,
  RequestClaims,
  TeamWants,
} from '@dragonflyward/peer';
import {FairShareEngine} from '@dragonflyward/policy';
import {
  ShardAllowances,
  shardStream,
  ShardOwnership,
  ShardState,
  SnapshotTask,
  type Allowance,
  type ConfigState,
} from '@dragonflyward/state';
import type {WorkerClient} from '@dragonflyward/target';
import type {VmEntry} from '@dragonflyward/vms';
import type {AllowanceView} from './allowance-view.js';
import type {Membership} from './membership.js';
import {MeshOwnershipPeers} from './ownership-peers.js';
import {policyQueues, policyTeams} from './policy-config.js';
import {ShardOwner} from './shard-owner.js';
import {TicketIssuer} from './ticket-issuer.js';

const CHECK_PERIOD_MS = 50;
const REFRESH_PERIOD_MS = 500;
const TAIL_WAIT_MS = 500;
const ALLOWANCE_RETRY_MS = 200;
const IMPORT_TIMEOUT_MS = 2_000;
const MAX_SUCCESSOR_SILENCE_MS = 2_000;
/** Size of each term's range of task numbers, so that ids never collide. */
export const TASK_NUMBERS_PER_TERM = 2 ** 32;

/** Dependencies of a shard replica. */
export interface ShardReplicaParts {
  readonly shard: string;
  readonly self: ProcessRef;
  /** This VM's rank among the shard's followers; 0 is the best. */
  readonly rank: number;
  readonly log: LogClient;
  readonly config: ConfigState;
  readonly allowances: AllowanceView;
  readonly membership: Membership;
  readonly mesh: PeerMesh;
  readonly clock: Clock;
  readonly timing: TimingSettings;
  readonly events: EventRing;
  readonly metrics: Metrics;
  readonly makeWorkerClient: (vm: VmEntry, shard: string) => WorkerClient;
}

/** Follows one shard, and serves it while this process owns it. */
export class ShardReplica {
  readonly shardState: ShardState;
  readonly ownership: ShardOwnership;
  readonly tail: StreamTail;
  owner: ShardOwner | undefined;
  issuer: TicketIssuer | undefined;
  private readonly writer: StreamWriter;
  private activeTerm = 0;
  private activeSinceMs = Infinity;
  private isStopped = false;
  private refreshedMs = -Infinity;

  constructor(private readonly parts: ShardReplicaParts) {
    const {shard, log, clock, metrics, events, self, timing} = parts;
    metrics.gauge(`domain_closed{shard="${shard}"}`, () =>
      Number(parts.config.isDomainClosed(shard)),
    );
    this.shardState = new ShardState();
    this.tail = new StreamTail({
      client: log,
      stream: shardStream(shard),
      state: this.shardState,
      clock,
      waitMs: TAIL_WAIT_MS,
      onApplied: (record, result) => {
        metrics.count(`shard_records_total{result="${result}"}`);
        if (result === 'skipped') events.add('recordSkipped', {shard});
        if (result === 'applied') this.owner?.applied(record);
      },
    });
    this.writer = new StreamWriter({
      client: log,
      stream: shardStream(shard),
      tail: this.tail,
      clock,
    });
    const peers = new MeshOwnershipPeers(shard, parts.membership, parts.mesh);
    this.ownership = new ShardOwnership({
      ...{shard, self, clock, log, peers, timing, events},
      tail: this.tail,
      state: this.shardState,
      rank: parts.rank,
    });
  }

  /** Whether this process owns the shard and may act for it. */
  get isActive(): boolean {
    return this.owner?.mayAct() ?? false;
  }

  /** Whether this process must continue to follow the shard's stream. */
  get isOwnerOrSuccessor(): boolean {
    const {vm} = this.parts.self;
    if (this.shardState.owner?.vm === vm) return true;
    return this.shardState.successors.some(process => process.vm === vm);
  }

  /** The running schedulers that could take over the shard, best first. */
  handoverCandidates(): readonly ProcessRef[] {
    const {membership, shard} = this.parts;
    const others = membership.otherFollowers(shard, MAX_SUCCESSOR_SILENCE_MS);
    return others.filter(process => membership.canReadLog(process));
  }

  /** Runs until it is stopped. */
  async run(): Promise<void> {
    this.tail.start();
    void this.ownership.run();
    void this.snapshotLoop();
    while (!this.isStopped) {
      this.followOwnership();
      this.refresh();
      await this.parts.clock.sleep(CHECK_PERIOD_MS);
    }
  }

  /**
   * The resources of each team's running and waiting work in this shard. Tasks
   * that wait for a closed domain want none: their teams would have allowances
   * here that they could use in other shards.
   */
  demands(): readonly TeamWants[] {
    const {config, shard} = this.parts;
    const isClosed = config.isDomainClosed(shard);
    const wants = new Map<string, Resources>();
    for (const {team, running, waiting} of this.owner?.engine.getDemand() ??
      []) {
      wants.set(team, isClosed ? running : addResources(running, waiting));
    }
    const running = this.issuer?.running() ?? [];
    const waiting = this.issuer?.waiting() ?? [];
    for (const {team, slots} of [...running, ...waiting]) {
      const sum = wants.get(team) ?? NO_RESOURCES;
      wants.set(team, {...sum, slots: sum.slots + slots});
    }
    const known = [...wants].map(([team, wanted]) => ({team, wanted}));
    return known.filter(({wanted}) => !fitsIn(wanted, NO_RESOURCES));
  }

  /** Waits until this process owns the shard, then imports the claims. */
  async importClaims(passed: RequestClaims): Promise<void> {
    const {clock} = this.parts;
    const endMs = clock.monotonicMs() + IMPORT_TIMEOUT_MS;
    while (this.issuer === undefined && clock.monotonicMs() < endMs) {
      await clock.sleep(CHECK_PERIOD_MS);
    }
    this.issuer?.importClaims(passed);
  }

  /** Stops everything that belongs to the shard. */
  stop(): void {
    this.isStopped = true;
    this.deactivate();
    this.ownership.stop();
    this.tail.stop();
  }

  private async snapshotLoop(): Promise<void> {
    const {shardState, tail, writer} = this;
    const {clock, events} = this.parts;
    const isAllowed = (): boolean => this.isActive;
    const task = new SnapshotTask({
      ...{state: shardState, tail, writer, clock, events, isAllowed},
    });
    await task.run(() => !this.isStopped);
  }

  private followOwnership(): void {
    const {ownership} = this;
    const isSuperseded =
      this.owner !== undefined && ownership.term !== this.activeTerm;
    if (isSuperseded) this.deactivate();
    if (this.owner === undefined && ownership.mayAct()) this.activate();
  }

  private activate(): void {
    const {shard, clock, metrics, events, config, membership} = this.parts;
    this.activeTerm = this.ownership.term;
    this.activeSinceMs = clock.monotonicMs();
    const firstTaskNumber = this.activeTerm * TASK_NUMBERS_PER_TERM;
    const engine = new FairShareEngine({firstTaskNumber});
    this.issuer = new TicketIssuer({shard, clock, metrics, events});
    this.owner = new ShardOwner({
      ...this.parts,
      ...{engine, config, membership},
      ownership: this.ownership,
      shardState: this.shardState,
      writer: this.writer,
    });
    this.refreshedMs = -Infinity;
    this.refresh();
    void this.readAllowances(this.owner);
    void this.collectTickets(this.issuer);
    void this.acknowledgeAllowances(this.owner);
    void this.owner.run();
  }

  private deactivate(): void {
    if (this.owner === undefined) return;
    this.owner.stop();
    this.issuer?.stop();
    this.owner = undefined;
    this.issuer = undefined;
  }

  /** Applies the current configuration, VM list and allowances. */
  private refresh(): void {
    const {clock, config, membership, shard} = this.parts;
    const nowMs = clock.monotonicMs();
    if (this.owner === undefined || this.issuer === undefined) return;
    if (nowMs - this.refreshedMs < REFRESH_PERIOD_MS) return;
    this.refreshedMs = nowMs;
    const amounts = this.currentAllowances();
    this.owner.engine.setQueues([...policyQueues(config)]);
    this.owner.setTeams([...policyTeams(config, amounts)]);
    const executors = [...membership.vmsIn(shard, 'executor')];
    this.issuer.setExecutors(executors);
    this.issuer.setConfig(config);
    this.issuer.setGatewayCount([...membership.entryVms()].length);
    for (const {team, amount} of amounts) {
      this.issuer.setAllowance(team, amount.slots);
    }
  }

  /** The allowances; empty until they have been read in this term. */
  private currentAllowances(): readonly Allowance[] {
    const {allowances, shard} = this.parts;
    if (!allowances.isReadSince(this.activeSinceMs)) return [];
    return allowances.amountsOf(shard);
  }

  /** Reads the allowances at once, as requests wait for them. */
  private async readAllowances(owner: ShardOwner): Promise<void> {
    const {allowances, clock, metrics} = this.parts;
    while (this.owner === owner) {
      try {
        await allowances.tail.readOnce(0);
      } catch {
        // The log is down or cut off, which the tail's own reads report.
        metrics.count('allowance_reads_failed_total');
      }
      if (allowances.isReadSince(this.activeSinceMs)) break;
      await clock.sleep(ALLOWANCE_RETRY_MS);
    }
    if (this.owner !== owner) return;
    this.refreshedMs = -Infinity;
    this.refresh();
  }

  /** The team's usage in this shard that counts against its allowance. */
  private teamUsage(team: string): Resources {
    const demands = this.owner?.engine.getDemand() ?? [];
    const tasks = demands.find(demand => demand.team === team)?.running;
    const slots = this.issuer?.running().find(use => use.team === team)?.slots;
    return {...(tasks ?? NO_RESOURCES), slots: slots ?? 0};
  }

  /** Acknowledges the allowance table during this term. */
  private async acknowledgeAllowances(owner: ShardOwner): Promise<void> {
    const {allowances, shard, clock, events} = this.parts;
    const {table, tail, writer} = allowances;
    const mayAcknowledge = (): boolean =>
      owner.mayAct() &&
      !owner.isHoldActive &&
      allowances.isReadSince(this.activeSinceMs);
    const keeper = new ShardAllowances({
      ...{table, tail, writer, clock, events, shard},
      term: () => (mayAcknowledge() ? owner.term() : undefined),
      running: team => this.teamUsage(team),
    });
    await keeper.run(() => this.owner === owner);
  }

  /**
   * Asks all gateways for their tickets and claims from earlier owners, until
   * each has answered, as a silent one counts with all that it may hold.
   */
  private async collectTickets(issuer: TicketIssuer): Promise<void> {
    const {membership, clock} = this.parts;
    const answered = new Set<string>();
    while (this.issuer === issuer) {
      const silent = membership
        .gatewayConnections()
        .filter(({info}) => info && !answered.has(info.process.vm));
      const vms = await Promise.all(
        silent.map(connection => this.collectFrom(connection, issuer)),
      );
      for (const vm of vms) if (vm !== undefined) answered.add(vm);
      await clock.sleep(REFRESH_PERIOD_MS);
    }
  }

  /** Returns the VM of the gateway if it answered. */
  private async collectFrom(
    connection: PeerConnection,
    issuer: TicketIssuer,
  ): Promise<string | undefined> {
    const {shard, metrics} = this.parts;
    const term = this.activeTerm;
    const ask: OpenTicketsAsk = {type: 'openTicketsAsk', shard, term};
    try {
      const reply = await connection.ask(ask, REFRESH_PERIOD_MS);
      if (reply.type !== 'openTickets' || !connection.info) return undefined;
      const {process} = connection.info;
      issuer.adoptTickets(process, reply.tickets);
      issuer.addGatewayClaims(process, reply.claims, reply.upMs);
      return process.vm;
    } catch {
      metrics.count('open_tickets_unanswered_total');
      return undefined;
    }
  }
}
