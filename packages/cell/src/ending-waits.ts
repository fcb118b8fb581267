/** Lasting tasks that will soon wait no more for runs of a former owner. */
import type {CellState} from './cell-state.js';
import {ticketArrivalMs} from './expected-losses.js';
import {isStepReady, type StepState} from './job-state.js';
import type {RoundContext} from './round.js';

/**
 * Counts, for each step, the lasting tasks that wait only because runs of them
 * may exist that are not known, and are expected to wait no more when tickets
 * that are requested now arrive.
 *
 * @example
 * for (const [step, count] of findEndingWaits(state, context)) {
 *   // request tickets for `count` tasks of the step
 * }
 */
export function findEndingWaits(
  state: CellState,
  context: RoundContext,
): ReadonlyMap<StepState, number> {
  const counts = new Map<StepState, number>();
  if (context.unknownRunsUntilMs === null) return counts;
  for (const step of state.pendingSteps) {
    if (!step.spec.isService) continue;
    const count = countEndingWaits(step, context);
    if (count > 0) counts.set(step, count);
  }
  return counts;
}

function countEndingWaits(
  step: StepState,
  {nowMs, wallMs, mayHaveUnknownRuns, unknownRunsUntilMs}: RoundContext,
): number {
  const {advice} = step.occurrence.job.queue;
  if (advice === null || unknownRunsUntilMs === null) return 0;
  if (!isStepReady(step, wallMs)) return 0;
  const arrivalMs = ticketArrivalMs(step, advice, nowMs);
  const ending = step.tasks.filter(
    task =>
      task.phase === 'waiting' &&
      task.orphanCount === 0 &&
      task.notBeforeMs <= arrivalMs &&
      mayHaveUnknownRuns(task) &&
      unknownRunsUntilMs(task) <= arrivalMs,
  );
  const isGangIncomplete =
    step.spec.isGang && ending.length < step.tasks.length;
  return isGangIncomplete ? 0 : ending.length;
}
