/**
 * Steps that have had room for long without a start. Whatever is reserved for
 * other steps, they go first, so that no job waits for ever beside free room.
 */
import {tasksOf, type StepState} from './job-state.js';
import {countFittingTasks} from './placement.js';
import type {RankedStep} from './queue-order.js';
import type {Round} from './round.js';
import {mayFit, type ServiceCapacity} from './service-capacity.js';
import {doTasksFit} from './ticket-needs.js';

/** A step with room for this long without a start is overdue, in ms. */
const OVERDUE_MS = 1000;
/** An overdue step holds room for this long in each period, in ms. */
const HOLD_MS = 1000;
const HOLD_PERIOD_MS = 3000;

const NO_RESERVATIONS = new Map<never, never>();

/**
 * Puts overdue steps first, those with tasks that last before others, which may
 * wait for tickets in the room that they hold; each group keeps its order.
 *
 * @example
 * for (const ranked of overdueFirst(orderSteps(...), nowMs)) place(ranked);
 */
export function overdueFirst(
  ranked: readonly RankedStep[],
  nowMs: number,
): readonly RankedStep[] {
  const overdue = ranked
    .filter(({step}) => isOverdue(step, nowMs))
    .map(each => ({...each, isOverdue: true}));
  if (overdue.length === 0) return ranked;
  return [
    ...overdue.filter(({step}) => step.spec.isService),
    ...overdue.filter(({step}) => !step.spec.isService),
    ...ranked.filter(({step}) => !isOverdue(step, nowMs)),
  ];
}

/** Whether the step has had room for long without a start. */
export function isOverdue(step: StepState, nowMs: number): boolean {
  return nowMs - step.hadRoomSinceMs >= OVERDUE_MS;
}

/**
 * Whether the overdue step's reservation keeps other steps from starting now.
 * Its tickets may never come, so others have their turn in between.
 */
export function holdsRoom(step: StepState, nowMs: number): boolean {
  const overdueMs = nowMs - step.hadRoomSinceMs - OVERDUE_MS;
  return overdueMs % HOLD_PERIOD_MS < HOLD_MS;
}

/**
 * Records whether the step has room, reserved or not, without a start.
 *
 * @param missing how many of its tasks wait for room or tickets
 */
export function recordRoom(
  step: StepState,
  missing: number,
  capacity: ServiceCapacity,
  round: Round,
): void {
  const isHeld =
    missing > 0 &&
    mayBecomeOverdue(step, capacity) &&
    hasUnusedRoom(step, capacity, round);
  if (!isHeld) resetRoom(step);
  else step.hadRoomSinceMs = Math.min(step.hadRoomSinceMs, round.nowMs);
}

/** Records that the step got on, or has nothing to start. */
export function resetRoom(step: StepState): void {
  step.hadRoomSinceMs = Infinity;
}

/**
 * Each task that lasts has to run. Of other work, each job has to get on while
 * its service is not busy; under load, gangs and urgent work need their
 * reservations.
 */
function mayBecomeOverdue(
  {spec, occurrence}: StepState,
  {isBusy}: ServiceCapacity,
): boolean {
  if (spec.isService) return true;
  if (isBusy) return false;
  for (const {executor} of tasksOf(occurrence.job)) {
    if (executor !== null) return false;
  }
  return true;
}

function hasUnusedRoom(
  step: StepState,
  capacity: ServiceCapacity,
  {openExecutors}: Pick<Round, 'openExecutors'>,
): boolean {
  if (!mayFit(step, capacity)) return false;
  const wanted = step.spec.isGang ? step.tasks.length : 1;
  const {service} = step.occurrence.job.queue;
  const open = openExecutors.in(capacity.schedulable, service, NO_RESERVATIONS);
  return doTasksFit(step, wanted, open, each => countFittingTasks(step, each));
}
