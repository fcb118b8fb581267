/** What each team is due: weighted max-min over the dominant resource. */
import {
  addResources,
  RESOURCE_NAMES,
  type Resources,
} from '@dragonflyward/common';
import {dominantShare} from './amounts.js';
import type {PolicyTeam, TeamDemand} from './engine.js';
import type {OrganisationState, TeamState} from './state.js';
import {TeamTable} from './team-table.js';

/** Halvings by which the common level of a round is found. */
const LEVEL_STEPS = 20;

/** Parts of the whole, in the order of the names of the resources. */
type Parts = readonly number[];

interface Claim {
  readonly team: TeamState;
  readonly weight: number;
  /** The dominant share that the team could use. */
  readonly wanted: number;
  /** What one whole dominant share of the team takes of each resource. */
  readonly profile: Parts;
  given: number;
  isSettled: boolean;
}

/** The claims of the teams of one organisation, the soonest sated first. */
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
    raiseLevel(groups, claims);
  }
  for (const claim of claims) claim.team.fair = claim.given;
}

/**
 * The dominant share that each team is due, computed from its demand alone.
 *
 * @example
 * const due = fairSharesOf(teams, engine.demand(), total).get('kilns');
 */
export function fairSharesOf(
  teams: readonly PolicyTeam[],
  demand: readonly TeamDemand[],
  total: Resources,
): ReadonlyMap<string, number> {
  const table = new TeamTable();
  table.setTeams(teams);
  table.setTotal(total);
  for (const {team, running, waiting} of demand) {
    table.charge(table.get(team), addResources(running, waiting), false);
  }
  refreshFairShares(table);
  const due = new Map<string, number>();
  for (const state of table.values()) due.set(state.team.team, state.fair);
  return due;
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
    claims: claims.sort((a, b) => a.wanted / a.weight - b.wanted / b.weight),
  }));
}

function newClaim(team: TeamState, total: Resources): Claim {
  const wanted = addResources(team.used, team.waitingSize);
  const dominant = dominantShare(wanted, total);
  const limit = dominantShare(team.team.allowance, total);
  const profile = RESOURCE_NAMES.map(name =>
    total[name] > 0 ? wanted[name] / total[name] / dominant : 0,
  );
  return {
    team,
    weight: team.team.share,
    wanted: Math.min(dominant, limit),
    profile,
    given: 0,
    isSettled: false,
  };
}

/** Raises the level of all open claims until some resource is used up. */
function raiseLevel(groups: readonly Group[], claims: readonly Claim[]): void {
  let low = 0;
  let high = highestLevel(groups);
  for (let step = 0; step < LEVEL_STEPS; step += 1) {
    const level = (low + high) / 2;
    fill(groups, level);
    if (fullParts(claims).length === 0) low = level;
    else high = level;
  }
  fill(groups, high);
  const full = fullParts(claims);
  fill(groups, low);
  for (const claim of claims) {
    if (claim.isSettled) continue;
    const isSated = claim.given >= claim.wanted;
    const isBound = full.some(part => (claim.profile[part] ?? 0) > 0);
    claim.isSettled = isSated || isBound || full.length === 0;
  }
}

/** A level at which every claim is sated. */
function highestLevel(groups: readonly Group[]): number {
  let level = 0;
  for (const {weight, claims} of groups) {
    if (weight <= 0) continue;
    let weights = 0;
    let neediest = 0;
    for (const claim of claims) {
      weights += claim.weight;
      neediest = Math.max(neediest, claim.wanted / claim.weight);
    }
    level = Math.max(level, (neediest * weights) / weight);
  }
  return level;
}

/** Gives each organisation its part of the level, and its teams theirs. */
function fill(groups: readonly Group[], level: number): void {
  for (const {weight, claims} of groups) fillGroup(claims, weight * level);
}

function fillGroup(claims: readonly Claim[], amount: number): void {
  let rest = amount;
  let weights = 0;
  for (const claim of claims) {
    if (claim.isSettled) rest -= claim.given;
    else weights += claim.weight;
  }
  rest = Math.max(0, rest);
  for (const claim of claims) {
    if (claim.isSettled) continue;
    claim.given = Math.min(claim.wanted, (rest * claim.weight) / weights);
    rest -= claim.given;
    weights -= claim.weight;
  }
}

/** The indexes of the resources of which more than all is given. */
function fullParts(claims: readonly Claim[]): readonly number[] {
  const sums = RESOURCE_NAMES.map(() => 0);
  for (const {given, profile} of claims) {
    for (let i = 0; i < sums.length; i += 1) {
      sums[i] = (sums[i] ?? 0) + given * (profile[i] ?? 0);
    }
  }
  return sums.flatMap((sum, i) => (sum > 1 ? [i] : []));
}
