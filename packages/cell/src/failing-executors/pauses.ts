/** Keeps new tasks from executors whose runs fail one after the other. */
import type {ExecutorState} from '../executor-state.js';
import {isSchedulable} from '../placement.js';

/** Consecutive failures after which an executor gets no tasks for a while. */
const MAX_CONSECUTIVE_FAILURES = 3;
/** The first such pause, in ms; each further failure doubles it. */
const PAUSE_MS = 2000;
/** How often it doubles. */
const MAX_DOUBLINGS = 2;

/** Counts a run that has failed, and pauses the executor after several. */
export function recordFailedRun(executor: ExecutorState, nowMs: number): void {
  executor.consecutiveFailures += 1;
  const excess = executor.consecutiveFailures - MAX_CONSECUTIVE_FAILURES;
  if (excess < 0) return;
  executor.failedMs = nowMs;
  executor.pausedUntilMs =
    nowMs + PAUSE_MS * 2 ** Math.min(MAX_DOUBLINGS, excess);
}

/** Records that a run has completed: the executor is sound. */
export function recordCompletedRun(executor: ExecutorState): void {
  executor.consecutiveFailures = 0;
}

/**
 * Ends the longer pauses of services of which no executor may be used otherwise:
 * jobs whose runs fail anywhere would stop all others there.
 *
 * @example
 * shortenPauses(state.executors.values(), nowMs);
 */
export function shortenPauses(
  executors: Iterable<ExecutorState>,
  nowMs: number,
): void {
  const paused = new Map<string, ExecutorState[]>();
  const usable = new Set<string>();
  for (const executor of executors) {
    const {service} = executor.info;
    if (isSchedulable(executor, nowMs)) usable.add(service);
    if (usable.has(service) || executor.pausedUntilMs <= nowMs) continue;
    const others = paused.get(service);
    if (others === undefined) paused.set(service, [executor]);
    else others.push(executor);
  }
  for (const [service, all] of paused) {
    if (usable.has(service)) continue;
    for (const executor of all) {
      const shortUntilMs = executor.failedMs + PAUSE_MS;
      executor.pausedUntilMs = Math.min(executor.pausedUntilMs, shortUntilMs);
    }
  }
}
