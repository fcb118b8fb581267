/** Where waiting tasks go: one executor for a task, a set for a gang. */
import {countedCpu, hasRoom, type ExecutorState} from './executor-state.js';
import type {StepState, TaskState} from './job-state.js';
import type {StepSpec} from './types.js';

/** An executor on another rack than the data counts as this much slower. */
const FAR_RACK_SLOWNESS = 2;
/** How much a unit of slowness weighs against the use of a whole executor. */
const SLOWNESS_WEIGHT = 2;
/** The same for work that can wait, which is packed rather than spread. */
const PATIENT_SLOWNESS_WEIGHT = 0.5;
/** Added for each task with a latency target beside which a task would fill. */
const BESIDE_SERVICE_PENALTY = 4;
/** Added where the last run of the task failed. */
const FAILED_HERE_PENALTY = 8;

/** What the choice of an executor depends on besides the executors. */
export interface PlaceContext {
  readonly nowMs: number;
  /** Executors that are held for work that comes first. */
  readonly reserved: ReadonlySet<ExecutorState>;
  /** Rooms promised in this round, on top of what is used. */
  readonly promised: ReadonlyMap<ExecutorState, Promised>;
}

/** Room on an executor that is promised to a step that waits for it. */
export interface Promised {
  readonly cpuMilli: number;
  readonly memMb: number;
  readonly accel: number;
}

/** For an executor on which no room is promised. */
export const NO_ROOM_PROMISED: Promised = {cpuMilli: 0, memMb: 0, accel: 0};

/** Adds room for some tasks of a step to what is promised on an executor. */
export function promise(
  promised: Map<ExecutorState, Promised>,
  executor: ExecutorState,
  spec: StepSpec,
  count: number,
): void {
  const {cpuMilli, memMb, accel} = promised.get(executor) ?? NO_ROOM_PROMISED;
  promised.set(executor, {
    cpuMilli: cpuMilli + count * countedCpu(spec),
    memMb: memMb + count * spec.size.memMb,
    accel: accel + count * spec.size.accel,
  });
}

/** Tells whether new work may go to an executor at all. */
export function mayTakeWork(executor: ExecutorState, nowMs: number): boolean {
  return (
    executor.isListed &&
    executor.isReached &&
    executor.missed === 0 &&
    !executor.info.isDraining &&
    executor.avoidUntilMs <= nowMs
  );
}

/** Tells whether the step may ever run there. */
export function isSuited(step: StepState, executor: ExecutorState): boolean {
  const {spec, occurrence} = step;
  const {info} = executor;
  if (info.service !== occurrence.job.queue.service) return false;
  const label = spec.requiredLabel;
  if (label !== '' && !info.labels.includes(label)) return false;
  return (
    countedCpu(spec) <= info.capacity.cpuMilli &&
    spec.size.memMb <= info.capacity.memMb &&
    spec.size.accel <= info.capacity.accel
  );
}

/** Tells whether the step holds what it needs to be started there. */
export function isAllowed(
  step: StepState,
  executor: ExecutorState,
  nowMs: number,
): boolean {
  if (step.occurrence.job.queue.advice === null) return true;
  const ticket = step.tickets.get(executor.info.id);
  return ticket !== undefined && ticket.validUntilMs > nowMs;
}

/** Tells whether the step may run there once it holds a ticket. */
export function mayUse(step: StepState, executor: ExecutorState): boolean {
  if (step.occurrence.job.queue.advice === null) return true;
  return step.allowed.has(executor.info.id);
}

/** How many tasks of the step are on the executor. */
export function countHere(step: StepState, executor: ExecutorState): number {
  let count = 0;
  for (const task of executor.tasks) if (task.step === step) count += 1;
  return count;
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
  context: PlaceContext,
): ExecutorState | null {
  let best: ExecutorState | null = null;
  let bestCost = Infinity;
  for (const executor of executors) {
    if (!canStart(task.step, executor, context)) continue;
    const cost = costOf(task, executor);
    if (cost >= bestCost) continue;
    best = executor;
    bestCost = cost;
  }
  return best;
}

/** Tells whether a task of the step can be started there now. */
export function canStart(
  step: StepState,
  executor: ExecutorState,
  context: PlaceContext,
): boolean {
  const {nowMs, reserved, promised} = context;
  if (!mayTakeWork(executor, nowMs) || reserved.has(executor)) return false;
  if (!hasRoom(executor, step.spec)) return false;
  if (!isSuited(step, executor)) return false;
  if (!isAllowed(step, executor, nowMs)) return false;
  const room = promised.get(executor);
  if (room !== undefined && !fitsBeside(step, executor, room)) return false;
  const {maxPerExecutor} = step.spec;
  return maxPerExecutor === 0 || countHere(step, executor) < maxPerExecutor;
}

