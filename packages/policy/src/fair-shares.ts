/** Computes fair shares by weighted dominant resource fairness. */
import {
  addResources,
  RESOURCE_NAMES,
  type Resources,
} from '@dragonflyward/common';
import {dominantShare} from './resource-math.js';
import type {PolicyTeam, TeamDemand} from './engine.js';
import type {OrganisationState, TeamState} from './state.js';
import {TeamTable} from './team-table.js';

/** Bisection steps that find the common level of a round. */
const BISECTION_STEPS = 20;

/** Fractions of the total of each resource, in the order of RESOURCE_NAMES. */
type ResourceFractions = readonly number[];

/** The demand of a team and the share that it has been allocated. */
interface Claim {
  readonly team: TeamState;
  readonly weight: number;
  /** The dominant share that the team demands, up to its allowance. */
  readonly wanted: number;
  /** The fractions that the team would take at a dominant share of 1. */
  readonly resourceProfile: ResourceFractions;
  allocated: number;
  isSettled: boolean;
}

/** The claims of an organisation's teams, the first to be satisfied first. */
interface OrganisationClaims {
  readonly weight: number;
  readonly claims: readonly Claim[];
}

/**
 * Sets the fair dominant share of each team by progressive filling: the level
 * rises for all teams alike until a resource is exhausted; then it rises on
 * for the teams that don't need that resource.
 *
 * @example
 * refreshFairShares(core.teams);
 */
export function refreshFairShares(teams: TeamTable): void {
  for (const team of teams.values()) team.fairShare = 0;
  const groups = groupByOrganisation(teams);
  const claims = groups.flatMap(group => group.claims);
  for (let round = 0; round <= RESOURCE_NAMES.length; round += 1) {
    if (claims.every(claim => claim.isSettled)) break;
    raiseLevel(groups, claims);
  }
  for (const claim of claims) claim.team.fairShare = claim.allocated;
}

/**
 * Returns the fair dominant share of each team by its demand.
 *
 * @example
 * const shares = computeFairShares(teams, engine.getDemand(), capacity);
 */
export function computeFairShares(
  teams: readonly PolicyTeam[],
  demand: readonly TeamDemand[],
  total: Resources,
): ReadonlyMap<string, number> {
  const table = new TeamTable();
  table.setTeams(teams);
  table.setCapacity(total);
  for (const {team, running, waiting} of demand) {
    table.charge(table.get(team), addResources(running, waiting), false);
  }
  refreshFairShares(table);
  const shares = new Map<string, number>();
  for (const team of table.values()) shares.set(team.team.team, team.fairShare);
  return shares;
}

function groupByOrganisation(teams: TeamTable): readonly OrganisationClaims[] {
  const byOrganisation = new Map<OrganisationState, Claim[]>();
  for (const team of teams.values()) {
    const claim = newClaim(team, teams.capacity);
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
  const wanted = addResources(team.used, team.waitingResources);
  const dominant = dominantShare(wanted, total);
  const limit = dominantShare(team.team.allowance, total);
  const resourceProfile = RESOURCE_NAMES.map(name =>
    total[name] > 0 ? wanted[name] / total[name] / dominant : 0,
  );
  return {
    team,
    weight: team.team.share,
    wanted: Math.min(dominant, limit),
    resourceProfile,
    allocated: 0,
    isSettled: false,
  };
}

/** Raises the level of the unsettled claims until a resource is exhausted. */
function raiseLevel(
  groups: readonly OrganisationClaims[],
  claims: readonly Claim[],
): void {
  let low = 0;
  let high = findSatisfyingLevel(groups);
  for (let step = 0; step < BISECTION_STEPS; step += 1) {
    const level = (low + high) / 2;
    allocate(groups, level);
    if (findExhaustedResources(claims).length === 0) low = level;
    else high = level;
  }
  allocate(groups, high);
  const exhausted = findExhaustedResources(claims);
  allocate(groups, low);
  for (const claim of claims) {
    if (claim.isSettled) continue;
    const isSatisfied = claim.allocated >= claim.wanted;
    const needsExhausted = exhausted.some(
      resource => (claim.resourceProfile[resource] ?? 0) > 0,
    );
    claim.isSettled = isSatisfied || needsExhausted || exhausted.length === 0;
  }
}

/** Returns a level at which every claim is satisfied. */
function findSatisfyingLevel(groups: readonly OrganisationClaims[]): number {
  let level = 0;
  for (const {weight, claims} of groups) {
    if (weight <= 0) continue;
    let totalWeight = 0;
    let largestDemand = 0;
    for (const claim of claims) {
      totalWeight += claim.weight;
      largestDemand = Math.max(largestDemand, claim.wanted / claim.weight);
    }
    level = Math.max(level, (largestDemand * totalWeight) / weight);
  }
  return level;
}

/** Allocates to each organisation by its weight, and then to its teams. */
function allocate(groups: readonly OrganisationClaims[], level: number): void {
  for (const {weight, claims} of groups) distribute(claims, weight * level);
}

function distribute(claims: readonly Claim[], amount: number): void {
  let remaining = amount;
  let remainingWeight = 0;
  for (const claim of claims) {
    if (claim.isSettled) remaining -= claim.allocated;
    else remainingWeight += claim.weight;
  }
  remaining = Math.max(0, remaining);
  for (const claim of claims) {
    if (claim.isSettled) continue;
    claim.allocated = Math.min(
      claim.wanted,
      (remaining * claim.weight) / remainingWeight,
    );
    remaining -= claim.allocated;
    remainingWeight -= claim.weight;
  }
}

/** Returns the indexes of the resources that are allocated beyond the total. */
function findExhaustedResources(claims: readonly Claim[]): readonly number[] {
  const sums = RESOURCE_NAMES.map(() => 0);
  for (const {allocated, resourceProfile} of claims) {
    for (let i = 0; i < sums.length; i += 1) {
      sums[i] = (sums[i] ?? 0) + allocated * (resourceProfile[i] ?? 0);
    }
  }
  return sums.flatMap((sum, i) => (sum > 1 ? [i] : []));
}
