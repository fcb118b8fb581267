/** The table of allowances: what each team may have running in each shard. */
import {NO_RESOURCES, type Resources} from '@dragonflyward/common';
import type {ApplyResult} from '@dragonflyward/log';
import {ALLOWANCE_RECORDS} from './record-schema.js';
import type {
  AllowanceAckRecord,
  AllowanceRecord,
  AllowanceStreamRecord,
} from './records.js';
import {SnapshottedState, type ChangeOf} from './snapshotted-state.js';

/** An allowance and the version of the table that set it. */
interface VersionedAmount {
  readonly version: number;
  readonly amount: Resources;
}

/** The newest acknowledgement of a shard. */
export interface ShardAck {
  readonly term: number;
  readonly version: number;
}

interface SnapshotEntry {
  readonly head?: {readonly version: number; readonly term: number};
  readonly ack?: ShardAck & {readonly shard: string};
  readonly cell?: {
    readonly team: string;
    readonly shard: string;
    readonly amounts: readonly VersionedAmount[];
  };
}

type TeamRow = Map<string, readonly VersionedAmount[]>;

/** Allowances, computed from their stream. */
export class AllowanceState extends SnapshottedState<AllowanceStreamRecord> {
  /** Incremented by each change of the table. */
  version = 0;
  /** The highest term in which the planner changed the table. */
  term = 0;
  private readonly rows = new Map<string, TeamRow>();
  private readonly acksByShard = new Map<string, ShardAck>();

  constructor() {
    super(ALLOWANCE_RECORDS);
  }

  /** The newest acknowledgement of each shard. */
  get acks(): ReadonlyMap<string, ShardAck> {
    return this.acksByShard;
  }

  /**
   * Returns what the team may have running in the shard.
   *
   * @example
   * engine.setTeams(teams.map(t => toPolicyTeam(t, table.amount(t, shard))));
   */
  amount(team: string, shard: string): Resources {
    const newest = this.rows.get(team)?.get(shard)?.at(-1);
    return newest?.amount ?? NO_RESOURCES;
  }

  /**
   * Returns the maximum of all allowances that the shard may still act on: the
   * one it has acknowledged, and the later ones.
   */
  charge(team: string, shard: string): Resources {
    const amounts = this.rows.get(team)?.get(shard) ?? [];
    return amounts.map(({amount}) => amount).reduce(maxResources, NO_RESOURCES);
  }

  /** Returns the shards that have or had an allowance of the team. */
  shardsOf(team: string): readonly string[] {
    return [...(this.rows.get(team)?.keys() ?? [])];
  }

  /** Returns all teams of the table. */
  teams(): readonly string[] {
    return [...this.rows.keys()];
  }

  protected override applyChange(
    change: ChangeOf<AllowanceStreamRecord>,
  ): ApplyResult {
    return change.type === 'allowances'
      ? this.applyAllowances(change)
      : this.applyAck(change);
  }

  protected override *entries(): Generator<SnapshotEntry> {
    yield {head: {version: this.version, term: this.term}};
    for (const [shard, ack] of this.acksByShard) yield {ack: {shard, ...ack}};
    for (const [team, row] of this.rows) {
      for (const [shard, amounts] of row) yield {cell: {team, shard, amounts}};
    }
  }

  protected override restore(entries: readonly unknown[]): void {
    this.rows.clear();
    this.acksByShard.clear();
    for (const {head, ack, cell} of entries as readonly SnapshotEntry[]) {
      if (head !== undefined) this.version = head.version;
      if (head !== undefined) this.term = head.term;
      if (ack !== undefined) this.acksByShard.set(ack.shard, toAck(ack));
      if (cell === undefined) continue;
      this.rowOf(cell.team).set(cell.shard, cell.amounts);
    }
  }

  /**
   * Whether a change is based on the current version of the table and comes
   * from no earlier term.
   */
  protected isCurrent(change: AllowanceRecord): boolean {
    return change.prevVersion === this.version && change.term >= this.term;
  }

  private applyAllowances(change: AllowanceRecord): ApplyResult {
    if (!this.isCurrent(change)) return 'void';
    this.version += 1;
    this.term = change.term;
    const {version} = this;
    for (const {team, shard, amount} of change.changes) {
      const row = this.rowOf(team);
      row.set(shard, [...(row.get(shard) ?? []), {version, amount}]);
    }
    return 'applied';
  }

  private applyAck(change: AllowanceAckRecord): ApplyResult {
    const {shard, term, version} = change;
    const previous = this.acksByShard.get(shard);
    if (version > this.version || version <= (previous?.version ?? 0)) {
      return 'void';
    }
    if (term < (previous?.term ?? 0)) return 'void';
    this.acksByShard.set(shard, {term, version});
    for (const row of this.rows.values()) dropSuperseded(row, shard, version);
    return 'applied';
  }

  private rowOf(team: string): TeamRow {
    const existing = this.rows.get(team);
    if (existing !== undefined) return existing;
    const added: TeamRow = new Map();
    this.rows.set(team, added);
    return added;
  }
}

function toAck({term, version}: ShardAck): ShardAck {
  return {term, version};
}

/** Drops amounts older than the one that the shard has acknowledged. */
function dropSuperseded(row: TeamRow, shard: string, version: number): void {
  const amounts = row.get(shard);
  if (amounts === undefined) return;
  const inForceIndex = amounts.findLastIndex(entry => entry.version <= version);
  if (inForceIndex > 0) row.set(shard, amounts.slice(inForceIndex));
}

/**
 * Returns the maximum of two amounts for each resource.
 *
 * @example
 * const charge = maxResources(before, after);
 */
export function maxResources(a: Resources, b: Resources): Resources {
  return {
    cpuMilli: Math.max(a.cpuMilli, b.cpuMilli),
    memMb: Math.max(a.memMb, b.memMb),
    accel: Math.max(a.accel, b.accel),
    slots: Math.max(a.slots, b.slots),
  };
}
