/** Free capacity of each service, and the headroom for urgent work. */
import type {CellState} from './cell-state.js';
import {allocatedCpuMilli, type ExecutorState} from './executor-state.js';
import {coldLast, coldness} from './evacuation/index.js';
import type {StepState} from './job-state.js';
import {isSchedulable, URGENT_PRIORITY} from './placement.js';
import type {ResourceAmounts} from './resource-amounts.js';
import {isPreemptible} from './preemption.js';
import type {RankedStep} from './queue-order.js';
import type {Queue} from './types.js';

/** Share of a service's processors that non-urgent work leaves free. */
const URGENT_HEADROOM_SHARE = 0.14;
/** A service is busy from this share in use of one of its resources on. */
const BUSY_SHARE = 0.6;
/** Steps of a service that may renew tickets without room in one round. */
const MAX_BLOCKED_RENEWALS = 3;

const NO_EXECUTORS: readonly ExecutorState[] = [];

/** The executors of a service and their free capacity in one round. */
export interface ServiceCapacity {
  /** Those outside closed failure domains. */
  readonly executors: readonly ExecutorState[];
  /** Those in closed failure domains. */
  readonly closed: readonly ExecutorState[];
  /** Executors on which new tasks may be placed. */
  readonly schedulable: readonly ExecutorState[];
  /** Per resource, the most free on any of them when the round starts. */
  readonly maxFree: ResourceAmounts;
  /** Priority of the least urgent preemptible task; -1 for none. */
  readonly victimPriority: () => number;
  readonly hasUrgentQueue: boolean;
  readonly headroomCpuMilli: number;
  /** Whether much of its processors, memory or accelerators is in use. */
  readonly isBusy: boolean;
  freeCpuMilli: number;
  /** These by their free processors as the round starts, the most first. */
  readonly byFreeCpu: () => readonly ExecutorState[];
  /** How many more steps without room may renew tickets in this round. */
  renewalsLeft: number;
}

/**
 * Summarizes the free capacity of each service.
 *
 * @param isUsable whether new tasks may be placed on an executor
 * @example
 * const services = summarizeServices(state, nowMs);
 */
export function summarizeServices(
  state: CellState,
  nowMs: number,
  isUsable = isSchedulable,
): ReadonlyMap<string, ServiceCapacity> {
  const groups = new Map<string, ExecutorState[]>();
  for (const executor of state.executors.values()) {
    const {service} = executor.info;
    const group = groups.get(service);
    if (group === undefined) groups.set(service, [executor]);
    else group.push(executor);
  }
  const queues = state.config?.queues ?? [];
  const capacities = new Map<string, ServiceCapacity>();
  for (const [service, executors] of groups) {
    capacities.set(
      service,
      summarizeService(
        executors,
        coldLast(
          executors.filter(each => isUsable(each, nowMs)),
          nowMs,
        ),
        queues.filter(each => each.service === service),
        nowMs,
      ),
    );
  }
  return capacities;
}

