/** Reserves room for gangs and large tasks that small tasks would starve. */
import {
  addResources,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from '@dragonflyward/common';
import {dominantShare, countFits} from './resource-math.js';
import {getPlacementPolicy, type EngineCore} from './core.js';
import type {Decision} from './engine.js';
import {MAX_HOLD_MS, type Hold} from './holds.js';
import {
  flushDecisions,
  newPlacementRequest,
  startTasks,
} from './place-waiting.js';
import type {PlacementRequest} from './placement-policy.js';
import {
  isSchedulable,
  type JobState,
  type RunningTask,
  type TeamState,
  type WorkerState,
} from './state.js';
import {TeamOrder} from './team-order.js';
import type {WaitClass} from './wait-class.js';
import {computeRank} from './waiting-list.js';

/** Non-urgent jobs that may have a hold at the same time. */
const MAX_RESERVATIONS = 4;
/** How long a gang or large task waits before room is held for it. */
const HARD_TO_PLACE_WAIT_MS = 3_000;
/** How long a team below its share starts nothing before it gets a hold. */
const BELOW_SHARE_WAIT_MS = 1_000;
/** How long a job of a team above its share waits before it gets a hold. */
const ABOVE_SHARE_WAIT_MS = 30_000;
/**
 * How long a job gets no new hold after its hold expired, or after no room was
 * expected within the longest hold.
 */
const HOLD_BACKOFF_MS = 30_000;
/** Workers that a search for room looks at, plus some for each task. */
const BASE_SEARCH_LIMIT = 32;
const EXTRA_WORKERS_PER_TASK = 4;
/** A task is large if it needs this fraction of the largest worker. */
const LARGE_TASK_FRACTION = 0.25;
/** Shortest remaining run time that is assumed for an overdue task. */
const MIN_REMAINING_MS = 1_000;

/** Room for one more task on a worker, and when it is expected to be free. */
interface ExpectedSlot {
  readonly worker: WorkerState;
  readonly atMs: number;
}

/**
 * Starts jobs whose held room has become free, and ends expired holds.
 *
 * @example
 * yield* placeHeldJobs(core);
 */
export function* placeHeldJobs(core: EngineCore): Generator<Decision> {
  for (const hold of [...core.holds.values()]) {
    placeFromHold(core, hold);
    yield* flushDecisions(core);
  }
}

function placeFromHold(core: EngineCore, hold: Hold): void {
  const {state} = hold;
  const {jobId} = state.job;
  const {waitClass} = state;
  if (waitClass === null) {
    core.holds.remove(jobId);
    return;
  }
  if (core.holds.get(jobId) !== hold) return;
  while (state.pending.size > 0 && placeNextTasks(core, hold, waitClass)) {
    if (state.job.isGang) break;
  }
  if (core.nowMs < hold.untilMs) return;
  if (core.holds.get(jobId) !== hold) return;
  core.holds.remove(jobId);
  if (!hold.isUrgent) state.holdBackoffUntilMs = core.nowMs + HOLD_BACKOFF_MS;
}

function placeNextTasks(
  core: EngineCore,
  hold: Hold,
  waitClass: WaitClass,
): boolean {
  const {state} = hold;
  const tier = hold.isUrgent ? 'urgent' : 'all';
  const usableHeld = core.holds.getUsableResources(state.job.jobId);
  const base = newPlacementRequest(core, state, waitClass, tier);
  const wanted: PlacementRequest = {
    ...base,
    size: hold.size,
    usableHeld,
  };
  if (!core.teams.canStart(state.team, wanted.size, wanted.count)) return false;
  const chosen = getPlacementPolicy(core, state).choose(
    hold.slots.keys(),
    wanted,
  );
  startTasks(core, state, chosen, wanted.size);
  return chosen.length > 0;
}

/**
 * Holds room for work that small tasks would starve: the oldest gang or large
 * task first, then the teams furthest below their share.
 *
 * @example
 * reserveForStarved(core);
 */
export function reserveForStarved(core: EngineCore): void {
  let holdsLeft = MAX_RESERVATIONS;
  for (const hold of core.holds.values()) if (!hold.isUrgent) holdsLeft -= 1;
  if (holdsLeft <= 0) return;
  const hardClass = findOldestHardToPlaceClass(core);
  if (hardClass !== undefined && reserveFirst(core, hardClass)) holdsLeft -= 1;
  const order = new TeamOrder(starvedTeams(core));
  for (; holdsLeft > 0; holdsLeft -= 1) {
    const team = order.first();
    if (team === undefined) return;
    order.dropFirst();
    const waitClass = findNextReservableClass(core, team);
    if (waitClass !== undefined) reserveFirst(core, waitClass);
  }
}

/** Holds room for the first job of a class; returns whether it did. */
function reserveFirst(core: EngineCore, waitClass: WaitClass): boolean {
  const state = waitClass.first();
  if (state === undefined) return false;
  const count = state.job.isGang ? state.pending.size : 1;
  const expectedSlots = findEarliestSlots(core, waitClass, count);
  const latestSlot = expectedSlots.at(-1);
  const untilMs = core.nowMs + MAX_HOLD_MS;
  if (
    expectedSlots.length < count ||
    latestSlot === undefined ||
    latestSlot.atMs > untilMs
  ) {
    state.holdBackoffUntilMs = core.nowMs + HOLD_BACKOFF_MS;
    return false;
  }
  const slots = new Map<WorkerState, number>();
  for (const {worker} of expectedSlots) {
    slots.set(worker, (slots.get(worker) ?? 0) + 1);
  }
  const {size} = waitClass;
  const fromMs = latestSlot.atMs;
  core.holds.add({state, size, isUrgent: false, fromMs, untilMs, slots});
  return true;
}

/** Teams below their share that have waiting work but start none. */
function* starvedTeams(core: EngineCore): Generator<TeamState> {
  for (const team of core.teams.values()) {
    if (team.waiting.size === 0 || team.netShare >= team.fairShare) continue;
    if (core.nowMs - team.lastStartMs >= BELOW_SHARE_WAIT_MS) yield team;
  }
}

/**
 * The class of best rank whose next task stays within the team's share and
 * that may get a hold.
 */
function findNextReservableClass(
  core: EngineCore,
  team: TeamState,
): WaitClass | undefined {
  let next: WaitClass | undefined;
  let nextRank = Infinity;
  for (const waitClass of team.waiting.values()) {
    const first = waitClass.first();
    if (first === undefined) continue;
    const rank = computeRank(core, waitClass, first.job.acceptedMs);
    if (rank >= nextRank) continue;
    const size = dominantShare(waitClass.size, core.teams.capacity);
    if (team.netShare + size > team.fairShare) continue;
    if (!mayReserve(core, waitClass, first)) continue;
    next = waitClass;
    nextRank = rank;
  }
  return next;
}

/** The class of the oldest gang or large task that may get a hold. */
function findOldestHardToPlaceClass(core: EngineCore): WaitClass | undefined {
  let oldest: WaitClass | undefined;
  let oldestMs = core.nowMs - HARD_TO_PLACE_WAIT_MS;
  for (const need of core.needs.values()) {
    if (
      need.gangSize <= 1 &&
      !core.workerTable.isLarge(need.size, LARGE_TASK_FRACTION)
    ) {
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
  if (state.holdBackoffUntilMs > core.nowMs) return false;
  if (core.holds.get(state.job.jobId) !== undefined) return false;
  const {team} = waitClass;
  const count = Math.max(1, waitClass.kind.gangSize);
  if (!core.teams.canStart(team, waitClass.size, count)) return false;
  if (core.nowMs - state.job.acceptedMs > ABOVE_SHARE_WAIT_MS) return true;
  return dominantShare(team.used, core.teams.capacity) <= team.fairShare;
}

/** The earliest slots that are expected to become free for the tasks. */
function findEarliestSlots(
  core: EngineCore,
  waitClass: WaitClass,
  count: number,
): readonly ExpectedSlot[] {
  const expectedSlots: ExpectedSlot[] = [];
  const workers = core.workerTable.workerList;
  const maxSearched = Math.min(
    workers.length,
    BASE_SEARCH_LIMIT + count * EXTRA_WORKERS_PER_TASK,
  );
  for (let i = 0; i < maxSearched; i += 1) {
    const worker = workers[core.nextWorkerIndex % workers.length];
    core.nextWorkerIndex = (core.nextWorkerIndex + 1) % workers.length;
    if (worker === undefined || !isSchedulable(worker)) continue;
    expectedSlots.push(...estimateSlotsOn(core, worker, waitClass, count));
  }
  expectedSlots.sort((a, b) => a.atMs - b.atMs);
  return expectedSlots.slice(0, count);
}

/** When a worker gets room for each further task, as running tasks end. */
function* estimateSlotsOn(
  core: EngineCore,
  worker: WorkerState,
  waitClass: WaitClass,
  maxSlots: number,
): Generator<ExpectedSlot> {
  const {size} = waitClass;
  let room = unheldRoom(worker);
  let slotCount = 0;
  const taskEnds = [...worker.tasks].map(running => ({
    size: running.task.size,
    atMs: estimateEndMs(core, running),
  }));
  taskEnds.sort((a, b) => a.atMs - b.atMs);
  taskEnds.unshift({size: NO_RESOURCES, atMs: core.nowMs});
  for (const taskEnd of taskEnds) {
    if (!Number.isFinite(taskEnd.atMs)) return;
    room = addResources(room, taskEnd.size);
    const fits = Math.min(maxSlots, countFits(size, room));
    for (; slotCount < fits; slotCount += 1) yield {worker, atMs: taskEnd.atMs};
  }
}

function unheldRoom(worker: WorkerState): Resources {
  return subtractResources(worker.free, worker.held);
}

/**
 * When a running task is expected to end. An overdue task is expected to run
 * as long again as it has run.
 */
function estimateEndMs(core: EngineCore, running: RunningTask): number {
  const {job} = running.job;
  if (running.isStopping) return core.nowMs;
  if (job.isService) return Infinity;
  const {startedMs, expectedMs} = running;
  const endMs = startedMs + expectedMs;
  if (Number.isFinite(endMs) && endMs > core.nowMs) return endMs;
  return core.nowMs + Math.max(MIN_REMAINING_MS, core.nowMs - startedMs);
}
