/** The queue of requests that wait for a ticket, as a p-queue queue. */
import {raise, type Clock} from '@dragonflyward/common';
import type {TicketAsk} from '@dragonflyward/peer';
import type {Priority} from '@dragonflyward/state';
import type {VmEntry} from '@dragonflyward/vms';
import PQueue, {type Queue, type QueueAddOptions} from 'p-queue';

type RunFunction = () => Promise<unknown>;

/** One ticket in this many goes to the request that waits longest. */
const AGEING_GRANT_INTERVAL = 16;
/** Minimum wait before a request is served out of order by its age. */
const AGEING_MIN_WAIT_MS = 5_000;
const PRIORITIES: readonly Priority[] = ['urgent', 'normal', 'batch'];

/** A request that waits for a ticket. */
export interface Waiter {
  readonly ask: TicketAsk;
  readonly gateway: string;
  readonly priority: Priority;
  readonly sinceMs: number;
  readonly untilMs: number;
  /** Called with the executor once it is the request's turn. */
  readonly grant: (executor: VmEntry) => void;
  readonly refuse: (err: Error) => void;
}

/** The options that come with each p-queue entry. */
export interface TicketOptions extends QueueAddOptions {
  readonly waiter?: Waiter;
}

/** Decides which waiting requests can have a ticket. */
export abstract class GrantPolicy {
  /** Finds an executor for the request; undefined while there is none. */
  abstract findExecutor(waiter: Waiter): VmEntry | undefined;
  /** A team's slots in use, divided by its share. */
  abstract weightedUsage(team: string): number;
}

/** The waiting requests of one team for one service and priority. */
interface Lane {
  readonly priority: Priority;
  readonly team: string;
  readonly entries: Entry[];
}

interface Entry {
  readonly waiter: Waiter;
  readonly run: RunFunction;
}

interface Choice {
  readonly lane: Lane;
  readonly entry: Entry;
  readonly executor: VmEntry;
}

/**
 * Serves urgent before normal before batch requests; within one priority
 * the team with the lowest weighted usage first; within a team in order of
 * arrival.
 */
export class FairQueue implements Queue<RunFunction, TicketOptions> {
  private readonly lanes = new Map<string, Lane>();
  private grantedCount = 0;

  constructor(
    private readonly grantPolicy: GrantPolicy,
    private readonly clock: Clock,
  ) {}

  /** 1 if an entry can run now, else 0; p-queue dequeues while it is 1. */
  get size(): number {
    return this.choose() === undefined ? 0 : 1;
  }

  enqueue(run: RunFunction, options?: Partial<TicketOptions>): void {
    const waiter = options?.waiter;
    if (waiter === undefined) return;
    const lane = this.laneOf(waiter);
    lane.entries.push({waiter, run});
  }

  dequeue(): RunFunction | undefined {
    const choice = this.choose();
    if (choice === undefined) return undefined;
    this.grantedCount += 1;
    this.removeEntry(choice.lane, choice.entry);
    choice.entry.waiter.grant(choice.executor);
    return choice.entry.run;
  }

  filter(): RunFunction[] {
    return [...this.entries()].map(entry => entry.run);
  }

  setPriority(): void {
    return;
  }

  /** Removes the requests that have less time left than they need. */
  removeLate(neededMs: (waiter: Waiter) => number): readonly Waiter[] {
    const nowMs = this.clock.monotonicMs();
    return this.removeWhere(
      waiter => waiter.untilMs - nowMs <= neededMs(waiter),
    );
  }

  /** Removes the requests that a condition selects. */
  removeWhere(shouldRemove: (waiter: Waiter) => boolean): readonly Waiter[] {
    const removed = [...this.lanes.values()].flatMap(lane =>
      lane.entries
        .filter(entry => shouldRemove(entry.waiter))
        .map(entry => ({lane, entry})),
    );
    for (const {lane, entry} of removed) this.removeEntry(lane, entry);
    return removed.map(({entry}) => entry.waiter);
  }

