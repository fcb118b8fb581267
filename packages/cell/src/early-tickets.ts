/** Tickets for tasks that cannot start yet and are expected to start soon. */
import type {CellState} from './cell-state.js';
import {
  countEndingWaits,
  findEndingWaits,
  orderEndingWaits,
} from './ending-waits.js';
import {findExpectedLosses} from './expected-losses.js';
import type {StepState} from './job-state.js';
import {isSchedulableSoon, URGENT_PRIORITY} from './placement.js';
import {
  LASTING_PRECEDENCE,
  ticketPrecedence,
  type RankedStep,
} from './queue-order.js';
import type {Round, RoundContext} from './round.js';
import {leavesHeadroom, summarizeServices} from './service-capacity.js';
import {mayRequestTickets, takeTicketRequest} from './ticket-budget.js';
import {
  findNeededTickets,
  reserveCapacity,
  type TicketNeed,
} from './ticket-needs.js';
import type {TicketRequest} from './ticket-requester.js';

/** The most tasks of one step for which a round reserves room. */
const TASKS_PER_ROUND = 200;

type Services = Round['services'];

/** The steps for which a round may request tickets early. */
export interface EarlyNeeds {
  /** How many lasting tasks of each step will have to start soon. */
  readonly lasting: ReadonlyArray<readonly [StepState, number]>;
  /** Other steps of which all or some will wait no more, in their order. */
  readonly others: readonly RankedStep[];
}

/**
 * Finds the steps for which tickets may be requested early.
 *
 * @example
 * const needs = findEarlyNeeds(state, context);
 */
export function findEarlyNeeds(
  state: CellState,
  context: RoundContext,
): EarlyNeeds {
  const losses = findExpectedLosses(state, context.nowMs);
  const waits = findEndingWaits(state, context);
  return {
    lasting: [...losses, ...waits],
    others: orderEndingWaits(state, context),
  };
}

/**
 * Requests tickets in the room that the steps of the round leave: for lasting
 * tasks, then for other steps within the budget of the round.
 *
 * @example
 * for (const request of requestEarlyTickets(needs, round)) queue(request);
 */
export function* requestEarlyTickets(
  {lasting, others}: EarlyNeeds,
  round: Round,
): Generator<TicketRequest> {
  const services = servicesSoon(round);
  for (const [step, count] of lasting) {
    const need = findEarlyNeed(step, count, services, round);
    if (need !== null) yield {step, precedence: LASTING_PRECEDENCE, ...need};
  }
  for (const ranked of others) {
    const {step} = ranked;
    if (!mayUseTickets(ranked, services, round)) continue;
    const count = Math.min(TASKS_PER_ROUND, countEndingWaits(step, round));
    if (count === 0) continue;
    const need = findEarlyNeed(step, count, services, round);
    if (need === null) continue;
    takeTicketRequest(step, need, round);
    yield {step, precedence: ticketPrecedence(ranked), ...need};
  }
}

/** The capacity with that of executors that get orders very soon. */
function servicesSoon({state, nowMs, services}: Round): Services {
  const executors = [...state.executors.values()];
  if (!executors.some(({isHeldBriefly}) => isHeldBriefly)) return services;
  return summarizeServices(state, nowMs, isSchedulableSoon);
}

/** Whether the round may request tickets that the step could use then. */
function mayUseTickets(
  ranked: RankedStep,
  services: Services,
  round: Round,
): boolean {
  const {step} = ranked;
  const {job} = step.occurrence;
  const capacity = services.get(job.queue.service);
  if (capacity === undefined || !leavesHeadroom(ranked, capacity)) return false;
  if (!mayRequestTickets(step, round)) return false;
  const {size, isGang} = step.spec;
  const count = isGang ? step.tasks.length : 1;
  return round.state.organisations.mayRunIfKnown(job.organisation, size, count);
}

function findEarlyNeed(
  step: StepState,
  count: number,
  services: Services,
  round: Round,
): TicketNeed | null {
  const {service, priority} = step.occurrence.job.queue;
  const capacity = services.get(service);
  if (capacity === undefined) return null;
  // Urgent steps start before others that hold tickets for the same room.
  const mayUrgentPass = priority !== URGENT_PRIORITY;
  const hold = {isHard: false, mayUrgentPass, mayUrgentStart: true};
  const executors = reserveCapacity(step, count, capacity, hold, round);
  if (executors.length === 0) return null;
  return findNeededTickets(step, executors, capacity, round);
}
