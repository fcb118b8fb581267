/** Queues waiting jobs and selects the next job of a team. */
import {addResources, scaleResources} from '@dragonflyward/common';
import {sizeKey} from './resource-math.js';
import {PRIORITIES, type EngineCore} from './core.js';
import type {Tier} from './needs.js';
import {MAX_HOLD_MS} from './holds.js';
import type {JobState, TeamState} from './state.js';
import {WaitClass, type WaitKind} from './wait-class.js';

/** The waiting time that raises a job by one priority. */
export const AGEING_STEP_MS = 60_000;

/** The distance between the ranks of two priorities; above any time in ms. */
const RANKS_PER_PRIORITY = 1e14;

/**
 * Adds a job with pending tasks to its class.
 *
 * @example
 * enqueue(core, state);
 */
export function enqueue(core: EngineCore, state: JobState): void {
  if (state.pending.size === 0 || state.waitClass !== null) return;
  const kind = getWaitKind(core, state);
  const key = classKey(kind);
  const {waiting} = state.team;
  let waitClass = waiting.get(key);
  if (waitClass === undefined) {
    waitClass = new WaitClass(state.team, kind);
    waiting.set(key, waitClass);
  }
  if (waitClass.isEmpty) {
    refreshSize(core, waitClass);
    if (kind.priority === 'urgent') core.urgentWaitClasses.add(waitClass);
  }
  waitClass.add(state);
  adjustWaitingTotals(core, waitClass, state.pending.size);
}

/**
 * Removes a job from its class; its pending tasks are kept.
 *
 * @example
 * dequeue(core, state);
 */
export function dequeue(core: EngineCore, state: JobState): void {
  const {waitClass} = state;
  if (waitClass === null) return;
  adjustWaitingTotals(core, waitClass, -state.pending.size);
  waitClass.remove(state);
  if (waitClass.isEmpty) removeClass(core, waitClass);
}

/**
 * Removes a pending task that has started.
 *
 * @example
 * noteTaskStarted(core, state, taskIndex);
 */
export function noteTaskStarted(
  core: EngineCore,
  state: JobState,
  taskIndex: number,
): void {
  if (!state.pending.delete(taskIndex)) return;
  const {waitClass} = state;
  if (waitClass === null) return;
  adjustWaitingTotals(core, waitClass, -1);
  waitClass.removeTasks(state, 1);
  if (waitClass.isEmpty) removeClass(core, waitClass);
}

/** Adds a number of tasks, which may be negative, to the waiting totals. */
function adjustWaitingTotals(
  core: EngineCore,
  waitClass: WaitClass,
  count: number,
): void {
  const {team, size} = waitClass;
  core.waitingTasks += count;
  team.waitingResources = addResources(
    team.waitingResources,
    scaleResources(size, count),
  );
}

function removeClass(core: EngineCore, waitClass: WaitClass): void {
  core.needs.remove(waitClass);
  core.urgentWaitClasses.delete(waitClass);
  waitClass.team.waiting.delete(classKey(waitClass.kind));
}

function getWaitKind(core: EngineCore, state: JobState): WaitKind {
  const {job, queue, pending} = state;
  return {
    queue: job.queue,
    priority: queue.priority,
    declaredSize: job.size,
    runMs: roundedRunMs(core, state),
    gangSize: job.isGang ? pending.size : 0,
  };
}

function classKey(kind: WaitKind): string {
  const {queue, priority, declaredSize, runMs, gangSize} = kind;
  return `${queue} ${priority} ${sizeKey(declaredSize)} ${runMs} ${gangSize}`;
}

/**
 * The estimated run time of a task, rounded up to a power of four to have few
 * classes; infinite if it is too long to end before any held room is needed.
 */
function roundedRunMs(core: EngineCore, state: JobState): number {
  const {job} = state;
  if (job.isService || job.isGang) return Infinity;
  const runMs = core.estimates.estimateRunMs(job.queue, job.team, job.runMs);
  return runMs > MAX_HOLD_MS ? Infinity : 4 ** Math.ceil(Math.log2(runMs) / 2);
}

/**
 * Selects the next class of a team: by priority, which rises with the waiting
 * time, and then by the time of acceptance.
 *
 * @example
 * const waitClass = selectNextClass(core, team, 'all', blocked);
 */
export function selectNextClass(
  core: EngineCore,
  team: TeamState,
  tier: Tier,
  blocked: ReadonlySet<WaitClass>,
): WaitClass | undefined {
  let best: WaitClass | undefined;
  let bestRank = Infinity;
  for (const waitClass of team.waiting.values()) {
    if (tier === 'urgent' && waitClass.kind.priority !== 'urgent') continue;
    if (waitClass.need === null || blocked.has(waitClass)) continue;
    if (!core.needs.mayFit(waitClass.need, tier)) continue;
    const first = waitClass.first();
    if (first === undefined) continue;
    const rank = computeRank(core, waitClass, first.job.acceptedMs);
    if (rank >= bestRank) continue;
    best = waitClass;
    bestRank = rank;
  }
  return best;
}

/**
 * Returns the rank of a class in its team, the lowest being first. It is the
 * priority, raised by one for each ageing step, and then the time of
 * acceptance.
 *
 * @example
 * const rank = computeRank(core, waitClass, first.job.acceptedMs);
 */
export function computeRank(
  core: EngineCore,
  waitClass: WaitClass,
  acceptedMs: number,
): number {
  const waitedMs = core.features.ages ? core.nowMs - acceptedMs : 0;
  const steps = Math.floor(waitedMs / AGEING_STEP_MS);
  const priority = PRIORITIES.indexOf(waitClass.kind.priority);
  const level = Math.max(0, priority - Math.max(0, steps));
  return level * RANKS_PER_PRIORITY + acceptedMs;
}

/**
 * Applies the current estimates to the sizes of the waiting classes.
 *
 * @example
 * refreshSizes(core);
 */
export function refreshSizes(core: EngineCore): void {
  if (core.appliedEstimatesVersion === core.estimates.version) return;
  core.appliedEstimatesVersion = core.estimates.version;
  for (const team of core.teams.values()) {
    for (const waitClass of team.waiting.values()) refreshSize(core, waitClass);
  }
}

function refreshSize(core: EngineCore, waitClass: WaitClass): void {
  const {queue, declaredSize} = waitClass.kind;
  const team = waitClass.team.team.team;
  const version = core.estimates.getVersion(queue, team);
  if (version !== waitClass.estimateVersion) {
    waitClass.estimateVersion = version;
    const estimated = core.estimates.estimateSize(queue, team, declaredSize);
    const {taskCount} = waitClass;
    adjustWaitingTotals(core, waitClass, -taskCount);
    waitClass.size = core.workerTable.canEverHold(estimated)
      ? estimated
      : declaredSize;
    adjustWaitingTotals(core, waitClass, taskCount);
  }
  core.needs.add(waitClass);
}
