/** Placement: one executor for a task, a set of executors for a gang. */
import type {CellState} from './cell-state.js';
import {hasCrashedOn} from './crash-suspects.js';
import {coldCost, coldness} from './evacuation/index.js';
import {
  allocatedCpuMilli,
  hasRoom,
  isDescriptionCurrent,
  type ExecutorState,
} from './executor-state.js';
import type {StepState, TaskState} from './job-state.js';
import {
  addAmounts,
  allocatedAmounts,
  NOTHING_RESERVED,
  type ResourceAmounts,
} from './resource-amounts.js';
import type {StepSpec} from './types.js';

/** Queues of this priority may use the headroom. */
export const URGENT_PRIORITY = 0;
/** Cost of an executor that is not on the rack that holds the data. */
const REMOTE_RACK_COST = 2;
/** Cost of one unit of slowness; an entirely free executor costs 1. */
const SLOWNESS_WEIGHT = 2;
/** The same for non-urgent work, which is packed rather than spread. */
const NON_URGENT_SLOWNESS_WEIGHT = 0.5;
/** Cost per filler beside a task with a latency target, or the reverse. */
const INTERFERENCE_COST = 4;
/** Cost of the executor on which the task failed, or its run was lost, last. */
const PRIOR_FAILURE_COST = 8;

/** What placement depends on besides the executors and the task. */
export interface PlacementContext {
  readonly nowMs: number;
  readonly state: Pick<CellState, 'executors'>;
  /** Executors withheld for earlier steps of the round. */
  readonly withheld: ReadonlySet<ExecutorState>;
  /** Resources reserved in this round, on top of those in use. */
  readonly reserved: ReadonlyMap<ExecutorState, ResourceAmounts>;
  /** The part of these that urgent work may not use either. */
  readonly reservedFromUrgent: ReadonlyMap<ExecutorState, ResourceAmounts>;
}

/** Reserves resources for `count` tasks of a step on an executor. */
export function reserve(
  reserved: Map<ExecutorState, ResourceAmounts>,
  executor: ExecutorState,
  spec: StepSpec,
  count: number,
): void {
  const known = reserved.get(executor) ?? NOTHING_RESERVED;
  reserved.set(executor, addAmounts(known, allocatedAmounts(spec, count)));
}

/** Whether new tasks may be placed on the executor at all. */
export function isSchedulable(executor: ExecutorState, nowMs: number): boolean {
  return !executor.isHeld && isSchedulableSoon(executor, nowMs);
}

/**
 * Whether they may be as soon as the next record of the owner is stored.
 *
 * @example
 * const usable = executors.filter(each => isSchedulableSoon(each, nowMs));
 */
export function isSchedulableSoon(
  executor: ExecutorState,
  nowMs: number,
): boolean {
  return (
    executor.isListed &&
    executor.isReached &&
    isDescriptionCurrent(executor) &&
    executor.missedRenewals === 0 &&
    (!executor.isHeld || executor.isHeldBriefly) &&
    !executor.info.isDraining &&
    !executor.isDomainClosed &&
    executor.avoidUntilMs <= nowMs &&
    executor.pausedUntilMs <= nowMs
  );
}

/** Whether service, label and total capacity allow the step to run there. */
export function isCompatible(
  step: StepState,
  executor: ExecutorState,
): boolean {
  const {spec, occurrence} = step;
  const {info} = executor;
  if (info.service !== occurrence.job.queue.service) return false;
  const label = spec.requiredLabel;
  if (label !== '' && !info.labels.includes(label)) return false;
  return (
    allocatedCpuMilli(spec) <= info.capacity.cpuMilli &&
    spec.size.memMb <= info.capacity.memMb &&
    spec.size.accel <= info.capacity.accel
  );
}

/** Whether the step needs no ticket to start there, or holds a valid one. */
export function holdsRequiredTicket(
  step: StepState,
  executor: ExecutorState,
  nowMs: number,
): boolean {
  if (step.occurrence.job.queue.advice === null) return true;
  const ticket = step.tickets.get(executor.info.id);
  return ticket !== undefined && ticket.validUntilMs > nowMs;
}

/** Whether the step may run there as far as the advice service decides. */
export function isPermitted(step: StepState, executor: ExecutorState): boolean {
  if (step.occurrence.job.queue.advice === null) return true;
  return step.allowed.has(executor.info.id);
}