function fitsBeside(
  {spec}: StepState,
  executor: ExecutorState,
  room: Promised,
): boolean {
  const {capacity} = executor.info;
  const {usedCpu, usedMem, usedAccel} = executor;
  return (
    usedCpu + room.cpuMilli + countedCpu(spec) <= capacity.cpuMilli &&
    usedMem + room.memMb + spec.size.memMb <= capacity.memMb &&
    usedAccel + room.accel + spec.size.accel <= capacity.accel
  );
}

function costOf(task: TaskState, executor: ExecutorState): number {
  const {spec} = task.step;
  const {capacity, rack} = executor.info;
  let cost = freeShare(executor);
  const isUrgent = task.step.occurrence.job.queue.priority === 0;
  const weight = isUrgent ? SLOWNESS_WEIGHT : PATIENT_SLOWNESS_WEIGHT;
  cost += weight * executor.slowness;
  if (spec.rack !== '' && spec.rack !== rack) cost += FAR_RACK_SLOWNESS;
  if (spec.size.accel === 0 && capacity.accel > 0) cost += 1;
  if (spec.isFiller) cost += BESIDE_SERVICE_PENALTY * countTargets(executor);
  if (spec.targetMs > 0) {
    cost += BESIDE_SERVICE_PENALTY * countFillers(executor);
  }
  if (task.failedOn === executor.info.id) cost += FAILED_HERE_PENALTY;
  return cost;
}

/** The part of an executor that is free, by its scarcest resource. */
function freeShare({info, usedCpu, usedMem, usedAccel}: ExecutorState): number {
  const {cpuMilli, memMb, accel} = info.capacity;
  const cpu = 1 - usedCpu / Math.max(1, cpuMilli);
  const mem = 1 - usedMem / Math.max(1, memMb);
  const free = Math.min(cpu, mem);
  return accel === 0 ? free : Math.min(free, 1 - usedAccel / accel);
}

function countTargets({tasks}: ExecutorState): number {
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
  context: PlaceContext,
): readonly ExecutorState[] | null {
  const open = [...executors].filter(each => canStart(step, each, context));
  if (step.spec.isRackSensitive) {
    for (const group of groupByRack(open)) {
      const chosen = fillGang(step, group);
      if (chosen !== null) return chosen;
    }
  }
  return fillGang(step, open);
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

function fillGang(
  step: StepState,
  open: readonly ExecutorState[],
): readonly ExecutorState[] | null {
  const chosen: ExecutorState[] = [];
  const sorted = [...open].sort(
    (a, b) => a.slowness - b.slowness || freeShare(a) - freeShare(b),
  );
  for (const executor of sorted) {
    const fits = Math.min(
      copiesThatFit(step, executor),
      step.tasks.length - chosen.length,
    );
    for (let i = 0; i < fits; i += 1) chosen.push(executor);
    if (chosen.length === step.tasks.length) return chosen;
  }
  return null;
}

/** How many tasks of the step fit in what is free, and not taken else. */
export function copiesThatFit(
  step: StepState,
  executor: ExecutorState,
  taken: Promised = NO_ROOM_PROMISED,
): number {
  const {spec} = step;
  const fits = copiesIn(spec, freeRoom(executor, taken));
  const {maxPerExecutor} = spec;
  if (maxPerExecutor === 0) return fits;
  return Math.min(fits, maxPerExecutor - countHere(step, executor));
}

/** What is free on an executor, and not taken else. */
export function freeRoom(
  {info, usedCpu, usedMem, usedAccel}: ExecutorState,
  taken: Promised,
): Promised {
  const {cpuMilli, memMb, accel} = info.capacity;
  return {
    cpuMilli: cpuMilli - usedCpu - taken.cpuMilli,
    memMb: memMb - usedMem - taken.memMb,
    accel: accel - usedAccel - taken.accel,
  };
}

/** How many tasks of a step fit in a room. */
export function copiesIn(spec: StepSpec, room: Promised): number {
  return Math.min(
    copies(room.cpuMilli, countedCpu(spec)),
    copies(room.memMb, spec.size.memMb),
    copies(room.accel, spec.size.accel),
  );
}

function copies(free: number, each: number): number {
  return each === 0 ? Infinity : Math.max(0, Math.floor(free / each));
}
