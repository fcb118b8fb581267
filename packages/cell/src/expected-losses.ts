/** Lasting tasks whose executors will soon count as lost. */
import type {CellState} from './cell-state.js';
import {haveLeasesExpired, type ExecutorState} from './executor-state.js';
import type {StepState} from './job-state.js';
import {isFinal} from './types.js';

/** Tickets are requested this much earlier than the call takes, in ms. */
const REQUEST_MARGIN_MS = 100;
/** Executors in a call that gets tickets for tasks of lost executors. */
const EXPECTED_EXECUTORS = 12;

/**
 * Counts, for each step, the lasting tasks that are expected to be lost: their
 * executors don't answer, and their leases will have run out when tickets that
 * are requested now arrive.
 *
 * @example
 * for (const [step, count] of findExpectedLosses(state, nowMs)) {
 *   // request tickets for `count` tasks of the step
 * }
 */
export function findExpectedLosses(
  state: CellState,
  nowMs: number,
): ReadonlyMap<StepState, number> {
  const counts = new Map<StepState, number>();
  for (const executor of state.executors.values()) {
    if (executor.missedRenewals === 0) continue;
    for (const {step, phase} of executor.tasks) {
      if (phase !== 'running' || !step.spec.isService) continue;
      if (!willBeLost(step, executor, nowMs)) continue;
      counts.set(step, (counts.get(step) ?? 0) + 1);
    }
  }
  return counts;
}

function willBeLost(
  {occurrence}: StepState,
  executor: ExecutorState,
  nowMs: number,
): boolean {
  const {advice} = occurrence.job.queue;
  if (advice === null || isFinal(occurrence.job.phase)) return false;
  const {decisionMs, perExecutorMs} = advice;
  const callMs = decisionMs + perExecutorMs * EXPECTED_EXECUTORS;
  return haveLeasesExpired(executor, nowMs + callMs + REQUEST_MARGIN_MS);
}
