/** One round of decisions: what starts where, what stops, what is asked. */
import type {CellState} from './cell-state.js';
import {countedCpu, hasRoom, type ExecutorState} from './executor-state.js';
import type {StepState, TaskState} from './job-state.js';
import {
  chooseExecutor,
  chooseGang,
  copiesThatFit,
  isAllowed,
  isSuited,
  mayTakeWork,
  mayUse,
  type PlaceContext,
  type Promised,
} from './place.js';
import {planRoom, type RoomPlan} from './preempt.js';
import {LATE, orderSteps, WORTHLESS, type RankedStep} from './queue-order.js';
import type {Queue} from './types.js';

/** Part of a service's processors that work which can wait leaves free. */
const URGENT_HEADROOM = 0.14;
/** Queues of this priority are served from the headroom. */
const URGENT_PRIORITY = 0;
/** The most executors that are named at first; each costs decision time. */
const FIRST_EXECUTORS = 30;
/** The most executors that are named when tickets are renewed. */
const RENEWAL_EXECUTORS = 12;
/** Steps of a service that keep their tickets though there is no room. */
const STUCK_ASKS = 3;
/** A task that takes this part of an executor is kept room for. */
const LARGE_PART = 0.25;
/** Waiting tasks of one step that are looked at in one round. */
const TASKS_PER_ROUND = 200;

/** What the owner has to do; starts and stops are counted already. */
export type Decision =
  | {readonly kind: 'start'; readonly tasks: readonly TaskState[]}
  | {
      readonly kind: 'advise';
      readonly step: StepState;
      readonly executorIds: readonly string[];
    };

/** Times and doubts under which a round decides. */
export interface RoundContext {
  readonly nowMs: number;
  readonly wallMs: number;
  /** A former owner may have started tasks of the step unseen. */
  readonly isUnsure: (step: StepState) => boolean;
}

interface Round extends RoundContext, PlaceContext {
  readonly state: CellState;
  readonly reserved: Set<ExecutorState>;
  readonly promised: Map<ExecutorState, Promised>;
  readonly services: ReadonlyMap<string, ServiceRoom>;
}

interface ServiceRoom {
  readonly executors: readonly ExecutorState[];
  readonly hasUrgentQueue: boolean;
  readonly headroomCpu: number;
  freeCpu: number;
  /** Steps without room that may still renew their tickets in this round. */
  stuckAsks: number;
}

/**
 * Decides what happens now; each decision is counted before it is yielded.
 *
 * @example
 * for (const decision of decideRound(state, context)) carryOut(decision);
 */
export function* decideRound(
  state: CellState,
  context: RoundContext,
): Generator<Decision> {
  const ready = [...state.readySteps(context.wallMs)].filter(
    step => hasWaiting(step, context.nowMs) && !context.isUnsure(step),
  );
  if (ready.length === 0) return;
  const round: Round = {
    ...context,
    state,
    reserved: new Set(),
    promised: new Map(),
    services: countServices(state, context.nowMs),
  };
  for (const ranked of orderSteps(ready, state.estimates, context.wallMs)) {
    yield* decideStep(ranked, round);
  }
}

function hasWaiting({tasks}: StepState, nowMs: number): boolean {
  return tasks.some(task => isWaiting(task, nowMs));
}

function isWaiting(task: TaskState, nowMs: number): boolean {
  const {phase, notBeforeMs, strays} = task;
  return phase === 'waiting' && notBeforeMs <= nowMs && strays === 0;
}

function countServices(
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
  let totalCpu = 0;
  let freeCpu = 0;
  for (const executor of executors) {
    if (!mayTakeWork(executor, nowMs)) continue;
    totalCpu += executor.info.capacity.cpuMilli;
    freeCpu += executor.info.capacity.cpuMilli - executor.usedCpu;
  }
  const hasUrgentQueue = queues.some(
    each => each.service === service && each.priority === URGENT_PRIORITY,
  );
  const headroomCpu = totalCpu * URGENT_HEADROOM;
  const stuckAsks = STUCK_ASKS;
  return {executors, hasUrgentQueue, headroomCpu, freeCpu, stuckAsks};
}

