/** Resource needs of waiting jobs, and the workers on which they may fit. */
import {
  fitsIn,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from '@dragonflyward/common';
import {countFits, sizeKey} from './resource-math.js';
import {FreedWorkerLog} from './freed-worker-log.js';
import {isSchedulable, type WorkerState} from './state.js';
import type {WaitClass} from './wait-class.js';

/** The jobs that a pass over the teams places. */
export type Tier =
  /** Urgent jobs of teams that are within their fair share. */
  | 'urgent'
  /** All jobs. */
  | 'all';

/** The progress of the search for workers on which a need fits. */
interface SearchState {
  /** The first log position that was not examined yet; -1 before any search. */
  nextPosition: number;
  /** For a gang: the number of tasks that fit on each worker, and their sum. */
  readonly slots: Map<WorkerState, number>;
  totalSlots: number;
}

/** The need of the waiting classes with equal size, run time and gang size. */
export interface Need {
  readonly key: string;
  readonly size: Resources;
  /** The number of tasks of a gang, which start together; otherwise 0. */
  readonly gangSize: number;
  /** The waiting classes that share the need. */
  readonly classes: Set<WaitClass>;
  readonly searches: Readonly<Record<Tier, SearchState>>;
  /** When it was last checked whether it would fit in an empty shard. */
  lastCheckedMs: number;
  /** Since when it would not fit in an empty shard; infinite if it would. */
  noFitSinceMs: number;
}

/** The needs of all waiting jobs. */
export class NeedTable {
  private readonly byKey = new Map<string, Need>();
  private readonly log = new FreedWorkerLog();
  /** The number of workers that all searches have examined. */
  examinedWorkers = 0;

  constructor(private readonly workers: ReadonlyMap<string, WorkerState>) {}

  /** The needs, in no particular order. */
  values(): IterableIterator<Need> {
    return this.byKey.values();
  }

  /** Adds a class, or moves it to the need of its present size. */
  add(waitClass: WaitClass): void {
    const {runMs, gangSize} = waitClass.kind;
    const key = `${runMs} ${gangSize} ${sizeKey(waitClass.size)}`;
    if (waitClass.need?.key === key) return;
    this.remove(waitClass);
    const need = this.byKey.get(key) ?? newNeed(key, waitClass);
    this.byKey.set(key, need);
    need.classes.add(waitClass);
    waitClass.need = need;
  }

  /** Removes a class without waiting jobs, or one whose size changes. */
  remove(waitClass: WaitClass): void {
    const {need} = waitClass;
    if (need === null) return;
    waitClass.need = null;
    need.classes.delete(waitClass);
    if (need.classes.size === 0) this.byKey.delete(need.key);
  }

  /** Records that a worker may have more free resources. */
  noteFreed(worker: WorkerState): void {
    this.log.add(worker);
  }

  /**
   * Returns whether a need may fit, judging by the workers that got room since
   * it last did not.
   */
  mayFit(need: Need, tier: Tier): boolean {
    const search = need.searches[tier];
    if (need.gangSize > 0) return this.mayGangFit(need, tier);
    if (search.nextPosition < this.log.start) return true;
    for (; search.nextPosition < this.log.end; search.nextPosition += 1) {
      const worker = this.log.at(search.nextPosition);
      if (worker !== undefined && fitsIn(need.size, worker.free)) return true;
    }
    return false;
  }

  /** Records that a need fits on no worker at present. */
  noteNoFit(need: Need, tier: Tier): void {
    const search = need.searches[tier];
    search.nextPosition = this.log.end;
    if (need.gangSize > 0) this.recountSlots(need, tier);
  }

  /**
   * Returns the workers on which a need may fit: those that changed since it
   * last did not. For a gang, all workers with room for a task, since it needs
   * several workers at once.
   */
  getCandidates(need: Need, tier: Tier): Iterable<WorkerState> {
    const search = need.searches[tier];
    if (need.gangSize > 0) {
      this.examinedWorkers += search.slots.size;
      return search.slots.keys();
    }
    if (search.nextPosition >= this.log.start) {
      this.examinedWorkers += this.log.end - search.nextPosition;
      return this.log.since(search.nextPosition);
    }
    this.examinedWorkers += this.workers.size;
    return this.workers.values();
  }

  private mayGangFit(need: Need, tier: Tier): boolean {
    const search = need.searches[tier];
    if (search.nextPosition < this.log.start) this.recountSlots(need, tier);
    for (; search.nextPosition < this.log.end; search.nextPosition += 1) {
      const worker = this.log.at(search.nextPosition);
      if (worker !== undefined) updateSlots(need, tier, worker);
    }
    return search.totalSlots >= need.gangSize;
  }

  /** Recounts the tasks of a gang that fit on each of all workers. */
  private recountSlots(need: Need, tier: Tier): void {
    const search = need.searches[tier];
    search.nextPosition = this.log.end;
    search.slots.clear();
    search.totalSlots = 0;
    this.examinedWorkers += this.workers.size;
    for (const worker of this.workers.values()) updateSlots(need, tier, worker);
  }
}

function newNeed(key: string, waitClass: WaitClass): Need {
  return {
    key,
    size: waitClass.size,
    gangSize: waitClass.kind.gangSize,
    classes: new Set(),
    searches: {urgent: newSearchState(), all: newSearchState()},
    lastCheckedMs: -Infinity,
    noFitSinceMs: Infinity,
  };
}

function newSearchState(): SearchState {
  return {nextPosition: -1, slots: new Map(), totalSlots: 0};
}

/** Updates the number of tasks of a gang that fit on a worker. */
function updateSlots(need: Need, tier: Tier, worker: WorkerState): void {
  const search = need.searches[tier];
  const held = tier === 'urgent' ? worker.heldUrgent : worker.held;
  const {free} = worker;
  const room = held === NO_RESOURCES ? free : subtractResources(free, held);
  const isReady = isSchedulable(worker);
  const fits = isReady
    ? Math.min(need.gangSize, countFits(need.size, room))
    : 0;
  search.totalSlots += fits - (search.slots.get(worker) ?? 0);
  if (fits > 0) search.slots.set(worker, fits);
  else search.slots.delete(worker);
}
