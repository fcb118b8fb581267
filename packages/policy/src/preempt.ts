/** Preempts tasks for urgent work and for teams below their share. */
import {dominantShare} from './resource-math.js';
import type {EngineCore} from './core.js';
import type {Decision} from './engine.js';
import {
  makeRoom,
  findCandidates,
  type CandidateHeap,
  type RoomRequest,
} from './make-room.js';
import {flushDecisions, findTeamsWithUrgentJobs} from './place-waiting.js';
import type {JobState, RunningTask, TeamState} from './state.js';
import {TeamOrder} from './team-order.js';
import type {WaitClass} from './wait-class.js';

/** How long room is held for urgent work before it is sought elsewhere. */
const URGENT_HOLD_MS = 3_000;
/** How long a class is skipped after no room could be made for it. */
const URGENT_BACKOFF_MS = 250;
const RECLAIM_BACKOFF_MS = 5_000;
/** Most tasks for which one pass makes room. */
const MAX_URGENT_TASKS = 64;
const MAX_RECLAIMED_TASKS = 16;
/** Failed searches after which a pass stops looking for room. */
const MAX_FAILED_SEARCHES = 4;
/** How long a team below its share, and its job, wait to reclaim room. */
const RECLAIM_AFTER_MS = 10_000;
const RECLAIM_HOLD_MS = 10_000;
/**
 * Fraction of its share down to which a team may be preempted for a gang. A
 * gang needs room for all its tasks at once, so it may take a little more.
 */
const GANG_VICTIM_SHARE_FRACTION = 0.9;
/**
 * Added before rounding down: a team that lacks less than half a task counts
 * as being at its share.
 */
const RECLAIM_ROUNDING = 0.5;

/**
 * Preempts lower-priority tasks where urgent work has no room.
 *
 * @example
 * yield* preemptForUrgent(core);
 */
export function* preemptForUrgent(core: EngineCore): Generator<Decision> {
  const order = new TeamOrder(findTeamsWithUrgentJobs(core));
  const budget = newBudget(MAX_URGENT_TASKS);
  for (const team of drainInOrder(order)) {
    for (const waitClass of [...team.waiting.values()]) {
      if (isExhausted(budget)) return;
      if (waitClass.kind.priority !== 'urgent') continue;
      yield* preemptForClass(core, waitClass, budget, newUrgentRequest);
    }
  }
}

/**
 * Reclaims room for teams below their share from teams above it.
 *
 * @example
 * yield* reclaimShares(core);
 */
export function* reclaimShares(core: EngineCore): Generator<Decision> {
  if (!isAnyAboveShare(core)) return;
  const order = new TeamOrder(teamsBelowShare(core));
  const budget = newBudget(MAX_RECLAIMED_TASKS);
  for (const team of drainInOrder(order)) {
    for (const waitClass of [...team.waiting.values()]) {
      if (isExhausted(budget)) return;
      const first = waitClass.first();
      if (first === undefined) continue;
      if (core.nowMs - first.job.acceptedMs < RECLAIM_AFTER_MS) continue;
      const lacking = countTasksBelowShare(core, team, waitClass);
      if (lacking <= 0) continue;
      const classBudget = {tasks: Math.min(budget.tasks, lacking), searches: 1};
      const tasksBefore = classBudget.tasks;
      yield* preemptForClass(core, waitClass, classBudget, newReclaimRequest);
      budget.tasks -= tasksBefore - classBudget.tasks;
      budget.searches -= 1 - classBudget.searches;
    }
  }
}

/** How many tasks and failed searches a pass has left. */
interface Budget {
  tasks: number;
  searches: number;
}

function newBudget(tasks: number): Budget {
  return {tasks, searches: MAX_FAILED_SEARCHES};
}

function isExhausted(budget: Budget): boolean {
  return budget.tasks <= 0 || budget.searches <= 0;
}

