/**
 * Finds the tasks that crash the executors that start them. Of all the tasks
 * that an executor loses in a crash, those that had just started there are
 * suspects. A suspect starts where nothing else has just started, so that a
 * further crash shows whether it is the cause.
 */
import type {ExecutorState, ExpiredRuns} from './executor-state.js';
import type {StepState, TaskState} from './job-state.js';
import {isFinal} from './types.js';

/** A run that is listed this long after its start has started well, in ms. */
const WELL_STARTED_MS = 150;
/** Crashes after which a task is given up that alone can explain the last. */
const MAX_EXPLAINED_CRASHES = 2;
/** Crashes right after a start after which the task is given up. */
const MAX_CRASHES = 3;
/** The same if the last crashes were of one VM that is a suspect too. */
const MAX_CRASHES_OF_SUSPECT_VM = 4;
/**
 * Crashes at any time of a run after which the task is given up. Executors may
 * crash for other causes while a long task works.
 */
const MAX_CRASHES_IN_ALL = 5;
/** A run that lasted this long clears the task of its crashes, in ms. */
const CLEARANCE_MS = 30_000;
/** Crashes under other tasks after which a VM itself is the suspect. */
const VM_CRASHES = 2;
/** How long a crash of a VM is remembered, in ms. */
const VM_CRASH_MEMORY_MS = 60_000;

/** A run that was lost with its executor. */
export interface LostRun {
  readonly task: TaskState;
  readonly run: number;
  /** Whether the executor is known to have started it. */
  readonly isCertain: boolean;
  /** Whether it was lost right after its start. */
  readonly isNew: boolean;
}

/** The crash of an executor with the runs that were lost. */
export interface Crash {
  readonly executor: ExecutorState;
  readonly runs: readonly LostRun[];
  readonly suspects: readonly LostRun[];
  /** Whether the VM crashes under different tasks again and again. */
  readonly isVmSuspect: boolean;
  /** One task of each step or task that is given up. */
  readonly givenUp: readonly TaskState[];
}

/** What is given up as a whole: a task, or the step of a gang. */
type Unit = TaskState | StepState;

interface VmCrash {
  readonly atMs: number;
  readonly suspects: ReadonlySet<Unit>;
}

/** Whether the task may have crashed an executor and is not cleared of it. */
export function isSuspect({suspectedRuns}: TaskState): boolean {
  return suspectedRuns.length > 0;
}

/** Whether the task's run was listed long enough after its start. */
export function hasStartedWell(task: TaskState): boolean {
  return listedForMs(task) >= WELL_STARTED_MS;
}

/** The time from the run's start, or from its adoption, to its last listing. */
function listedForMs({startedMs, answeredMs, listedMs}: TaskState): number {
  // An adopted run was listed when it counted as answered.
  const sinceMs = Number.isNaN(startedMs) ? answeredMs : startedMs;
  return listedMs - sinceMs;
}

/** Counts the runs on the executor that have just started. */
export function countNewRuns({tasks}: ExecutorState): number {
  let count = 0;
  for (const task of tasks) if (!hasStartedWell(task)) count += 1;
  return count;
}

/**
 * The runs that are lost if the executor has crashed.
 *
 * @param requestedMs when the inventory was requested that shows the crash;
 *     starts that were answered later are not lost
 */
export function runsLostBy(
  executor: ExecutorState,
  requestedMs: number,
): readonly LostRun[] {
  return [...executor.tasks]
    .filter(
      ({answeredMs, phase, isStartUnconfirmed}) =>
        phase === 'stopping' || isStartUnconfirmed || answeredMs < requestedMs,
    )
    .map(task => ({
      task,
      run: task.run,
      isCertain: isStartCertain(task),
      isNew: !hasStartedWell(task),
    }));
}

function isStartCertain({phase, listedMs, startedMs}: TaskState): boolean {
  return phase === 'running' || !(listedMs < startedMs);
}

