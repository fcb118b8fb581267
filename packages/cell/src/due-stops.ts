/** The runs on an executor that have to be stopped, from the owner's state. */
import type {ExecutorState} from './executor-state.js';
import {taskName, type TaskState} from './job-state.js';

/** A run that has to be stopped and whose stop has not been answered. */
export interface DueStop {
  readonly name: string;
  readonly run: number;
  /** The task that is placed there; null for an orphan run. */
  readonly task: TaskState | null;
}

/**
 * Yields the stops that are due on an executor.
 *
 * @example
 * for (const due of dueStops(executor)) send(due);
 */
export function* dueStops(executor: ExecutorState): Generator<DueStop> {
  for (const task of executor.tasks) {
    if (!needsStop(task)) continue;
    yield {name: taskName(task), run: task.run, task};
  }
  for (const {task: name, run, isStopAnswered} of executor.orphans.values()) {
    if (!isStopAnswered) yield {name, run, task: null};
  }
}

/**
 * Whether the stop is still due: the run is there, and no stop was answered.
 *
 * @example
 * while (isStopDue(due, executor)) await send(due);
 */
export function isStopDue(
  {name, run, task}: DueStop,
  executor: ExecutorState,
): boolean {
  if (task !== null) {
    return task.executor === executor && task.run === run && needsStop(task);
  }
  return executor.orphans.get(`${name}#${run}`)?.isStopAnswered === false;
}

/**
 * Records the answer to a stop: the run ends soon, or can't start any more.
 *
 * @example
 * if (reply.failure === null) recordStopAnswer(due, executor, nowMs);
 */
export function recordStopAnswer(
  due: DueStop,
  executor: ExecutorState,
  nowMs: number,
): void {
  if (!isStopDue(due, executor)) return;
  const {name, run, task} = due;
  if (task !== null) {
    task.answeredMs = nowMs;
    return;
  }
  const orphan = executor.orphans.get(`${name}#${run}`);
  if (orphan !== undefined) orphan.isStopAnswered = true;
}

function needsStop({phase, answeredMs}: TaskState): boolean {
  const mayNotRun = phase === 'stopping' || phase === 'done';
  return mayNotRun && answeredMs === Infinity;
}
