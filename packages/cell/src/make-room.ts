/** Makes room for a step that waits, by stopping or holding back other work. */
import {countedCpu, type ExecutorState} from './executor-state.js';
import type {StepState} from './job-state.js';
import {isSuited, mayUse, promise} from './place.js';
import {planRoom, type RoomPlan} from './preempt.js';
import {IN_TIME, type RankedStep} from './queue-order.js';
import type {Round} from './round.js';
import type {ServiceRoom} from './service-room.js';

/** A task that takes this part of an executor is kept room for. */
const LARGE_PART = 0.25;
/** Part of a service's executors that are held for gangs and large tasks. */
const HELD_PART = 0.5;

/**
 * Stops less urgent work for a step that waits, and keeps the room for it.
 * Nothing is stopped for work that is late already.
 *
 * @returns the executors on which there will be room; empty for none
 */
export function stopForRoom(
  {step, standing}: RankedStep,
  wanted: number,
  room: ServiceRoom,
  round: Round,
): readonly ExecutorState[] {
  const {priority} = step.occurrence.job.queue;
  if (standing !== IN_TIME || room.stoppablePriority <= priority) return [];
  const plans = planRoom(step, wanted, room.open, round);
  carryOutPlans(step, plans, round);
  return plans.map(({executor}) => executor);
}

/**
 * Keeps executors that the step may use from what comes later: one for each
 * task of a gang, else one.
 */
export function holdExecutors(
  step: StepState,
  wanted: number,
  room: ServiceRoom,
  {reserved}: Round,
): void {
  const held = room.executors.filter(each => reserved.has(each)).length;
  if (held >= room.executors.length * HELD_PART) return;
  const usable = room.executors.filter(
    each => isSuited(step, each) && mayUse(step, each),
  );
  const soonest = usable.sort((a, b) => a.usedAccel - b.usedAccel);
  const count = step.spec.isGang ? wanted : 1;
  for (const each of soonest.slice(0, count)) reserved.add(each);
}

/** Whether a task takes so much of an executor that small ones keep it out. */
export function isLarge({spec}: StepState, {executors}: ServiceRoom): boolean {
  return executors.every(({info: {capacity}}) => {
    const cpu = countedCpu(spec) / Math.max(1, capacity.cpuMilli);
    const mem = spec.size.memMb / Math.max(1, capacity.memMb);
    const accel = spec.size.accel / Math.max(1, capacity.accel);
    return Math.max(cpu, mem, accel) >= LARGE_PART;
  });
}

function carryOutPlans(
  step: StepState,
  plans: readonly RoomPlan[],
  {state, promised, claimed}: Round,
): void {
  for (const {executor, victims, count} of plans) {
    for (const victim of victims) state.stopTask(victim);
    promise(promised, executor, step.spec, count);
    promise(claimed, executor, step.spec, count);
  }
}