/** Whether the task is a suspect whose run has not started well yet. */
export function isStartObserved(task: TaskState): boolean {
  return isSuspect(task) && !hasStartedWell(task);
}

/** What an executor has lost that is gone and may have crashed. */
interface GoneRuns extends ExpiredRuns {
  readonly atMs: number;
}

/** Counts crashes, and decides which tasks are given up. */
export class CrashSuspects {
  private readonly vms = new Map<string, readonly VmCrash[]>();
  /** By VM. */
  private readonly gone = new Map<string, GoneRuns>();
  /** Suspects that were started and are not cleared yet. */
  private readonly isolatedStarts = new Set<TaskState>();
  /** Whether there may be suspects. */
  isActive = false;

  /**
   * Records a crash and counts it for the tasks that were lost. If a single
   * task can explain it, it is not counted for the others once that task is
   * given up.
   */
  record(
    executor: ExecutorState,
    lost: readonly LostRun[],
    nowMs: number,
  ): Crash {
    const runs = lost.filter(isCounted);
    const suspects = runs.filter(({isNew}) => isNew);
    const units = new Set(suspects.map(({task}) => unitOf(task)));
    const isVmSuspect = this.recordVm(executor, units, nowMs);
    const crash = {executor, runs, suspects, isVmSuspect};
    const crashedHere = runs.filter(({task}) => hasCrashedOn(task, executor));
    for (const {task} of runs) task.crashedOn = vmOf(executor);
    const cause = units.size === 1 ? suspects : [];
    this.markSuspects(isVmSuspect ? [] : suspects, cause);
    // A task that crashed one VM twice may have met a VM that fails.
    const isElsewhere = cause.some(each => !crashedHere.includes(each));
    const isExplained = isElsewhere && !isVmSuspect;
    const proven = isExplained ? cause.find(isProvenCause) : undefined;
    if (proven !== undefined) return {...crash, givenUp: [proven.task]};
    const others = runs.filter(each => !cause.includes(each));
    others.filter(isCertainRun).forEach(countCrash);
    const givenUp = tasksOverLimit([...cause, ...others], each =>
      isVmSuspect && crashedHere.includes(each) && each.isNew
        ? MAX_CRASHES_OF_SUSPECT_VM
        : MAX_CRASHES_IN_ALL,
    );
    return {...crash, givenUp};
  }

  /**
   * Marks the suspects of a crash, and counts it for its only cause. A start
   * without an answer may have come after the crash: it counts for a task that
   * was a suspect before, but not as much as one that is certain.
   */
  private markSuspects(
    suspects: readonly LostRun[],
    cause: readonly LostRun[],
  ): void {
    const doubtful = cause.filter(
      ({task, isCertain}) => !isCertain && isSuspect(task),
    );
    for (const each of suspects) {
      if (doubtful.includes(each)) continue;
      each.task.suspectedRuns = [...each.task.suspectedRuns, each.run];
      this.isActive = true;
    }
    [...doubtful, ...cause.filter(isCertainRun)].forEach(countCrash);
  }

  /** Keeps what a gone executor has lost until its VM is heard of again. */
  recordGone(executor: ExecutorState, nowMs: number): void {
    for (const [vm, {atMs}] of this.gone) {
      if (nowMs - atMs >= VM_CRASH_MEMORY_MS) this.gone.delete(vm);
    }
    const {expired} = executor;
    if (expired === null) return;
    this.gone.set(vmOf(executor), {...expired, atMs: nowMs});
  }

  /** Returns what was lost on the executor's VM by the process before. */
  takeGone(executor: ExecutorState, bornMs: number): readonly LostRun[] {
    const vm = vmOf(executor);
    const gone = this.gone.get(vm);
    this.gone.delete(vm);
    return gone === undefined || gone.bornMs === bornMs ? [] : gone.runs;
  }

  /** Watches the run of a suspect, so that it is cleared once it has started well. */
  watchStart(task: TaskState): void {
    this.isolatedStarts.add(task);
  }

