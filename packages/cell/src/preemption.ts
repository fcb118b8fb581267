/** Preemption: which running tasks to stop for more urgent work. */
import {allocatedCpuMilli, type ExecutorState} from './executor-state.js';
import type {StepState, TaskState} from './job-state.js';
import {
  countFittingIn,
  countTasksOn,
  freeResources,
  isCompatible,
  isSchedulable,
  isPermitted,
  reservedFrom,
  type PlacementContext,
} from './placement.js';
import {NOTHING_RESERVED, type ResourceAmounts} from './resource-amounts.js';

/** Room on one executor for some tasks of a step, partly by preemption. */
export interface PreemptionPlan {
  readonly executor: ExecutorState;
  /** Tasks to stop; empty where tasks that already stop free enough. */
  readonly victims: readonly TaskState[];
  /** How many tasks of the step fit afterwards. */
  readonly count: number;
}

/**
 * Plans room for tasks of a step by preempting less urgent ones that save
 * their progress. Resources of tasks that are already stopping count as free,
 * so that repeated rounds don't preempt again for the same step.
 *
 * @returns plans for up to `wanted` tasks; empty where there is no room, and
 *     for a gang that does not fit as a whole
 * @example
 * const plans = planPreemption(step, step.tasks.length, executors, context);
 */
export function planPreemption(
  step: StepState,
  wanted: number,
  executors: Iterable<ExecutorState>,
  context: PlacementContext,
): readonly PreemptionPlan[] {
  const plans: PreemptionPlan[] = [];
  let missing = wanted;
  for (const plan of candidatePlans(step, wanted, executors, context)) {
    if (missing === 0) break;
    const count = Math.min(plan.count, missing);
    plans.push({...plan, count});
    missing -= count;
  }
  return step.spec.isGang && missing > 0 ? [] : plans;
}

function candidatePlans(
  step: StepState,
  wanted: number,
  executors: Iterable<ExecutorState>,
  context: PlacementContext,
): readonly PreemptionPlan[] {
  const plans: PreemptionPlan[] = [];
  for (const executor of executors) {
    const {nowMs, withheld} = context;
    // The cheapest check that leaves out most executors goes first.
    if (!isPermitted(step, executor) || withheld.has(executor)) continue;
    if (!isSchedulable(executor, nowMs)) continue;
    if (!isCompatible(step, executor)) continue;
    const plan = planOnExecutor(step, wanted, executor, context);
    if (plan !== null) plans.push(plan);
  }
  return plans.sort(
    (a, b) => a.victims.length / a.count - b.victims.length / b.count,
  );
}

type MutableAmounts = {-readonly [Part in keyof ResourceAmounts]: number};

function planOnExecutor(
  step: StepState,
  wanted: number,
  executor: ExecutorState,
  context: PlacementContext,
): PreemptionPlan | null {
  const free = freeAfterStops(
    executor,
    reservedFrom(step, context).get(executor),
  );
  const maxCount = maxNewTasks(step, wanted, executor);
  const victims: TaskState[] = [];
  let count = Math.min(maxCount, countFittingIn(step.spec, free));
  for (const victim of findVictims(step, executor)) {
    if (count >= maxCount) break;
    addTaskSize(free, victim);
    victims.push(victim);
    count = Math.min(maxCount, countFittingIn(step.spec, free));
  }
  return count > 0 ? {executor, victims, count} : null;
}

function maxNewTasks(
  step: StepState,
  wanted: number,
  executor: ExecutorState,
): number {
  const {maxPerExecutor} = step.spec;
  if (maxPerExecutor === 0) return wanted;
  return Math.min(wanted, maxPerExecutor - countTasksOn(step, executor));
}

function freeAfterStops(
  executor: ExecutorState,
  reserved: ResourceAmounts | undefined,
): MutableAmounts {
  const free: MutableAmounts = {
    ...freeResources(executor, reserved ?? NOTHING_RESERVED),
  };
  for (const task of executor.tasks) {
    if (task.phase === 'stopping') addTaskSize(free, task);
  }
  return free;
}

function addTaskSize(free: MutableAmounts, {step}: TaskState): void {
  free.cpuMilli += allocatedCpuMilli(step.spec);
  free.memMb += step.spec.size.memMb;
  free.accel += step.spec.size.accel;
}

/** Tasks that may be preempted for the step, the least urgent first. */
function findVictims(
  step: StepState,
  executor: ExecutorState,
): readonly TaskState[] {
  const {priority} = step.occurrence.job.queue;
  const victims = [...executor.tasks].filter(
    task => isPreemptible(task) && priorityOf(task) > priority,
  );
  return victims.sort(
    (a, b) => priorityOf(b) - priorityOf(a) || b.startedMs - a.startedMs,
  );
}

/** Whether a running task may be preempted without losing work. */
export function isPreemptible({phase, step}: TaskState): boolean {
  const {savesProgress, isService, isGang} = step.spec;
  return phase === 'running' && savesProgress && !isService && !isGang;
}

function priorityOf({step}: TaskState): number {
  return step.occurrence.job.queue.priority;
}
