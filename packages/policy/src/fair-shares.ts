/** What each team is due: weighted max-min over the dominant resource. */
import {
  addResources,
  NO_RESOURCES,
  RESOURCE_NAMES,
  scaleResources,
  type Resources,
} from '@dragonflyward/common';
import {dominantShare} from './amounts.js';
import type {OrganisationState, TeamState} from './state.js';
import type {TeamTable} from './team-table.js';

/** Halvings by which the common level of a round is found. */
const LEVEL_STEPS = 24;

interface Claim {
  readonly team: TeamState;
  readonly weight: number;
  /** The dominant share that the team could use. */
  readonly wanted: number;
  /** What one whole dominant share of the team takes of each resource. */
  readonly profile: Readonly<Record<string, number>>;
  /** Which resources it needs. */
  readonly needs: readonly string[];
  given: number;
  isSettled: boolean;
}

/** The claims of the teams of one organisation. */
interface Group {
  readonly weight: number;
  readonly claims: readonly Claim[];
}

/**
 * Sets the dominant share that each team is due by its demand: the level
 * rises for all alike until a resource is used up; those that do not need
 * that resource rise on.
 *
 * @example
 * refreshFairShares(core.teams);
 */
export function refreshFairShares(teams: TeamTable): void {
  for (const team of teams.values()) team.fair = 0;
  const groups = groupClaims(teams);
  const claims = groups.flatMap(group => group.claims);
  for (let round = 0; round <= RESOURCE_NAMES.length; round += 1) {
    if (claims.every(claim => claim.isSettled)) break;
    raise(groups, claims);
  }
  for (const claim of claims) claim.team.fair = claim.given;
}

/**
 * What a team could use: what it runs and what waits, up to its limit.
 *
 * @example
 * const wanted = dominantShare(wantedOf(team), teams.total);
 */
export function wantedOf(team: TeamState): Resources {
  return addResources(team.used, waitingOf(team));
}

/**
 * The sum of what a team's waiting tasks would reserve.
 *
 * @example
 * const waiting = waitingOf(team);
 */
export function waitingOf(team: TeamState): Resources {
  let sum = NO_RESOURCES;
  for (const {size, taskCount} of team.waiting.values()) {
    sum = addResources(sum, scaleResources(size, taskCount));
  }
  return sum;
}

function groupClaims(teams: TeamTable): readonly Group[] {
  const byOrganisation = new Map<OrganisationState, Claim[]>();
  for (const team of teams.values()) {
    const claim = newClaim(team, teams.total);
    if (claim.wanted <= 0 || claim.weight <= 0) continue;
    const claims = byOrganisation.get(team.organisation) ?? [];
    claims.push(claim);
    byOrganisation.set(team.organisation, claims);
  }
  return [...byOrganisation].map(([organisation, claims]) => ({
    weight: organisation.share,
    claims,
  }));
}

function newClaim(team: TeamState, total: Resources): Claim {
  const wanted = wantedOf(team);
  const dominant = dominantShare(wanted, total);
  const limit = dominantShare(team.team.allowance, total);
  const profile: Record<string, number> = {};
  const needs: string[] = [];
  for (const name of RESOURCE_NAMES) {
    const part = total[name] > 0 ? wanted[name] / total[name] : 0;
    profile[name] = dominant > 0 ? part / dominant : 0;
    if (part > 0) needs.push(name);
  }
  const weight = team.team.share;
  const claimed = Math.min(dominant, limit);
  return {
    ...{team, weight, wanted: claimed, profile, needs},
    ...{given: 0, isSettled: false},
  };
}

/** Raises the level of all open claims until some resource is used up. */
function raise(groups: readonly Group[], claims: readonly Claim[]): void {
  const settled = claims.filter(claim => claim.isSettled);
  const taken = usageOf(settled);
  const open = claims.filter(claim => !claim.isSettled);
  let low = 0;
  let high = highestLevel(groups);
  for (let step = 0; step < LEVEL_STEPS; step += 1) {
    const level = (low + high) / 2;
    fill(groups, level);
    if (isWithinTotal(taken, usageOf(open))) low = level;
    else high = level;
  }
  fill(groups, high);
  const full = fullResources(taken, usageOf(open));
  fill(groups, low);
  for (const claim of open) {
    const isSated = claim.given >= claim.wanted;
    const isBound = claim.needs.some(name => full.has(name));
    claim.isSettled = isSated || isBound || full.size === 0;
  }
}

function highestLevel(groups: readonly Group[]): number {
  let level = 0;
  for (const {weight, claims} of groups) {
    const least = Math.min(...claims.map(claim => claim.weight));
    const wanted = claims.reduce((sum, claim) => sum + claim.wanted, 0);
    const weights = claims.reduce((sum, claim) => sum + claim.weight, 0);
    const scale = weights / Math.max(least, Number.MIN_VALUE);
    level = Math.max(level, (wanted * scale) / Math.max(weight, 1e-9));
  }
  return level;
}

/** Gives each organisation its part of the level, and its teams theirs. */
function fill(groups: readonly Group[], level: number): void {
  for (const {weight, claims} of groups) fillGroup(claims, weight * level);
}

function fillGroup(claims: readonly Claim[], amount: number): void {
  let rest = amount;
  let open: Claim[] = [];
  for (const claim of claims) {
    if (claim.isSettled) rest -= claim.given;
    else open.push(claim);
  }
  rest = Math.max(0, rest);
  open = open.sort((a, b) => a.wanted / a.weight - b.wanted / b.weight);
  let weights = open.reduce((sum, claim) => sum + claim.weight, 0);
  for (const claim of open) {
    claim.given = Math.min(claim.wanted, (rest * claim.weight) / weights);
    rest -= claim.given;
    weights -= claim.weight;
  }
}

function usageOf(claims: readonly Claim[]): Readonly<Record<string, number>> {
  const usage: Record<string, number> = {};
  for (const name of RESOURCE_NAMES) {
    let sum = 0;
    for (const {given, profile} of claims) sum += given * (profile[name] ?? 0);
    usage[name] = sum;
  }
  return usage;
}

function isWithinTotal(
  taken: Readonly<Record<string, number>>,
  added: Readonly<Record<string, number>>,
): boolean {
  return fullResources(taken, added).size === 0;
}

function fullResources(
  taken: Readonly<Record<string, number>>,
  added: Readonly<Record<string, number>>,
): ReadonlySet<string> {
  const full = new Set<string>();
  for (const name of RESOURCE_NAMES) {
    if ((taken[name] ?? 0) + (added[name] ?? 0) > 1) full.add(name);
  }
  return full;
}
