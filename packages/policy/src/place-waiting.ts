/** Places waiting work, the teams furthest below their share first. */
import {NO_RESOURCES, type Resources} from '@dragonflyward/common';
import {dominantShare} from './amounts.js';
import {policyOf, startTask, type EngineCore} from './core.js';
import type {Decision, PlacedTask} from './engine.js';
import type {PlacementAsk} from './placement-policy.js';
import type {Tier} from './needs.js';
import type {JobState, TeamState, WorkerState} from './state.js';
import {TeamOrder} from './team-order.js';
import type {WaitClass} from './wait-class.js';
import {dequeue, enqueue, nextClass} from './waiting-list.js';

/** Workers that are looked at in vain before the rest is left to the next pass. */
const MAX_VAIN_LOOKS = 30_000;

/** After this many teams in vain it is checked whether any need is open. */
const CHECK_EVERY_TEAMS = 32;

const NO_HOLD: ReadonlyMap<WorkerState, Resources> = new Map();

/**
 * Places what fits, one task or gang at a time.
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
  const stuck = new Set<WaitClass>();
  let looksBefore = core.needs.looks;
  while (core.needs.looks - looksBefore < MAX_VAIN_LOOKS) {
    const team = order.first();
    if (team === undefined) return;
    const waitClass = nextClass(core, team, tier, stuck);
    if (waitClass === undefined) {
      order.dropFirst();
      dropped += 1;
      if (dropped % CHECK_EVERY_TEAMS === 0 && !isAnyOpen(core, tier)) return;
      continue;
    }
    if (!placeFirst(core, team, waitClass, tier)) {
      stuck.add(waitClass);
      continue;
    }
    order.updateFirst();
    yield* flush(core);
    looksBefore = core.needs.looks;
  }
}

/**
 * Yields the decisions that are counted already.
 *
 * @example
 * yield* flush(core);
 */
export function* flush(core: EngineCore): Generator<Decision> {
  for (;;) {
    const decision = core.outbox.shift();
    if (decision === undefined) return;
    if (!isCurrent(core, decision)) continue;
    if (decision.kind === 'start' && !isStartable(core, decision.task)) {
      withdraw(core, decision.task);
      continue;
    }
    yield decision;
  }
}

/** Whether neither the worker nor the limit has changed against a start. */
function isStartable(core: EngineCore, task: PlacedTask): boolean {
  const running = core.cell.tasks.get(task.taskId);
  if (running === undefined) return false;
  const {worker} = core.cell.getWorker(task.workerId);
  if (worker.condition !== 'ready') return false;
  return core.teams.isAllowed(running.job.team, NO_RESOURCES);
}

/** Takes back a start that was never yielded. */
function withdraw(core: EngineCore, task: PlacedTask): void {
  const running = core.cell.tasks.get(task.taskId);
  if (running === undefined) return;
  const {job} = running;
  core.cell.release(running);
  dequeue(core, job);
  job.pending.add(task.taskIndex);
  if (job.setAsideReason === '') enqueue(core, job);
}

/** Whether the task of a decision is still counted. */
function isCurrent(core: EngineCore, decision: Decision): boolean {
  switch (decision.kind) {
    case 'start':
      return core.cell.tasks.has(decision.task.taskId);
    case 'preempt':
    case 'resize':
      return core.cell.tasks.has(decision.taskId);
    default:
      return true;
  }
}

function* teamsInTier(core: EngineCore, tier: Tier): Generator<TeamState> {
  if (tier === 'urgent') {
    for (const team of teamsWithUrgent(core)) {
      if (isWithinShare(core, team)) yield team;
    }
    return;
  }
  for (const team of core.teams.values()) {
    if (team.waiting.size > 0) yield team;
  }
}

/**
 * The teams of which urgent work waits.
 *
 * @example
 * const order = new TeamOrder(teamsWithUrgent(core));
 */
export function teamsWithUrgent(core: EngineCore): ReadonlySet<TeamState> {
  const teams = new Set<TeamState>();
  for (const {team} of core.urgentClasses) teams.add(team);
  return teams;
}

function isAnyOpen(core: EngineCore, tier: Tier): boolean {
  for (const need of core.needs.values()) {
    if (core.needs.isOpen(need, tier)) return true;
  }
  return false;
}

/** Whether a team's urgent use leaves it the right to go first. */
function isWithinShare(core: EngineCore, team: TeamState): boolean {
  const urgent = dominantShare(team.urgentUsed, core.teams.total);
  return urgent === 0 || urgent < team.fair;
}

function placeFirst(
  core: EngineCore,
  team: TeamState,
  waitClass: WaitClass,
  tier: Tier,
): boolean {
  const state = waitClass.first();
  const {need} = waitClass;
  if (state === undefined || need === null) return false;
  const ask = newAsk(core, state, waitClass, tier);
  if (!core.teams.canStart(team, ask.size, ask.count)) {
    waitClass.obstacle = 'the team is at its limit here';
    return false;
  }
  const workers = core.needs.candidatesOf(need, tier);
  const chosen = policyOf(core, state).choose(workers, ask);
  if (chosen.length === 0) {
    core.needs.noteFull(need, tier);
    waitClass.obstacle = 'no worker has room';
    return false;
  }
  startAll(core, state, chosen, ask.size);
  return true;
}

/**
 * Describes what a job's next tasks need.
 *
 * @example
 * const ask = newAsk(core, state, waitClass, 'all');
 */
export function newAsk(
  core: EngineCore,
  state: JobState,
  waitClass: WaitClass,
  tier: Tier,
): PlacementAsk {
  return {
    state,
    size: waitClass.size,
    count: state.job.isGang ? state.pending.size : 1,
    isUrgent: tier === 'urgent',
    endMs: core.nowMs + waitClass.kind.runMs,
    own: ownClaim(core, state),
    avoided: core.failures.workersOf(state.job.jobId),
  };
}

function ownClaim(
  core: EngineCore,
  state: JobState,
): ReadonlyMap<WorkerState, Resources> {
  const {jobId} = state.job;
  return core.holds.get(jobId) ? core.holds.claimOf(jobId) : NO_HOLD;
}

/**
 * Counts and announces one task on each of the chosen workers.
 *
 * @example
 * startAll(core, state, chosen, ask.size);
 */
export function startAll(
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
    core.outbox.push({kind: 'start', task});
  }
}
