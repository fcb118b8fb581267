/** Handles task ends: run-time estimates, worker health, failing jobs. */
import type {EngineCore} from './core.js';
import type {PlacedTaskEnd} from './engine.js';
import type {JobState, RunningTask} from './state.js';
import {dequeue, enqueue} from './waiting-list.js';

/** Distinct workers that a job, or one task, must fail on to set it aside. */
const JOB_FAILURE_WORKERS = 3;
const TASK_FAILURE_WORKERS = 5;
/** Above this failure rate of other jobs, failures aren't the job's fault. */
const MAX_OTHER_JOBS_FAILURE_RATE = 0.5;

/**
 * Records how a task ended after its room was released.
 *
 * @example
 * recordTaskEnd(core, running, 'failed');
 */
export function recordTaskEnd(
  core: EngineCore,
  running: RunningTask,
  end: PlacedTaskEnd,
): void {
  if (end === 'notRunning') return;
  const {jobId, taskIndex, workerId} = running.task;
  const isFailure = end === 'failed';
  recordOnWorker(core, running, isFailure);
  if (isFailure) {
    core.failures.recordFailure(jobId, taskIndex, workerId);
    setAsideIfFailing(core, running.job, taskIndex);
    return;
  }
  const {queue, team, runMs} = running.job.job;
  core.estimates.recordRunTime(
    queue,
    team,
    runMs,
    core.nowMs - running.startedMs,
  );
  core.failures.clearFailures(jobId, taskIndex);
  resumeIfSetAside(core, running.job);
}

function recordOnWorker(
  core: EngineCore,
  running: RunningTask,
  isFailure: boolean,
): void {
  const {jobId, workerId} = running.task;
  const state = core.workerTable.workers.get(workerId);
  if (state === undefined) return;
  const workerCount = core.workerTable.workers.size;
  const wasOnProbation = state.isOnProbation;
  const end = {isFailure, jobId};
  const decision = core.health.recordEnd(state, end, workerCount, core.nowMs);
  if (decision !== undefined) core.pendingDecisions.push(decision);
  if (wasOnProbation && !state.isOnProbation) core.needs.noteFreed(state);
}

/**
 * Queues a job's pending tasks, or sets the job aside if it failed too often.
 *
 * @example
 * enqueueOrSetAside(core, state);
 */
export function enqueueOrSetAside(core: EngineCore, state: JobState): void {
  const [first] = state.pending;
  if (first === undefined || isGangStopping(state)) return;
  const reason = findFailureReason(core, state, first);
  if (reason === '') enqueue(core, state);
  else setAside(core, state, reason);
}

/** A gang is queued only after all of its stopping tasks have ended. */
function isGangStopping(state: JobState): boolean {
  if (!state.job.isGang) return false;
  for (const running of state.running.values()) {
    if (running.isStopping) return true;
  }
  return false;
}

/** Sets a job aside that has failed on too many workers. */
function setAsideIfFailing(
  core: EngineCore,
  state: JobState,
  taskIndex: number,
): void {
  if (state.setAsideReason !== '') return;
  const reason = findFailureReason(core, state, taskIndex);
  if (reason === '') return;
  setAside(core, state, reason);
}

/**
 * Removes a job from the queue and reports why.
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
  core.pendingDecisions.push({
    kind: 'setAside',
    jobId: state.job.jobId,
    reason,
  });
}

/** Queues a job again that was set aside, after one of its tasks succeeded. */
function resumeIfSetAside(core: EngineCore, state: JobState): void {
  if (state.setAsideReason === '') return;
  state.setAsideReason = '';
  enqueue(core, state);
}

/** Why a job should be set aside; empty if it should not. */
function findFailureReason(
  core: EngineCore,
  state: JobState,
  taskIndex: number,
): string {
  const {jobId} = state.job;
  const hasNoFailures =
    core.failures.workersOf(jobId).size === 0 &&
    core.failures.workersOfTask(jobId, taskIndex).size === 0;
  if (
    hasNoFailures ||
    core.health.jobFailureRate(jobId) > MAX_OTHER_JOBS_FAILURE_RATE
  ) {
    return '';
  }
  const jobFailedOn = countHealthy(core, core.failures.workersOf(jobId));
  const maxWorkers = Math.min(JOB_FAILURE_WORKERS, countUsable(core));
  if (jobFailedOn >= Math.max(1, maxWorkers)) {
    return `its tasks failed on ${jobFailedOn} workers and succeeded on none`;
  }
  const taskWorkers = core.failures.workersOfTask(jobId, taskIndex);
  const taskFailedOn = countHealthy(core, taskWorkers);
  if (taskFailedOn < TASK_FAILURE_WORKERS) return '';
  return `task ${taskIndex} failed on ${taskFailedOn} workers`;
}

/**
 * Counts the workers that are neither quarantined nor on probation. Failures on
 * the others may be due to the worker and do not count against a job.
 */
function countHealthy(core: EngineCore, workers: ReadonlySet<string>): number {
  let count = 0;
  for (const workerId of workers) {
    const state = core.workerTable.workers.get(workerId);
    if (state === undefined) continue;
    if (state.quarantinedUntilMs === 0 && !state.isOnProbation) count += 1;
  }
  return count;
}

function countUsable(core: EngineCore): number {
  let count = 0;
  for (const {
    worker,
    quarantinedUntilMs,
  } of core.workerTable.workers.values()) {
    if (worker.condition === 'ready' && quarantinedUntilMs === 0) count += 1;
  }
  return count;
}