function* decideStep(ranked: RankedStep, round: Round): Generator<Decision> {
  const {step} = ranked;
  const room = round.services.get(step.occurrence.job.queue.service);
  if (room === undefined) return;
  // A ticket would end before a step that is held back could use it.
  const isHeldBack = !mayRunOne(step, round) || !isWithinHeadroom(ranked, room);
  const named = isHeldBack ? [] : ticketsToGet(step, room, round);
  if (named.length > 0) yield {kind: 'advise', step, executorIds: named};
  if (step.spec.isGang) yield* decideGang(ranked, room, round);
  else yield* decideTasks(ranked, room, round);
}

/**
 * The executors for which tickets are needed now: those with room, where no
 * executor with room may be used; or, for a step that can have room made, any
 * that may run it. An executor that refused the step is not named again.
 */
function ticketsToGet(
  step: StepState,
  room: ServiceRoom,
  {nowMs}: Round,
): readonly string[] {
  const {executors} = room;
  const {queue} = step.occurrence.job;
  if (queue.advice === null || step.isAsking) return [];
  const isFirst = step.asked.size === 0;
  const open = executors.filter(
    each => isSuited(step, each) && isWorthAsking(step, each, nowMs, isFirst),
  );
  // A gang needs its tickets all at once: they are renewed before they end.
  const {decisionMs, perExecutorMs} = queue.advice;
  const callMs = decisionMs + perExecutorMs * RENEWAL_EXECUTORS;
  const atMs = step.spec.isGang ? nowMs + callMs : nowMs;
  const valid = open.filter(each => isAllowed(step, each, atMs));
  if (hasRoomForAll(step, valid)) return [];
  const missing = open.filter(each => !isAllowed(step, each, atMs));
  if (isFirst) return mostRoomFirst(missing, FIRST_EXECUTORS);
  const roomy = missing.filter(each => hasRoom(each, step.spec));
  if (hasRoomForAll(step, [...roomy, ...valid])) {
    return mostRoomFirst(roomy, RENEWAL_EXECUTORS);
  }
  const canMakeRoom = step.spec.isGang || queue.priority === URGENT_PRIORITY;
  if (valid.length > 0 || !canMakeRoom || room.stuckAsks <= 0) return [];
  room.stuckAsks -= 1;
  return mostRoomFirst(missing, RENEWAL_EXECUTORS);
}

/** Whether the organisation may run one more task, or the whole gang. */
function mayRunOne(
  {spec, tasks, occurrence}: StepState,
  {state}: Round,
): boolean {
  const count = spec.isGang ? tasks.length : 1;
  const {organisation} = occurrence.job;
  return state.organisations.mayRun(organisation, spec.size, count);
}

/** Whether one task fits, or all tasks of a gang. */
function hasRoomForAll(
  step: StepState,
  executors: readonly ExecutorState[],
): boolean {
  const wanted = step.spec.isGang ? step.tasks.length : 1;
  let fits = 0;
  for (const each of executors) fits += copiesThatFit(step, each);
  return fits >= wanted;
}

function isWorthAsking(
  step: StepState,
  executor: ExecutorState,
  nowMs: number,
  isFirst: boolean,
): boolean {
  const {id, isDraining} = executor.info;
  if (isFirst) return executor.isListed && !isDraining;
  if (step.asked.has(id) && !step.allowed.has(id)) return false;
  return mayTakeWork(executor, nowMs);
}

function mostRoomFirst(
  executors: readonly ExecutorState[],
  most: number,
): readonly string[] {
  const sorted = [...executors].sort((a, b) => freeCpuOf(b) - freeCpuOf(a));
  return sorted.slice(0, most).map(each => each.info.id);
}

/** What is free of an executor's processors, in thousandths of a core. */
export function freeCpuOf({info, usedCpu}: ExecutorState): number {
  return info.capacity.cpuMilli - usedCpu;
}

