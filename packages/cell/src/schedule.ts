/** One scheduling round: starts, preemptions and ticket requests. */
import type {CellState} from './cell-state.js';
import type {ExecutorState} from './executor-state.js';
import {
  findEarlyNeeds,
  requestEarlyTickets,
  type EarlyNeeds,
} from './early-tickets.js';
import {shortenPauses} from './failing-executors/index.js';
import type {StepState} from './job-state.js';
import {
  withholdExecutors,
  isLargeTask,
  preemptFor,
} from './reserve-capacity.js';
import {candidatesFor, URGENT_PRIORITY} from './placement.js';
import {measurePressure} from './overload/index.js';
import {ticketPrecedence, TOO_LATE, type RankedStep} from './queue-order.js';
import {isolatedExecutorsOf, withholdForSuspects} from './isolated-starts.js';
import {holdsRoom, overdueFirst, recordRoom, resetRoom} from './overdue.js';
import {OpenExecutors, smallestTasks} from './room/index.js';
import type {Round, RoundContext} from './round.js';
import {
  summarizeServices,
  leavesHeadroom,
  mayFit,
  type ServiceCapacity,
} from './service-capacity.js';
import {
  isStartable,
  startGang,
  startTasks,
  type StartDecision,
} from './starts.js';
import {mayRequestTickets, takeTicketRequest} from './ticket-budget.js';
import {reserveCapacity, findNeededTickets} from './ticket-needs.js';
import type {TicketRequest} from './ticket-requester.js';

/** What the owner has to carry out; the state already reflects it. */
export type Decision =
  StartDecision | ({readonly kind: 'advise'} & TicketRequest);

/**
 * Runs one scheduling round. Each decision is applied to the state before it
 * is yielded.
 *
 * @example
 * for (const decision of decideRound(state, context)) carryOut(decision);
 */
export function* decideRound(
  state: CellState,
  context: RoundContext,
): Generator<Decision> {
  const {order, pendingSteps, estimates} = state;
  state.openDue(context.wallMs);
  const ranked = order.update({
    nowMs: context.nowMs,
    wallMs: context.wallMs,
    pendingSteps,
    estimates,
    leadMs: context.leadMs,
    isStartable: ({tasks}) => tasks.some(each => isStartable(each, context)),
    measurePressure: waiting => measurePressure(waiting, state, context.nowMs),
    onIdle: resetRoom,
  });
  const needs = findEarlyNeeds(state, context);
  const earlyCount = needs.lasting.length + needs.others.length;
  if (ranked.length === 0 && earlyCount === 0) return;
  shortenPauses(state.executors.values(), context.nowMs);
  state.services = summarizeServices(state, context.nowMs);
  const round: Round = {
    ...context,
    state,
    withheld: new Set(),
    reserved: new Map(),
    reservedFromUrgent: new Map(),
    ticketReserved: new Map(),
    ticketReservedFromUrgent: new Map(),
    isolatedExecutors: new Map(),
    services: state.services,
    openExecutors: new OpenExecutors(smallestTasks(stepsOf(ranked, needs))),
  };
  if (state.crashes.isActive) {
    withholdForSuspects(ranked, round, task => isStartable(task, context));
  }
  for (const each of overdueFirst(ranked, context.nowMs)) {
    if (mayProceed(each.step, round)) yield* scheduleStep(each, round);
  }
  for (const request of requestEarlyTickets(needs, round)) {
    yield {kind: 'advise', ...request};
  }
}

/** All steps for which a round may look for room. */
function* stepsOf(
  ranked: readonly RankedStep[],
  {lasting, others}: EarlyNeeds,
): Generator<StepState> {
  for (const {step} of ranked) yield step;
  for (const [step] of lasting) yield step;
  for (const {step} of others) yield step;
}

/**
 * Whether the step may start a task or request tickets in this round. Under
 * overload most steps may not, and a round passes over them.
 */
function mayProceed(step: StepState, round: Round): boolean {
  const capacity = round.services.get(step.occurrence.job.queue.service);
  if (capacity === undefined) {
    resetRoom(step);
    return false;
  }
  if (mayRequestTickets(step, round)) return true;
  recordRoom(step, 1, capacity, round);
  return false;
}

function* scheduleStep(ranked: RankedStep, round: Round): Generator<Decision> {
  const {step} = ranked;
  const capacity = round.services.get(step.occurrence.job.queue.service);
  if (capacity === undefined) return;
  const candidates = mayFit(step, capacity)
    ? candidatesFor(step, capacity.schedulable, round)
    : [];
  const {started, missing} = step.spec.isGang
    ? yield* startGang(step, candidates, round)
    : yield* startTasks(ranked, candidates, capacity, round);
  if (started > 0) resetRoom(step);
  else recordRoom(step, missing, capacity, round);
  // A ticket would expire before the headroom rule lets the step start.
  if (!leavesHeadroom(ranked, capacity)) return;
  const isolatedExecutors = isolatedExecutorsOf(step, round);
  if (missing === 0 && isolatedExecutors.length === 0) return;
  const withRoom =
    missing === 0
      ? []
      : findExecutorsWithRoom(ranked, missing, capacity, round);
  const executorsWithRoom = [...isolatedExecutors, ...withRoom];
  const need = findNeededTickets(step, executorsWithRoom, capacity, round);
  if (need === null) return;
  takeTicketRequest(step, need, round);
  yield {kind: 'advise', step, precedence: ticketPrecedence(ranked), ...need};
}

/**
 * Finds executors that have or will have room for the step: by preemption,
 * else in free capacity. Without either, withholds executors from less urgent
 * work where the step is a gang or its tasks are large.
 */
function findExecutorsWithRoom(
  ranked: RankedStep,
  wanted: number,
  capacity: ServiceCapacity,
  round: Round,
): readonly ExecutorState[] {
  const {step, lateness, isOverdue} = ranked;
  const preempted = preemptFor(ranked, wanted, capacity, round);
  if (preempted.length > 0) return preempted;
  const isStillUseful = lateness !== TOO_LATE;
  // Without a reservation, small tasks would starve gangs and large tasks.
  const isLargeStep =
    isStillUseful && (step.spec.isGang || isLargeTask(step, capacity));
  const isUrgent = isStillUseful && ranked.priority === URGENT_PRIORITY;
  const isHolding = isOverdue && holdsRoom(step, round.nowMs);
  const executors = reserveCapacity(
    step,
    wanted,
    capacity,
    {
      isHard: isLargeStep || isUrgent || isHolding,
      mayUrgentPass: isOverdue && !isUrgent,
      // Otherwise the room would be idle until the tickets of this step arrive.
      mayUrgentStart: isUrgent && !isLargeStep && !isHolding,
    },
    round,
  );
  if (executors.length === 0 && isLargeStep) {
    withholdExecutors(step, wanted, capacity, round);
  }
  return executors;
}
