/** How long lease renewals wait at an executor, and the pauses between them. */
import {isStartObserved} from './crash-suspects.js';
import type {ExecutorState} from './executor-state.js';

/** How long an executor may wait for a run to end before it answers, in ms. */
export const RENEWAL_WAIT_MS = 700;
/** Wait of a renewal while tail latencies are monitored, in ms. */
const LATENCY_WATCH_WAIT_MS = 400;
/** Wait of a renewal while a run is starting or stopping, in ms. */
const STARTING_WAIT_MS = 100;
/** Minimum pause between two lease renewals, in ms. */
const MIN_RENEWAL_INTERVAL_MS = 15;
/** Pause after an inventory without changes, in ms. */
const UNCHANGED_RENEWAL_INTERVAL_MS = 60;

/**
 * How long a renewal may wait at the executor for a run to end.
 *
 * @param dueInMs when an inventory has to be requested; Infinity for never
 * @example
 * const waitMs = renewalWaitMs(executor, dueInMs);
 */
export function renewalWaitMs(
  executor: ExecutorState,
  dueInMs: number,
): number {
  const waitMs = Math.min(usualWaitMs(executor), dueInMs);
  return Math.max(0, Math.floor(waitMs));
}

function usualWaitMs(executor: ExecutorState): number {
  const {tasks, isReached, missedRenewals} = executor;
  if (!isReached || missedRenewals > 0) return 0;
  let waitMs = RENEWAL_WAIT_MS;
  for (const task of tasks) {
    const {phase, step} = task;
    if (phase === 'starting') return STARTING_WAIT_MS;
    if (phase === 'stopping') return STARTING_WAIT_MS;
    if (isStartObserved(task)) return STARTING_WAIT_MS;
    if (step.spec.targetMs > 0) waitMs = LATENCY_WATCH_WAIT_MS;
  }
  return waitMs;
}

/**
 * The pause after an inventory.
 *
 * @param dueInMs when the next one has to be requested; Infinity for never
 * @example
 * await clock.sleep(renewalPauseMs(hasChanges, dueInMs));
 */
export function renewalPauseMs(hasChanges: boolean, dueInMs: number): number {
  if (hasChanges) return MIN_RENEWAL_INTERVAL_MS;
  const pauseMs = Math.min(UNCHANGED_RENEWAL_INTERVAL_MS, dueInMs);
  return Math.max(MIN_RENEWAL_INTERVAL_MS, pauseMs);
}
