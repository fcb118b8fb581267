/** Divides the limits of the teams among the shards. */
import {
  NO_RESOURCES,
  RESOURCE_NAMES,
  type Resources,
} from '@dragonflyward/common';
import type {AllowanceState} from './allowance-state.js';
import type {Allowance} from './records.js';

/** What a team wants in one shard: its running and its waiting work. */
export interface ShardDemand {
  readonly team: string;
  readonly shard: string;
  readonly wanted: Resources;
}

/** Input of a plan. */
export interface AllowancePlanInput {
  readonly table: AllowanceState;
  /** Limits of the teams. A team without an entry is allowed nothing. */
  readonly limits: ReadonlyMap<string, Resources>;
  readonly shards: readonly string[];
  readonly demands: readonly ShardDemand[];
}

type AmountsByShard = ReadonlyMap<string, number>;

/** One team's limit, allowances and demand for one resource. */
interface TeamResource {
  readonly limit: number;
  /** Allowances of the newest table. */
  readonly amounts: AmountsByShard;
  /** The largest allowance that each shard may still act on. */
  readonly charges: AmountsByShard;
  readonly wants: AmountsByShard;
}

/**
 * Plans the next change of the table. A lower allowance takes effect in the
 * table at once, but the freed amount is granted to other shards only after the
 * shard has acknowledged the reduction. Until then the larger amount counts
 * against the limit.
 *
 * @example
 * const changes = planAllowances({table, limits, shards, demands});
 * if (changes.length > 0) await writer.write(toRecord(changes));
 */
export function planAllowances(
  input: AllowancePlanInput,
): readonly Allowance[] {
  const teams = new Set([...input.table.teams(), ...input.limits.keys()]);
  const demandsByTeam = groupByTeam(input.demands);
  return [...teams].flatMap(team =>
    planTeam(input, team, demandsByTeam.get(team) ?? []),
  );
}

function groupByTeam(
  demands: readonly ShardDemand[],
): ReadonlyMap<string, readonly ShardDemand[]> {
  const teams = new Map<string, ShardDemand[]>();
  for (const demand of demands) {
    const teamDemands = teams.get(demand.team);
    if (teamDemands === undefined) teams.set(demand.team, [demand]);
    else teamDemands.push(demand);
  }
  return teams;
}

function planTeam(
  input: AllowancePlanInput,
  team: string,
  demands: readonly ShardDemand[],
): readonly Allowance[] {
  const {table, shards} = input;
  const knownShards = new Set([...table.shardsOf(team), ...shards]);
  const planned = new Map<string, Resources>();
  for (const name of RESOURCE_NAMES) {
    const resource = readTeamResource(
      {...input, demands},
      team,
      [...knownShards],
      name,
    );
    for (const [shard, amount] of planResource(resource, new Set(shards))) {
      const plannedSoFar = planned.get(shard) ?? NO_RESOURCES;
      planned.set(shard, {...plannedSoFar, [name]: amount});
    }
  }
  const changes = [...planned].map(([shard, amount]) => ({
    team,
    shard,
    amount,
  }));
  return changes.filter(
    ({shard, amount}) => !isSameAmount(amount, table.amount(team, shard)),
  );
}

function readTeamResource(
  {table, limits, demands}: AllowancePlanInput,
  team: string,
  shards: readonly string[],
  name: (typeof RESOURCE_NAMES)[number],
): TeamResource {
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

function planResource(
  resource: TeamResource,
  active: ReadonlySet<string>,
): AmountsByShard {
  const targets = computeTargets(resource, active);
  const shouldReclaim = isReclaimNeeded(resource, targets);
  const next = new Map(resource.amounts);
  for (const [shard, amount] of resource.amounts) {
    const target = targets.get(shard) ?? 0;
    if (amount > target && shouldReclaim) next.set(shard, target);
  }
  distributeFree(resource, targets, next);
  return next;
}

/** Whether a shard needs more than its allowance, or the limit is exceeded. */
function isReclaimNeeded(
  resource: TeamResource,
  targets: AmountsByShard,
): boolean {
  if (sum(resource.amounts.values()) > resource.limit) return true;
  for (const [shard, amount] of resource.amounts) {
    const wanted = Math.min(
      resource.wants.get(shard) ?? 0,
      targets.get(shard) ?? 0,
    );
    if (wanted > amount) return true;
  }
  return false;
}

/** Distributes the part of the limit that no shard may act on yet. */
function distributeFree(
  resource: TeamResource,
  targets: AmountsByShard,
  next: Map<string, number>,
): void {
  let free = resource.limit - sum(resource.charges.values());
  for (const [shard, amount] of next) {
    if (free <= 0) return;
    const charge = resource.charges.get(shard) ?? 0;
    const target = targets.get(shard) ?? 0;
    if (target <= amount) continue;
    const newAmount = Math.min(target, Math.max(amount, charge + free));
    free -= Math.max(0, newAmount - charge);
    next.set(shard, newAmount);
  }
}

/** Max-min fair targets by demand; what nobody wants is divided evenly. */
function computeTargets(
  resource: TeamResource,
  active: ReadonlySet<string>,
): AmountsByShard {
  const shards = [...resource.amounts.keys()].filter(s => active.has(s)).sort();
  const targets = new Map<string, number>();
  const byDemand = [...shards].sort(
    (a, b) => demandOf(resource, a) - demandOf(resource, b),
  );
  let remaining = resource.limit;
  for (const [i, shard] of byDemand.entries()) {
    const evenPart = Math.floor(remaining / (byDemand.length - i));
    const granted = Math.min(evenPart, demandOf(resource, shard));
    targets.set(shard, granted);
    remaining -= granted;
  }
  for (const [i, shard] of shards.entries()) {
    const evenPart = Math.floor(remaining / (shards.length - i));
    targets.set(shard, (targets.get(shard) ?? 0) + evenPart);
    remaining -= evenPart;
  }
  return targets;
}

function demandOf(resource: TeamResource, shard: string): number {
  return resource.wants.get(shard) ?? 0;
}

function sum(values: Iterable<number>): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}

function isSameAmount(a: Resources, b: Resources): boolean {
  return RESOURCE_NAMES.every(name => a[name] === b[name]);
}
