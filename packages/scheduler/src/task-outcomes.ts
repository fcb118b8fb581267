/**
 * Handles task outcomes: records a result, runs the task again, or ends its
 * job as failed.
 */
import type {
  Clock,
  EventRing,
  EventSubject,
  Metrics,
} from '@dragonflyward/common';
import type {
  PlacedTask,
  PlacedTaskEnd,
  PlacementEngine,
  PolicyJob,
} from '@dragonflyward/policy';
import type {JobEntry, ShardState} from '@dragonflyward/state';
import type {TaskReport} from '@dragonflyward/target';
import type {VmEntry} from '@dragonflyward/vms';
import {UNKNOWN_RESULT, type JobTracker} from './job-tracker.js';
import type {JobRecords} from './job-records.js';

/** Dependencies of the task outcomes. */
export interface TaskOutcomesParts {
  readonly shard: string;
  readonly shardState: ShardState;
  readonly engine: PlacementEngine;
  readonly tracker: JobTracker;
  readonly records: JobRecords;
  readonly clock: Clock;
  readonly events: EventRing;
  readonly metrics: Metrics;
  readonly stopTask: (task: PlacedTask) => void;
}

/** Handles the tasks of one term that ended, were lost or were adopted. */
export class TaskOutcomes {
  constructor(private readonly parts: TaskOutcomesParts) {}

  /** Handles a worker's report that a task of this term ended. */
  ended(task: PlacedTask, report: TaskReport): void {
    const end = report.end ?? 'stopped';
    this.parts.metrics.count(`tasks_ended_total{end="${end}"}`);
    this.parts.events.add('taskFinished', subjectOf(task), end);
    if (end === 'succeeded') {
      this.release(task, 'succeeded');
      return this.succeeded(task, report.result);
    }
    if (end === 'failed') {
      this.release(task, 'failed');
      return this.failed(task, report.result);
    }
    this.release(task, 'notRunning');
    this.rerunIfSafe(task);
  }

  /** Handles a task that no longer runs and whose outcome is unknown. */
  lost(task: PlacedTask): void {
    this.parts.metrics.count('tasks_lost_total');
    this.parts.events.add('taskLost', subjectOf(task));
    this.release(task, 'notRunning');
    this.rerunIfSafe(task);
  }

  /** Handles a task whose stop the worker has confirmed. */
  stopped(task: PlacedTask, reason: string): void {
    this.parts.events.add('taskStopped', subjectOf(task), reason);
    this.release(task, 'notRunning');
    this.rerunIfSafe(task);
  }

  /**
   * Handles a start that never took effect. Since the task did not run, it is
   * placed again even if it is not idempotent.
   */
  notRun(task: PlacedTask): void {
    this.release(task, 'notRunning');
    const entry = this.unfinishedEntry(task);
    if (entry !== undefined) this.submit(entry, [task.taskIndex]);
  }

  /**
   * Adopts, after a takeover, the tasks that a worker runs or recently ran.
   *
   * @returns the tasks that run
   * @example
   * const kept = outcomes.adopt(vm, inventory.tasks);
   */
  adopt(vm: VmEntry, reports: readonly TaskReport[]): readonly PlacedTask[] {
    const runningTasks: PlacedTask[] = [];
    for (const report of reports) {
      if (report.shard !== this.parts.shard) continue;
      const task = toPlacedTask(vm, report);
      if (task === undefined) continue;
      if (report.state === 'ended') this.adoptEnded(task, report);
      else runningTasks.push(this.adoptRunning(task, report));
    }
    return runningTasks;
  }

  /**
   * Resumes a job of an earlier term after the takeover wait. A task that is
   * not idempotent and whose start was recorded may have run, so that its
   * result is unknown; the other unplaced tasks are submitted again.
   */
  resume(jobId: string): void {
    const {shardState, tracker, records} = this.parts;
    const entry = shardState.jobs.get(jobId);
    if (entry === undefined || records.isEnding(entry)) return;
    const again: number[] = [];
    for (const index of tracker.unplacedIndexes(entry)) {
      if (records.isResultPending(jobId, index)) continue;
      const mayHaveRun = entry.starting.has(index) && !entry.spec.isIdempotent;
      if (mayHaveRun) records.recordResult(jobId, index, UNKNOWN_RESULT);
      else again.push(index);
    }
    if (again.length > 0) return this.submit(entry, again);
    records.endIfComplete(jobId);
  }

