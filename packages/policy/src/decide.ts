/** The stages of a decision, in their order. */
import type {EngineCore} from './core.js';
import type {Decision} from './engine.js';
import {refreshFairShares} from './fair-shares.js';
import {flush, placeWaiting} from './place-waiting.js';

/** How old the fair shares may be. */
const FAIR_SHARES_MS = 500;

/**
 * Decides all that can be decided now.
 *
 * @example
 * for (const decision of decideAll(core)) send(decision);
 */
export function* decideAll(core: EngineCore): Generator<Decision> {
  yield* flush(core);
  if (core.nowMs - core.fairAtMs >= FAIR_SHARES_MS) {
    refreshFairShares(core.teams);
    core.fairAtMs = core.nowMs;
  }
  yield* placeWaiting(core, 'urgent');
  yield* placeWaiting(core, 'all');
}
