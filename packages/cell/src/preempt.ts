/** Which running tasks make room for work that comes first. */
import {countedCpu, type ExecutorState} from './executor-state.js';
import type {StepState, TaskState} from './job-state.js';
import {
  copiesIn,
  countHere,
  freeRoom,
  isSuited,
  mayTakeWork,
  mayUse,
  NO_ROOM_PROMISED,
  type PlaceContext,
  type Promised,
} from './place.js';

/** Room on one executor for some tasks of a step. */
export interface RoomPlan {
  readonly executor: ExecutorState;
  /** Tasks to stop; empty where stopping ones make enough room. */
  readonly victims: readonly TaskState[];
  /** How many tasks of the step will fit. */
  readonly count: number;
}

/**
 * Plans room for tasks of a step by stopping less urgent ones that keep their
 * progress. Room that stopping tasks will free is counted first, so that a
 * plan that is under way is not made twice.
 *
 * @returns room for that many or fewer; empty where there is none, and for a
 *     gang that does not fit whole
 * @example
 * const plans = planRoom(step, step.tasks.length, executors, context);
 */
export function planRoom(
  step: StepState,
  wanted: number,
  executors: Iterable<ExecutorState>,
  context: PlaceContext,
): readonly RoomPlan[] {
  const plans: RoomPlan[] = [];
  let missing = wanted;
  for (const plan of candidates(step, wanted, executors, context)) {
    if (missing === 0) break;
    const count = Math.min(plan.count, missing);
    plans.push({...plan, count});
    missing -= count;
  }
  return step.spec.isGang && missing > 0 ? [] : plans;
}

function candidates(
  step: StepState,
  wanted: number,
  executors: Iterable<ExecutorState>,
  context: PlaceContext,
): readonly RoomPlan[] {
  const plans: RoomPlan[] = [];
  for (const executor of executors) {
    const {nowMs, reserved} = context;
    if (!mayTakeWork(executor, nowMs) || reserved.has(executor)) continue;
    if (!isSuited(step, executor)) continue;
    if (!mayUse(step, executor)) continue;
    const plan = planOn(step, wanted, executor, context);
    if (plan !== null) plans.push(plan);
  }
  return plans.sort(
    (a, b) => a.victims.length / a.count - b.victims.length / b.count,
  );
}

type Room = {-readonly [Part in keyof Promised]: number};

function planOn(
  step: StepState,
  wanted: number,
  executor: ExecutorState,
  {promised}: PlaceContext,
): RoomPlan | null {
  const room = roomAfterStops(executor, promised.get(executor));
  const bound = boundHere(step, wanted, executor);
  const victims: TaskState[] = [];
  let count = Math.min(bound, copiesIn(step.spec, room));
  for (const victim of victimsOn(step, executor)) {
    if (count >= bound) break;
    addSize(room, victim);
    victims.push(victim);
    count = Math.min(bound, copiesIn(step.spec, room));
  }
  return count > 0 ? {executor, victims, count} : null;
}

function boundHere(
  step: StepState,
  wanted: number,
  executor: ExecutorState,
): number {
  const {maxPerExecutor} = step.spec;
  if (maxPerExecutor === 0) return wanted;
  return Math.min(wanted, maxPerExecutor - countHere(step, executor));
}

function roomAfterStops(
  executor: ExecutorState,
  promised: Promised | undefined,
): Room {
  const room: Room = {...freeRoom(executor, promised ?? NO_ROOM_PROMISED)};
  for (const task of executor.tasks) {
    if (task.phase === 'stopping') addSize(room, task);
  }
  return room;
}

function addSize(room: Room, {step}: TaskState): void {
  room.cpuMilli += countedCpu(step.spec);
  room.memMb += step.spec.size.memMb;
  room.accel += step.spec.size.accel;
}

/** Tasks that may be stopped for the step, the least urgent first. */
function victimsOn(
  step: StepState,
  executor: ExecutorState,
): readonly TaskState[] {
  const {priority} = step.occurrence.job.queue;
  const victims = [...executor.tasks].filter(
    task => isStoppable(task) && priorityOf(task) > priority,
  );
  return victims.sort(
    (a, b) => priorityOf(b) - priorityOf(a) || b.startedMs - a.startedMs,
  );
}

/** Whether a running task may be stopped: it loses no work by that. */
export function isStoppable({phase, step}: TaskState): boolean {
  const {savesProgress, isService, isGang} = step.spec;
  return phase === 'running' && savesProgress && !isService && !isGang;
}

function priorityOf({step}: TaskState): number {
  return step.occurrence.job.queue.priority;
}
