/** Logs and counts the crash of an executor. */
import type {Metrics} from '@dragonflyward/common';
import type {Crash, LostRun} from './crash-suspects.js';
import {taskName} from './job-state.js';
import type {LogFunction} from './platform.js';

/** The most runs that a line on a crash names. */
const MAX_NAMED_RUNS = 10;

/**
 * Logs a crash, and each task that is given up because of it.
 *
 * @example
 * reportCrash(crash, log, metrics);
 */
export function reportCrash(
  crash: Crash,
  log: LogFunction,
  metrics: Metrics,
): void {
  const {executor, isVmSuspect, runs, suspects} = crash;
  const executorId = executor.info.id;
  metrics.count('executor_crashes_total');
  log('executorCrashed', {
    executorId,
    isVmSuspect,
    runs: runs.length,
    newRuns: suspects.length,
    tasks: nameRuns(suspects.length > 0 ? suspects : runs),
  });
  for (const task of crash.givenUp) {
    const {crashedRuns, suspectedRuns, step} = task;
    const job = step.occurrence.job.id;
    metrics.count('tasks_given_up_total');
    log('taskGivenUp', {
      task: taskName(task),
      job,
      executorId,
      crashedRuns,
      suspectedRuns,
    });
  }
}

/** Names the last of the runs that were lost in a crash. */
function nameRuns(runs: readonly LostRun[]): readonly string[] {
  return runs
    .slice(-MAX_NAMED_RUNS)
    .map(({task, run}) => `${taskName(task)}#${run}`);
}
