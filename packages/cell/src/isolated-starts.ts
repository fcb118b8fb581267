/** Chooses executors on which suspects of crashes can start. */
import {countNewRuns, hasCrashedOn, isSuspect} from './crash-suspects.js';
import type {ExecutorState} from './executor-state.js';
import type {StepState, TaskState} from './job-state.js';
import {countFittingTasks, holdsRequiredTicket} from './placement.js';
import type {RankedStep} from './queue-order.js';
import type {Round, StartRound} from './round.js';
import {leavesHeadroom, type ServiceCapacity} from './service-capacity.js';
import {mayBePermitted} from './ticket-needs.js';

/** Largest share of a service's executors that suspects use at a time. */
const MAX_ISOLATED_SHARE = 0.5;
/** Cost of a task that a crash would end; waiting for a new run costs 1. */
const NEIGHBOUR_COST = 0.1;
/** Cost of the VM that crashed last under the task. */
const PRIOR_CRASH_COST = 8;

/**
 * Withholds executors for suspects from all other tasks of the round: those on
 * which one has just started, and one for each that waits. Gangs need too many
 * executors at once; other tasks may have just started beside them.
 *
 * @param mayStart whether a waiting task may be started now
 */
export function withholdForSuspects(
  ranked: readonly RankedStep[],
  round: Round,
  mayStart: (task: TaskState) => boolean,
): void {
  for (const executor of round.state.crashes.executorsWithIsolatedStarts()) {
    round.withheld.add(executor);
  }
  for (const each of ranked) {
    const {spec, occurrence, tasks} = each.step;
    if (spec.isGang || !tasks.some(isSuspect)) continue;
    const capacity = round.services.get(occurrence.job.queue.service);
    if (capacity === undefined) continue;
    for (const task of tasks) {
      if (!isSuspect(task) || !mayStart(task)) continue;
      withholdForTask(task, each, capacity, round);
    }
  }
}

function withholdForTask(
  task: TaskState,
  ranked: RankedStep,
  capacity: ServiceCapacity,
  round: Round,
): void {
  const {step} = ranked;
  const {organisation} = step.occurrence.job;
  if (!leavesHeadroom(ranked, capacity)) return;
  if (!round.state.organisations.mayRun(organisation, step.spec.size, 1)) {
    return;
  }
  const {schedulable} = capacity;
  const withheldCount = schedulable.filter(e => round.withheld.has(e)).length;
  const maxCount = Math.max(1, schedulable.length * MAX_ISOLATED_SHARE);
  if (withheldCount >= maxCount) {
    round.isolatedExecutors.set(task, null);
    return;
  }
  const executor = chooseIsolatedExecutor(task, capacity, round);
  if (executor === null) return;
  round.withheld.add(executor);
  round.isolatedExecutors.set(task, executor);
}

/** Prefers executors where the task can start at once, with few tasks. */
function chooseIsolatedExecutor(
  task: TaskState,
  {schedulable}: ServiceCapacity,
  {withheld, nowMs}: Round,
): ExecutorState | null {
  const {step} = task;
  let best: ExecutorState | null = null;
  let bestCost = Infinity;
  for (const executor of schedulable) {
    if (withheld.has(executor) || !mayBePermitted(step, executor)) continue;
    if (countFittingTasks(step, executor) <= 0) continue;
    const needsTicket = !holdsRequiredTicket(step, executor, nowMs);
    const cost =
      (needsTicket ? 1 : 0) +
      countNewRuns(executor) +
      (hasCrashedOn(task, executor) ? PRIOR_CRASH_COST : 0) +
      NEIGHBOUR_COST * executor.tasks.size;
    if (cost >= bestCost) continue;
    best = executor;
    bestCost = cost;
  }
  return best;
}

/** The executors withheld for tasks of the step that have not started. */
export function isolatedExecutorsOf(
  {tasks}: StepState,
  {isolatedExecutors}: Round,
): readonly ExecutorState[] {
  if (isolatedExecutors.size === 0) return [];
  const executors: ExecutorState[] = [];
  for (const task of tasks) {
    const executor = isolatedExecutors.get(task) ?? null;
    if (task.phase === 'waiting' && executor !== null) executors.push(executor);
  }
  return executors;
}

/** Whether the suspect can start now on the executor withheld for it. */
export function canStartIsolated(
  {step}: TaskState,
  executor: ExecutorState | null,
  {nowMs}: StartRound,
): boolean {
  return (
    executor !== null &&
    countNewRuns(executor) === 0 &&
    holdsRequiredTicket(step, executor, nowMs) &&
    countFittingTasks(step, executor) > 0
  );
}
