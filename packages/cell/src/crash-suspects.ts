/** Finds the tasks under which executors crash. */
import type {ExecutorState} from './executor-state.js';
import type {TaskState} from './job-state.js';

/** A run that is listed this long after its start has started well, in ms. */
const PROBATION_MS = 300;

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
  /** Whether the executor is known to have started again. */
  readonly isConfirmed: boolean;
  readonly runs: readonly LostRun[];
}

/** Whether the task's run was listed long enough after its start. */
export function hasStartedWell(task: TaskState): boolean {
  const {startedMs, answeredMs, listedMs} = task;
  // An adopted run was listed when it counted as answered.
  const sinceMs = Number.isNaN(startedMs) ? answeredMs : startedMs;
  return listedMs - sinceMs >= PROBATION_MS;
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
