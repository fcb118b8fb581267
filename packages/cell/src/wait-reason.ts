/** Why a ready step has not been started. */
import {isSuspect} from './crash-suspects.js';
import {hasRoom} from './executor-state.js';
import {isServiceStored, type StepState} from './job-state.js';
import {holdsRequiredTicket, isCompatible, isPermitted} from './placement.js';
import type {RankedStep} from './queue-order.js';
import type {Round} from './round.js';
import {mayBePermitted} from './ticket-needs.js';
import {leavesHeadroom, type ServiceCapacity} from './service-capacity.js';

/** The first condition that keeps a step from starting. */
export type WaitReason =
  /** A former owner may have started what waits of it. */
  | 'unsure'
  /** It is not stored yet that its queue is sent to another service. */
  | 'unstored'
  /** All its tasks are in a retry delay after a failure. */
  | 'pausing'
  /** All its tasks are suspects of a crash and wait for an executor. */
  | 'suspect'
  /** Its organisation has reached its limit. */
  | 'limit'
  /** Only executors in closed failure domains could start it. */
  | 'closed'
  /** The free capacity is headroom for urgent work. */
  | 'headroom'
  /** No schedulable executor is compatible with it and permitted for it. */
  | 'unsuited'
  /** The executors that may run it have no room. */
  | 'room'
  /** There is room, but the step holds no valid ticket for it. */
  | 'ticket'
  /** There is room with a ticket, but it is reserved for earlier steps. */
  | 'held';

/**
 * Finds the first condition that keeps a step from starting.
 *
 * @example
 * waitReason(ranked, capacity, round); // 'ticket'
 */
export function waitReason(
  ranked: RankedStep,
  capacity: ServiceCapacity,
  round: Round,
): WaitReason {
  const {step} = ranked;
  const {spec, occurrence, tasks} = step;
  if (!isServiceStored(occurrence.job)) return 'unstored';
  if (isUnsure(step, round)) return 'unsure';
  if (!tasks.some(each => each.notBeforeMs <= round.nowMs)) return 'pausing';
  const waiting = tasks.filter(({phase}) => phase === 'waiting');
  if (!spec.isGang && waiting.every(isSuspect)) return 'suspect';
  const {organisation} = occurrence.job;
  const count = spec.isGang ? tasks.length : 1;
  if (!round.state.organisations.mayRun(organisation, spec.size, count)) {
    return 'limit';
  }
  // Without any open executor, there is no headroom to leave either.
  if (isOnlyInClosed(step, capacity)) return 'closed';
  if (!leavesHeadroom(ranked, capacity)) return 'headroom';
  return placementWaitReason(step, capacity, round.nowMs);
}

/** Whether unknown runs keep all that waits from starting. */
function isUnsure({spec, tasks}: StepState, round: Round): boolean {
  const waiting = tasks.filter(({phase}) => phase === 'waiting');
  const unsure = waiting.filter(each => round.mayHaveUnknownRuns(each));
  return spec.isGang ? unsure.length > 0 : unsure.length === waiting.length;
}

/**
 * Whether executors in closed failure domains could run the step, and no
 * schedulable one. Those that are closed were possibly not checked for it.
 */
function isOnlyInClosed(
  step: StepState,
  {schedulable, closed}: ServiceCapacity,
): boolean {
  return (
    closed.some(each => mayBePermitted(step, each)) &&
    !schedulable.some(each => mayBePermitted(step, each))
  );
}

function placementWaitReason(
  step: StepState,
  {schedulable}: ServiceCapacity,
  nowMs: number,
): WaitReason {
  const usable = schedulable.filter(
    each =>
      isCompatible(step, each) &&
      (step.checkedExecutors.size === 0 || isPermitted(step, each)),
  );
  if (usable.length === 0) return 'unsuited';
  const withRoom = usable.filter(each => hasRoom(each, step.spec));
  if (withRoom.length === 0) return 'room';
  const withTicket = withRoom.filter(each =>
    holdsRequiredTicket(step, each, nowMs),
  );
  return withTicket.length === 0 ? 'ticket' : 'held';
}
