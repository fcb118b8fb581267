/** Divides the teams' limits among the shards. */
import {
  NO_RESOURCES,
  RESOURCE_NAMES,
  type Resources,
} from '@dragonflyward/common';
import type {AllowanceState} from './allowance-state.js';
import type {Allowance} from './records.js';

/** What a team has running and waiting in one shard. */
export interface ShardDemand {
  readonly team: string;
  readonly shard: string;
  readonly wanted: Resources;
}

/** What a plan is made from. */
export interface AllowanceInput {
  readonly table: AllowanceState;
  /** The teams' limits that are in force; others have none. */
  readonly limits: ReadonlyMap<string, Resources>;
  readonly shards: readonly string[];
  readonly demands: readonly ShardDemand[];
}

type Row = ReadonlyMap<string, number>;

/** What one team may have and wants of one resource, by shard. */
interface ResourceRow {
  readonly limit: number;
  /** What the newest table allows. */
  readonly amounts: Row;
  /** What the shards may yet hold to. */
  readonly charges: Row;
  readonly wants: Row;
}

/**
 * Plans the next change of the table. A shard that is to have less is told
 * at once; what it gives up is handed on only after it has acknowledged, as
 * until then the larger amount is counted against the limit.
 *
 * @example
 * const changes = planAllowances({table, limits, shards, demands});
 * if (changes.length > 0) await writer.write(toRecord(changes));
 */
export function planAllowances(input: AllowanceInput): readonly Allowance[] {
  const names = new Set([...input.table.teams(), ...input.limits.keys()]);
  const wanted = byTeam(input.demands);
  return [...names].flatMap(team =>
    planTeam(input, team, wanted.get(team) ?? []),
  );
}

function byTeam(
  demands: readonly ShardDemand[],
): ReadonlyMap<string, readonly ShardDemand[]> {
  const teams = new Map<string, ShardDemand[]>();
  for (const demand of demands) {
    const known = teams.get(demand.team);
    if (known === undefined) teams.set(demand.team, [demand]);
    else known.push(demand);
  }
  return teams;
}

function planTeam(
  input: AllowanceInput,
  team: string,
  demands: readonly ShardDemand[],
): readonly Allowance[] {
  const {table, shards} = input;
  const known = new Set([...table.shardsOf(team), ...shards]);
  const planned = new Map<string, Resources>();
  for (const name of RESOURCE_NAMES) {
    const row = readRow({...input, demands}, team, [...known], name);
    for (const [shard, amount] of planRow(row, new Set(shards))) {
      const others = planned.get(shard) ?? NO_RESOURCES;
      planned.set(shard, {...others, [name]: amount});
    }
  }
  const changes = [...planned].map(([shard, amount]) => ({
    team,
    shard,
    amount,
  }));
  return changes.filter(
    ({shard, amount}) => !isSame(amount, table.amount(team, shard)),
  );
}

function readRow(
  {table, limits, demands}: AllowanceInput,
  team: string,
  shards: readonly string[],
  name: (typeof RESOURCE_NAMES)[number],
): ResourceRow {
  const wants = new Map<string, number>();
  for (const demand of demands) {
    wants.set(demand.shard, demand.wanted[name]);
  }
  return {
    limit: limits.get(team)?.[name] ?? 0,
    amounts: new Map(shards.map(s => [s, table.amount(team, s)[name]])),
    charges: new Map(shards.map(s => [s, table.charge(team, s)[name]])),
    wants,
  };
}

function planRow(row: ResourceRow, active: ReadonlySet<string>): Row {
  const targets = targetsOf(row, active);
  const isShort = isAnyShort(row, targets);
  const next = new Map(row.amounts);
  for (const [shard, amount] of row.amounts) {
    const target = targets.get(shard) ?? 0;
    if (amount > target && isShort) next.set(shard, target);
  }
  grow(row, targets, next);
  return next;
}

/** Whether a shard wants more than it has, or the limit is passed. */
function isAnyShort(row: ResourceRow, targets: Row): boolean {
  if (sum(row.amounts.values()) > row.limit) return true;
  for (const [shard, amount] of row.amounts) {
    const wanted = Math.min(row.wants.get(shard) ?? 0, targets.get(shard) ?? 0);
    if (wanted > amount) return true;
  }
  return false;
}

/** Hands out what no shard holds or may yet hold to. */
function grow(row: ResourceRow, targets: Row, next: Map<string, number>): void {
  let free = row.limit - sum(row.charges.values());
  for (const [shard, amount] of next) {
    if (free <= 0) return;
    const charge = row.charges.get(shard) ?? 0;
    const target = targets.get(shard) ?? 0;
    if (target <= amount) continue;
    const grown = Math.min(target, Math.max(amount, charge + free));
    free -= Math.max(0, grown - charge);
    next.set(shard, grown);
  }
}

/** Max-min by demand; what nobody wants is divided evenly. */
function targetsOf(row: ResourceRow, active: ReadonlySet<string>): Row {
  const shards = [...row.amounts.keys()].filter(s => active.has(s)).sort();
  const targets = new Map<string, number>();
  const byWant = [...shards].sort((a, b) => wantOf(row, a) - wantOf(row, b));
  let left = row.limit;
  for (const [i, shard] of byWant.entries()) {
    const part = Math.floor(left / (byWant.length - i));
    const given = Math.min(part, wantOf(row, shard));
    targets.set(shard, given);
    left -= given;
  }
  for (const [i, shard] of shards.entries()) {
    const part = Math.floor(left / (shards.length - i));
    targets.set(shard, (targets.get(shard) ?? 0) + part);
    left -= part;
  }
  return targets;
}

function wantOf(row: ResourceRow, shard: string): number {
  return row.wants.get(shard) ?? 0;
}

function sum(values: Iterable<number>): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}

function isSame(a: Resources, b: Resources): boolean {
  return RESOURCE_NAMES.every(name => a[name] === b[name]);
}