function* decideTasks(
  ranked: RankedStep,
  room: ServiceRoom,
  round: Round,
): Generator<Decision> {
  const {step} = ranked;
  const {spec, occurrence} = step;
  const {organisations} = round.state;
  const {organisation} = occurrence.job;
  const started: TaskState[] = [];
  let missing = 0;
  for (const task of step.tasks) {
    if (started.length + missing >= TASKS_PER_ROUND) break;
    if (!isWaiting(task, round.nowMs)) continue;
    if (!organisations.mayRun(organisation, spec.size, 1)) break;
    if (!isWithinHeadroom(ranked, room)) break;
    const executor =
      missing > 0 ? null : chooseExecutor(task, room.executors, round);
    if (executor === null) {
      missing += 1;
      continue;
    }
    const run = round.state.nextRun([task]);
    round.state.startTask(task, executor, run, round.nowMs);
    room.freeCpu -= countedCpu(spec);
    started.push(task);
  }
  if (started.length > 0) yield {kind: 'start', tasks: started};
  if (missing > 0) makeRoom(ranked, missing, room, round);
}

function isWithinHeadroom(
  {step, priority}: RankedStep,
  room: ServiceRoom,
): boolean {
  if (!room.hasUrgentQueue || priority === URGENT_PRIORITY) return true;
  if (step.spec.isService) return true;
  return room.freeCpu - countedCpu(step.spec) >= room.headroomCpu;
}

function* decideGang(
  ranked: RankedStep,
  room: ServiceRoom,
  round: Round,
): Generator<Decision> {
  const {step} = ranked;
  const {tasks, spec, occurrence} = step;
  if (!tasks.every(task => isWaiting(task, round.nowMs))) return;
  const {organisations} = round.state;
  const {organisation} = occurrence.job;
  if (!organisations.mayRun(organisation, spec.size, tasks.length)) return;
  const chosen = chooseGang(step, room.executors, round);
  if (chosen === null) {
    makeRoom(ranked, tasks.length, room, round);
    return;
  }
  const run = round.state.nextRun(tasks);
  tasks.forEach((task, i) => {
    const executor = chosen[i];
    if (executor === undefined) return;
    round.state.startTask(task, executor, run, round.nowMs);
  });
  yield {kind: 'start', tasks};
}

/**
 * Stops less urgent work for a step that waits, and keeps the room for it.
 * Where a gang or a large task does not fit even so, executors that it may
 * use are kept from what comes later, so that it is not starved by small
 * tasks. Nothing is stopped for work that is late already.
 */
function makeRoom(
  {step, standing}: RankedStep,
  wanted: number,
  room: ServiceRoom,
  round: Round,
): void {
  if (standing === WORTHLESS) return;
  const isInTime = standing !== LATE;
  for (let count = wanted; isInTime && count >= 1; count = count >> 1) {
    const plans = planRoom(step, count, room.executors, round);
    if (plans !== null) return carryOutPlans(step, plans, round);
    if (step.spec.isGang) break;
  }
  if (step.spec.isGang) reserveFor(step, wanted, room, round);
  else if (isLarge(step, room)) reserveFor(step, 1, room, round);
}

/** Whether a task takes so much of an executor that small ones keep it out. */
function isLarge({spec}: StepState, {executors}: ServiceRoom): boolean {
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
  {state, promised}: Round,
): void {
  for (const {executor, victims, count} of plans) {
    for (const victim of victims) state.stopTask(victim);
    const {cpuMilli, memMb, accel} = promised.get(executor) ?? {
      cpuMilli: 0,
      memMb: 0,
      accel: 0,
    };
    const {size} = step.spec;
    promised.set(executor, {
      cpuMilli: cpuMilli + count * countedCpu(step.spec),
      memMb: memMb + count * size.memMb,
      accel: accel + count * size.accel,
    });
  }
}

function reserveFor(
  step: StepState,
  count: number,
  room: ServiceRoom,
  round: Round,
): void {
  const usable = room.executors.filter(
    each => isSuited(step, each) && mayUse(step, each),
  );
  const soonest = [...usable].sort((a, b) => a.usedAccel - b.usedAccel);
  for (const each of soonest.slice(0, count)) {
    round.reserved.add(each);
  }
}
