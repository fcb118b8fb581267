/** Holds room for gangs and large tasks, so that small ones don't starve them. */
import {
  addResources,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from '@dragonflyward/common';
import {dominantShare, countFits} from './amounts.js';
import {policyOf, type EngineCore} from './core.js';
import type {Decision} from './engine.js';
import {MAX_HOLD_MS, type Hold} from './holds.js';
import {flush, newAsk, startAll} from './place-waiting.js';
import type {PlacementAsk} from './placement-policy.js';
import {
  isUsable,
  type JobState,
  type RunningTask,
  type TeamState,
  type WorkerState,
} from './state.js';
import {TeamOrder} from './team-order.js';
import type {WaitClass} from './wait-class.js';
import {rankOf} from './waiting-list.js';

/** Jobs for which room is held at one time, apart from urgent ones. */
const MAX_RESERVATIONS = 4;
/** How long a job waits before room is held for it. */
const RESERVE_AFTER_MS = 3_000;
/** How long a team below its share starts nothing before room is held. */
const BELOW_SHARE_MS = 1_000;
/** How long a job of a team above its share waits before that. */
const OVERDUE_MS = 30_000;
/** How long a job goes without a hold after one that was of no use. */
const HOLD_PAUSE_MS = 30_000;
/** Workers among which openings are sought. */
const MAX_WORKERS = 32;
const WORKERS_PER_TASK = 4;
/** A task is large where it takes this part of the largest worker. */
const LARGE_PART = 0.25;
/** How much longer an overdue task is expected to run at least. */
const SHORTEST_REST_MS = 1_000;

/** When a worker is expected to have room for one more task. */
interface Opening {
  readonly worker: WorkerState;
  readonly atMs: number;
}

/**
 * Starts jobs whose held room has become free, and ends overdue holds.
 *
 * @example
 * yield* placeHeld(core);
 */
export function* placeHeld(core: EngineCore): Generator<Decision> {
  for (const hold of [...core.holds.values()]) {
    placeHold(core, hold);
    yield* flush(core);
  }
}

function placeHold(core: EngineCore, hold: Hold): void {
  const {state} = hold;
  const {jobId} = state.job;
  const {waitClass} = state;
  if (waitClass === null) {
    core.holds.remove(jobId);
    return;
  }
  if (core.holds.get(jobId) !== hold) return;
  while (state.pending.size > 0 && placeOnce(core, hold, waitClass)) {
    if (state.job.isGang) break;
  }
  if (core.nowMs < hold.untilMs) return;
  if (core.holds.get(jobId) !== hold) return;
  core.holds.remove(jobId);
  if (!hold.isUrgent) state.noHoldUntilMs = core.nowMs + HOLD_PAUSE_MS;
}

function placeOnce(
  core: EngineCore,
  hold: Hold,
  waitClass: WaitClass,
): boolean {
  const {state} = hold;
  const tier = hold.isUrgent ? 'urgent' : 'all';
  const own = core.holds.claimOf(state.job.jobId);
  const base = newAsk(core, state, waitClass, tier);
  const ask: PlacementAsk = {...base, size: hold.size, own};
  if (!core.teams.canStart(state.team, ask.size, ask.count)) return false;
  const chosen = policyOf(core, state).choose(hold.slots.keys(), ask);
  startAll(core, state, chosen, ask.size);
  return chosen.length > 0;
}

/**
 * Holds room for those that small work would keep from starting: gangs and
 * large tasks by their age, and the teams furthest below their share.
 *
 * @example
 * reserveForBlocked(core);
 */
export function reserveForBlocked(core: EngineCore): void {
  let free = MAX_RESERVATIONS;
  for (const hold of core.holds.values()) if (!hold.isUrgent) free -= 1;
  if (free <= 0) return;
  const hard = oldestHardClass(core);
  if (hard !== undefined && reserve(core, hard)) free -= 1;
  const order = new TeamOrder(teamsKeptBelow(core));
  for (; free > 0; free -= 1) {
    const team = order.first();
    if (team === undefined) return;
    order.dropFirst();
    const waitClass = dueClassOf(core, team);
    if (waitClass !== undefined) reserve(core, waitClass);
  }
}

/** Holds room for the first job of a class; returns whether it could. */
function reserve(core: EngineCore, waitClass: WaitClass): boolean {
  const state = waitClass.first();
  if (state === undefined) return false;
  const count = state.job.isGang ? state.pending.size : 1;
  const openings = soonestOpenings(core, waitClass, count);
  const last = openings.at(-1);
  const untilMs = core.nowMs + MAX_HOLD_MS;
  if (openings.length < count || last === undefined || last.atMs > untilMs) {
    state.noHoldUntilMs = core.nowMs + HOLD_PAUSE_MS;
    return false;
  }
  const slots = new Map<WorkerState, number>();
  for (const {worker} of openings) {
    slots.set(worker, (slots.get(worker) ?? 0) + 1);
  }
  const {size} = waitClass;
  const fromMs = last.atMs;
  core.holds.add({state, size, isUrgent: false, fromMs, untilMs, slots});
  return true;
}

/** Teams that lack at least one task, though others start work. */
function* teamsKeptBelow(core: EngineCore): Generator<TeamState> {
  for (const team of core.teams.values()) {
    if (team.waiting.size === 0 || team.keptShare >= team.fair) continue;
    if (core.nowMs - team.startedMs >= BELOW_SHARE_MS) yield team;
  }
}

/** The class whose turn it is of those whose next task is due. */
function dueClassOf(core: EngineCore, team: TeamState): WaitClass | undefined {
  let next: WaitClass | undefined;
  let nextRank = Infinity;
  for (const waitClass of team.waiting.values()) {
    const first = waitClass.first();
    if (first === undefined) continue;
    const rank = rankOf(core, waitClass, first.job.acceptedMs);
    if (rank >= nextRank) continue;
    const size = dominantShare(waitClass.size, core.teams.total);
    if (team.keptShare + size > team.fair) continue;
    if (!mayReserve(core, waitClass, first)) continue;
    next = waitClass;
    nextRank = rank;
  }
  return next;
}

function oldestHardClass(core: EngineCore): WaitClass | undefined {
  let oldest: WaitClass | undefined;
  let oldestMs = core.nowMs - RESERVE_AFTER_MS;
  for (const need of core.needs.values()) {
    if (need.gangSize <= 1 && !core.cell.isLarge(need.size, LARGE_PART)) {
      continue;
    }
    for (const waitClass of need.classes) {
      const first = waitClass.first();
      if (first === undefined || first.job.acceptedMs > oldestMs) continue;
      if (!mayReserve(core, waitClass, first)) continue;
      oldest = waitClass;
      oldestMs = first.job.acceptedMs;
    }
  }
  return oldest;
}

function mayReserve(
  core: EngineCore,
  waitClass: WaitClass,
  state: JobState,
): boolean {
  if (state.noHoldUntilMs > core.nowMs) return false;
  if (core.holds.get(state.job.jobId) !== undefined) return false;
  const {team} = waitClass;
  const count = Math.max(1, waitClass.kind.gangSize);
  if (!core.teams.canStart(team, waitClass.size, count)) return false;
  if (core.nowMs - state.job.acceptedMs > OVERDUE_MS) return true;
  return dominantShare(team.used, core.teams.total) <= team.fair;
}

/** Where and when the tasks are expected to find room soonest. */
function soonestOpenings(
  core: EngineCore,
  waitClass: WaitClass,
  count: number,
): readonly Opening[] {
  const openings: Opening[] = [];
  const workers = core.cell.workerList;
  const most = Math.min(workers.length, MAX_WORKERS + count * WORKERS_PER_TASK);
  for (let i = 0; i < most; i += 1) {
    const worker = workers[core.roomCursor % workers.length];
    core.roomCursor = (core.roomCursor + 1) % workers.length;
    if (worker === undefined || !isUsable(worker)) continue;
    openings.push(...openingsOf(core, worker, waitClass, count));
  }
  openings.sort((a, b) => a.atMs - b.atMs);
  return openings.slice(0, count);
}

/** When a worker has room for each further task, as running ones end. */
function* openingsOf(
  core: EngineCore,
  worker: WorkerState,
  waitClass: WaitClass,
  most: number,
): Generator<Opening> {
  const {size} = waitClass;
  let room = subtractHeld(worker);
  let open = 0;
  const ends = [...worker.tasks].map(running => ({
    size: running.task.size,
    atMs: expectedEndMs(core, running),
  }));
  ends.sort((a, b) => a.atMs - b.atMs);
  ends.unshift({size: NO_RESOURCES, atMs: core.nowMs});
  for (const end of ends) {
    if (!Number.isFinite(end.atMs)) return;
    room = addResources(room, end.size);
    const fits = Math.min(most, countFits(size, room));
    for (; open < fits; open += 1) yield {worker, atMs: end.atMs};
  }
}

function subtractHeld(worker: WorkerState): Resources {
  return subtractResources(worker.free, worker.held);
}

/** When a running task is expected to end; overdue ones, after as long. */
function expectedEndMs(core: EngineCore, running: RunningTask): number {
  const {job} = running.job;
  if (running.isStopping) return core.nowMs;
  if (job.isService) return Infinity;
  const {startedMs, expectedMs} = running;
  const endMs = startedMs + expectedMs;
  if (Number.isFinite(endMs) && endMs > core.nowMs) return endMs;
  return core.nowMs + Math.max(SHORTEST_REST_MS, core.nowMs - startedMs);
}
