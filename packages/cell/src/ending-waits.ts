/** Tasks that will soon wait no more for runs of a former owner. */
import type {CellState} from './cell-state.js';
import {ticketArrivalMs} from './expected-losses.js';
import {isStepReady, type StepState, type TaskState} from './job-state.js';
import type {RankedStep} from './queue-order.js';
import type {RoundContext} from './round.js';

/** With more steps, a round would take too much of a processor. */
const MAX_ORDERED_STEPS = 200;

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
    if (!step.spec.isService || !isStepReady(step, context.wallMs)) continue;
    const count = countEndingWaits(step, context);
    if (count > 0) counts.set(step, count);
  }
  return counts;
}

/**
 * Returns the other steps with such tasks, in the order in which they would be
 * started.
 *
 * @example
 * for (const {step} of orderEndingWaits(state, context)) {
 *   // request tickets for `countEndingWaits(step, context)` tasks of the step
 * }
 */
export function orderEndingWaits(
  {endingOrder, pendingSteps, estimates}: CellState,
  context: RoundContext,
): readonly RankedStep[] {
  const isTooMany = pendingSteps.size > MAX_ORDERED_STEPS;
  if (context.unknownRunsUntilMs === null || isTooMany) {
    endingOrder.invalidate();
    return [];
  }
  return endingOrder.update({
    nowMs: context.nowMs,
    wallMs: context.wallMs,
    pendingSteps,
    estimates,
    leadMs: context.leadMs,
    isStartable: step => !step.spec.isService && isAnyEnding(step, context),
    onIdle: () => undefined,
  });
}

/**
 * Counts the tasks of a step that is ready which are expected to wait no more
 * when tickets that are requested now arrive; 0 unless a gang is complete.
 *
 * @example
 * const wanted = countEndingWaits(step, context);
 */
export function countEndingWaits(
  step: StepState,
  context: RoundContext,
): number {
  const untilMs = requestedUntilMs(step, context);
  if (untilMs === null) return 0;
  const {tasks, spec} = step;
  const ending = tasks.filter(each => isEnding(each, untilMs, context));
  return spec.isGang && ending.length < tasks.length ? 0 : ending.length;
}

/** Whether a task of the step is; of a gang, the first is looked at alone. */
function isAnyEnding(step: StepState, context: RoundContext): boolean {
  const untilMs = requestedUntilMs(step, context);
  if (untilMs === null) return false;
  const {tasks, spec} = step;
  const checked = spec.isGang ? tasks.slice(0, 1) : tasks;
  return checked.some(each => isEnding(each, untilMs, context));
}

/** When tickets arrive that are requested now; null where none are needed. */
function requestedUntilMs(
  step: StepState,
  {nowMs}: RoundContext,
): number | null {
  const {advice} = step.occurrence.job.queue;
  return advice === null ? null : ticketArrivalMs(step, advice, nowMs);
}

function isEnding(
  task: TaskState,
  arrivalMs: number,
  {mayHaveUnknownRuns, unknownRunsUntilMs}: RoundContext,
): boolean {
  const {phase, orphanCount, notBeforeMs} = task;
  if (unknownRunsUntilMs === null || phase !== 'waiting') return false;
  if (orphanCount > 0 || notBeforeMs > arrivalMs) return false;
  return mayHaveUnknownRuns(task) && unknownRunsUntilMs(task) <= arrivalMs;
}
