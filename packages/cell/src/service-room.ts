/** What is free in each service, and how much of it is kept for urgent work. */
import type {CellState} from './cell-state.js';
import {countedCpu, type ExecutorState} from './executor-state.js';
import type {StepState} from './job-state.js';
import {mayTakeWork, type Promised} from './place.js';
import {isStoppable} from './preempt.js';
import type {RankedStep} from './queue-order.js';
import type {Queue} from './types.js';

/** Part of a service's processors that work which can wait leaves free. */
const URGENT_HEADROOM = 0.14;
/** Queues of this priority are served from the headroom. */
export const URGENT_PRIORITY = 0;
/** Steps of a service that keep their tickets though there is no room. */
const STUCK_ASKS = 3;

/** The executors of a service and what is free on them in one round. */
export interface ServiceRoom {
  readonly executors: readonly ExecutorState[];
  /** Those that may be given work now. */
  readonly open: readonly ExecutorState[];
  /** The most that is free on any of them as the round begins. */
  readonly mostFree: Promised;
  /** Priority of the least urgent task that may be stopped; -1 for none. */
  readonly stoppablePriority: number;
  readonly hasUrgentQueue: boolean;
  readonly headroomCpu: number;
  freeCpu: number;
  /** Steps without room that may still renew their tickets in this round. */
  stuckAsks: number;
}

/** Counts what is free in each service. */
export function countServices(
  state: CellState,
  nowMs: number,
): ReadonlyMap<string, ServiceRoom> {
  const groups = new Map<string, ExecutorState[]>();
  for (const executor of state.executors.values()) {
    const {service} = executor.info;
    const group = groups.get(service);
    if (group === undefined) groups.set(service, [executor]);
    else group.push(executor);
  }
  const queues = state.config?.queues ?? [];
  const rooms = new Map<string, ServiceRoom>();
  for (const [service, executors] of groups) {
    rooms.set(service, countRoom(service, executors, queues, nowMs));
  }
  return rooms;
}

function countRoom(
  service: string,
  executors: readonly ExecutorState[],
  queues: readonly Queue[],
  nowMs: number,
): ServiceRoom {
  const open = executors.filter(each => mayTakeWork(each, nowMs));
  let totalCpu = 0;
  let freeCpu = 0;
  let stoppablePriority = -1;
  const mostFree = {cpuMilli: 0, memMb: 0, accel: 0};
  for (const {info, usedCpu, usedMem, usedAccel, tasks} of open) {
    const {cpuMilli, memMb, accel} = info.capacity;
    totalCpu += cpuMilli;
    freeCpu += cpuMilli - usedCpu;
    mostFree.cpuMilli = Math.max(mostFree.cpuMilli, cpuMilli - usedCpu);
    mostFree.memMb = Math.max(mostFree.memMb, memMb - usedMem);
    mostFree.accel = Math.max(mostFree.accel, accel - usedAccel);
    for (const task of tasks) {
      if (!isStoppable(task)) continue;
      const {priority} = task.step.occurrence.job.queue;
      stoppablePriority = Math.max(stoppablePriority, priority);
    }
  }
  const hasUrgentQueue = queues.some(
    each => each.service === service && each.priority === URGENT_PRIORITY,
  );
  const headroomCpu = totalCpu * URGENT_HEADROOM;
  const stuckAsks = STUCK_ASKS;
  return {
    executors,
    open,
    mostFree,
    stoppablePriority,
    hasUrgentQueue,
    headroomCpu,
    freeCpu,
    stuckAsks,
  };
}

/** Whether some executor may have room for a task of the step. */
export function mayFit({spec}: StepState, {mostFree}: ServiceRoom): boolean {
  return (
    countedCpu(spec) <= mostFree.cpuMilli &&
    spec.size.memMb <= mostFree.memMb &&
    spec.size.accel <= mostFree.accel
  );
}

/** Whether the step may take room that is not kept for urgent work. */
export function isWithinHeadroom(
  {step, priority}: RankedStep,
  room: ServiceRoom,
): boolean {
  if (!room.hasUrgentQueue || priority === URGENT_PRIORITY) return true;
  if (step.spec.isService) return true;
  return room.freeCpu - countedCpu(step.spec) >= room.headroomCpu;
}

/** What is free of an executor's processors, in thousandths of a core. */
export function freeCpuOf({info, usedCpu}: ExecutorState): number {
  return info.capacity.cpuMilli - usedCpu;
}