  /** Removes all requests. */
  removeAll(): readonly Waiter[] {
    return this.removeWhere(() => true);
  }

  /** All waiting requests. */
  *waiters(): Generator<Waiter> {
    for (const entry of this.entries()) yield entry.waiter;
  }

  private *entries(): Generator<Entry> {
    for (const lane of this.lanes.values()) yield* lane.entries;
  }

  private choose(): Choice | undefined {
    const isAgeingTurn =
      this.grantedCount % AGEING_GRANT_INTERVAL === AGEING_GRANT_INTERVAL - 1;
    const oldest = isAgeingTurn ? this.chooseOldest() : undefined;
    if (oldest !== undefined) return oldest;
    for (const priority of PRIORITIES) {
      const choice = this.chooseIn(priority);
      if (choice !== undefined) return choice;
    }
    return undefined;
  }

  private chooseOldest(): Choice | undefined {
    const latestSinceMs = this.clock.monotonicMs() - AGEING_MIN_WAIT_MS;
    const sinceTimes = [...this.lanes.values()]
      .map(lane => lane.entries[0]?.waiter.sinceMs ?? Infinity)
      .filter(sinceMs => sinceMs <= latestSinceMs)
      .sort((a, b) => a - b);
    for (const sinceMs of sinceTimes) {
      const choice = this.chooseFrom(
        lane => lane.entries[0]?.waiter.sinceMs === sinceMs,
      );
      if (choice !== undefined) return choice;
    }
    return undefined;
  }

  private chooseIn(priority: Priority): Choice | undefined {
    return this.chooseFrom(lane => lane.priority === priority);
  }

  private chooseFrom(isEligible: (lane: Lane) => boolean): Choice | undefined {
    const lanes = [...this.lanes.values()]
      .filter(isEligible)
      .map(lane => ({lane, level: this.grantPolicy.weightedUsage(lane.team)}))
      .sort((a, b) => a.level - b.level);
    for (const {lane} of lanes) {
      const [entry] = lane.entries;
      if (entry === undefined) continue;
      const executor = this.grantPolicy.findExecutor(entry.waiter);
      if (executor !== undefined) return {lane, entry, executor};
    }
    return undefined;
  }

  private laneOf(waiter: Waiter): Lane {
    const {team, service} = waiter.ask;
    const key = JSON.stringify([waiter.priority, team, service]);
    const found = this.lanes.get(key);
    if (found !== undefined) return found;
    const lane: Lane = {priority: waiter.priority, team, entries: []};
    this.lanes.set(key, lane);
    return lane;
  }

  private removeEntry(lane: Lane, entry: Entry): void {
    const index = lane.entries.indexOf(entry);
    if (index >= 0) lane.entries.splice(index, 1);
    if (lane.entries.length > 0) return;
    for (const [key, value] of this.lanes) {
      if (value === lane) this.lanes.delete(key);
    }
  }
}

/** A p-queue with the fair queue that holds its entries. */
export interface TicketQueue {
  readonly queue: PQueue<FairQueue, TicketOptions>;
  readonly fairQueue: FairQueue;
}

/**
 * Makes the p-queue of waiting requests.
 *
 * @example
 * const {queue, fairQueue} = makeTicketQueue(grantPolicy, clock);
 */
export function makeTicketQueue(
  grantPolicy: GrantPolicy,
  clock: Clock,
): TicketQueue {
  const created: FairQueue[] = [];
  const queue = new PQueue<FairQueue, TicketOptions>({
    queueClass: class extends FairQueue {
      constructor() {
        super(grantPolicy, clock);
        created.push(this);
      }
    },
  });
  const [fairQueue] = created;
  if (fairQueue === undefined) return raise('internal', 'no queue created');
  return {queue, fairQueue};
}

/**
 * Ranks a priority; lower ranks are served first.
 *
 * @example
 * if (priorityRank(a) < priorityRank(b)) serveFirst(a);
 */
export function priorityRank(priority: Priority): number {
  return PRIORITIES.indexOf(priority);
}
