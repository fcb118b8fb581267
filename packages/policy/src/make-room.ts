/** Chooses which running tasks to stop so that others get their room. */
import {
  addResources,
  fitsIn,
  subtractResources,
  type Resources,
} from '@dragonflyward/common';
import type {EngineCore} from './core.js';
import {Heap} from './heap.js';
import {comingRoom, type Hold} from './holds.js';
import {
  isUsable,
  type JobState,
  type RunningTask,
  type WorkerState,
} from './state.js';

/** How much dearer a stop is than that of a plain batch task. */
const NORMAL_COST_FACTOR = 8;
const SERVICE_COST_FACTOR = 4;
const WITHIN_SHARE_COST_FACTOR = 4;

/** Workers that a search looks at before it gives up for now. */
const MAX_WORKERS = 128;
/** Workers between which a search has the choice. */
const MIN_OFFERS = 8;
const OFFERS_PER_TASK = 2;

/** Tasks of a job that need room, and whose room they may have. */
export interface RoomWanted {
  readonly state: JobState;
  readonly size: Resources;
  /** How many tasks need room. */
  readonly count: number;
  /** Whether room for only some of the tasks is of no use. */
  readonly isWhole: boolean;
  readonly isUrgent: boolean;
  readonly untilMs: number;
  readonly reason: string;
  mayStop(running: RunningTask): boolean;
}

/** A way to make room for one task on a worker. */
interface Offer {
  readonly worker: WorkerState;
  readonly victims: readonly RunningTask[];
  readonly cost: number;
}

/** Where room may be made for tasks of one size; the cheapest is first. */
export type RoomSearch = Heap<Offer>;

/**
 * Looks for workers on which room can be made, until there is some choice;
 * each search begins where the last one ended.
 *
 * @example
 * const search = newRoomSearch(core, wanted);
 */
export function newRoomSearch(
  core: EngineCore,
  wanted: RoomWanted,
): RoomSearch {
  const offers = new Heap<Offer>((a, b) => a.cost - b.cost);
  const workers = core.cell.workerList;
  const enough = wanted.count * OFFERS_PER_TASK + MIN_OFFERS;
  const most = Math.min(workers.length, MAX_WORKERS + enough);
  for (let i = 0; i < most && offers.size < enough; i += 1) {
    const worker = workers[core.roomCursor % workers.length];
    core.roomCursor = (core.roomCursor + 1) % workers.length;
    const offer = worker && offerOf(core, worker, wanted);
    if (offer !== undefined) offers.push(offer);
  }
  return offers;
}

/**
 * Stops the cheapest tasks that make room for the wanted tasks, and holds
 * that room; the stops are put into the outbox.
 *
 * @example
 * const made = makeRoom(core, search, wanted);
 *
 * @returns for how many tasks there will be room
 */
export function makeRoom(
  core: EngineCore,
  search: RoomSearch,
  wanted: RoomWanted,
): number {
  const stopped: RunningTask[] = [];
  const slots = new Map(core.holds.get(wanted.state.job.jobId)?.slots);
  let made = 0;
  while (made < wanted.count) {
    const offer = takeOffer(core, search, wanted);
    if (offer === undefined) break;
    stopped.push(...stopAll(core, offer.victims));
    slots.set(offer.worker, (slots.get(offer.worker) ?? 0) + 1);
    core.holds.add(newHold(core, wanted, slots));
    made += 1;
    const next = offerOf(core, offer.worker, wanted);
    if (next !== undefined) search.push(next);
  }
  if (wanted.isWhole && made < wanted.count) {
    undo(core, wanted, stopped);
    return 0;
  }
  for (const running of stopped) announce(core, running, wanted.reason);
  return made;
}

/** The cheapest offer that still holds. */
function takeOffer(
  core: EngineCore,
  search: RoomSearch,
  wanted: RoomWanted,
): Offer | undefined {
  for (;;) {
    const offer = search.pop();
    if (offer === undefined) return undefined;
    const fresh = offerOf(core, offer.worker, wanted);
    if (fresh === undefined) continue;
    if (fresh.cost <= offer.cost) return fresh;
    search.push(fresh);
  }
}

function newHold(
  core: EngineCore,
  wanted: RoomWanted,
  slots: ReadonlyMap<WorkerState, number>,
): Hold {
  return {
    state: wanted.state,
    size: wanted.size,
    isUrgent: wanted.isUrgent,
    fromMs: core.nowMs,
    untilMs: wanted.untilMs,
    slots: new Map(slots),
  };
}

