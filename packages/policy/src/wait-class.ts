/** Waiting jobs of one team that are alike to the placement. */
import type {Resources} from '@dragonflyward/common';
import type {PolicyPriority} from './engine.js';
import {Heap} from './heap.js';
import type {Need} from './needs.js';
import type {JobState, TeamState} from './state.js';

/** Stale entries that a class may keep beyond those in use. */
const STALE_SLACK = 64;

interface Entry {
  readonly state: JobState;
  readonly ticket: number;
  readonly acceptedMs: number;
}

/** What the jobs of a class have in common. */
export interface WaitKind {
  readonly queue: string;
  readonly priority: PolicyPriority;
  readonly declared: Resources;
  /** How long a task is expected to run; infinite where unknown. */
  readonly runMs: number;
  /** How many tasks need room at once; 0 where they need not. */
  readonly gangSize: number;
}

/** Waiting jobs of one team and kind; the oldest is first. */
export class WaitClass {
  private readonly entries = new Heap<Entry>(
    (a, b) => a.acceptedMs - b.acceptedMs || a.ticket - b.ticket,
  );
  private jobCount = 0;
  private nextTicket = 1;
  /** How many tasks wait in this class. */
  taskCount = 0;
  /** What a task of the class reserves at present. */
  size: Resources;
  /** The room that the class waits for; null while no job waits in it. */
  need: Need | null = null;
  /** The state of the estimates by which the size was set. */
  sizeVersion = 0;
  /** No room is made for the class before this time. */
  noRoomUntilMs = 0;
  /** Why the class did not get room when it was last tried. */
  obstacle = 'it has not been its turn yet';

  constructor(
    readonly team: TeamState,
    readonly kind: WaitKind,
  ) {
    this.size = kind.declared;
  }

  get isEmpty(): boolean {
    return this.jobCount === 0;
  }

  /** Adds a job that waits in no class. */
  add(state: JobState): void {
    state.waitClass = this;
    state.ticket = this.nextTicket;
    this.nextTicket += 1;
    this.jobCount += 1;
    this.taskCount += state.pending.size;
    const {ticket} = state;
    this.entries.push({state, ticket, acceptedMs: state.job.acceptedMs});
  }

  /** Takes a job out; its entry is dropped later. */
  remove(state: JobState): void {
    if (state.waitClass !== this) return;
    state.waitClass = null;
    state.ticket = 0;
    this.jobCount -= 1;
    this.taskCount -= state.pending.size;
    this.dropStale();
  }

  /** Tells that some of a job's tasks wait no more. */
  shrink(state: JobState, count: number): void {
    this.taskCount -= count;
    if (state.pending.size > 0) return;
    this.remove(state);
  }

  /** The job that has waited longest. */
  first(): JobState | undefined {
    for (;;) {
      const entry = this.entries.first();
      if (entry === undefined) return undefined;
      if (this.isCurrent(entry)) return entry.state;
      this.entries.pop();
    }
  }

  /** The jobs of the class in no stated order. */
  *jobs(): Generator<JobState> {
    for (const entry of this.entries) {
      if (this.isCurrent(entry)) yield entry.state;
    }
  }

  private isCurrent(entry: Entry): boolean {
    const {state, ticket} = entry;
    return state.waitClass === this && state.ticket === ticket;
  }

  private dropStale(): void {
    if (this.jobCount === 0) {
      this.entries.clear();
      return;
    }
    const stale = this.entries.size - this.jobCount;
    if (stale <= this.jobCount + STALE_SLACK) return;
    this.entries.retain(entry => this.isCurrent(entry));
  }
}
