/** Which jobs wait, and which of a team's jobs is next. */
import {sizeKey} from './amounts.js';
import {PRIORITIES, type EngineCore} from './core.js';
import type {Tier} from './room-memo.js';
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
    waitClass = new WaitClass(kind);
    waiting.set(key, waitClass);
  }
  waitClass.add(state);
}

/**
 * Takes a job out of its class; its pending tasks are kept.
 *
 * @example
 * dequeue(state);
 */
export function dequeue(state: JobState): void {
  state.waitClass?.remove(state);
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

/** How long a task of the job is expected to run, in powers of two. */
function expectedRunMs(core: EngineCore, state: JobState): number {
  const {job} = state;
  if (job.isService) return Infinity;
  const runMs = core.estimates.runMsOf(job.queue, job.team, job.runMs);
  return 2 ** Math.ceil(Math.log2(runMs));
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
  for (const [key, waitClass] of team.waiting) {
    if (tier === 'urgent' && waitClass.kind.priority !== 'urgent') continue;
    if (stuck.has(waitClass)) continue;
    const first = waitClass.first();
    if (first === undefined) {
      team.waiting.delete(key);
      continue;
    }
    refreshSize(core, team, waitClass);
    if (core.memo.isFull(tier, waitClass.roomKey)) continue;
    const rank = rankOf(waitClass, first.job.acceptedMs, core.nowMs);
    if (rank >= bestRank) continue;
    best = waitClass;
    bestRank = rank;
  }
  return best;
}

/** Lower ranks are first; the time of acceptance decides within a step. */
function rankOf(
  waitClass: WaitClass,
  acceptedMs: number,
  nowMs: number,
): number {
  const steps = Math.floor((nowMs - acceptedMs) / AGEING_STEP_MS);
  const priority = PRIORITIES.indexOf(waitClass.kind.priority);
  const level = Math.max(0, priority - Math.max(0, steps));
  return level * PRIORITY_RANK + acceptedMs;
}

/** Takes what was learnt of the class's sizes into use. */
function refreshSize(
  core: EngineCore,
  team: TeamState,
  waitClass: WaitClass,
): void {
  const {queue, declared} = waitClass.kind;
  const name = team.team.team;
  const version = core.estimates.versionOf(queue, name);
  if (version === waitClass.sizeVersion) return;
  waitClass.sizeVersion = version;
  const learnt = core.estimates.sizeOf(queue, name, declared);
  const isHoldable = core.cell.canEverHold(learnt);
  waitClass.setSize(isHoldable ? learnt : declared);
}
