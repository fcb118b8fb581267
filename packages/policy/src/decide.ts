/** The stages of a decision, in their order. */
import {adjustReservations, probeReservations} from './adjust.js';
import type {EngineCore} from './core.js';
import type {Decision} from './engine.js';
import {refreshFairShares} from './fair-shares.js';
import {flush, placeWaiting} from './place-waiting.js';
import {preemptForUrgent, reclaimShares} from './preempt.js';
import {placeHeld, reserveForBlocked} from './reserve.js';
import {setAsideUnrunnable} from './unrunnable.js';
import {refreshSizes} from './waiting-list.js';

/** How old the fair shares may be. */
const FAIR_SHARES_MS = 500;
/** How often room is sought for work that is hard to place. */
const RESERVE_EVERY_MS = 500;

/**
 * Decides all that can be decided now.
 *
 * @example
 * for (const decision of decideAll(core)) send(decision);
 */
export function* decideAll(core: EngineCore): Generator<Decision> {
  retryWorkers(core);
  yield* flush(core);
  if (core.nowMs - core.fairAtMs >= FAIR_SHARES_MS) {
    refreshFairShares(core.teams);
    core.teams.noteDrift(core.nowMs - core.fairAtMs);
    core.fairAtMs = core.nowMs;
  }
  yield* adjustReservations(core);
  refreshSizes(core);
  yield* placeHeld(core);
  yield* placeWaiting(core, 'urgent');
  if (core.features.preempts) yield* preemptForUrgent(core);
  if (core.nowMs - core.reservedAtMs >= RESERVE_EVERY_MS) {
    core.reservedAtMs = core.nowMs;
    if (core.features.reserves) reserveForBlocked(core);
    if (core.features.preempts) yield* reclaimShares(core);
    yield* setAsideUnrunnable(core);
  }
  yield* placeWaiting(core, 'all');
  yield* probeReservations(core);
}

function retryWorkers(core: EngineCore): void {
  for (const state of core.health.retry(core.nowMs)) {
    const {workerId} = state.worker;
    const reason = 'it is tried again with one task';
    core.outbox.push({kind: 'worker', workerId, isSetAside: false, reason});
    core.needs.noteRoom(state);
  }
}
