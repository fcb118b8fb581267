/** Places waiting work, the teams furthest below their share first. */
import type {Resources} from '@dragonflyward/common';
import {dominantShare} from './amounts.js';
import {policyOf, startTask, type EngineCore} from './core.js';
import type {Decision} from './engine.js';
import type {PlacementAsk} from './placement-policy.js';
import type {Tier} from './room-memo.js';
import type {JobState, TeamState, WorkerState} from './state.js';
import {TeamOrder} from './team-order.js';
import type {WaitClass} from './wait-class.js';
import {nextClass} from './waiting-list.js';

/** Searches without result after which a pass leaves the rest to the next. */
const MAX_FAILED_SEARCHES = 512;

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
  const order = new TeamOrder(teamsWithWork(core, tier));
  const stuck = new Set<WaitClass>();
  while (stuck.size < MAX_FAILED_SEARCHES) {
    const team = order.first();
    if (team === undefined) return;
    const waitClass = nextClass(core, team, tier, stuck);
    if (waitClass === undefined) {
      order.dropFirst();
      continue;
    }
    if (!placeFirst(core, team, waitClass, tier)) {
      stuck.add(waitClass);
      continue;
    }
    order.updateFirst();
    yield* flush(core);
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
    if (isCurrent(core, decision)) yield decision;
  }
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

function* teamsWithWork(core: EngineCore, tier: Tier): Generator<TeamState> {
  for (const team of core.teams.values()) {
    if (team.waiting.size === 0) continue;
    if (tier === 'urgent' && !isWithinShare(core, team)) continue;
    yield team;
  }
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
  if (state === undefined) return false;
  const ask = newAsk(core, state, waitClass, tier);
  if (!core.teams.canStart(team, ask.size, ask.count)) {
    waitClass.obstacle = 'the team is at its limit here';
    return false;
  }
  const {workers} = core.cell;
  const chosen = policyOf(core, state).choose(workers.values(), ask);
  if (chosen.length === 0) {
    core.memo.noteFull(tier, waitClass.roomKey, ask.size);
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
    own: NO_HOLD,
    avoided: core.failures.workersOf(state.job.jobId),
  };
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