function* drainInOrder(order: TeamOrder): Generator<TeamState> {
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

type NewRoomRequest = (
  core: EngineCore,
  state: JobState,
  waitClass: WaitClass,
  count: number,
) => RoomRequest;

/** Makes room for jobs of a class until the budget is used up. */
function* preemptForClass(
  core: EngineCore,
  waitClass: WaitClass,
  budget: Budget,
  newRequest: NewRoomRequest,
): Generator<Decision> {
  if (core.nowMs < waitClass.preemptionBackoffUntilMs) return;
  let candidates: CandidateHeap | undefined;
  for (const state of [...waitClass.jobs()]) {
    if (budget.tasks <= 0) return;
    const count = countTasksWithoutRoom(core, state, budget.tasks);
    if (count <= 0) continue;
    const request = newRequest(core, state, waitClass, count);
    candidates ??= findCandidates(core, request);
    const made = makeRoom(core, candidates, request);
    budget.tasks -= made;
    yield* flushDecisions(core);
    if (made > 0) continue;
    budget.searches -= 1;
    const backoffMs = request.isUrgent ? URGENT_BACKOFF_MS : RECLAIM_BACKOFF_MS;
    waitClass.preemptionBackoffUntilMs = core.nowMs + backoffMs;
    return;
  }
}

/** Counts the tasks of a job for which no room is held yet. */
function countTasksWithoutRoom(
  core: EngineCore,
  state: JobState,
  budget: number,
): number {
  const held = core.holds.countSlots(state.job.jobId);
  if (state.job.isGang) return held > 0 ? 0 : state.pending.size;
  return Math.min(budget, state.pending.size - held);
}

function newUrgentRequest(
  core: EngineCore,
  state: JobState,
  waitClass: WaitClass,
  count: number,
): RoomRequest {
  return {
    ...baseRequest(state, waitClass, count),
    isUrgent: true,
    untilMs: core.nowMs + URGENT_HOLD_MS,
    reason: `urgent work of team ${state.team.team.team} needs the room`,
    mayPreempt: running => mayPreemptForUrgent(state, running),
  };
}

function newReclaimRequest(
  core: EngineCore,
  state: JobState,
  waitClass: WaitClass,
  count: number,
): RoomRequest {
  return {
    ...baseRequest(state, waitClass, count),
    isUrgent: false,
    untilMs: core.nowMs + RECLAIM_HOLD_MS,
    reason: `team ${state.team.team.team} is below its share`,
    mayPreempt: running => mayPreemptForShare(core, state, running),
  };
}

function baseRequest(
  state: JobState,
  waitClass: WaitClass,
  count: number,
): Pick<RoomRequest, 'state' | 'size' | 'count' | 'isAllOrNothing'> {
  return {state, size: waitClass.size, count, isAllOrNothing: state.job.isGang};
}

/** Work that is not idempotent must not run twice, so it is not preempted. */
function isPreemptible(running: RunningTask): boolean {
  const {job, queue} = running.job;
  return job.isIdempotent && queue.priority !== 'urgent';
}

/**
 * A team within its share may preempt any team; a borrowing team only itself
 * and other borrowing teams.
 */
function mayPreemptForUrgent(state: JobState, running: RunningTask): boolean {
  if (!isPreemptible(running)) return false;
  const {team} = running.job;
  if (team === state.team || isBorrowing(team)) return true;
  return !isBorrowing(state.team);
}

function isBorrowing(team: TeamState): boolean {
  return team.netShare > team.fairShare;
}

function mayPreemptForShare(
  core: EngineCore,
  state: JobState,
  running: RunningTask,
): boolean {
  if (!isPreemptible(running)) return false;
  const {team} = running.job;
  if (team === state.team) return false;
  const minShare = state.job.isGang
    ? team.fairShare * GANG_VICTIM_SHARE_FRACTION
    : team.fairShare;
  if (team.netShare <= minShare) return false;
  const size = dominantShare(running.task.size, core.teams.capacity);
  return team.netShare - size >= minShare;
}

function* teamsBelowShare(core: EngineCore): Generator<TeamState> {
  for (const team of core.teams.values()) {
    if (team.waiting.size === 0 || team.netShare >= team.fairShare) continue;
    if (core.nowMs - team.lastStartMs >= RECLAIM_AFTER_MS) yield team;
  }
}

/** Counts the tasks that a team has to start to reach its share. */
function countTasksBelowShare(
  core: EngineCore,
  team: TeamState,
  waitClass: WaitClass,
): number {
  const shareGap = team.fairShare - team.netShare;
  const size = dominantShare(waitClass.size, core.teams.capacity);
  if (size === 0) return 0;
  return Math.floor(shareGap / size + RECLAIM_ROUNDING);
}
