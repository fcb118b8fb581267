/**
 * Selects the executors for which a step needs tickets of the advice service.
 * The advice service may be the bottleneck, so tickets are requested only where
 * the step could start, and by one step at a time for the same capacity;
 * otherwise tickets would expire unused.
 */
import type {ExecutorState} from './executor-state.js';
import type {StepState} from './job-state.js';
import {
  countFittingTasks,
  holdsRequiredTicket,
  isCompatible,
  isPermitted,
  reserve,
  URGENT_PRIORITY,
} from './placement.js';
import {NOTHING_RESERVED} from './resource-amounts.js';
import type {Round} from './round.js';
import {mayFit, type ServiceCapacity} from './service-capacity.js';

/** Executors in a first request; each adds decision time. */
export const FIRST_EXECUTORS = 30;
/** The least executors in a request that renews tickets. */
const MIN_RENEWAL_EXECUTORS = 12;
/** Executors in a renewal for each one with room, as not all may be allowed. */
const EXECUTORS_PER_ROOM = 2;
/** The most executors in a request, as the advice service states. */
const MAX_EXECUTORS = 100;

/** The tickets that a step needs. */
export interface TicketNeed {
  readonly executorIds: readonly string[];
  /** Those in which room is reserved for the step. */
  readonly reservedIds: readonly string[];
  /** Whether there is no room yet in which the tickets could be used. */
  readonly isSpeculative: boolean;
}

/**
 * Finds the tickets that the step needs now; null for none.
 *
 * @param executorsWithRoom executors that have or will have room for the step
 */
export function findNeededTickets(
  step: StepState,
  executorsWithRoom: readonly ExecutorState[],
  capacity: ServiceCapacity,
  round: Round,
): TicketNeed | null {
  const {queue} = step.occurrence.job;
  if (queue.advice === null) return null;
  const isSpeculative = executorsWithRoom.length === 0;
  if (isSpeculative && !mayRequestSpeculatively(step, capacity)) return null;
  if (step.isRequestingTickets) return null;
  // A gang needs all its tickets at once, so they are renewed before expiry.
  const {decisionMs, perExecutorMs} = queue.advice;
  const maxCount = maxExecutorsPerRequest(step, executorsWithRoom.length);
  const callMs = decisionMs + perExecutorMs * maxCount;
  const atMs = step.spec.isGang ? round.nowMs + callMs : round.nowMs;
  if (isSpeculative && holdsAnyTicket(step, capacity, atMs)) return null;
  const lacksTicket = (each: ExecutorState): boolean =>
    mayBePermitted(step, each) && !holdsRequiredTicket(step, each, atMs);
  const wanted = new Set<string>();
  for (const each of executorsWithRoom) {
    if (wanted.size < maxCount && lacksTicket(each)) wanted.add(each.info.id);
  }
  if (!isSpeculative && wanted.size === 0) return null;
  for (const each of capacity.byFreeCpu()) {
    if (wanted.size >= maxCount) break;
    if (lacksTicket(each)) wanted.add(each.info.id);
  }
  if (wanted.size === 0) return null;
  const reservedIds = executorsWithRoom.map(({info}) => info.id);
  return {executorIds: [...wanted], reservedIds, isSpeculative};
}

/** Whether the step holds a ticket that it could use, given room. */
function holdsAnyTicket(
  step: StepState,
  {schedulable}: ServiceCapacity,
  atMs: number,
): boolean {
  for (const {validUntilMs} of step.tickets.values()) {
    if (validUntilMs <= atMs) continue;
    return schedulable.some(
      each => isCompatible(step, each) && holdsRequiredTicket(step, each, atMs),
    );
  }
  return false;
}

/**
 * The first tickets have to come soon. Later, a step that needs many executors
 * gets them by a few long calls sooner than by many short ones.
 */
function maxExecutorsPerRequest(
  {checkedExecutors}: StepState,
  withRoomCount: number,
): number {
  if (checkedExecutors.size === 0) return FIRST_EXECUTORS;
  const count = withRoomCount * EXECUTORS_PER_ROOM;
  return Math.min(MAX_EXECUTORS, Math.max(MIN_RENEWAL_EXECUTORS, count));
}

