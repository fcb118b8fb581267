/** Which jobs wait, and which of a team's jobs is next. */
import {addResources, scaleResources} from '@dragonflyward/common';
import {sizeKey} from './amounts.js';
import {PRIORITIES, type EngineCore} from './core.js';
import type {Tier} from './needs.js';
import {MAX_HOLD_MS} from './holds.js';
import type {JobState, TeamState} from './state.js';
import {WaitClass, type WaitKind} from './wait-class.js';

/** A job that has waited this long counts as one priority higher. */
export const AGEING_STEP_MS = 60_000;

/** Keeps the ranks of two priorities apart; above any time in ms. */
const PRIORITY_RANK = 1e14;

/**
 * Lets a job's pending tasks wait for their turn.
 *
 * @example
 * enqueue(core, state);
 */
export function enqueue(core: EngineCore, state: JobState): void {
  if (state.pending.size === 0 || state.waitClass !== null) return;
  const kind = kindOf(core, state);
  const key = classKey(kind);
  const {waiting} = state.team;
  let waitClass = waiting.get(key);
  if (waitClass === undefined) {
    waitClass = new WaitClass(state.team, kind);
    waiting.set(key, waitClass);
  }
  if (waitClass.isEmpty) {
    refreshSize(core, waitClass);
    if (kind.priority === 'urgent') core.urgentClasses.add(waitClass);
  }
  waitClass.add(state);
  noteWaiting(core, waitClass, state.pending.size);
}

/**
 * Takes a job out of its class; its pending tasks are kept.
 *
 * @example
 * dequeue(core, state);
 */
export function dequeue(core: EngineCore, state: JobState): void {
  const {waitClass} = state;
  if (waitClass === null) return;
  noteWaiting(core, waitClass, -state.pending.size);
  waitClass.remove(state);
  if (waitClass.isEmpty) forgetClass(core, waitClass);
}

/**
 * Tells the waiting list that one pending task of a job has started.
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
  noteWaiting(core, waitClass, -1);
  waitClass.shrink(state, 1);
  if (waitClass.isEmpty) forgetClass(core, waitClass);
}

/** Counts tasks of a class that begin to wait, or cease where negative. */
function noteWaiting(
  core: EngineCore,
  waitClass: WaitClass,
  count: number,
): void {
  const {team, size} = waitClass;
  core.waitingTasks += count;
  team.waitingSize = addResources(
    team.waitingSize,
    scaleResources(size, count),
  );
}

function forgetClass(core: EngineCore, waitClass: WaitClass): void {
  core.needs.remove(waitClass);
  core.urgentClasses.delete(waitClass);
  waitClass.team.waiting.delete(classKey(waitClass.kind));
}

function kindOf(core: EngineCore, state: JobState): WaitKind {
  const {job, queue, pending} = state;
  return {
    queue: job.queue,
    priority: queue.priority,
    declared: job.size,
    runMs: expectedRunMs(core, state),
    gangSize: job.isGang ? pending.size : 0,
  };
}

function classKey(kind: WaitKind): string {
  const {queue, priority, declared, runMs, gangSize} = kind;
  return `${queue} ${priority} ${sizeKey(declared)} ${runMs} ${gangSize}`;
}

/**
 * How long a task of the job is expected to run, in powers of four; infinite
 * where it is too long to end before any held room is needed.
 */
function expectedRunMs(core: EngineCore, state: JobState): number {
  const {job} = state;
  if (job.isService || job.isGang) return Infinity;
  const runMs = core.estimates.runMsOf(job.queue, job.team, job.runMs);
  return runMs > MAX_HOLD_MS ? Infinity : 4 ** Math.ceil(Math.log2(runMs) / 2);
}

/**
 * The class whose turn it is in a team: by priority raised with age, then by
 * the time of acceptance.
 *
 * @example
 * const waitClass = nextClass(core, team, 'all', stuck);
 */
export function nextClass(
  core: EngineCore,
  team: TeamState,
  tier: Tier,
  stuck: ReadonlySet<WaitClass>,
): WaitClass | undefined {
  let best: WaitClass | undefined;
  let bestRank = Infinity;
  for (const waitClass of team.waiting.values()) {
    if (tier === 'urgent' && waitClass.kind.priority !== 'urgent') continue;
    if (waitClass.need === null || stuck.has(waitClass)) continue;
    if (!core.needs.isOpen(waitClass.need, tier)) continue;
    const first = waitClass.first();
    if (first === undefined) continue;
    const rank = rankOf(core, waitClass, first.job.acceptedMs);
    if (rank >= bestRank) continue;
    best = waitClass;
    bestRank = rank;
  }
  return best;
}

/**
 * The place of a class in its team: lower ranks are first, and the time of
 * acceptance decides within a step of age.
 *
 * @example
 * const rank = rankOf(core, waitClass, first.job.acceptedMs);
 */
export function rankOf(
  core: EngineCore,
  waitClass: WaitClass,
  acceptedMs: number,
): number {
  const waitedMs = core.features.ages ? core.nowMs - acceptedMs : 0;
  const steps = Math.floor(waitedMs / AGEING_STEP_MS);
  const priority = PRIORITIES.indexOf(waitClass.kind.priority);
  const level = Math.max(0, priority - Math.max(0, steps));
  return level * PRIORITY_RANK + acceptedMs;
}

/**
 * Takes what was learnt of the sizes of waiting work into use.
 *
 * @example
 * refreshSizes(core);
 */
export function refreshSizes(core: EngineCore): void {
  if (core.sizeVersion === core.estimates.version) return;
  core.sizeVersion = core.estimates.version;
  for (const team of core.teams.values()) {
    for (const waitClass of team.waiting.values()) refreshSize(core, waitClass);
  }
}

function refreshSize(core: EngineCore, waitClass: WaitClass): void {
  const {queue, declared} = waitClass.kind;
  const team = waitClass.team.team.team;
  const version = core.estimates.versionOf(queue, team);
  if (version !== waitClass.sizeVersion) {
    waitClass.sizeVersion = version;
    const learnt = core.estimates.sizeOf(queue, team, declared);
    const {taskCount} = waitClass;
    noteWaiting(core, waitClass, -taskCount);
    waitClass.size = core.cell.canEverHold(learnt) ? learnt : declared;
    noteWaiting(core, waitClass, taskCount);
  }
  core.needs.add(waitClass);
}