/** Counts the tasks of the step that are placed on the executor. */
export function countTasksOn(step: StepState, executor: ExecutorState): number {
  let count = 0;
  for (const task of executor.tasks) if (task.step === step) count += 1;
  return count;
}

/**
 * The executors on which the step may start: all, or those for which it holds
 * a valid ticket, where it needs one.
 */
export function candidatesFor(
  step: StepState,
  executors: readonly ExecutorState[],
  {nowMs, state}: PlacementContext,
): readonly ExecutorState[] {
  if (step.occurrence.job.queue.advice === null) return executors;
  const candidates: ExecutorState[] = [];
  for (const [id, {validUntilMs}] of step.tickets) {
    const executor = validUntilMs > nowMs ? state.executors.get(id) : undefined;
    if (executor !== undefined) candidates.push(executor);
  }
  return candidates;
}

/**
 * Chooses the executor for one task.
 *
 * @returns null where no executor has room
 * @example
 * const executor = chooseExecutor(task, candidates, context);
 */
export function chooseExecutor(
  task: TaskState,
  executors: Iterable<ExecutorState>,
  context: PlacementContext,
): ExecutorState | null {
  let best: ExecutorState | null = null;
  let bestCost = Infinity;
  for (const executor of executors) {
    if (!canStart(task.step, executor, context)) continue;
    const cost = placementCost(task, executor, context.nowMs);
    if (cost >= bestCost) continue;
    best = executor;
    bestCost = cost;
  }
  return best;
}

/** Whether a task of the step can be started there now. */
export function canStart(
  step: StepState,
  executor: ExecutorState,
  context: PlacementContext,
): boolean {
  const {nowMs, withheld} = context;
  if (!isSchedulable(executor, nowMs) || withheld.has(executor)) return false;
  if (!hasRoom(executor, step.spec)) return false;
  if (!isCompatible(step, executor)) return false;
  if (!holdsRequiredTicket(step, executor, nowMs)) return false;
  const held = reservedFrom(step, context).get(executor);
  if (held !== undefined && !fitsBeside(step, executor, held)) return false;
  const {maxPerExecutor} = step.spec;
  return maxPerExecutor === 0 || countTasksOn(step, executor) < maxPerExecutor;
}

/** What earlier steps of the round reserved, as far as it binds the step. */
export function reservedFrom(
  {occurrence}: StepState,
  {reserved, reservedFromUrgent}: PlacementContext,
): ReadonlyMap<ExecutorState, ResourceAmounts> {
  const isUrgent = occurrence.job.queue.priority === URGENT_PRIORITY;
  return isUrgent ? reservedFromUrgent : reserved;
}

function fitsBeside(
  {spec}: StepState,
  executor: ExecutorState,
  held: ResourceAmounts,
): boolean {
  const {capacity} = executor.info;
  const {usedCpuMilli, usedMemMb, usedAccel} = executor;
  return (
    usedCpuMilli + held.cpuMilli + allocatedCpuMilli(spec) <=
      capacity.cpuMilli &&
    usedMemMb + held.memMb + spec.size.memMb <= capacity.memMb &&
    usedAccel + held.accel + spec.size.accel <= capacity.accel
  );
}

function placementCost(
  task: TaskState,
  executor: ExecutorState,
  nowMs: number,
): number {
  const {spec} = task.step;
  const {capacity, rack} = executor.info;
  const free = freeShare(executor);
  let cost = free;
  const {priority} = task.step.occurrence.job.queue;
  const isUrgent = priority === URGENT_PRIORITY;
  const slownessWeight = isUrgent
    ? SLOWNESS_WEIGHT
    : NON_URGENT_SLOWNESS_WEIGHT;
  cost += slownessWeight * executor.slowness;
  cost += coldCost(executor, nowMs, slownessWeight, 1 - free);
  if (spec.rack !== '' && spec.rack !== rack) cost += REMOTE_RACK_COST;
  if (spec.size.accel === 0 && capacity.accel > 0) cost += 1;
  if (spec.isFiller) cost += INTERFERENCE_COST * countLatencyTasks(executor);
  if (spec.targetMs > 0) {
    cost += INTERFERENCE_COST * countFillers(executor);
  }
  if (task.lastFailedOn === executor.info.id || hasCrashedOn(task, executor)) {
    cost += PRIOR_FAILURE_COST;
  }
  return cost;
}

