/** The part of a full fleet that each team is due by the shares. */
import type {Configuration} from '@dragonflyward/state';
import {effectiveTeams} from './effective.js';

/** Tolerance for the rounding of shares. */
export const ROUNDING = 1e-9;

/**
 * Computes each team's part of a full fleet in which all teams have work.
 *
 * @example
 * teamFractions(cfg).get('roofs'); // 0.36
 */
export function teamFractions(cfg: Configuration): ReadonlyMap<string, number> {
  const teams = effectiveTeams(cfg);
  const teamShares = new Map<string, number>();
  for (const {organisation, share} of teams.values()) {
    const sum = teamShares.get(organisation) ?? 0;
    teamShares.set(organisation, sum + share);
  }
  const {organisations} = cfg.defaults;
  const shareOf = (name: string): number => organisations[name]?.share ?? 0;
  const total = [...teamShares.keys()].reduce((sum, n) => sum + shareOf(n), 0);
  const fractions = new Map<string, number>();
  for (const [name, {organisation, share}] of teams) {
    const inOrganisation = share / (teamShares.get(organisation) ?? share);
    fractions.set(name, (shareOf(organisation) / total) * inOrganisation);
  }
  return fractions;
}

/** Formats a part of the fleet. */
export function toPercent(fraction: number): string {
  return `${(fraction * 100).toFixed(1)} %`;
}
