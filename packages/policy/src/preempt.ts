/** Makes room for urgent work in a full cell, and gives shares back. */
import {dominantShare} from './amounts.js';
import type {EngineCore} from './core.js';
import type {Decision} from './engine.js';
import {
  makeRoom,
  newRoomSearch,
  type RoomSearch,
  type RoomWanted,
} from './make-room.js';
import {flush, teamsWithUrgent} from './place-waiting.js';
import type {JobState, RunningTask, TeamState} from './state.js';
import {TeamOrder} from './team-order.js';
import type {WaitClass} from './wait-class.js';

/** How long room is held for urgent work; then it is sought elsewhere. */
const URGENT_HOLD_MS = 3_000;
/** How long a class for which no room can be made is left alone. */
const URGENT_PAUSE_MS = 250;
const RECLAIM_PAUSE_MS = 5_000;
/** Tasks for which one decision makes room at most. */
const MAX_URGENT_TASKS = 64;
const MAX_RECLAIMED_TASKS = 16;
/** Searches without result after which a decision seeks no more room. */
const MAX_FAILED_SEARCHES = 4;
/** How long a team below its share waits before it takes room back. */
const RECLAIM_AFTER_MS = 10_000;
const RECLAIM_HOLD_MS = 10_000;
/** What a team keeps of its share when a gang, which needs all, takes room. */
const GANG_VICTIM_PART = 0.9;
/** A team that lacks less of a task than this is at its share. */
const RECLAIM_TASK_PART = 0.5;

/**
 * Stops lower work where urgent work has no room.
 *
 * @example
 * yield* preemptForUrgent(core);
 */
export function* preemptForUrgent(core: EngineCore): Generator<Decision> {
  const order = new TeamOrder(teamsWithUrgent(core));
  const budget = newBudget(MAX_URGENT_TASKS);
  for (const team of takeInOrder(order)) {
    for (const waitClass of [...team.waiting.values()]) {
      if (isSpent(budget)) return;
      if (waitClass.kind.priority !== 'urgent') continue;
      yield* preemptForClass(core, waitClass, budget, urgentWanted);
    }
  }
}

/**
 * Takes room back for teams below their share from those above it.
 *
 * @example
 * yield* reclaimShares(core);
 */
export function* reclaimShares(core: EngineCore): Generator<Decision> {
  if (!isAnyAboveShare(core)) return;
  const order = new TeamOrder(teamsBelowShare(core));
  const budget = newBudget(MAX_RECLAIMED_TASKS);
  for (const team of takeInOrder(order)) {
    for (const waitClass of [...team.waiting.values()]) {
      if (isSpent(budget)) return;
      const first = waitClass.first();
      if (first === undefined) continue;
      if (core.nowMs - first.job.acceptedMs < RECLAIM_AFTER_MS) continue;
      const lacking = lackingTasks(core, team, waitClass);
      if (lacking <= 0) continue;
      const part = {tasks: Math.min(budget.tasks, lacking), searches: 1};
      const before = part.tasks;
      yield* preemptForClass(core, waitClass, part, reclaimWanted);
      budget.tasks -= before - part.tasks;
      budget.searches -= 1 - part.searches;
    }
  }
}

/** What one decision may still do to make room. */
interface Budget {
  tasks: number;
  searches: number;
}

function newBudget(tasks: number): Budget {
  return {tasks, searches: MAX_FAILED_SEARCHES};
}

function isSpent(budget: Budget): boolean {
  return budget.tasks <= 0 || budget.searches <= 0;
}

function* takeInOrder(order: TeamOrder): Generator<TeamState> {
  for (;;) {
    const team = order.first();
    if (team === undefined) return;
    order.dropFirst();
    yield team;
  }
}

function isAnyAboveShare(core: EngineCore): boolean {
  for (const team of core.teams.values()) {
    if (isBorrowing(team)) return true;
  }
  return false;
}

type MakeWanted = (
  core: EngineCore,
  state: JobState,
  waitClass: WaitClass,
  count: number,
) => RoomWanted;