/** The free share of an executor's scarcest resource, 0 to 1. */
function freeShare({
  info,
  usedCpuMilli,
  usedMemMb,
  usedAccel,
}: ExecutorState): number {
  const {cpuMilli, memMb, accel} = info.capacity;
  const cpu = 1 - usedCpuMilli / Math.max(1, cpuMilli);
  const mem = 1 - usedMemMb / Math.max(1, memMb);
  const free = Math.min(cpu, mem);
  return accel === 0 ? free : Math.min(free, 1 - usedAccel / accel);
}

function countLatencyTasks({tasks}: ExecutorState): number {
  let count = 0;
  for (const {step} of tasks) if (step.spec.targetMs > 0) count += 1;
  return count;
}

function countFillers({tasks}: ExecutorState): number {
  let count = 0;
  for (const {step} of tasks) if (step.spec.isFiller) count += 1;
  return count;
}

/**
 * Chooses executors for all tasks of a gang at once.
 *
 * @returns one executor for each task, or null where they do not all fit
 * @example
 * const executors = chooseGang(step, candidates, context);
 */
export function chooseGang(
  step: StepState,
  executors: Iterable<ExecutorState>,
  context: PlacementContext,
): readonly ExecutorState[] | null {
  const candidates = [...executors].filter(each =>
    canStart(step, each, context),
  );
  if (step.spec.isRackSensitive) {
    for (const group of groupByRack(candidates)) {
      const chosen = placeGang(step, group, context.nowMs);
      if (chosen !== null) return chosen;
    }
  }
  return placeGang(step, candidates, context.nowMs);
}

function groupByRack(
  executors: readonly ExecutorState[],
): readonly (readonly ExecutorState[])[] {
  const groups = new Map<string, ExecutorState[]>();
  for (const executor of executors) {
    const {rack} = executor.info;
    const group = groups.get(rack);
    if (group === undefined) groups.set(rack, [executor]);
    else group.push(executor);
  }
  return [...groups.values()];
}

function placeGang(
  step: StepState,
  candidates: readonly ExecutorState[],
  nowMs: number,
): readonly ExecutorState[] | null {
  const chosen: ExecutorState[] = [];
  const sorted = [...candidates].sort(
    (a, b) =>
      coldness(a, nowMs) - coldness(b, nowMs) ||
      a.slowness - b.slowness ||
      freeShare(a) - freeShare(b),
  );
  for (const executor of sorted) {
    const fits = Math.min(
      countFittingTasks(step, executor),
      step.tasks.length - chosen.length,
    );
    for (let i = 0; i < fits; i += 1) chosen.push(executor);
    if (chosen.length === step.tasks.length) return chosen;
  }
  return null;
}

/** Counts the tasks of the step that fit in what is free and not reserved. */
export function countFittingTasks(
  step: StepState,
  executor: ExecutorState,
  reserved: ResourceAmounts = NOTHING_RESERVED,
): number {
  const {spec} = step;
  if (!hasRoom(executor, spec)) return 0;
  const fits = countFittingIn(spec, freeResources(executor, reserved));
  const {maxPerExecutor} = spec;
  if (maxPerExecutor === 0) return fits;
  return Math.min(fits, maxPerExecutor - countTasksOn(step, executor));
}

/** The resources of an executor that are neither in use nor reserved. */
export function freeResources(
  {info, usedCpuMilli, usedMemMb, usedAccel}: ExecutorState,
  reserved: ResourceAmounts,
): ResourceAmounts {
  const {cpuMilli, memMb, accel} = info.capacity;
  return {
    cpuMilli: cpuMilli - usedCpuMilli - reserved.cpuMilli,
    memMb: memMb - usedMemMb - reserved.memMb,
    accel: accel - usedAccel - reserved.accel,
  };
}

/** Counts the tasks of a step that fit in the given amounts. */
export function countFittingIn(
  spec: StepSpec,
  amounts: ResourceAmounts,
): number {
  return Math.min(
    countFittingUnits(amounts.cpuMilli, allocatedCpuMilli(spec)),
    countFittingUnits(amounts.memMb, spec.size.memMb),
    countFittingUnits(amounts.accel, spec.size.accel),
  );
}

function countFittingUnits(free: number, perTask: number): number {
  // As in hasRoom, nothing fits where more than the capacity is in use.
  if (free < 0) return 0;
  return perTask === 0 ? Infinity : Math.floor(free / perTask);
}
