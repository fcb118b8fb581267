/** One scheduling round: starts, preemptions and ticket requests. */
import type {CellState} from './cell-state.js';
import {allocatedCpuMilli, type ExecutorState} from './executor-state.js';
import {
  findEarlyNeeds,
  requestEarlyTickets,
  type EarlyNeeds,
} from './early-tickets.js';
import type {StepState, TaskState} from './job-state.js';
import {
  withholdExecutors,
  isLargeTask,
  preemptFor,
} from './reserve-capacity.js';
import {
  candidatesFor,
  chooseExecutor,
  chooseGang,
  URGENT_PRIORITY,
} from './placement.js';
import {measurePressure} from './overload/index.js';
import {ticketPrecedence, TOO_LATE, type RankedStep} from './queue-order.js';
import {isSuspect} from './crash-suspects.js';
import {
  canStartIsolated,
  isolatedExecutorsOf,
  withholdForSuspects,
} from './isolated-starts.js';
import {holdsRoom, overdueFirst, recordRoom, resetRoom} from './overdue.js';
import {OpenExecutors, smallestTasks} from './room/index.js';
import type {Round, RoundContext} from './round.js';
import {
  summarizeServices,
  leavesHeadroom,
  mayFit,
  type ServiceCapacity,
} from './service-capacity.js';
import {mayRequestTickets, takeTicketRequest} from './ticket-budget.js';
import {reserveCapacity, findNeededTickets} from './ticket-needs.js';
import type {TicketRequest} from './ticket-requester.js';

/** The most waiting tasks of one step that one round considers. */
const TASKS_PER_ROUND = 200;

/** What the owner has to carry out; the state already reflects it. */
export type Decision =
  | {readonly kind: 'start'; readonly tasks: readonly TaskState[]}
  | ({readonly kind: 'advise'} & TicketRequest);

/** What became of a step in a round. */
interface Pass {
  readonly started: number;
  /** How many more of its tasks wait for room or tickets. */
  readonly missing: number;
}

const NO_PASS: Pass = {started: 0, missing: 0};

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
  const round: Round = {
    ...context,
    state,
    withheld: new Set(),
    reserved: new Map(),
    reservedFromUrgent: new Map(),
    ticketReserved: new Map(),
    ticketReservedFromUrgent: new Map(),
    isolatedExecutors: new Map(),
    services: summarizeServices(state, context.nowMs),
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

function isStartable(task: TaskState, context: RoundContext): boolean {
  const {phase, notBeforeMs, orphanCount} = task;
  if (phase !== 'waiting' || orphanCount > 0) return false;
  return notBeforeMs <= context.nowMs && !context.mayHaveUnknownRuns(task);
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
  const {started, missing} = step.spec.isGang
    ? yield* scheduleGang(step, capacity, round)
    : yield* scheduleTasks(ranked, capacity, round);
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
    },
    round,
  );
  if (executors.length === 0 && isLargeStep) {
    withholdExecutors(step, wanted, capacity, round);
  }
  return executors;
}

/** Starts the tasks that have room and tickets. */
function* scheduleTasks(
  ranked: RankedStep,
  capacity: ServiceCapacity,
  round: Round,
): Generator<Decision, Pass> {
  const {step} = ranked;
  const {spec, occurrence} = step;
  const {organisations} = round.state;
  const {organisation} = occurrence.job;
  const started: TaskState[] = [];
  const isPossible = mayFit(step, capacity);
  const maxCount = maxTasksPerRound(ranked);
  const candidates = isPossible
    ? candidatesFor(step, capacity.schedulable, round)
    : [];
  let missing = 0;
  let isFull = !isPossible;
  for (const task of step.tasks) {
    if (started.length + missing >= maxCount) break;
    if (!isStartable(task, round)) continue;
    if (!organisations.mayRun(organisation, spec.size, 1)) break;
    if (!leavesHeadroom(ranked, capacity)) break;
    const isolated = round.isolatedExecutors.get(task);
    if (isolated !== undefined && !canStartIsolated(task, isolated, round)) {
      continue;
    }
    const mayChoose = isolated === undefined && !isSuspect(task) && !isFull;
    const executor =
      isolated ?? (mayChoose ? chooseExecutor(task, candidates, round) : null);
    if (executor === null) {
      missing += 1;
      isFull ||= mayChoose;
      continue;
    }
    const run = round.state.nextRun([task]);
    round.state.startTask(task, executor, run, round.nowMs);
    capacity.freeCpuMilli -= allocatedCpuMilli(spec);
    started.push(task);
  }
  if (started.length > 0) yield {kind: 'start', tasks: started};
  return {started: started.length, missing};
}

/** Before its turn, a step gets no more than its job needs to get on. */
function maxTasksPerRound({step, isOverdue}: RankedStep): number {
  return isOverdue && !step.spec.isService ? 1 : TASKS_PER_ROUND;
}

function* scheduleGang(
  step: StepState,
  capacity: ServiceCapacity,
  round: Round,
): Generator<Decision, Pass> {
  const {tasks, spec, occurrence} = step;
  if (!tasks.every(task => isStartable(task, round))) return NO_PASS;
  const {organisations} = round.state;
  const {organisation} = occurrence.job;
  if (!organisations.mayRun(organisation, spec.size, tasks.length)) {
    return NO_PASS;
  }
  const chosen = mayFit(step, capacity)
    ? chooseGang(step, candidatesFor(step, capacity.schedulable, round), round)
    : null;
  if (chosen === null) return {started: 0, missing: tasks.length};
  const run = round.state.nextRun(tasks);
  tasks.forEach((task, i) => {
    const executor = chosen[i];
    if (executor === undefined) return;
    round.state.startTask(task, executor, run, round.nowMs);
  });
  yield {kind: 'start', tasks};
  return {started: tasks.length, missing: 0};
}
