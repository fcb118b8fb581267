/** Lasting tasks whose executors will soon count as lost. */
import type {CellState} from './cell-state.js';
import {haveLeasesExpired, type ExecutorState} from './executor-state.js';
import type {StepState} from './job-state.js';
import {FIRST_EXECUTORS} from './ticket-needs.js';
import {decisionTimeMs} from './ticket-requester.js';
import {isFinal, type AdvicePolicy} from './types.js';

/** Tickets are requested this much earlier than the call takes, in ms. */
const REQUEST_MARGIN_MS = 100;
/** Executors in a later call that gets tickets for tasks of lost executors. */
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

/**
 * By when tickets for lasting tasks of the step arrive if they are requested
 * now. The first request is the longest one.
 *
 * @example
 * const isDue = untilMs <= ticketArrivalMs(step, advice, nowMs);
 */
export function ticketArrivalMs(
  {checkedExecutors}: StepState,
  advice: AdvicePolicy,
  nowMs: number,
): number {
  const isFirst = checkedExecutors.size === 0;
  const count = isFirst ? FIRST_EXECUTORS : EXPECTED_EXECUTORS;
  return nowMs + decisionTimeMs(advice, count) + REQUEST_MARGIN_MS;
}

function willBeLost(
  step: StepState,
  executor: ExecutorState,
  nowMs: number,
): boolean {
  const {queue, phase} = step.occurrence.job;
  if (queue.advice === null || isFinal(phase)) return false;
  const arrivalMs = ticketArrivalMs(step, queue.advice, nowMs);
  return haveLeasesExpired(executor, arrivalMs);
}
