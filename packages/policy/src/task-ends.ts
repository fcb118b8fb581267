/** What follows from how tasks end: learning, bad workers, hopeless jobs. */
import type {EngineCore} from './core.js';
import type {PlacedTaskEnd} from './engine.js';
import type {JobState, RunningTask} from './state.js';
import {dequeue, enqueue} from './waiting-list.js';

/** Distinct workers on which a job, or one task, fails before it is set aside. */
const MAX_JOB_WORKERS = 3;
const MAX_TASK_WORKERS = 5;
/** Where more of the other jobs fail, failures don't speak against a job. */
const MAX_OTHERS_RATE = 0.5;

/**
 * Learns from the end of a task whose room is free again.
 *
 * @example
 * noteEnd(core, running, 'failed');
 */
export function noteEnd(
  core: EngineCore,
  running: RunningTask,
  end: PlacedTaskEnd,
): void {
  if (end === 'notRunning') return;
  const {jobId, taskIndex, workerId} = running.task;
  const isFailure = end === 'failed';
  noteWorker(core, running, isFailure);
  if (isFailure) {
    core.failures.note(jobId, taskIndex, workerId);
    judgeJob(core, running.job, taskIndex);
    return;
  }
  const {queue, team, runMs} = running.job.job;
  core.estimates.noteRun(queue, team, runMs, core.nowMs - running.startedMs);
  core.failures.noteSuccess(jobId, taskIndex);
  takeBack(core, running.job);
}

function noteWorker(
  core: EngineCore,
  running: RunningTask,
  isFailure: boolean,
): void {
  const {jobId, workerId} = running.task;
  const state = core.cell.workers.get(workerId);
  if (state === undefined) return;
  const workers = core.cell.workers.size;
  const wasOnProbation = state.isOnProbation;
  const end = {isFailure, jobId};
  const decision = core.health.noteEnd(state, end, workers, core.nowMs);
  if (decision !== undefined) core.outbox.push(decision);
  if (wasOnProbation && !state.isOnProbation) core.needs.noteRoom(state);
}

/**
 * Lets a job's pending tasks wait, unless they have failed too often.
 *
 * @example
 * admit(core, state);
 */
export function admit(core: EngineCore, state: JobState): void {
  const [first] = state.pending;
  if (first === undefined || isGangStopping(state)) return;
  const reason = hopelessReason(core, state, first);
  if (reason === '') enqueue(core, state);
  else setAside(core, state, reason);
}

/** A gang waits whole: not before all tasks that were told to stop ended. */
function isGangStopping(state: JobState): boolean {
  if (!state.job.isGang) return false;
  for (const running of state.running.values()) {
    if (running.isStopping) return true;
  }
  return false;
}

/** Sets a job aside that fails wherever it runs. */
function judgeJob(core: EngineCore, state: JobState, taskIndex: number): void {
  if (state.setAsideReason !== '') return;
  const reason = hopelessReason(core, state, taskIndex);
  if (reason === '') return;
  setAside(core, state, reason);
}

/**
 * Lets a job wait no more, and says why.
 *
 * @example
 * setAside(core, state, 'no worker is large enough for one task');
 */
export function setAside(
  core: EngineCore,
  state: JobState,
  reason: string,
): void {
  dequeue(core, state);
  core.holds.remove(state.job.jobId);
  state.setAsideReason = reason;
  core.outbox.push({kind: 'setAside', jobId: state.job.jobId, reason});
}

/** Lets a job wait again of which a task succeeded after all. */
function takeBack(core: EngineCore, state: JobState): void {
  if (state.setAsideReason === '') return;
  state.setAsideReason = '';
  enqueue(core, state);
}

function hopelessReason(
  core: EngineCore,
  state: JobState,
  taskIndex: number,
): string {
  const {jobId} = state.job;
  const isUnblamed =
    core.failures.workersOf(jobId).size === 0 &&
    core.failures.workersOfTask(jobId, taskIndex).size === 0;
  if (isUnblamed || core.health.jobFailureRate(jobId) > MAX_OTHERS_RATE) {
    return '';
  }
  const ofJob = countHealthy(core, core.failures.workersOf(jobId));
  const mostWorkers = Math.min(MAX_JOB_WORKERS, countUsable(core));
  if (ofJob >= Math.max(1, mostWorkers)) {
    return `its tasks failed on ${ofJob} workers and succeeded on none`;
  }
  const failedOn = core.failures.workersOfTask(jobId, taskIndex);
  const ofTask = countHealthy(core, failedOn);
  if (ofTask < MAX_TASK_WORKERS) return '';
  return `task ${taskIndex} failed on ${ofTask} workers`;
}

/** Failures on workers that are set aside don't speak against a job. */
function countHealthy(core: EngineCore, workers: ReadonlySet<string>): number {
  let count = 0;
  for (const workerId of workers) {
    const state = core.cell.workers.get(workerId);
    if (state === undefined) continue;
    if (state.setAsideUntilMs === 0 && !state.isOnProbation) count += 1;
  }
  return count;
}

function countUsable(core: EngineCore): number {
  let count = 0;
  for (const {worker, setAsideUntilMs} of core.cell.workers.values()) {
    if (worker.condition === 'ready' && setAsideUntilMs === 0) count += 1;
  }
  return count;
}