/** Whom a reservation binds besides the ticket requests of non-urgent steps. */
export interface Hold {
  /** Whether later steps may not start tasks there either. */
  readonly isHard: boolean;
  /** Whether urgent steps may nevertheless, and may request tickets. */
  readonly mayUrgentPass: boolean;
  /** Whether urgent steps that hold tickets may nevertheless. */
  readonly mayUrgentStart: boolean;
}

/**
 * Reserves free capacity for the step, so that later steps of the round don't
 * request tickets for it too.
 *
 * @param hold whom the reservation binds
 * @returns the executors; empty where there is no room, or not enough for the
 *     whole gang
 */
export function reserveCapacity(
  step: StepState,
  wanted: number,
  capacity: ServiceCapacity,
  hold: Hold,
  round: Round,
): readonly ExecutorState[] {
  if (!mayFit(step, capacity)) return [];
  const {priority, service} = step.occurrence.job.queue;
  const {schedulable} = capacity;
  const others =
    priority === URGENT_PRIORITY
      ? round.ticketReservedFromUrgent
      : round.ticketReserved;
  const countFitting = (executor: ExecutorState): number => {
    if (round.withheld.has(executor)) return 0;
    const reserved = others.get(executor) ?? NOTHING_RESERVED;
    return countFittingTasks(step, executor, reserved);
  };
  const shares = [
    ...shareTasks(
      step,
      wanted,
      round.openExecutors.in(schedulable, service, others),
      countFitting,
    ),
  ];
  if (step.spec.isGang && sumCounts(shares) < wanted) return [];
  for (const {executor, count} of shares) {
    reserve(round.ticketReserved, executor, step.spec, count);
    if (!hold.mayUrgentPass) {
      reserve(round.ticketReservedFromUrgent, executor, step.spec, count);
    }
    if (!hold.isHard) continue;
    reserve(round.reserved, executor, step.spec, count);
    if (hold.mayUrgentPass || hold.mayUrgentStart) continue;
    reserve(round.reservedFromUrgent, executor, step.spec, count);
  }
  if (shares.length > 0) {
    round.openExecutors.update(schedulable, service, others);
  }
  return shares.map(({executor}) => executor);
}

/** How many tasks of a step an executor takes. */
interface TaskShare {
  readonly executor: ExecutorState;
  readonly count: number;
}

/**
 * Shares tasks of the step among executors that may be permitted, in order,
 * until none is left.
 *
 * @param countFitting how many of them fit on an executor
 */
function* shareTasks(
  step: StepState,
  wanted: number,
  executors: Iterable<ExecutorState>,
  countFitting: (executor: ExecutorState) => number,
): Generator<TaskShare> {
  let missing = wanted;
  for (const executor of executors) {
    if (missing <= 0) return;
    const count = Math.min(missing, countFitting(executor));
    // Most executors have no room under load, which is cheaper to find out.
    if (count <= 0 || !mayBePermitted(step, executor)) continue;
    yield {executor, count};
    missing -= count;
  }
}

function sumCounts(shares: Iterable<TaskShare>): number {
  let sum = 0;
  for (const {count} of shares) sum += count;
  return sum;
}

/**
 * Whether tasks of the step fit on executors that may be permitted.
 *
 * @param countFitting how many of them fit on an executor
 */
export function doTasksFit(
  step: StepState,
  wanted: number,
  executors: Iterable<ExecutorState>,
  countFitting: (executor: ExecutorState) => number,
): boolean {
  const shares = shareTasks(step, wanted, executors, countFitting);
  return sumCounts(shares) >= wanted;
}

/** Whether the step is permitted there or the advice service was not asked. */
export function mayBePermitted(
  step: StepState,
  executor: ExecutorState,
): boolean {
  if (!isCompatible(step, executor)) return false;
  return (
    !step.checkedExecutors.has(executor.info.id) || isPermitted(step, executor)
  );
}

/**
 * Whether a step without room may request tickets. Its first request tells
 * early where it may run; after that, only the first steps in the order renew
 * their tickets without room.
 */
function mayRequestSpeculatively(
  {checkedExecutors}: StepState,
  capacity: ServiceCapacity,
): boolean {
  if (checkedExecutors.size === 0) return true;
  if (capacity.renewalsLeft <= 0) return false;
  capacity.renewalsLeft -= 1;
  return true;
}
