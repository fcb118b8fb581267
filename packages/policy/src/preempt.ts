/** Makes room for urgent work in a full cell, and gives shares back. */
import {dominantShare} from './amounts.js';
import {rankOfPriority, type EngineCore} from './core.js';
import type {Decision} from './engine.js';
import {makeRoom, type RoomWanted} from './make-room.js';
import {flush} from './place-waiting.js';
import type {JobState, RunningTask, TeamState} from './state.js';
import {TeamOrder} from './team-order.js';
import type {WaitClass} from './wait-class.js';

/** How long room is held for urgent work; then it is sought elsewhere. */
const URGENT_HOLD_MS = 3_000;
/** How long a class for which no room can be made is left alone. */
const NO_ROOM_PAUSE_MS = 250;
/** Tasks for which one decision makes room at most. */
const MAX_URGENT_TASKS = 64;
const MAX_RECLAIMED_TASKS = 16;
/** How long a team below its share waits before it takes room back. */
const RECLAIM_AFTER_MS = 10_000;
const RECLAIM_HOLD_MS = 10_000;
/** A team that lacks less of a task than this is at its share. */
const RECLAIM_TASK_PART = 0.5;

/**
 * Stops lower work where urgent work has no room.
 *
 * @example
 * yield* preemptForUrgent(core);
 */
export function* preemptForUrgent(core: EngineCore): Generator<Decision> {
  let budget = MAX_URGENT_TASKS;
  const order = new TeamOrder(teamsWithUrgent(core));
  for (;;) {
    const team = order.first();
    if (team === undefined || budget <= 0) return;
    order.dropFirst();
    for (const waitClass of team.waiting.values()) {
      if (waitClass.kind.priority !== 'urgent') continue;
      budget -= preemptForClass(core, waitClass, budget, urgentWanted);
      yield* flush(core);
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
  let budget = MAX_RECLAIMED_TASKS;
  const order = new TeamOrder(teamsBelowShare(core));
  for (;;) {
    const team = order.first();
    if (team === undefined || budget <= 0) return;
    order.dropFirst();
    for (const waitClass of team.waiting.values()) {
      const first = waitClass.first();
      if (first === undefined) continue;
      if (core.nowMs - first.job.acceptedMs < RECLAIM_AFTER_MS) continue;
      const lacking = lackingTasks(core, team, waitClass);
      const most = Math.min(budget, lacking);
      if (most <= 0) continue;
      budget -= preemptForClass(core, waitClass, most, reclaimWanted);
      yield* flush(core);
    }
  }
}

type MakeWanted = (
  core: EngineCore,
  state: JobState,
  waitClass: WaitClass,
  count: number,
) => RoomWanted;

/** Makes room for jobs of a class; returns for how many tasks. */
function preemptForClass(
  core: EngineCore,
  waitClass: WaitClass,
  budget: number,
  makeWanted: MakeWanted,
): number {
  if (core.nowMs < waitClass.noRoomUntilMs) return 0;
  let spent = 0;
  for (const state of waitClass.jobs()) {
    if (spent >= budget) break;
    const count = missingTasks(core, state, budget - spent);
    if (count <= 0) continue;
    const made = makeRoom(core, makeWanted(core, state, waitClass, count));
    spent += made;
    if (made > 0) continue;
    waitClass.noRoomUntilMs = core.nowMs + NO_ROOM_PAUSE_MS;
    break;
  }
  return spent;
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
  const team = state.team.team.team;
  return {
    state,
    size: waitClass.size,
    count,
    isWhole: state.job.isGang,
    isUrgent: true,
    untilMs: core.nowMs + URGENT_HOLD_MS,
    reason: `urgent work of team ${team} needs the room`,
    mayStop: running => mayStopForUrgent(core, state, running),
  };
}

function reclaimWanted(
  core: EngineCore,
  state: JobState,
  waitClass: WaitClass,
  count: number,
): RoomWanted {
  const team = state.team.team.team;
  return {
    state,
    size: waitClass.size,
    count,
    isWhole: state.job.isGang,
    isUrgent: false,
    untilMs: core.nowMs + RECLAIM_HOLD_MS,
    reason: `team ${team} is below its share`,
    mayStop: running => mayStopForShare(core, state, running),
  };
}

/** A second start of work that is not idempotent would be a second run. */
function isStoppable(running: RunningTask): boolean {
  const {job, queue} = running.job;
  return job.isIdempotent && queue.priority !== 'urgent';
}

function mayStopForUrgent(
  core: EngineCore,
  state: JobState,
  running: RunningTask,
): boolean {
  if (!isStoppable(running)) return false;
  const {team} = running.job;
  return team === state.team || core.teams.shareOf(team) > team.fair;
}

function mayStopForShare(
  core: EngineCore,
  state: JobState,
  running: RunningTask,
): boolean {
  if (!isStoppable(running)) return false;
  const {team, queue} = running.job;
  if (team === state.team) return false;
  const isLower =
    rankOfPriority(queue.priority) >= rankOfPriority(state.queue.priority);
  if (!isLower && !running.job.job.isIdempotent) return false;
  const size = dominantShare(running.task.size, core.teams.total);
  return core.teams.shareOf(team) - size >= team.fair;
}

function* teamsWithUrgent(core: EngineCore): Generator<TeamState> {
  for (const team of core.teams.values()) {
    for (const waitClass of team.waiting.values()) {
      if (waitClass.kind.priority !== 'urgent') continue;
      yield team;
      break;
    }
  }
}

function* teamsBelowShare(core: EngineCore): Generator<TeamState> {
  for (const team of core.teams.values()) {
    if (team.waiting.size === 0) continue;
    if (core.teams.shareOf(team) < team.fair) yield team;
  }
}

/** How many tasks a team has to start to come to its share. */
function lackingTasks(
  core: EngineCore,
  team: TeamState,
  waitClass: WaitClass,
): number {
  const lacking = team.fair - core.teams.shareOf(team);
  const size = dominantShare(waitClass.size, core.teams.total);
  if (size === 0) return 0;
  return Math.floor(lacking / size + RECLAIM_TASK_PART);
}
