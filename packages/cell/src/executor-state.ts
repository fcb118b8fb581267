/** The owner's state of each executor: resources, clock, lease and health. */
import type {LostRun} from './crash-suspects.js';
import {EndedProcesses} from './executor-processes/index.js';
import type {TaskState} from './job-state.js';
import type {ResourceAmounts} from './resource-amounts.js';
import type {ExecutorInfo, StepSpec} from './types.js';

/** The most by which an executor's clock runs slow, as the platform states. */
const MAX_CLOCK_DRIFT = 0.02;
/** Safety margin after the end of a lease before its runs count as ended. */
const LEASE_END_SLACK_MS = 100;

/** A run on an executor that belongs to no task placed there. */
export interface OrphanRun {
  readonly task: string;
  readonly run: number;
  /** The task for which the run is counted; null while its job is unknown. */
  readonly countedFor: TaskState | null;
  isStopAnswered: boolean;
}

/** Runs that were lost in a crash if the executor starts again. */
export interface ExpiredRuns {
  /** Start time of the executor process that ran them. */
  readonly bornMs: number;
  readonly runs: readonly LostRun[];
}

/** The owner's state of an executor. */
export interface ExecutorState {
  info: ExecutorInfo;
  /** The most that it has had of each resource, under former owners too. */
  largestCapacity: ResourceAmounts;
  /** Whether the platform's store lists it now. */
  isListed: boolean;
  /** Whether it has answered this owner since it started. */
  isReached: boolean;
  /** Unix milliseconds of its start, as it reports it. */
  bornMs: number;
  /** Processes before the one that is described or has answered. */
  readonly endedProcesses: EndedProcesses;
  /**
   * When a record of another process than the known one was last read, on the
   * owner's monotonic clock.
   */
  otherRecordReadMs: number;
  /** Whether it has announced that it will shut down. */
  hasDrained: boolean;
  /**
   * Runs whose leases expired while its address refused connections; null while
   * it answers.
   */
  expired: ExpiredRuns | null;
  /** Whether its address has refused a connection since it last answered. */
  hasRefused: boolean;
  usedCpuMilli: number;
  usedMemMb: number;
  usedAccel: number;
  readonly tasks: Set<TaskState>;
  readonly orphans: Map<string, OrphanRun>;
  /** The last reading of the executor's clock, and the owner's time of it. */
  clockMs: number;
  clockReadMs: number;
  /** The latest lease end that was sent, on the executor's clock. */
  leaseUntilMs: number;
  /**
   * By when leases have ended that this owner did not give, on the same clock.
   */
  formerLeaseUntilMs: number;
  /** Ends of runs through this number are applied to the owner's state. */
  processedThrough: number;
  /** Ends of runs through this number are stored. */
  ackedThrough: number;
  /** Consecutive lease renewals without an answer. */
  missedRenewals: number;
  /** Until when it is slow after its start, on the owner's monotonic clock. */
  coldUntilMs: number;
  /** Whether its failure domain is closed to new tasks. */
  isDomainClosed: boolean;
  /** Whether a record of the owner may say that it gets no orders. */
  isHeld: boolean;
  /** Whether it gets orders as soon as the next record is stored. */
  isHeldBriefly: boolean;
  /** No new tasks before this time, on the owner's monotonic clock. */
  avoidUntilMs: number;
  /** Failed runs since the last completed one. */
  consecutiveFailures: number;
  /** When it was last paused, as its runs had failed one after the other. */
  failedMs: number;
  /** No new tasks before this time, on the owner's monotonic clock. */
  pausedUntilMs: number;
  /** Moving average of run time over expected run time; above 1 is slow. */
  slowness: number;
  /** Percentage of the processor that filler tasks may use. */
  fillerPercent: number;
}

/**
 * Creates the state of an executor that has not answered yet.
 *
 * @example
 * const executor = newExecutorState(info);
 */
export function newExecutorState(info: ExecutorInfo): ExecutorState {
  return {
    info,
    largestCapacity: info.capacity,
    isListed: true,
    isReached: false,
    bornMs: info.bornMs,
    endedProcesses: new EndedProcesses(),
    otherRecordReadMs: -Infinity,
    hasDrained: info.isDraining,
    expired: null,
    hasRefused: false,
    usedCpuMilli: 0,
    usedMemMb: 0,
    usedAccel: 0,
    tasks: new Set(),
    orphans: new Map(),
    clockMs: Number.NaN,
    clockReadMs: 0,
    leaseUntilMs: 0,
    formerLeaseUntilMs: 0,
    processedThrough: 0,
    ackedThrough: 0,
    missedRenewals: 0,
    coldUntilMs: 0,
    isDomainClosed: false,
    isHeld: false,
    isHeldBriefly: false,
    avoidUntilMs: 0,
    consecutiveFailures: 0,
    failedMs: -Infinity,
    pausedUntilMs: 0,
    slowness: 1,
    fillerPercent: 100,
  };
}

/**
 * Whether its description is that of the process that answers: an executor may
 * restart with another service, other labels and another capacity.
 */