function summarizeService(
  all: readonly ExecutorState[],
  schedulable: readonly ExecutorState[],
  queues: readonly Queue[],
  nowMs: number,
): ServiceCapacity {
  let totalCpuMilli = 0;
  let freeCpuMilli = 0;
  const maxFree = {cpuMilli: 0, memMb: 0, accel: 0};
  for (const executor of schedulable) {
    const {info, usedMemMb, usedAccel} = executor;
    const {cpuMilli, memMb, accel} = info.capacity;
    const executorFreeCpuMilli = freeCpuMilliOf(executor);
    totalCpuMilli += cpuMilli;
    freeCpuMilli += executorFreeCpuMilli;
    maxFree.cpuMilli = Math.max(maxFree.cpuMilli, executorFreeCpuMilli);
    maxFree.memMb = Math.max(maxFree.memMb, memMb - usedMemMb);
    maxFree.accel = Math.max(maxFree.accel, accel - usedAccel);
  }
  const hasUrgentQueue = queues.some(
    ({priority}) => priority === URGENT_PRIORITY,
  );
  const headroomCpuMilli = totalCpuMilli * URGENT_HEADROOM_SHARE;
  const renewalsLeft = MAX_BLOCKED_RENEWALS;
  let sorted: readonly ExecutorState[] | null = null;
  const byFreeCpu = (): readonly ExecutorState[] =>
    (sorted ??= sortByFreeCpu(schedulable, nowMs));
  let lowest: number | null = null;
  const victimPriority = (): number =>
    (lowest ??= findVictimPriority(schedulable));
  // Shares of the service are shares of what may be used: half of the executors
  // of a half closed service would be all that are left.
  const executors = all.filter(each => !each.isDomainClosed);
  return {
    executors,
    closed:
      executors.length === all.length
        ? NO_EXECUTORS
        : all.filter(each => each.isDomainClosed),
    schedulable,
    maxFree,
    victimPriority,
    hasUrgentQueue,
    headroomCpuMilli,
    isBusy: isBusy(schedulable),
    freeCpuMilli,
    byFreeCpu,
    renewalsLeft,
  };
}

function findVictimPriority(executors: readonly ExecutorState[]): number {
  let victimPriority = -1;
  for (const {tasks} of executors) {
    for (const task of tasks) {
      if (!isPreemptible(task)) continue;
      const {priority} = task.step.occurrence.job.queue;
      victimPriority = Math.max(victimPriority, priority);
    }
  }
  return victimPriority;
}

function isBusy(executors: readonly ExecutorState[]): boolean {
  const total = {cpuMilli: 0, memMb: 0, accel: 0};
  const used = {cpuMilli: 0, memMb: 0, accel: 0};
  for (const {info, usedCpuMilli, usedMemMb, usedAccel} of executors) {
    total.cpuMilli += info.capacity.cpuMilli;
    total.memMb += info.capacity.memMb;
    total.accel += info.capacity.accel;
    // More may be in use than a capacity that has shrunk.
    used.cpuMilli += Math.min(usedCpuMilli, info.capacity.cpuMilli);
    used.memMb += Math.min(usedMemMb, info.capacity.memMb);
    used.accel += Math.min(usedAccel, info.capacity.accel);
  }
  return (
    used.cpuMilli > total.cpuMilli * BUSY_SHARE ||
    used.memMb > total.memMb * BUSY_SHARE ||
    used.accel > total.accel * BUSY_SHARE
  );
}

/**
 * Whether some executor may have room for a task of the step. A cheap upper
 * bound: the free resources may be on different executors.
 */
export function mayFit({spec}: StepState, {maxFree}: ServiceCapacity): boolean {
  return (
    allocatedCpuMilli(spec) <= maxFree.cpuMilli &&
    spec.size.memMb <= maxFree.memMb &&
    spec.size.accel <= maxFree.accel
  );
}

/** Whether a task of the step would leave the headroom for urgent work. */
export function leavesHeadroom(
  {step, priority}: RankedStep,
  capacity: ServiceCapacity,
): boolean {
  if (!capacity.hasUrgentQueue || priority === URGENT_PRIORITY) return true;
  if (step.spec.isService) return true;
  return (
    capacity.freeCpuMilli - allocatedCpuMilli(step.spec) >=
    capacity.headroomCpuMilli
  );
}

/** Of one that is entirely cold, half of what is free counts. */
function sortByFreeCpu(
  executors: readonly ExecutorState[],
  nowMs: number,
): readonly ExecutorState[] {
  const freeOf = (each: ExecutorState): number =>
    freeCpuMilliOf(each) * (1 - coldness(each, nowMs) / 2);
  return [...executors].sort((a, b) => freeOf(b) - freeOf(a));
}

/**
 * The free processor time of an executor, in thousandths of a core; 0 where
 * more is in use than its capacity, which may have shrunk.
 */
export function freeCpuMilliOf({info, usedCpuMilli}: ExecutorState): number {
  return Math.max(0, info.capacity.cpuMilli - usedCpuMilli);
}
