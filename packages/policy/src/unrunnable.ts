/** Sets jobs aside that the shard has not been able to hold for long. */
import {obstacleOf, type EngineCore} from './core.js';
import type {Decision} from './engine.js';
import type {Need} from './needs.js';
import {flush} from './place-waiting.js';
import {setAside} from './task-ends.js';

/** How long workers may be away before jobs that need them are set aside. */
const OBSTRUCTED_AFTER_MS = 600_000;
/** How often a need is checked, and how many at one time. */
const CHECK_EVERY_MS = 10_000;
const MAX_CHECKS = 8;

/**
 * Sets jobs aside whose workers have left for good.
 *
 * @example
 * yield* setAsideUnrunnable(core);
 */
export function* setAsideUnrunnable(core: EngineCore): Generator<Decision> {
  let checks = 0;
  for (const need of core.needs.values()) {
    if (core.nowMs - need.checkedMs < CHECK_EVERY_MS) continue;
    if (checks === MAX_CHECKS) return;
    checks += 1;
    need.checkedMs = core.nowMs;
    noteObstacle(core, need);
    if (core.nowMs - need.obstructedMs < OBSTRUCTED_AFTER_MS) continue;
    yield* setAsideAll(core, need);
  }
}

function noteObstacle(core: EngineCore, need: Need): void {
  const [waitClass] = need.classes;
  const state = waitClass?.first();
  if (state === undefined) return;
  const taskIndexes = [...state.pending];
  const isHeld = obstacleOf(core, {...state.job, taskIndexes}) === '';
  if (isHeld) need.obstructedMs = Infinity;
  else if (need.obstructedMs === Infinity) need.obstructedMs = core.nowMs;
}

function* setAsideAll(core: EngineCore, need: Need): Generator<Decision> {
  for (const waitClass of [...need.classes]) {
    for (const state of [...waitClass.jobs()]) {
      const taskIndexes = [...state.pending];
      const reason = obstacleOf(core, {...state.job, taskIndexes});
      if (reason === '') continue;
      setAside(core, state, reason);
      yield* flush(core);
    }
  }
}
