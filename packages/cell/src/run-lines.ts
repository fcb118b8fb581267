/** Log lines of runs: one for all that a decision or an answer of an executor tells. */
import type {EndedRun} from './executor-client.js';
import {stepName, type TaskState} from './job-state.js';
import type {LogFunction} from './platform.js';

/** The most runs that one line names; the others are counted. */
const MAX_RUNS_PER_LINE = 40;

/** Logs the starts of a step that were decided: tasks, run numbers, executors. */
export function logStarts(tasks: readonly TaskState[], log: LogFunction): void {
  const [first] = tasks;
  if (first === undefined) return;
  const runs = tasks.map(({index, run, executor}) => [
    index,
    run,
    executor?.info.id ?? '',
  ]);
  log('startsDecided', {step: stepName(first.step), ...cut(runs)});
}

/** Logs the ends of runs that an executor has listed. */
export function logEnds(
  executorId: string,
  ends: readonly EndedRun[],
  log: LogFunction,
): void {
  if (ends.length === 0) return;
  const runs = ends.map(({task, run, how}) => [task, run, how]);
  log('runsEnded', {executorId, ...cut(runs)});
}

function cut(runs: readonly unknown[]): object {
  if (runs.length <= MAX_RUNS_PER_LINE) return {runs};
  const more = runs.length - MAX_RUNS_PER_LINE;
  return {runs: runs.slice(0, MAX_RUNS_PER_LINE), more};
}
