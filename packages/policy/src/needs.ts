/** Needs of room that waiting work has, and where there may be room for them. */
import {
  fitsIn,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from '@dragonflyward/common';
import {countFits, sizeKey} from './amounts.js';
import {RoomLog} from './room-log.js';
import {isUsable, type WorkerState} from './state.js';
import type {WaitClass} from './wait-class.js';

/** The work that a pass over the teams places. */
export type Tier =
  /** Urgent work of teams that are within their share. */
  | 'urgent'
  /** All work. */
  | 'all';

/** What is known of the room for a need. */
interface Search {
  /** The entries of the log that were looked at; -1 where none were. */
  seenUpTo: number;
  /** For a gang: how many tasks each worker had room for, and their sum. */
  readonly slots: Map<WorkerState, number>;
  slotSum: number;
}

/** What the waiting classes with the same size and kind need. */
export interface Need {
  readonly key: string;
  readonly size: Resources;
  /** How many tasks need room at once; 0 where they need not. */
  readonly gangSize: number;
  /** The classes that wait for it. */
  readonly classes: Set<WaitClass>;
  readonly searches: Readonly<Record<Tier, Search>>;
  /** When it was last checked whether the shard could ever hold it. */
  checkedMs: number;
  /** Since when the shard could not hold it; infinite where it could. */
  obstructedMs: number;
}

/** All needs of waiting work. */
export class NeedTable {
  private readonly byKey = new Map<string, Need>();
  private readonly log = new RoomLog();
  /** How many workers were looked at in all searches. */
  looks = 0;

  constructor(private readonly workers: ReadonlyMap<string, WorkerState>) {}

  /** The needs in no stated order. */
  values(): IterableIterator<Need> {
    return this.byKey.values();
  }

  /** Lets a class wait for room of its size. */
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

  /** Takes out a class of which no job waits, or whose size changes. */
  remove(waitClass: WaitClass): void {
    const {need} = waitClass;
    if (need === null) return;
    waitClass.need = null;
    need.classes.delete(waitClass);
    if (need.classes.size === 0) this.byKey.delete(need.key);
  }

  /** Notes that a worker may have got room. */
  noteRoom(worker: WorkerState): void {
    this.log.add(worker);
  }

  /** Tells whether there may be room for a need. */
  isOpen(need: Need, tier: Tier): boolean {
    const search = need.searches[tier];
    if (need.gangSize > 0) return this.isGangOpen(need, tier);
    if (search.seenUpTo < this.log.start) return true;
    for (; search.seenUpTo < this.log.end; search.seenUpTo += 1) {
      const worker = this.log.at(search.seenUpTo);
      if (worker !== undefined && fitsIn(need.size, worker.free)) return true;
    }
    return false;
  }

  /** Notes that no worker has room for a need. */
  noteFull(need: Need, tier: Tier): void {
    const search = need.searches[tier];
    search.seenUpTo = this.log.end;
    if (need.gangSize > 0) this.countSlots(need, tier);
  }

  /**
   * The workers on which a need may have room; a gang needs the room of
   * several workers, also of those that had some before.
   */
  candidatesOf(need: Need, tier: Tier): Iterable<WorkerState> {
    const search = need.searches[tier];
    if (need.gangSize > 0) {
      this.looks += search.slots.size;
      return search.slots.keys();
    }
    if (search.seenUpTo >= this.log.start) {
      this.looks += this.log.end - search.seenUpTo;
      return this.log.since(search.seenUpTo);
    }
    this.looks += this.workers.size;
    return this.workers.values();
  }

  private isGangOpen(need: Need, tier: Tier): boolean {
    const search = need.searches[tier];
    if (search.seenUpTo < this.log.start) this.countSlots(need, tier);
    for (; search.seenUpTo < this.log.end; search.seenUpTo += 1) {
      const worker = this.log.at(search.seenUpTo);
      if (worker !== undefined) setSlots(need, tier, worker);
    }
    return search.slotSum >= need.gangSize;
  }

  /** Counts the room on all workers for the tasks of a gang. */
  private countSlots(need: Need, tier: Tier): void {
    const search = need.searches[tier];
    search.seenUpTo = this.log.end;
    search.slots.clear();
    search.slotSum = 0;
    this.looks += this.workers.size;
    for (const worker of this.workers.values()) setSlots(need, tier, worker);
  }
}

function newNeed(key: string, waitClass: WaitClass): Need {
  return {
    key,
    size: waitClass.size,
    gangSize: waitClass.kind.gangSize,
    classes: new Set(),
    searches: {urgent: newSearch(), all: newSearch()},
    checkedMs: -Infinity,
    obstructedMs: Infinity,
  };
}

function newSearch(): Search {
  return {seenUpTo: -1, slots: new Map(), slotSum: 0};
}

/** Counts anew for how many tasks of a gang a worker has room. */
function setSlots(need: Need, tier: Tier, worker: WorkerState): void {
  const search = need.searches[tier];
  const held = tier === 'urgent' ? worker.heldUrgent : worker.held;
  const {free} = worker;
  const room = held === NO_RESOURCES ? free : subtractResources(free, held);
  const isReady = isUsable(worker);
  const fits = isReady
    ? Math.min(need.gangSize, countFits(need.size, room))
    : 0;
  search.slotSum += fits - (search.slots.get(worker) ?? 0);
  if (fits > 0) search.slots.set(worker, fits);
  else search.slots.delete(worker);
}
