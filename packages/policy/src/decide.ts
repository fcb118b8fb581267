/** Runs the stages of a decision in their order. */
import {adjustReservations, probeReservations} from './resize-reservations.js';
import type {EngineCore} from './core.js';
import type {Decision} from './engine.js';
import {refreshFairShares} from './fair-shares.js';
import {flushDecisions, placeWaiting} from './place-waiting.js';
import {preemptForUrgent, reclaimShares} from './preempt.js';
import {placeHeldJobs, reserveForStarved} from './reserve.js';
import {setAsideUnrunnable} from './set-aside-unrunnable.js';
import {refreshSizes} from './waiting-list.js';

/** The minimum time between two computations of the fair shares. */
const FAIR_SHARES_INTERVAL_MS = 500;
/** The minimum time between two passes for jobs that find no room. */
const RESERVE_INTERVAL_MS = 500;

/**
 * Yields all decisions that can be made now.
 *
 * @example
 * for (const decision of decideAll(core)) send(decision);
 */
export function* decideAll(core: EngineCore): Generator<Decision> {
  retryWorkers(core);
  yield* flushDecisions(core);
  if (core.nowMs - core.fairSharesUpdatedMs >= FAIR_SHARES_INTERVAL_MS) {
    refreshFairShares(core.teams);
    core.teams.updateShareExcess(core.nowMs - core.fairSharesUpdatedMs);
    core.fairSharesUpdatedMs = core.nowMs;
  }
  yield* adjustReservations(core);
  refreshSizes(core);
  yield* placeHeldJobs(core);
  yield* placeWaiting(core, 'urgent');
  if (core.features.preempts) yield* preemptForUrgent(core);
  if (core.nowMs - core.lastReservePassMs >= RESERVE_INTERVAL_MS) {
    core.lastReservePassMs = core.nowMs;
    if (core.features.reserves) reserveForStarved(core);
    if (core.features.preempts) yield* reclaimShares(core);
    yield* setAsideUnrunnable(core);
  }
  yield* placeWaiting(core, 'all');
  yield* probeReservations(core);
}

/** Lets workers whose quarantine is over take one task on probation. */
function retryWorkers(core: EngineCore): void {
  for (const state of core.health.startDueProbations(core.nowMs)) {
    const {workerId} = state.worker;
    const reason = 'quarantine ended; retrying with one task at a time';
    core.pendingDecisions.push({
      kind: 'worker',
      workerId,
      isQuarantined: false,
      reason,
    });
    core.needs.noteFreed(state);
  }
}