export function isDescriptionCurrent({info, bornMs}: ExecutorState): boolean {
  return info.bornMs === 0 || info.bornMs === bornMs;
}

/** CPU that a task of the step takes of the capacity; none for fillers. */
export function allocatedCpuMilli(spec: StepSpec): number {
  return spec.isFiller ? 0 : spec.size.cpuMilli;
}

/** Places a task on an executor and adds up its resources. */
export function placeTask(executor: ExecutorState, task: TaskState): void {
  const {spec} = task.step;
  task.executor = executor;
  executor.tasks.add(task);
  addUse(executor, spec, 1);
}

/** Removes a task from its executor and frees its resources. */
export function removeTask(task: TaskState): void {
  const {executor} = task;
  if (executor === null || !executor.tasks.delete(task)) return;
  const {spec} = task.step;
  addUse(executor, spec, -1);
  task.executor = null;
}

/** Adds an orphan run, which uses resources until it has ended. */
export function addOrphan(executor: ExecutorState, orphan: OrphanRun): void {
  const {task, run, countedFor} = orphan;
  executor.orphans.set(`${task}#${run}`, orphan);
  if (countedFor === null) return;
  countedFor.orphanCount += 1;
  addUse(executor, countedFor.step.spec, 1);
}

/** Removes an orphan run and frees its resources. */
export function removeOrphan(
  executor: ExecutorState,
  {task, run, countedFor}: OrphanRun,
): void {
  if (!executor.orphans.delete(`${task}#${run}`) || countedFor === null) return;
  countedFor.orphanCount -= 1;
  addUse(executor, countedFor.step.spec, -1);
}

function addUse(executor: ExecutorState, spec: StepSpec, sign: 1 | -1): void {
  executor.usedCpuMilli += sign * allocatedCpuMilli(spec);
  executor.usedMemMb += sign * spec.size.memMb;
  executor.usedAccel += sign * spec.size.accel;
}

/** Whether the free resources hold one more task of the step. */
export function hasRoom(executor: ExecutorState, spec: StepSpec): boolean {
  const {capacity} = executor.info;
  return (
    executor.usedCpuMilli + allocatedCpuMilli(spec) <= capacity.cpuMilli &&
    executor.usedMemMb + spec.size.memMb <= capacity.memMb &&
    executor.usedAccel + spec.size.accel <= capacity.accel
  );
}

/** Records a reading of the executor's clock. */
export function recordClock(
  executor: ExecutorState,
  clockMs: number,
  nowMs: number,
): void {
  if (Number.isNaN(clockMs)) return;
  if (executor.clockMs > clockMs) return;
  executor.clockMs = clockMs;
  executor.clockReadMs = nowMs;
}

/** The earliest time that the executor's clock can show now. */
export function earliestClockMs(
  executor: ExecutorState,
  nowMs: number,
): number {
  const passedMs = (nowMs - executor.clockReadMs) * (1 - MAX_CLOCK_DRIFT);
  return executor.clockMs + passedMs;
}

/**
 * The least that the clock of the known process shows, which counts from its
 * start; NaN if not known. A later process that shows as much gets leases that
 * end no later than they count for.
 *
 * @param nowMs not before the last reading, on the owner's monotonic clock
 */
export function leastClockMs(executor: ExecutorState, nowMs: number): number {
  return earliestClockMs(executor, nowMs) - LEASE_END_SLACK_MS;
}

/**
 * Whether the clock began anew: another process has the same start time.
 *
 * @param sentMs when the reading was requested, on the owner's monotonic clock
 * @example
 * if (hasClockBegunAnew(executor, inventory.clockMs, sentMs)) return;
 */
export function hasClockBegunAnew(
  executor: ExecutorState,
  clockMs: number,
  sentMs: number,
): boolean {
  if (sentMs < executor.clockReadMs) return false;
  return clockMs < leastClockMs(executor, sentMs);
}

/** Whether all leases of runs on the executor must have expired. */
export function haveLeasesExpired(
  executor: ExecutorState,
  nowMs: number,
): boolean {
  if (Number.isNaN(executor.clockMs)) return false;
  const slackMs = LEASE_END_SLACK_MS;
  return earliestClockMs(executor, nowMs) > lastLeaseMs(executor) + slackMs;
}

/** The end of the last lease that this owner or a former one may have given. */
function lastLeaseMs({
  leaseUntilMs,
  formerLeaseUntilMs,
}: ExecutorState): number {
  return Math.max(leaseUntilMs, formerLeaseUntilMs);
}

/**
 * The longest time until all leases of runs on the executor have expired, in
 * ms; NaN while its clock is not known.
 */
export function leaseLeftMs(executor: ExecutorState, nowMs: number): number {
  const endMs = lastLeaseMs(executor) + LEASE_END_SLACK_MS;
  const leftMs = endMs - earliestClockMs(executor, nowMs);
  return Math.max(0, leftMs / (1 - MAX_CLOCK_DRIFT));
}
