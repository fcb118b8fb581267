/** One round of decisions: what starts where, what stops, what is asked. */
import type {CellState} from './cell-state.js';
import {countedCpu, type ExecutorState} from './executor-state.js';
import type {StepState, TaskState} from './job-state.js';
import {holdExecutors, isLarge, stopForRoom} from './make-room.js';
import {chooseExecutor, chooseGang} from './place.js';
import {
  orderSteps,
  precedence,
  WORTHLESS,
  type RankedStep,
} from './queue-order.js';
import type {Round, RoundContext} from './round.js';
import {
  countServices,
  isWithinHeadroom,
  mayFit,
  URGENT_PRIORITY,
  type ServiceRoom,
} from './service-room.js';
import {claimRoom, ticketsToGet, type TicketNeed} from './ticket-needs.js';

/** Waiting tasks of one step that are looked at in one round. */
const TASKS_PER_ROUND = 200;

/** What the owner has to do; starts and stops are counted already. */
export type Decision =
  | {readonly kind: 'start'; readonly tasks: readonly TaskState[]}
  | ({
      readonly kind: 'advise';
      readonly step: StepState;
      /** Lower goes first. */
      readonly precedence: number;
    } & TicketNeed);

/**
 * Decides what happens now; each decision is counted before it is yielded.
 *
 * @example
 * for (const decision of decideRound(state, context)) carryOut(decision);
 */
export function* decideRound(
  state: CellState,
  context: RoundContext,
): Generator<Decision> {
  const ready = [...state.readySteps(context.wallMs)].filter(
    step => hasWaiting(step, context.nowMs) && !context.isUnsure(step),
  );
  if (ready.length === 0) return;
  const round: Round = {
    ...context,
    state,
    reserved: new Set(),
    promised: new Map(),
    claimed: new Map(),
    services: countServices(state, context.nowMs),
  };
  for (const ranked of orderSteps(ready, state.estimates, context.wallMs)) {
    yield* decideStep(ranked, round);
  }
}

/** Whether a task of the step could be started now. */
function hasWaiting({tasks}: StepState, nowMs: number): boolean {
  return tasks.some(task => isWaiting(task, nowMs));
}

function isWaiting(task: TaskState, nowMs: number): boolean {
  const {phase, notBeforeMs, strays} = task;
  return phase === 'waiting' && notBeforeMs <= nowMs && strays === 0;
}

function* decideStep(ranked: RankedStep, round: Round): Generator<Decision> {
  const {step} = ranked;
  const room = round.services.get(step.occurrence.job.queue.service);
  if (room === undefined) return;
  const missing = step.spec.isGang
    ? yield* decideGang(step, room, round)
    : yield* decideTasks(ranked, room, round);
  // A ticket would end before a step that is held back could use it.
  if (missing === 0 || !isWithinHeadroom(ranked, room)) return;
  const targets = findRoom(ranked, missing, room, round);
  const need = ticketsToGet(step, targets, room, round);
  if (need === null) return;
  yield {kind: 'advise', step, precedence: precedence(ranked), ...need};
}

/** Where there is room for the step, or will be; else room is kept for it. */
function findRoom(
  ranked: RankedStep,
  wanted: number,
  room: ServiceRoom,
  round: Round,
): readonly ExecutorState[] {
  const {step, standing} = ranked;
  const made = stopForRoom(ranked, wanted, room, round);
  if (made.length > 0) return made;
  const earns = standing !== WORTHLESS;
  // Small tasks would starve a gang or a task that needs much of an executor.
  const isLargeStep = earns && (step.spec.isGang || isLarge(step, room));
  const isUrgent = earns && ranked.priority === URGENT_PRIORITY;
  const isHeld = isLargeStep || isUrgent;
  const claims = claimRoom(step, wanted, room, isHeld, round);
  if (claims.length === 0 && isLargeStep) {
    holdExecutors(step, wanted, room, round);
  }
  return claims;
}

/**
 * Starts what has room and tickets.
 *
 * @returns how many more tasks wait for room or tickets
 */
function* decideTasks(
  ranked: RankedStep,
  room: ServiceRoom,
  round: Round,
): Generator<Decision, number> {
  const {step} = ranked;
  const {spec, occurrence} = step;
  const {organisations} = round.state;
  const {organisation} = occurrence.job;
  const started: TaskState[] = [];
  const isPossible = mayFit(step, room);
  let missing = 0;
  for (const task of step.tasks) {
    if (started.length + missing >= TASKS_PER_ROUND) break;
    if (!isWaiting(task, round.nowMs)) continue;
    if (!organisations.mayRun(organisation, spec.size, 1)) break;
    if (!isWithinHeadroom(ranked, room)) break;
    const mayStart = isPossible && missing === 0;
    const executor = mayStart ? chooseExecutor(task, room.open, round) : null;
    if (executor === null) {
      missing += 1;
      continue;
    }
    const run = round.state.nextRun([task]);
    round.state.startTask(task, executor, run, round.nowMs);
    room.freeCpu -= countedCpu(spec);
    started.push(task);
  }
  if (started.length > 0) yield {kind: 'start', tasks: started};
  return missing;
}

function* decideGang(
  step: StepState,
  room: ServiceRoom,
  round: Round,
): Generator<Decision, number> {
  const {tasks, spec, occurrence} = step;
  if (!tasks.every(task => isWaiting(task, round.nowMs))) return 0;
  const {organisations} = round.state;
  const {organisation} = occurrence.job;
  if (!organisations.mayRun(organisation, spec.size, tasks.length)) return 0;
  const chosen = mayFit(step, room) ? chooseGang(step, room.open, round) : null;
  if (chosen === null) return tasks.length;
  const run = round.state.nextRun(tasks);
  tasks.forEach((task, i) => {
    const executor = chosen[i];
    if (executor === undefined) return;
    round.state.startTask(task, executor, run, round.nowMs);
  });
  yield {kind: 'start', tasks};
  return 0;
}
