/** Orders teams for placement, those furthest below their share first. */
import {Heap} from './heap.js';
import type {OrganisationState, TeamState} from './state.js';

interface OrganisationEntry {
  readonly organisation: OrganisationState;
  readonly teams: Heap<TeamState>;
}

/** Teams by the weighted share of their organisation, then by their own. */
export class TeamOrder {
  private readonly entries = new Heap<OrganisationEntry>(
    (a, b) => a.organisation.weightedShare - b.organisation.weightedShare,
  );

  constructor(teams: Iterable<TeamState>) {
    const byOrganisation = new Map<OrganisationState, Heap<TeamState>>();
    for (const team of teams) {
      const heap = byOrganisation.get(team.organisation) ?? newTeamHeap();
      heap.push(team);
      byOrganisation.set(team.organisation, heap);
    }
    for (const [organisation, heap] of byOrganisation) {
      this.entries.push({organisation, teams: heap});
    }
  }

  /** The next team; undefined if none is left. */
  first(): TeamState | undefined {
    return this.entries.first()?.teams.first();
  }

  /** Restores the order after the usage of the first team has grown. */
  updateFirst(): void {
    this.entries.first()?.teams.updateFirst();
    this.entries.updateFirst();
  }

  /** Removes the first team. */
  dropFirst(): void {
    const entry = this.entries.first();
    entry?.teams.pop();
    if (entry?.teams.size === 0) this.entries.pop();
  }
}

function newTeamHeap(): Heap<TeamState> {
  return new Heap<TeamState>((a, b) => a.weightedShare - b.weightedShare);
}