  /** Clears a task whose run has ended by itself. */
  clear(task: TaskState): void {
    task.suspectedRuns = [];
    this.isolatedStarts.delete(task);
  }

  /** The executors on which the run of a suspect has just started. */
  *executorsWithIsolatedStarts(): Generator<ExecutorState> {
    for (const task of [...this.isolatedStarts]) {
      const {executor} = task;
      if (executor === null) this.isolatedStarts.delete(task);
      else if (hasStartedWell(task)) this.clear(task);
      else yield executor;
    }
  }

  /** Returns whether the VM itself is the likely cause. */
  private recordVm(
    executor: ExecutorState,
    suspects: ReadonlySet<Unit>,
    nowMs: number,
  ): boolean {
    for (const [vm, past] of this.vms) {
      const recent = past.filter(({atMs}) => nowMs - atMs < VM_CRASH_MEMORY_MS);
      if (recent.length === 0) this.vms.delete(vm);
      else this.vms.set(vm, recent);
    }
    const vm = vmOf(executor);
    const recent = this.vms.get(vm) ?? [];
    this.vms.set(vm, [...recent, {atMs: nowMs, suspects}]);
    const unrelated = recent.filter(
      each =>
        ![...each.suspects].some(unit => suspects.has(unit) || isGivenUp(unit)),
    );
    return unrelated.length >= VM_CRASHES;
  }
}

function isCounted({task, run}: LostRun): boolean {
  const {crashedRuns, suspectedRuns, step, phase} = task;
  if (phase === 'done' || isFinal(step.occurrence.job.phase)) return false;
  return !crashedRuns.includes(run) && !suspectedRuns.includes(run);
}

function isCertainRun({isCertain}: LostRun): boolean {
  return isCertain;
}

function countCrash({task, run}: LostRun): void {
  task.crashedRuns = [...(hasLastedLong(task) ? [] : task.crashedRuns), run];
}

/** Whether the task was a suspect in enough crashes in which it surely ran. */
function isProvenCause({task}: LostRun): boolean {
  const {crashedRuns, suspectedRuns} = task;
  const runs = crashedRuns.filter(run => suspectedRuns.includes(run));
  return runs.length >= MAX_EXPLAINED_CRASHES;
}

/** Crashes since it has been a suspect: no run has started well since then. */
function countNewCrashes({crashedRuns, suspectedRuns}: TaskState): number {
  const [firstRun = Infinity] = suspectedRuns;
  return crashedRuns.filter(run => run >= firstRun).length;
}

/**
 * Returns a task of each unit that has reached its limit.
 *
 * @param limitOf the limit on crashes at any time
 */
function tasksOverLimit(
  runs: readonly LostRun[],
  limitOf: (lost: LostRun) => number,
): readonly TaskState[] {
  const found = new Map<Unit, TaskState>();
  for (const lost of runs) {
    const {task} = lost;
    // A crash under one task of a gang shows nothing about the others.
    const isOver =
      countNewCrashes(task) >= MAX_CRASHES ||
      task.crashedRuns.length >= limitOf(lost);
    if (isOver) found.set(unitOf(task), task);
  }
  return [...found.values()];
}

function hasLastedLong(task: TaskState): boolean {
  return listedForMs(task) > CLEARANCE_MS;
}

function unitOf(task: TaskState): Unit {
  return task.step.spec.isGang ? task.step : task;
}

function isGivenUp(unit: Unit): boolean {
  const step = 'step' in unit ? unit.step : unit;
  return step.occurrence.job.phase === 'failed';
}

/** Whether a run of the task was lost there in the newest crash. */
export function hasCrashedOn(
  {crashedOn}: TaskState,
  executor: ExecutorState,
): boolean {
  return crashedOn !== '' && crashedOn === vmOf(executor);
}

function vmOf({info}: ExecutorState): string {
  return `${info.ip}:${info.port}`;
}
