/** Usage and weights of teams and organisations. */
import {
  addResources,
  fitsIn,
  NO_RESOURCES,
  scaleResources,
  subtractResources,
  type Resources,
} from '@dragonflyward/common';
import {dominantShare} from './resource-math.js';
import type {PolicyTeam} from './engine.js';
import type {OrganisationState, TeamState} from './state.js';

/** The weight of a team or organisation whose share is 0 or negative. */
const MIN_WEIGHT = 1e-9;

/** The time after which a constant excess of one task counts as one task. */
const SHARE_EXCESS_TIME_MS = 40_000;

/** All teams of a shard, with their usage there. */
export class TeamTable {
  private readonly byName = new Map<string, TeamState>();
  private readonly organisations = new Map<string, OrganisationState>();
  /** The capacity of the shard, of which dominant shares are fractions. */
  capacity: Resources = NO_RESOURCES;

  /** Replaces the teams; teams that are gone may start nothing new. */
  setTeams(teams: readonly PolicyTeam[]): void {
    const names = new Set(teams.map(team => team.team));
    for (const [name, state] of this.byName) {
      if (names.has(name)) continue;
      state.team = {...state.team, allowance: NO_RESOURCES};
    }
    for (const team of teams) this.setTeam(team);
    this.refreshWeightedShares();
  }

  /** Sets the capacity of the shard. */
  setCapacity(capacity: Resources): void {
    this.capacity = capacity;
    this.refreshWeightedShares();
  }

  /** Returns the team of this name; an unknown team has no allowance. */
  get(name: string): TeamState {
    const known = this.byName.get(name);
    if (known !== undefined) return known;
    return this.addTeam({
      team: name,
      organisation: '',
      share: 0,
      organisationShare: 0,
      allowance: NO_RESOURCES,
    });
  }

  /** All teams, including those without jobs. */
  values(): IterableIterator<TeamState> {
    return this.byName.values();
  }

  /** Adds to the usage of a team; the size may be negative. */
  charge(team: TeamState, size: Resources, isUrgent: boolean): void {
    team.used = addResources(team.used, size);
    if (isUrgent) team.urgentUsed = addResources(team.urgentUsed, size);
    const {organisation} = team;
    organisation.used = addResources(organisation.used, size);
    this.refreshTeam(team);
    this.refreshOrganisation(organisation);
  }

  /**
   * Records the size of the task that a team starts. Half of it is added to
   * the usage by which teams are ordered: with the usage before a start, teams
   * with a small share or small tasks would get more than their fair share,
   * and with the usage after it, less.
   */
  noteTaskStart(team: TeamState, size: Resources): void {
    const half = dominantShare(size, this.capacity) / 2;
    team.halfTaskShare = half;
    team.organisation.halfTaskShare = half;
  }

  /**
   * Updates how far teams have been above or below their fair share over time.
   * Whole tasks cannot match a share at every moment, but they can on average.
   */
  updateShareExcess(elapsedMs: number): void {
    const fraction = Math.min(1, elapsedMs / SHARE_EXCESS_TIME_MS);
    for (const organisation of this.organisations.values()) {
      organisation.fairShare = 0;
    }
    for (const team of this.byName.values()) {
      team.organisation.fairShare += team.fairShare;
      const isBusy = team.waiting.size > 0;
      const used = dominantShare(team.used, this.capacity);
      team.shareExcess = isBusy ? nextShareExcess(team, used, fraction) : 0;
    }
    for (const organisation of this.organisations.values()) {
      const used = dominantShare(organisation.used, this.capacity);
      organisation.shareExcess = nextShareExcess(organisation, used, fraction);
    }
    this.refreshWeightedShares();
  }

  /** Subtracts from the usage of a team. */
  release(team: TeamState, size: Resources, isUrgent: boolean): void {
    this.charge(team, subtractResources(NO_RESOURCES, size), isUrgent);
  }

  /** Records that a task was told to stop, which will free its size. */
  noteStopping(team: TeamState, size: Resources): void {
    team.stoppingResources = addResources(team.stoppingResources, size);
    this.refreshTeam(team);
  }

  /** Removes a task from those that were told to stop. */
  noteStopped(team: TeamState, size: Resources): void {
    team.stoppingResources = subtractResources(team.stoppingResources, size);
    this.refreshTeam(team);
  }

  /** Returns whether its limit lets a team start `count` tasks of this size. */
  canStart(team: TeamState, size: Resources, count: number): boolean {
    const more = count === 1 ? size : scaleResources(size, count);
    return this.isWithinAllowance(team, more);
  }

  /** Returns whether the usage of a team may grow by this much. */
  isWithinAllowance(team: TeamState, more: Resources): boolean {
    return fitsIn(addResources(team.used, more), team.team.allowance);
  }

  private setTeam(team: PolicyTeam): void {
    const state = this.byName.get(team.team) ?? this.addTeam(team);
    state.team = team;
    const organisation = this.getOrganisation(team.organisation);
    organisation.share = team.organisationShare;
    if (state.organisation === organisation) return;
    const former = state.organisation;
    former.used = subtractResources(former.used, state.used);
    organisation.used = addResources(organisation.used, state.used);
    state.organisation = organisation;
  }

  private addTeam(team: PolicyTeam): TeamState {
    const organisation = this.getOrganisation(team.organisation);
    const state: TeamState = {
      team,
      organisation,
      used: NO_RESOURCES,
      urgentUsed: NO_RESOURCES,
      weightedShare: 0,
      waiting: new Map(),
      waitingResources: NO_RESOURCES,
      stoppingResources: NO_RESOURCES,
      halfTaskShare: 0,
      shareExcess: 0,
      netShare: 0,
      lastStartMs: -Infinity,
      fairShare: 0,
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
      halfTaskShare: 0,
      shareExcess: 0,
      fairShare: 0,
      weightedShare: 0,
    };
    this.organisations.set(name, organisation);
    return organisation;
  }

  private refreshWeightedShares(): void {
    for (const team of this.byName.values()) this.refreshTeam(team);
    for (const organisation of this.organisations.values()) {
      this.refreshOrganisation(organisation);
    }
  }

  private refreshTeam(team: TeamState): void {
    const weight = Math.max(team.team.share, MIN_WEIGHT);
    const used = dominantShare(team.used, this.capacity);
    team.weightedShare =
      (used + team.halfTaskShare + team.shareExcess) / weight;
    const kept = subtractResources(team.used, team.stoppingResources);
    team.netShare = dominantShare(kept, this.capacity);
  }

  private refreshOrganisation(organisation: OrganisationState): void {
    const weight = Math.max(organisation.share, MIN_WEIGHT);
    const used = dominantShare(organisation.used, this.capacity);
    organisation.weightedShare =
      (used + organisation.halfTaskShare + organisation.shareExcess) / weight;
  }
}

/** A team or organisation with its fair share and its excess so far. */
interface ShareHistory {
  readonly fairShare: number;
  readonly halfTaskShare: number;
  readonly shareExcess: number;
}

/**
 * Adds the usage beyond the fair share to the excess so far, which is limited
 * to four tasks in either direction.
 */
function nextShareExcess(
  state: ShareHistory,
  used: number,
  fraction: number,
): number {
  const limit = 8 * state.halfTaskShare;
  const excess = state.shareExcess + (used - state.fairShare) * fraction;
  return Math.max(-limit, Math.min(limit, excess));
}
