/** Sets jobs aside that the shard has long had no workers for. */
import {findUnplaceableReason, type EngineCore} from './core.js';
import type {Decision} from './engine.js';
import type {Need} from './needs.js';
import {flushDecisions} from './place-waiting.js';
import {setAside} from './task-ends.js';

/** How long workers may be missing before jobs that need them are set aside. */
const SET_ASIDE_AFTER_MS = 600_000;
/** How often a need is checked, and how many needs one pass checks. */
const CHECK_INTERVAL_MS = 10_000;
const MAX_CHECKS_PER_PASS = 8;

/**
 * Sets jobs aside that for a long time would not have fit in the shard even if
 * it had been empty, as workers that they need have left.
 *
 * @example
 * yield* setAsideUnrunnable(core);
 */
export function* setAsideUnrunnable(core: EngineCore): Generator<Decision> {
  let checks = 0;
  for (const need of core.needs.values()) {
    if (core.nowMs - need.lastCheckedMs < CHECK_INTERVAL_MS) continue;
    if (checks === MAX_CHECKS_PER_PASS) return;
    checks += 1;
    need.lastCheckedMs = core.nowMs;
    updateObstruction(core, need);
    if (core.nowMs - need.noFitSinceMs < SET_ASIDE_AFTER_MS) continue;
    yield* setAsideAll(core, need);
  }
}

function updateObstruction(core: EngineCore, need: Need): void {
  const [waitClass] = need.classes;
  const state = waitClass?.first();
  if (state === undefined) return;
  const taskIndexes = [...state.pending];
  const canFit =
    findUnplaceableReason(core, {...state.job, taskIndexes}) === '';
  if (canFit) need.noFitSinceMs = Infinity;
  else if (need.noFitSinceMs === Infinity) need.noFitSinceMs = core.nowMs;
}

function* setAsideAll(core: EngineCore, need: Need): Generator<Decision> {
  for (const waitClass of [...need.classes]) {
    for (const state of [...waitClass.jobs()]) {
      const taskIndexes = [...state.pending];
      const reason = findUnplaceableReason(core, {...state.job, taskIndexes});
      if (reason === '') continue;
      setAside(core, state, reason);
      yield* flushDecisions(core);
    }
  }
}