  private adoptRunning(task: PlacedTask, report: TaskReport): PlacedTask {
    const {engine, tracker, events} = this.parts;
    engine.adopt(task);
    engine.submit(this.policyJobOf(task, report));
    tracker.recordPlaced(task);
    events.add('taskAdopted', subjectOf(task));
    if (this.unfinishedEntry(task) === undefined) this.parts.stopTask(task);
    return task;
  }

  /** The job of an adopted task; the policy needs its team. */
  private policyJobOf(task: PlacedTask, report: TaskReport): PolicyJob {
    const entry = this.parts.shardState.jobs.get(task.jobId);
    if (entry !== undefined) return this.parts.tracker.toPolicyJob(entry, []);
    return {
      jobId: task.jobId,
      team: report.team,
      queue: report.queue,
      taskIndexes: [],
      isGang: false,
      isService: false,
      isIdempotent: false,
      size: task.size,
      runMs: 0,
      acceptedMs: 0,
    };
  }

  /**
   * Handles a task that had ended before the takeover. Records a success, and
   * the failure of a task that is not idempotent; `resume` handles all others
   * after the takeover hold.
   */
  private adoptEnded(task: PlacedTask, report: TaskReport): void {
    const entry = this.unfinishedEntry(task);
    if (entry === undefined) return;
    if (report.end === 'succeeded') return this.succeeded(task, report.result);
    const isFinal = report.end === 'failed' && !entry.spec.isIdempotent;
    if (!isFinal) return;
    this.parts.records.recordEnd(task.jobId, 'failed', report.result);
  }

  private succeeded(task: PlacedTask, result: string): void {
    const entry = this.unfinishedEntry(task);
    if (entry === undefined) return;
    if (entry.spec.isService) return this.rerunIfSafe(task);
    this.parts.records.recordResult(task.jobId, task.taskIndex, result);
  }

  private failed(task: PlacedTask, result: string): void {
    const entry = this.unfinishedEntry(task);
    if (entry === undefined) return;
    const {tracker, records} = this.parts;
    const isRetried =
      entry.spec.isIdempotent && tracker.countFailedAttempt(task);
    if (isRetried) return this.submit(entry, [task.taskIndex]);
    records.recordEnd(task.jobId, 'failed', result);
  }

  /** Runs an idempotent task again; otherwise its outcome is unknown. */
  private rerunIfSafe(task: PlacedTask): void {
    const entry = this.unfinishedEntry(task);
    if (entry === undefined) return;
    const {jobId, taskIndex} = task;
    if (entry.spec.isIdempotent) return this.submit(entry, [taskIndex]);
    this.parts.records.recordResult(jobId, taskIndex, UNKNOWN_RESULT);
  }

  /** The task's job; undefined if the task has a result or the job ended. */
  private unfinishedEntry(task: PlacedTask): JobEntry | undefined {
    const {shardState, records} = this.parts;
    const entry = shardState.jobs.get(task.jobId);
    if (entry === undefined || records.isEnding(entry)) return undefined;
    return entry.ended.has(task.taskIndex) ? undefined : entry;
  }

  private submit(entry: JobEntry, taskIndexes: readonly number[]): void {
    const {engine, tracker} = this.parts;
    engine.submit(tracker.toPolicyJob(entry, taskIndexes));
  }

  private release(task: PlacedTask, end: PlacedTaskEnd): void {
    this.parts.tracker.recordNotRunning(task);
    const nowMs = this.parts.clock.monotonicMs();
    this.parts.engine.ended(task.taskId, end, nowMs);
  }
}

function toPlacedTask(vm: VmEntry, report: TaskReport): PlacedTask | undefined {
  const {taskId, jobId, size} = report;
  const [indexText] = taskId.slice(jobId.length + 1).split('.');
  const taskIndex = Number(indexText);
  if (!Number.isInteger(taskIndex)) return undefined;
  return {taskId, jobId, taskIndex, workerId: vm.id, size};
}

function subjectOf(task: PlacedTask): EventSubject {
  return {job: task.jobId, task: task.taskId, worker: task.workerId};
}