/** The cheapest way to make room for one more task on a worker. */
function offerOf(
  core: EngineCore,
  worker: WorkerState,
  wanted: RoomWanted,
): Offer | undefined {
  if (!isUsable(worker)) return undefined;
  if (!fitsIn(wanted.size, worker.worker.capacity)) return undefined;
  const victims: RunningTask[] = [];
  let room = comingRoom(worker, wanted.isUrgent, core.nowMs);
  let teamRoom = teamRoomOf(core, wanted);
  const isEnough = (): boolean =>
    fitsIn(wanted.size, room) && fitsIn(wanted.size, teamRoom);
  if (!isEnough()) {
    for (const running of cheapestFirst(worker, wanted)) {
      victims.push(running);
      room = addResources(room, running.task.size);
      teamRoom = addResources(teamRoom, ownSize(running, wanted));
      if (isEnough()) break;
    }
  }
  if (!isEnough()) return undefined;
  for (const running of [...victims].reverse()) {
    const lessRoom = subtractResources(room, running.task.size);
    const lessTeam = subtractResources(teamRoom, ownSize(running, wanted));
    if (!fitsIn(wanted.size, lessRoom)) continue;
    if (!fitsIn(wanted.size, lessTeam)) continue;
    victims.splice(victims.indexOf(running), 1);
    room = lessRoom;
    teamRoom = lessTeam;
  }
  const cost = victims.reduce((sum, running) => sum + stopCost(running), 0);
  return {worker, victims, cost};
}

/** What the team may still start once told tasks of it have ended. */
function teamRoomOf(core: EngineCore, wanted: RoomWanted): Resources {
  const {team, job} = wanted.state;
  const kept = subtractResources(team.used, team.stopping);
  const held = core.holds.roomOf(job.jobId);
  let room = subtractResources(team.team.allowance, kept);
  for (const amount of held.values()) room = subtractResources(room, amount);
  return room;
}

function ownSize(running: RunningTask, wanted: RoomWanted): Resources {
  const isOwn = running.job.team === wanted.state.team;
  return isOwn
    ? running.task.size
    : subtractResources(wanted.size, wanted.size);
}

function cheapestFirst(
  worker: WorkerState,
  wanted: RoomWanted,
): readonly RunningTask[] {
  const running: RunningTask[] = [];
  for (const task of worker.tasks) {
    if (!task.isStopping && wanted.mayStop(task)) running.push(task);
  }
  return running.sort((a, b) => stopCost(a) - stopCost(b));
}

/** What a stop costs: what has to be checkpointed, for all of a gang. */
function stopCost(running: RunningTask): number {
  const {job, queue} = running.job;
  const tasks = job.isGang ? running.job.running.size : 1;
  const priority = queue.priority === 'batch' ? 1 : NORMAL_COST_FACTOR;
  const service = job.isService ? SERVICE_COST_FACTOR : 1;
  const {keptShare, fair} = running.job.team;
  const share = keptShare > fair ? 1 : WITHIN_SHARE_COST_FACTOR;
  const sizeMb = Math.max(1, running.task.size.memMb);
  return sizeMb * tasks * priority * service * share;
}

/** Marks tasks as told to stop, with the rest of their gangs. */
function stopAll(
  core: EngineCore,
  victims: readonly RunningTask[],
): readonly RunningTask[] {
  const stopped: RunningTask[] = [];
  for (const victim of victims) {
    const {job, running} = victim.job;
    const together = job.isGang ? [...running.values()] : [victim];
    for (const task of together) {
      if (task.isStopping) continue;
      core.cell.markStopping(task, core.nowMs);
      stopped.push(task);
    }
  }
  return stopped;
}

function undo(
  core: EngineCore,
  wanted: RoomWanted,
  stopped: readonly RunningTask[],
): void {
  core.holds.remove(wanted.state.job.jobId);
  for (const running of stopped) core.cell.unmarkStopping(running);
}

/**
 * Announces that a task has to stop.
 *
 * @example
 * announce(core, running, 'urgent work of team a needs the room');
 */
export function announce(
  core: EngineCore,
  running: RunningTask,
  reason: string,
): void {
  const {taskId, workerId} = running.task;
  core.outbox.push({kind: 'preempt', taskId, workerId, reason});
}
