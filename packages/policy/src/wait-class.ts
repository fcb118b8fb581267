/** Equivalence classes of waiting jobs that the placement treats alike. */
import type {Resources} from '@dragonflyward/common';
import type {PolicyPriority} from './engine.js';
import {Heap} from './heap.js';
import type {Need} from './needs.js';
import type {JobState, TeamState} from './state.js';

/** Removed entries that a heap may keep beyond the number of current ones. */
const MAX_EXTRA_STALE_ENTRIES = 64;

/** A heap entry; it is stale once the number of its job has changed. */
interface Entry {
  readonly state: JobState;
  readonly entryNumber: number;
  readonly acceptedMs: number;
}

/** The attributes that all jobs of a class share. */
export interface WaitKind {
  readonly queue: string;
  readonly priority: PolicyPriority;
  readonly declaredSize: Resources;
  /** The estimated run time of a task; infinite if unknown or too long. */
  readonly runMs: number;
  /** The number of tasks of a gang, which start together; otherwise 0. */
  readonly gangSize: number;
}

/** The waiting jobs of one team that share a kind, the oldest first. */
export class WaitClass {
  private readonly entries = new Heap<Entry>(
    (a, b) => a.acceptedMs - b.acceptedMs || a.entryNumber - b.entryNumber,
  );
  private jobCount = 0;
  private nextEntryNumber = 1;
  /** The number of waiting tasks. */
  taskCount = 0;
  /** The resources that a task of the class reserves at present. */
  size: Resources;
  /** The need that the class waits for; null while it has no jobs. */
  need: Need | null = null;
  /** The version of the estimate that the size reflects. */
  estimateVersion = 0;
  /** The time before which no tasks are preempted for the class. */
  preemptionBackoffUntilMs = 0;
  /** Why the class was not placed when it was last tried. */
  waitReason = 'placement has not been tried yet';

  constructor(
    readonly team: TeamState,
    readonly kind: WaitKind,
  ) {
    this.size = kind.declaredSize;
  }

  get isEmpty(): boolean {
    return this.jobCount === 0;
  }

  /** Adds a job that is in no class. */
  add(state: JobState): void {
    state.waitClass = this;
    state.entryNumber = this.nextEntryNumber;
    this.nextEntryNumber += 1;
    this.jobCount += 1;
    this.taskCount += state.pending.size;
    const {entryNumber} = state;
    this.entries.push({state, entryNumber, acceptedMs: state.job.acceptedMs});
  }

  /** Removes a job; its stale entry is dropped later. */
  remove(state: JobState): void {
    if (state.waitClass !== this) return;
    state.waitClass = null;
    state.entryNumber = 0;
    this.jobCount -= 1;
    this.taskCount -= state.pending.size;
    this.removeStaleEntries();
  }

  /** Removes some tasks of a job, and the job after its last one. */
  removeTasks(state: JobState, count: number): void {
    this.taskCount -= count;
    if (state.pending.size > 0) return;
    this.remove(state);
  }

  /** The oldest job. */
  first(): JobState | undefined {
    for (;;) {
      const entry = this.entries.first();
      if (entry === undefined) return undefined;
      if (this.isCurrent(entry)) return entry.state;
      this.entries.pop();
    }
  }

  /** The jobs of the class, in no particular order. */
  *jobs(): Generator<JobState> {
    for (const entry of this.entries) {
      if (this.isCurrent(entry)) yield entry.state;
    }
  }

  private isCurrent(entry: Entry): boolean {
    const {state, entryNumber} = entry;
    return state.waitClass === this && state.entryNumber === entryNumber;
  }

  private removeStaleEntries(): void {
    if (this.jobCount === 0) {
      this.entries.clear();
      return;
    }
    const stale = this.entries.size - this.jobCount;
    if (stale <= this.jobCount + MAX_EXTRA_STALE_ENTRIES) return;
    this.entries.retain(entry => this.isCurrent(entry));
  }
}
