/** Gets capacity for a waiting step, by preemption or by withholding it. */
import {allocatedCpuMilli, type ExecutorState} from './executor-state.js';
import type {StepState} from './job-state.js';
import {
  countFittingIn,
  isCompatible,
  isPermitted,
  reserve,
} from './placement.js';
import {planPreemption, type PreemptionPlan} from './preemption.js';
import {ON_TIME, type RankedStep} from './queue-order.js';
import {
  allocatedAmounts,
  subtractAmounts,
  type ResourceAmounts,
} from './resource-amounts.js';
import type {Round} from './round.js';
import type {ServiceCapacity} from './service-capacity.js';
import {doTasksFit} from './ticket-needs.js';

/** A task that takes this share of every executor of its service is large. */
const LARGE_TASK_SHARE = 0.25;
/** Largest share of a service's executors to withhold for waiting steps. */
const MAX_WITHHELD_SHARE = 0.5;

/**
 * Preempts less urgent tasks for a waiting step and reserves the capacity.
 * Nothing is preempted for work that already misses its objective.
 *
 * @returns the executors that will have room; empty for none
 */
export function preemptFor(
  {step, lateness}: RankedStep,
  wanted: number,
  capacity: ServiceCapacity,
  round: Round,
): readonly ExecutorState[] {
  const {priority} = step.occurrence.job.queue;
  if (lateness !== ON_TIME || capacity.victimPriority() <= priority) return [];
  const plans = planPreemption(step, wanted, capacity.schedulable, round);
  applyPlans(step, plans, round);
  return plans.map(({executor}) => executor);
}

/**
 * Withholds executors that the step may use from later steps of the round: as
 * many as hold the tasks of a gang, else one. Nothing is withheld for a gang
 * that would not fit on them if all their work ended.
 */
export function withholdExecutors(
  step: StepState,
  wanted: number,
  capacity: ServiceCapacity,
  {withheld}: Round,
): void {
  const withheldCount = capacity.executors.filter(each =>
    withheld.has(each),
  ).length;
  if (withheldCount >= capacity.executors.length * MAX_WITHHELD_SHARE) return;
  const wantedAtOnce = step.spec.isGang ? wanted : 1;
  const fitsIfWorkEnds = doTasksFit(
    step,
    wantedAtOnce,
    capacity.schedulable,
    each => countFittingIfWorkEnds(step, each),
  );
  if (!fitsIfWorkEnds) return;
  const usable = capacity.schedulable.filter(
    each => isCompatible(step, each) && isPermitted(step, each),
  );
  const leastUsed = usable.sort((a, b) => a.usedAccel - b.usedAccel);
  let missing = wantedAtOnce;
  for (const each of leastUsed) {
    if (missing <= 0) return;
    withheld.add(each);
    missing -= countFittingIfWorkEnds(step, each);
  }
}

function countFittingIfWorkEnds(
  {spec}: StepState,
  {info, tasks}: ExecutorState,
): number {
  let free: ResourceAmounts = info.capacity;
  for (const {step} of tasks) {
    if (!step.spec.isService) continue;
    free = subtractAmounts(free, allocatedAmounts(step.spec, 1));
  }
  const fits = Math.max(0, countFittingIn(spec, free));
  return spec.maxPerExecutor === 0 ? fits : Math.min(fits, spec.maxPerExecutor);
}

/** Whether a task is so large that small tasks could starve it. */
export function isLargeTask(
  {spec}: StepState,
  {executors}: ServiceCapacity,
): boolean {
  return executors.every(({info: {capacity}}) => {
    const cpu = allocatedCpuMilli(spec) / Math.max(1, capacity.cpuMilli);
    const mem = spec.size.memMb / Math.max(1, capacity.memMb);
    const accel = spec.size.accel / Math.max(1, capacity.accel);
    return Math.max(cpu, mem, accel) >= LARGE_TASK_SHARE;
  });
}

function applyPlans(
  step: StepState,
  plans: readonly PreemptionPlan[],
  {
    state,
    reserved,
    reservedFromUrgent,
    ticketReserved,
    ticketReservedFromUrgent,
  }: Round,
): void {
  for (const {executor, victims, count} of plans) {
    for (const victim of victims) state.stopTask(victim);
    reserve(reserved, executor, step.spec, count);
    reserve(reservedFromUrgent, executor, step.spec, count);
    reserve(ticketReserved, executor, step.spec, count);
    reserve(ticketReservedFromUrgent, executor, step.spec, count);
  }
}
