/** Which steps may request tickets in a round, and how many. */
import type {StepState} from './job-state.js';
import type {Round} from './round.js';
import {FIRST_EXECUTORS, type TicketNeed} from './ticket-needs.js';
import {decisionTimeMs} from './ticket-requester.js';

/**
 * Whether the step holds or requests tickets, or may request some now. What any
 * other step reserved would stay unused until then.
 *
 * @example
 * if (mayRequestTickets(step, round)) reserveCapacity(step, ...);
 */
export function mayRequestTickets(step: StepState, round: Round): boolean {
  const {advice} = step.occurrence.job.queue;
  if (advice === null || step.isRequestingTickets) return true;
  if (step.ticketsUntilMs > round.nowMs) return true;
  return round.ticketBudget.has(decisionTimeMs(advice, FIRST_EXECUTORS));
}

/**
 * Counts a request of the step in the round.
 *
 * @example
 * takeTicketRequest(step, need, round);
 */
export function takeTicketRequest(
  step: StepState,
  {executorIds}: TicketNeed,
  round: Round,
): void {
  const {advice} = step.occurrence.job.queue;
  if (advice === null) return;
  round.ticketBudget.take(decisionTimeMs(advice, executorIds.length));
}
