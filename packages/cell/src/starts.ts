/** Starts the tasks of a step that have room and tickets. */
import {isSuspect} from './crash-suspects.js';
import {allocatedCpuMilli, type ExecutorState} from './executor-state.js';
import {canStartIsolated} from './isolated-starts.js';
import {isServiceStored, type StepState, type TaskState} from './job-state.js';
import {chooseExecutor, chooseGang} from './placement.js';
import type {RankedStep} from './queue-order.js';
import type {StartContext, StartRound} from './round.js';
import {leavesHeadroom, type ServiceCapacity} from './service-capacity.js';

/** The most waiting tasks of one step that one round considers. */
const TASKS_PER_ROUND = 200;

/** Tasks that the owner has to start; the state already reflects it. */
export interface StartDecision {
  readonly kind: 'start';
  readonly tasks: readonly TaskState[];
}

/** What became of a step in a round. */
export interface Pass {
  readonly started: number;
  /** How many more of its tasks wait for room or tickets. */
  readonly missing: number;
}

const NO_PASS: Pass = {started: 0, missing: 0};

/**
 * Whether a task waits and may be started.
 *
 * @example
 * const isWaiting = step.tasks.some(each => isStartable(each, context));
 */
export function isStartable(task: TaskState, context: StartContext): boolean {
  const {phase, notBeforeMs, orphanCount, step} = task;
  if (phase !== 'waiting' || orphanCount > 0) return false;
  if (!isServiceStored(step.occurrence.job)) return false;
  return notBeforeMs <= context.nowMs && !context.mayHaveUnknownRuns(task);
}

/**
 * Starts the tasks of a step that fit on the candidates.
 *
 * @param candidates executors for which the step needs no ticket or has one
 * @example
 * const {missing} = yield* startTasks(ranked, candidates, capacity, round);
 */
export function* startTasks(
  ranked: RankedStep,
  candidates: readonly ExecutorState[],
  capacity: ServiceCapacity,
  round: StartRound,
): Generator<StartDecision, Pass> {
  const {step} = ranked;
  const {spec, occurrence} = step;
  const {organisations} = round.state;
  const {organisation} = occurrence.job;
  const started: TaskState[] = [];
  const maxCount = maxTasksPerRound(ranked);
  let missing = 0;
  let isFull = candidates.length === 0;
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

/**
 * Starts all tasks of a gang if they fit on the candidates.
 *
 * @param candidates executors for which the step needs no ticket or has one
 * @example
 * const {started} = yield* startGang(step, candidates, round);
 */
export function* startGang(
  step: StepState,
  candidates: readonly ExecutorState[],
  round: StartRound,
): Generator<StartDecision, Pass> {
  const {tasks, spec, occurrence} = step;
  if (!tasks.every(task => isStartable(task, round))) return NO_PASS;
  const {organisations} = round.state;
  const {organisation} = occurrence.job;
  if (!organisations.mayRun(organisation, spec.size, tasks.length)) {
    return NO_PASS;
  }
  const chosen = chooseGang(step, candidates, round);
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
