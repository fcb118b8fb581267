/** What the owner knows of each executor: room, clock, lease, health. */
import type {TaskState} from './job-state.js';
import type {ExecutorInfo, StepSpec} from './types.js';

/** Executors' clocks may be this much slow; stated by the platform. */
const MAX_CLOCK_DRIFT = 0.02;
/** Added to the end of a lease before its runs count as ended, in ms. */
const LEASE_END_SLACK_MS = 100;

/** A run on an executor that belongs to no task that is known to be there. */
export interface StrayRun {
  readonly task: string;
  readonly run: number;
  readonly cpuMilli: number;
  readonly memMb: number;
  readonly accel: number;
  readonly organisation: string;
}

/** An executor as its owner sees it. */
export interface ExecutorState {
  info: ExecutorInfo;
  /** Whether the store lists it now. */
  isListed: boolean;
  /** Whether it has answered under this owner's token. */
  isReached: boolean;
  /** Unix milliseconds of its start, as it says itself. */
  bornMs: number;
  usedCpu: number;
  usedMem: number;
  usedAccel: number;
  readonly tasks: Set<TaskState>;
  readonly strays: Map<string, StrayRun>;
  /** The executor's clock, and when it was read on the owner's clock. */
  clockMs: number;
  clockReadMs: number;
  /** The latest end of the lease that was sent, on the executor's clock. */
  leaseUntilMs: number;
  /** Ends through this number are taken into the owner's state. */
  processedThrough: number;
  /** Ends through this number are stored. */
  ackedThrough: number;
  /** Calls in a row that had no answer. */
  missed: number;
  /** No new work before this time, on the owner's clock. */
  avoidUntilMs: number;
  /** Ends in a row that were failures. */
  failuresInRow: number;
  /** Run time against what was expected; above 1 is slow. */
  slowness: number;
  /** How much of the processor tasks that fill may use, 0 to 100. */
  fillPercent: number;
}

/**
 * Makes the state of an executor that has not been reached.
 *
 * @example
 * const executor = newExecutorState(info);
 */
export function newExecutorState(info: ExecutorInfo): ExecutorState {
  return {
    info,
    isListed: true,
    isReached: false,
    bornMs: info.bornMs,
    usedCpu: 0,
    usedMem: 0,
    usedAccel: 0,
    tasks: new Set(),
    strays: new Map(),
    clockMs: Number.NaN,
    clockReadMs: 0,
    leaseUntilMs: 0,
    processedThrough: 0,
    ackedThrough: 0,
    missed: 0,
    avoidUntilMs: 0,
    failuresInRow: 0,
    slowness: 1,
    fillPercent: 100,
  };
}

/** What a task of the step takes of the processor that is shared out. */
export function countedCpu(spec: StepSpec): number {
  return spec.isFiller ? 0 : spec.size.cpuMilli;
}

/** Counts a task on an executor. */
export function placeTask(executor: ExecutorState, task: TaskState): void {
  const {spec} = task.step;
  task.executor = executor;
  executor.tasks.add(task);
  executor.usedCpu += countedCpu(spec);
  executor.usedMem += spec.size.memMb;
  executor.usedAccel += spec.size.accel;
}

/** Frees what a task takes. */
export function removeTask(task: TaskState): void {
  const {executor} = task;
  if (executor === null || !executor.tasks.delete(task)) return;
  const {spec} = task.step;
  executor.usedCpu -= countedCpu(spec);
  executor.usedMem -= spec.size.memMb;
  executor.usedAccel -= spec.size.accel;
  task.executor = null;
}

/** Counts a run that has to be stopped and belongs to no placed task. */
export function addStray(executor: ExecutorState, stray: StrayRun): void {
  const key = `${stray.task}#${stray.run}`;
  if (executor.strays.has(key)) return;
  executor.strays.set(key, stray);
  executor.usedCpu += stray.cpuMilli;
  executor.usedMem += stray.memMb;
  executor.usedAccel += stray.accel;
}

/** Frees what a stray run takes. */
export function removeStray(
  executor: ExecutorState,
  task: string,
  run: number,
): void {
  const key = `${task}#${run}`;
  const stray = executor.strays.get(key);
  if (stray === undefined) return;
  executor.strays.delete(key);
  executor.usedCpu -= stray.cpuMilli;
  executor.usedMem -= stray.memMb;
  executor.usedAccel -= stray.accel;
}

/** Tells whether one more task of the step fits. */
export function hasRoom(executor: ExecutorState, spec: StepSpec): boolean {
  const {capacity} = executor.info;
  return (
    executor.usedCpu + countedCpu(spec) <= capacity.cpuMilli &&
    executor.usedMem + spec.size.memMb <= capacity.memMb &&
    executor.usedAccel + spec.size.accel <= capacity.accel
  );
}

/** Takes in a reading of the executor's clock. */
export function noteClock(
  executor: ExecutorState,
  clockMs: number,
  nowMs: number,
): void {
  if (Number.isNaN(clockMs)) return;
  if (executor.clockMs > clockMs) return;
  executor.clockMs = clockMs;
  executor.clockReadMs = nowMs;
}

/** The least that the executor's clock shows now. */
export function clockNow(executor: ExecutorState, nowMs: number): number {
  const passedMs = (nowMs - executor.clockReadMs) * (1 - MAX_CLOCK_DRIFT);
  return executor.clockMs + passedMs;
}

/** Tells whether no run can still hold a lease there. */
export function hasLapsed(executor: ExecutorState, nowMs: number): boolean {
  if (Number.isNaN(executor.clockMs)) return false;
  const slackMs = LEASE_END_SLACK_MS;
  return clockNow(executor, nowMs) > executor.leaseUntilMs + slackMs;
}
