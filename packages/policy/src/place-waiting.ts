/** Places waiting jobs, those of the teams furthest below their share first. */
import {NO_RESOURCES, type Resources} from '@dragonflyward/common';
import {dominantShare} from './resource-math.js';
import {getPlacementPolicy, startTask, type EngineCore} from './core.js';
import type {Decision, PlacedTask} from './engine.js';
import type {PlacementRequest} from './placement-policy.js';
import type {Tier} from './needs.js';
import type {JobState, TeamState, WorkerState} from './state.js';
import {TeamOrder} from './team-order.js';
import type {WaitClass} from './wait-class.js';
import {dequeue, enqueue, selectNextClass} from './waiting-list.js';

/**
 * Workers that a pass examines without starting anything before it leaves the
 * rest to the next pass.
 */
const MAX_EXAMINED_WORKERS = 30_000;

/**
 * Each time this many teams have nothing left to start, a pass checks whether
 * any need may fit.
 */
const TEAMS_PER_CHECK = 32;

const NO_HELD_RESOURCES: ReadonlyMap<WorkerState, Resources> = new Map();

/**
 * Starts waiting jobs that fit, one task or gang at a time.
 *
 * @example
 * yield* placeWaiting(core, 'all');
 */
export function* placeWaiting(
  core: EngineCore,
  tier: Tier,
): Generator<Decision> {
  const order = new TeamOrder(teamsInTier(core, tier));
  let dropped = 0;
  const blocked = new Set<WaitClass>();
  let examinedBefore = core.needs.examinedWorkers;
  while (core.needs.examinedWorkers - examinedBefore < MAX_EXAMINED_WORKERS) {
    const team = order.first();
    if (team === undefined) return;
    const waitClass = selectNextClass(core, team, tier, blocked);
    if (waitClass === undefined) {
      order.dropFirst();
      dropped += 1;
      if (dropped % TEAMS_PER_CHECK === 0 && !mayAnyFit(core, tier)) return;
      continue;
    }
    if (!placeNext(core, team, waitClass, tier)) {
      blocked.add(waitClass);
      continue;
    }
    order.updateFirst();
    yield* flushDecisions(core);
    examinedBefore = core.needs.examinedWorkers;
  }
}

/**
 * Yields the pending decisions that still apply.
 *
 * @example
 * yield* flushDecisions(core);
 */
export function* flushDecisions(core: EngineCore): Generator<Decision> {
  for (;;) {
    const decision = core.pendingDecisions.shift();
    if (decision === undefined) return;
    if (!isCurrent(core, decision)) continue;
    if (decision.kind === 'start' && !isStartable(core, decision.task)) {
      rollBackStart(core, decision.task);
      continue;
    }
    yield decision;
  }
}

/** Whether the worker and the limit of the team still allow a start. */
function isStartable(core: EngineCore, task: PlacedTask): boolean {
  const running = core.workerTable.tasks.get(task.taskId);
  if (running === undefined) return false;
  const {worker} = core.workerTable.getWorker(task.workerId);
  if (worker.condition !== 'ready') return false;
  return core.teams.isWithinAllowance(running.job.team, NO_RESOURCES);
}

/** Undoes a start that was not yielded: the task waits again. */
function rollBackStart(core: EngineCore, task: PlacedTask): void {
  const running = core.workerTable.tasks.get(task.taskId);
  if (running === undefined) return;
  const {job} = running;
  core.workerTable.release(running);
  dequeue(core, job);
  job.pending.add(task.taskIndex);
  if (job.setAsideReason === '') enqueue(core, job);
}

/** Whether the task of a decision still has a reservation. */
function isCurrent(core: EngineCore, decision: Decision): boolean {
  switch (decision.kind) {
    case 'start':
      return core.workerTable.tasks.has(decision.task.taskId);
    case 'preempt':
    case 'resize':
      return core.workerTable.tasks.has(decision.taskId);
    default:
      return true;
  }
}

function* teamsInTier(core: EngineCore, tier: Tier): Generator<TeamState> {
  if (tier === 'urgent') {
    for (const team of findTeamsWithUrgentJobs(core)) {
      if (isWithinShare(core, team)) yield team;
    }
    return;
  }
  for (const team of core.teams.values()) {
    if (team.waiting.size > 0) yield team;
  }
}

/**
 * Returns the teams with waiting urgent jobs.
 *
 * @example
 * const order = new TeamOrder(findTeamsWithUrgentJobs(core));
 */
export function findTeamsWithUrgentJobs(
  core: EngineCore,
): ReadonlySet<TeamState> {
  const teams = new Set<TeamState>();
  for (const {team} of core.urgentWaitClasses) teams.add(team);
  return teams;
}

function mayAnyFit(core: EngineCore, tier: Tier): boolean {
  for (const need of core.needs.values()) {
    if (core.needs.mayFit(need, tier)) return true;
  }
  return false;
}

/**
 * Whether a team is within its fair share with its urgent usage alone, so that
 * its urgent jobs go first.
 */
function isWithinShare(core: EngineCore, team: TeamState): boolean {
  const urgent = dominantShare(team.urgentUsed, core.teams.capacity);
  return urgent === 0 || urgent < team.fairShare;
}

function placeNext(
  core: EngineCore,
  team: TeamState,
  waitClass: WaitClass,
  tier: Tier,
): boolean {
  const state = waitClass.first();
  const {need} = waitClass;
  if (state === undefined || need === null) return false;
  const request = newPlacementRequest(core, state, waitClass, tier);
  if (!core.teams.canStart(team, request.size, request.count)) {
    waitClass.waitReason = 'the team has reached its limit in this shard';
    return false;
  }
  const workers = core.needs.getCandidates(need, tier);
  const chosen = getPlacementPolicy(core, state).choose(workers, request);
  if (chosen.length === 0) {
    core.needs.noteNoFit(need, tier);
    waitClass.waitReason = 'no worker has enough free resources';
    return false;
  }
  startTasks(core, state, chosen, request.size);
  return true;
}

/**
 * Builds the placement request for the next tasks of a job.
 *
 * @example
 * const request = newPlacementRequest(core, state, waitClass, 'all');
 */
export function newPlacementRequest(
  core: EngineCore,
  state: JobState,
  waitClass: WaitClass,
  tier: Tier,
): PlacementRequest {
  return {
    state,
    size: waitClass.size,
    count: state.job.isGang ? state.pending.size : 1,
    isUrgent: tier === 'urgent',
    endMs: core.nowMs + waitClass.kind.runMs,
    usableHeld: usableHeldResources(core, state),
    avoidedWorkers: core.failures.workersOf(state.job.jobId),
  };
}

function usableHeldResources(
  core: EngineCore,
  state: JobState,
): ReadonlyMap<WorkerState, Resources> {
  const {jobId} = state.job;
  return core.holds.get(jobId)
    ? core.holds.getUsableResources(jobId)
    : NO_HELD_RESOURCES;
}

/**
 * Starts one task on each of the chosen workers: reserves the resources and
 * queues the decisions.
 *
 * @example
 * startTasks(core, state, chosen, request.size);
 */
export function startTasks(
  core: EngineCore,
  state: JobState,
  chosen: readonly WorkerState[],
  size: Resources,
): void {
  const indexes = state.pending.values();
  for (const worker of chosen) {
    const next = indexes.next();
    if (next.done === true) return;
    const {task} = startTask(core, state, next.value, worker, size);
    core.pendingDecisions.push({kind: 'start', task});
  }
}
