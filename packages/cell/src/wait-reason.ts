/** Why a step that could be started does not start. */
import {hasRoom} from './executor-state.js';
import type {StepState} from './job-state.js';
import {isAllowed, isSuited, mayUse} from './place.js';
import type {RankedStep} from './queue-order.js';
import type {Round} from './round.js';
import {isWithinHeadroom, type ServiceRoom} from './service-room.js';

/** The first thing that keeps a step from starting. */
export type WaitReason =
  /** A former owner may have started its tasks. */
  | 'unsure'
  /** The last run failed a moment ago. */
  | 'pausing'
  /** Its organisation is at its limit. */
  | 'limit'
  /** What is free is kept for urgent work. */
  | 'headroom'
  /** No executor of the service may run it. */
  | 'unsuited'
  /** Executors that may run it have no room. */
  | 'room'
  /** There is room where it may run, and no valid ticket for it. */
  | 'ticket'
  /** There is room with a ticket, held for work that goes first. */
  | 'held';

/**
 * Names the first thing that keeps a step from starting.
 *
 * @example
 * waitReason(ranked, room, round); // 'ticket'
 */
export function waitReason(
  ranked: RankedStep,
  room: ServiceRoom,
  round: Round,
): WaitReason {
  const {step} = ranked;
  const {spec, occurrence, tasks} = step;
  if (round.isUnsure(step)) return 'unsure';
  if (!tasks.some(each => each.notBeforeMs <= round.nowMs)) return 'pausing';
  const {organisation} = occurrence.job;
  const count = spec.isGang ? tasks.length : 1;
  if (!round.state.organisations.mayRun(organisation, spec.size, count)) {
    return 'limit';
  }
  if (!isWithinHeadroom(ranked, room)) return 'headroom';
  return placeReason(step, room, round.nowMs);
}

function placeReason(
  step: StepState,
  {open}: ServiceRoom,
  nowMs: number,
): WaitReason {
  const usable = open.filter(
    each =>
      isSuited(step, each) && (step.asked.size === 0 || mayUse(step, each)),
  );
  if (usable.length === 0) return 'unsuited';
  const roomy = usable.filter(each => hasRoom(each, step.spec));
  if (roomy.length === 0) return 'room';
  const ticketed = roomy.filter(each => isAllowed(step, each, nowMs));
  return ticketed.length === 0 ? 'ticket' : 'held';
}
