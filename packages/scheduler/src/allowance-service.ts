/** Follows the allowance table; plans it as the owner of the planning shard. */
import type {Clock, EventRing, Metrics, Resources} from '@dragonflyward/common';
import {StreamTail, StreamWriter, type LogClient} from '@dragonflyward/log';
import type {DemandReport, PeerMesh} from '@dragonflyward/peer';
import {
  ALLOWANCE_STREAM,
  AllowanceState,
  AllowancePlanner,
  plannerShard,
  SnapshotTask,
  type Allowance,
  type AllowancePlanInput,
  type ConfigState,
  type ShardDemand,
} from '@dragonflyward/state';
import {AllowanceView} from './allowance-view.js';
import type {Membership} from './membership.js';
import type {ShardReplica} from './shard-replica.js';

const TAIL_WAIT_MS = 500;
const REPORT_PERIOD_MS = 1_000;
/** A demand report that is older no longer shows what a shard wants. */
const REPORT_TTL_MS = 10_000;

/** Dependencies of the allowance service. */
export interface AllowanceServiceParts {
  readonly log: LogClient;
  readonly config: ConfigState;
  readonly membership: Membership;
  readonly mesh: PeerMesh;
  readonly shards: ReadonlyMap<string, ShardReplica>;
  readonly clock: Clock;
  readonly events: EventRing;
  readonly metrics: Metrics;
}

interface ReceivedReport {
  readonly demands: readonly ShardDemand[];
  readonly atMs: number;
}

/** The allowances of all teams in all shards. */
export class AllowanceService extends AllowanceView {
  readonly table = new AllowanceState();
  readonly tail: StreamTail;
  readonly writer: StreamWriter;
  private readonly reports = new Map<string, ReceivedReport>();
  private isStopped = false;

  constructor(private readonly parts: AllowanceServiceParts) {
    super();
    const {log, clock, metrics} = parts;
    const {table} = this;
    const stream = ALLOWANCE_STREAM;
    this.tail = new StreamTail({
      ...{client: log, stream, state: table, clock, waitMs: TAIL_WAIT_MS},
      onApplied: (_record, result) => {
        metrics.count(`allowance_records_total{result="${result}"}`);
      },
    });
    const {tail} = this;
    this.writer = new StreamWriter({client: log, stream, tail, clock});
  }

  /** Starts to follow the table, and to plan it while this is the planner. */
  start(): void {
    this.tail.start();
    const {table, tail, writer} = this;
    const {clock, events} = this.parts;
    const common = {table, tail, writer, clock, events};
    const isWanted = (): boolean => !this.isStopped;
    const planner = new AllowancePlanner({
      ...common,
      term: () => this.plannerTerm(),
      input: () => this.input(),
    });
    const snapshots = new SnapshotTask({
      ...{state: table, tail, writer, clock, events},
      isAllowed: () => this.plannerTerm() !== undefined,
    });
    void planner.run(isWanted);
    void snapshots.run(isWanted);
    void this.reportDemands();
  }

  /** Ends all loops. */
  stop(): void {
    this.isStopped = true;
    this.tail.stop();
  }

  override amountsOf(shard: string): readonly Allowance[] {
    return [...this.parts.config.teams().keys()].map(team => ({
      team,
      shard,
      amount: this.table.amount(team, shard),
    }));
  }

  override isReadSince(sinceMs: number): boolean {
    const {table, tail} = this;
    const isPlanned = table.isComplete && table.nextOffset > 0;
    return isPlanned && tail.lastCaughtUpMs >= sinceMs;
  }

  /** The term in the planning shard; undefined if another process owns it. */
  plannerTerm(): number | undefined {
    const shard = this.plannerShard();
    const replica =
      shard === undefined ? undefined : this.parts.shards.get(shard);
    return replica?.isActive === true ? replica.ownership.term : undefined;
  }

  /** Records the demand that a shard's owner reported. */
  recordReport(report: DemandReport): void {
    const atMs = this.parts.clock.monotonicMs();
    const {shard} = report;
    const demands = report.demands.map(demand => ({shard, ...demand}));
    this.reports.set(shard, {demands, atMs});
  }

  private plannerShard(): string | undefined {
    return plannerShard(this.parts.membership.domains());
  }

  private input(): Omit<AllowancePlanInput, 'table'> {
    const {config, membership, clock} = this.parts;
    const limits = new Map<string, Resources>();
    for (const [team, {limit}] of config.teams()) limits.set(team, limit);
    const oldestMs = clock.monotonicMs() - REPORT_TTL_MS;
    const newest = [...this.reports.values()].filter(r => r.atMs >= oldestMs);
    const demands = newest.flatMap(report => report.demands);
    return {limits, shards: membership.domains(), demands};
  }

  /** Reports the demand of the shards owned here to the planning owner. */
  private async reportDemands(): Promise<void> {
    while (!this.isStopped) {
      for (const report of this.ownReports()) this.send(report);
      await this.parts.clock.sleep(REPORT_PERIOD_MS);
    }
  }

  private *ownReports(): Generator<DemandReport> {
    for (const [shard, replica] of this.parts.shards) {
      if (!replica.isActive) continue;
      yield {type: 'demandReport', shard, demands: replica.demands()};
    }
  }

  private send(report: DemandReport): void {
    const shard = this.plannerShard();
    if (shard === undefined) return;
    const vm = this.parts.membership.ownerVm(shard);
    if (this.plannerTerm() !== undefined) return this.recordReport(report);
    if (vm === undefined) return;
    this.parts.mesh.connectionTo(vm)?.notify(report);
  }
}
