/** Teams and organisations with their use and their weights. */
import {
  addResources,
  fitsIn,
  NO_RESOURCES,
  scaleResources,
  subtractResources,
  type Resources,
} from '@dragonflyward/common';
import {dominantShare} from './amounts.js';
import type {PolicyTeam} from './engine.js';
import type {OrganisationState, TeamState} from './state.js';

/** The weight of a team or organisation whose share is not positive. */
const LEAST_WEIGHT = 1e-9;

/** How long a team is off its share by a task until that counts as a task. */
const DRIFT_MS = 40_000;

/** All teams of a shard, and what they use there. */
export class TeamTable {
  private readonly byName = new Map<string, TeamState>();
  private readonly organisations = new Map<string, OrganisationState>();
  /** What the dominant shares are parts of. */
  total: Resources = NO_RESOURCES;

  /** Replaces the teams; those that are gone may run nothing new. */
  setTeams(teams: readonly PolicyTeam[]): void {
    const names = new Set(teams.map(team => team.team));
    for (const [name, state] of this.byName) {
      if (names.has(name)) continue;
      state.team = {...state.team, allowance: NO_RESOURCES};
    }
    for (const team of teams) this.setTeam(team);
    this.refreshRatios();
  }

  /** Sets what the dominant shares are parts of. */
  setTotal(total: Resources): void {
    this.total = total;
    this.refreshRatios();
  }

  /** The team of this name; an unknown one may run nothing. */
  get(name: string): TeamState {
    const known = this.byName.get(name);
    if (known !== undefined) return known;
    return this.add({
      team: name,
      organisation: '',
      share: 0,
      organisationShare: 0,
      allowance: NO_RESOURCES,
    });
  }

  /** All teams, also those without work. */
  values(): IterableIterator<TeamState> {
    return this.byName.values();
  }

  /** Adds to what a team uses, or takes away where the size is negative. */
  charge(team: TeamState, size: Resources, isUrgent: boolean): void {
    team.used = addResources(team.used, size);
    if (isUrgent) team.urgentUsed = addResources(team.urgentUsed, size);
    const {organisation} = team;
    organisation.used = addResources(organisation.used, size);
    this.refreshTeam(team);
    this.refreshOrganisation(organisation);
  }

  /**
   * Notes the size of a task that a team starts. Half of it counts in the
   * order of the teams: by the use before a start alone, teams with a small
   * share or small tasks get more than their due, by the use after it, less.
   */
  noteStart(team: TeamState, size: Resources): void {
    const half = dominantShare(size, this.total) / 2;
    team.halfTask = half;
    team.organisation.halfTask = half;
  }

  /**
   * Counts for how long teams have been off their share: whole tasks can't
   * match it at any one time, but by turns they can.
   */
  noteDrift(elapsedMs: number): void {
    const part = Math.min(1, elapsedMs / DRIFT_MS);
    for (const organisation of this.organisations.values()) {
      organisation.fair = 0;
    }
    for (const team of this.byName.values()) {
      team.organisation.fair += team.fair;
      const isBusy = team.waiting.size > 0;
      const used = dominantShare(team.used, this.total);
      team.drift = isBusy ? nextDrift(team, used, part) : 0;
    }
    for (const organisation of this.organisations.values()) {
      const used = dominantShare(organisation.used, this.total);
      organisation.drift = nextDrift(organisation, used, part);
    }
    this.refreshRatios();
  }

  /** Takes away from what a team uses. */
  release(team: TeamState, size: Resources, isUrgent: boolean): void {
    this.charge(team, subtractResources(NO_RESOURCES, size), isUrgent);
  }

  /** Notes that a part of what a team uses will soon be free. */
  noteStopping(team: TeamState, size: Resources): void {
    team.stopping = addResources(team.stopping, size);
    this.refreshTeam(team);
  }

  /** Notes that a task that was told to stop has ended. */
  noteStopped(team: TeamState, size: Resources): void {
    team.stopping = subtractResources(team.stopping, size);
    this.refreshTeam(team);
  }

  /** Tells whether a team may start that many tasks of this size. */
  canStart(team: TeamState, size: Resources, count: number): boolean {
    const more = count === 1 ? size : scaleResources(size, count);
    return this.isAllowed(team, more);
  }

  /** Tells whether a team may use that much more. */
  isAllowed(team: TeamState, more: Resources): boolean {
    return fitsIn(addResources(team.used, more), team.team.allowance);
  }

  private setTeam(team: PolicyTeam): void {
    const state = this.byName.get(team.team) ?? this.add(team);
    state.team = team;
    const organisation = this.getOrganisation(team.organisation);
    organisation.share = team.organisationShare;
    if (state.organisation === organisation) return;
    const former = state.organisation;
    former.used = subtractResources(former.used, state.used);
    organisation.used = addResources(organisation.used, state.used);
    state.organisation = organisation;
  }

  private add(team: PolicyTeam): TeamState {
    const organisation = this.getOrganisation(team.organisation);
    const state: TeamState = {
      team,
      organisation,
      used: NO_RESOURCES,
      urgentUsed: NO_RESOURCES,
      ratio: 0,
      waiting: new Map(),
      waitingSize: NO_RESOURCES,
      stopping: NO_RESOURCES,
      halfTask: 0,
      drift: 0,
      keptShare: 0,
      startedMs: -Infinity,
      fair: 0,
    };
    this.byName.set(team.team, state);
    return state;
  }

  private getOrganisation(name: string): OrganisationState {
    const known = this.organisations.get(name);
    if (known !== undefined) return known;
    const organisation: OrganisationState = {
      organisation: name,
      share: 0,
      used: NO_RESOURCES,
      halfTask: 0,
      drift: 0,
      fair: 0,
      ratio: 0,
    };
    this.organisations.set(name, organisation);
    return organisation;
  }

  private refreshRatios(): void {
    for (const team of this.byName.values()) this.refreshTeam(team);
    for (const organisation of this.organisations.values()) {
      this.refreshOrganisation(organisation);
    }
  }

  private refreshTeam(team: TeamState): void {
    const weight = Math.max(team.team.share, LEAST_WEIGHT);
    const used = dominantShare(team.used, this.total);
    team.ratio = (used + team.halfTask + team.drift) / weight;
    const kept = subtractResources(team.used, team.stopping);
    team.keptShare = dominantShare(kept, this.total);
  }

  private refreshOrganisation(organisation: OrganisationState): void {
    const weight = Math.max(organisation.share, LEAST_WEIGHT);
    const used = dominantShare(organisation.used, this.total);
    organisation.ratio =
      (used + organisation.halfTask + organisation.drift) / weight;
  }
}

interface Drifting {
  readonly fair: number;
  readonly halfTask: number;
  readonly drift: number;
}

/** The sum of what was had beyond the share, up to four tasks each way. */
function nextDrift(state: Drifting, used: number, part: number): number {
  const most = 8 * state.halfTask;
  const drift = state.drift + (used - state.fair) * part;
  return Math.max(-most, Math.min(most, drift));
}