/** Makes room for jobs of a class, as far as the budget goes. */
function* preemptForClass(
  core: EngineCore,
  waitClass: WaitClass,
  budget: Budget,
  makeWanted: MakeWanted,
): Generator<Decision> {
  if (core.nowMs < waitClass.noRoomUntilMs) return;
  let search: RoomSearch | undefined;
  for (const state of [...waitClass.jobs()]) {
    if (budget.tasks <= 0) return;
    const count = missingTasks(core, state, budget.tasks);
    if (count <= 0) continue;
    const wanted = makeWanted(core, state, waitClass, count);
    search ??= newRoomSearch(core, wanted);
    const made = makeRoom(core, search, wanted);
    budget.tasks -= made;
    yield* flush(core);
    if (made > 0) continue;
    budget.searches -= 1;
    const pauseMs = wanted.isUrgent ? URGENT_PAUSE_MS : RECLAIM_PAUSE_MS;
    waitClass.noRoomUntilMs = core.nowMs + pauseMs;
    return;
  }
}

/** For how many tasks of a job no room is held yet. */
function missingTasks(
  core: EngineCore,
  state: JobState,
  budget: number,
): number {
  const held = core.holds.slotsOf(state.job.jobId);
  if (state.job.isGang) return held > 0 ? 0 : state.pending.size;
  return Math.min(budget, state.pending.size - held);
}

function urgentWanted(
  core: EngineCore,
  state: JobState,
  waitClass: WaitClass,
  count: number,
): RoomWanted {
  return {
    ...roomFor(state, waitClass, count),
    isUrgent: true,
    untilMs: core.nowMs + URGENT_HOLD_MS,
    reason: `urgent work of team ${state.team.team.team} needs the room`,
    mayStop: running => mayStopForUrgent(state, running),
  };
}

function reclaimWanted(
  core: EngineCore,
  state: JobState,
  waitClass: WaitClass,
  count: number,
): RoomWanted {
  return {
    ...roomFor(state, waitClass, count),
    isUrgent: false,
    untilMs: core.nowMs + RECLAIM_HOLD_MS,
    reason: `team ${state.team.team.team} is below its share`,
    mayStop: running => mayStopForShare(core, state, running),
  };
}

function roomFor(
  state: JobState,
  waitClass: WaitClass,
  count: number,
): Pick<RoomWanted, 'state' | 'size' | 'count' | 'isWhole'> {
  return {state, size: waitClass.size, count, isWhole: state.job.isGang};
}

/** A second start of work that is not idempotent would be a second run. */
function isStoppable(running: RunningTask): boolean {
  const {job, queue} = running.job;
  return job.isIdempotent && queue.priority !== 'urgent';
}

/** A team within its share may take room from all, else from borrowers. */
function mayStopForUrgent(state: JobState, running: RunningTask): boolean {
  if (!isStoppable(running)) return false;
  const {team} = running.job;
  if (team === state.team || isBorrowing(team)) return true;
  return !isBorrowing(state.team);
}

function isBorrowing(team: TeamState): boolean {
  return team.keptShare > team.fair;
}

function mayStopForShare(
  core: EngineCore,
  state: JobState,
  running: RunningTask,
): boolean {
  if (!isStoppable(running)) return false;
  const {team} = running.job;
  if (team === state.team) return false;
  const least = state.job.isGang ? team.fair * GANG_VICTIM_PART : team.fair;
  if (team.keptShare <= least) return false;
  const size = dominantShare(running.task.size, core.teams.total);
  return team.keptShare - size >= least;
}

function* teamsBelowShare(core: EngineCore): Generator<TeamState> {
  for (const team of core.teams.values()) {
    if (team.waiting.size === 0 || team.keptShare >= team.fair) continue;
    if (core.nowMs - team.startedMs >= RECLAIM_AFTER_MS) yield team;
  }
}

/** How many tasks a team has to start to come to its share. */
function lackingTasks(
  core: EngineCore,
  team: TeamState,
  waitClass: WaitClass,
): number {
  const lacking = team.fair - team.keptShare;
  const size = dominantShare(waitClass.size, core.teams.total);
  if (size === 0) return 0;
  return Math.floor(lacking / size + RECLAIM_TASK_PART);
}
