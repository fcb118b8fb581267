/** Checks scheduling invariants against what executors actually run. */
import {
  addAmounts,
  NOTHING_RESERVED,
  subtractAmounts,
  type JobRow,
  type ResourceAmounts,
  type RunOutcome,
  type StartOrder,
} from '@dragonflyward/cell';
import type {FakeExecutor, RunObserver} from './fake-executor.js';

/** Crashes under a task after which it may be given up. */
const MAX_CRASHES = 2;

/** A submitted job, as the checker knows it. */
export interface CheckedJob {
  readonly id: string;
  readonly counts: readonly number[];
  readonly after: readonly (readonly number[])[];
  /** What a task of each step takes of an executor's capacity. */
  readonly amounts: readonly ResourceAmounts[];
  readonly maxAttempts: number;
  /** Whether one task that ended `done` completes its step; false if missing. */
  readonly isGang?: boolean;
  /** Number of occurrences; 1 if missing. */
  readonly times?: number;
  isCancelled: boolean;
}

interface Running {
  readonly executor: FakeExecutor;
  readonly run: number;
}

/** Checks the invariants on each start and end that executors report. */
export class InvariantChecker implements RunObserver {
  readonly violations: string[] = [];
  readonly jobs = new Map<string, CheckedJob>();
  readonly doneTasks = new Set<string>();
  starts = 0;
  /** Ids of jobs of which a task was started. */
  readonly startedJobs = new Set<string>();
  private readonly startCounts = new Map<string, number>();
  private readonly lostCounts = new Map<string, number>();
  private readonly running = new Map<string, Running[]>();
  private readonly ackedDone = new Set<string>();
  private readonly ackedFailed = new Map<string, Set<number>>();
  private readonly used = new Map<FakeExecutor, ResourceAmounts>();

  readonly started = (executor: FakeExecutor, order: StartOrder): void => {
    this.starts += 1;
    const {task, run} = order;
    this.startCounts.set(task, this.startCount(task) + 1);
    const [jobId = ''] = task.split('.');
    this.startedJobs.add(jobId);
    const job = this.jobs.get(jobId);
    if (job === undefined) return this.report(`unknown job: ${task}`);
    if (job.isCancelled) this.report(`cancelled job started: ${task}`);
    const activeRuns = this.running.get(task) ?? [];
    if (activeRuns.length > 0) {
      this.report(`concurrent: ${task} runs ${activeRuns[0]?.run}, ${run}`);
    }
    if (this.ackedDone.has(task)) this.report(`started after done: ${task}`);
    const failed = this.ackedFailed.get(task)?.size ?? 0;
    if (failed >= job.maxAttempts) this.report(`over max attempts: ${task}`);
    this.checkOrder(job, task);
    this.running.set(task, [...activeRuns, {executor, run}]);
    const used = addAmounts(this.usedOf(executor), amountsOf(job, task));
    this.used.set(executor, used);
    if (!isWithin(used, executor.usableCapacity())) {
      this.report(`over executor capacity: ${task}`);
    }
  };

  readonly ended = (
    executor: FakeExecutor,
    task: string,
    run: number,
    how: RunOutcome | 'lost',
  ): void => {
    const activeRuns = this.running.get(task) ?? [];
    const remaining = activeRuns.filter(
      r => r.executor !== executor || r.run !== run,
    );
    this.running.set(task, remaining);
    const job = this.jobs.get(task.split('.')[0] ?? '');
    const freed = amountsOf(job, task);
    this.used.set(executor, subtractAmounts(this.usedOf(executor), freed));
    if (how === 'done') this.doneTasks.add(task);
    if (how === 'lost') this.lostCounts.set(task, this.lostCount(task) + 1);
  };

  readonly acked = (task: string, run: number, how: RunOutcome): void => {
    if (how === 'done') this.ackedDone.add(task);
    if (how !== 'failed') return;
    const failed = this.ackedFailed.get(task) ?? new Set<number>();
    failed.add(run);
    this.ackedFailed.set(task, failed);
  };

  /** Checks what a VM shows of a job against what executors have started. */
  checkRow({id, phase}: JobRow): void {
    const isShownAsBegun = phase === 'running' || phase === 'completed';
    if (!isShownAsBegun || this.startedJobs.has(id)) return;
    this.report(`shown as ${phase}, not begun: ${id}`);
  }

  /** How many runs of a task executors have started. */
  startCount(task: string): number {
    return this.startCounts.get(task) ?? 0;
  }

  /** How many runs of a task were lost as their executor crashed. */
  lostCount(task: string): number {
    return this.lostCounts.get(task) ?? 0;
  }

  /** Whether a task of the job may be given up for the executors it crashed. */
  mayBeGivenUp(job: CheckedJob): boolean {
    const names = job.counts.flatMap((count, step) =>
      taskNames(job, step, count),
    );
    return names.some(name => this.lostCount(name) >= MAX_CRASHES);
  }

  /** Whether the `done` end of a task was acknowledged. */
  isAcked(task: string): boolean {
    return this.ackedDone.has(task);
  }

  /** Whether all tasks of a job ended `done`, of a gang at least one. */
  isJobDone(job: CheckedJob): boolean {
    return job.counts.every((count, step) => {
      const names = taskNames(job, step, count);
      const isDone = (name: string): boolean => this.doneTasks.has(name);
      return job.isGang === true ? names.some(isDone) : names.every(isDone);
    });
  }

  /** How many tasks of a job are running. */
  countRunning(job: CheckedJob): number {
    const names = job.counts.flatMap((count, step) =>
      taskNames(job, step, count),
    );
    return names.filter(name => (this.running.get(name) ?? []).length > 0)
      .length;
  }

  private checkOrder(job: CheckedJob, task: string): void {
    const [occurrence = 0, step = 0] = task.split('.').slice(1).map(Number);
    for (const before of job.after[step] ?? []) {
      const count = job.counts[before] ?? 0;
      for (const name of namesOf(job, occurrence, before, count)) {
        if (!this.doneTasks.has(name)) this.report(`out of order: ${task}`);
      }
    }
  }

  private usedOf(executor: FakeExecutor): ResourceAmounts {
    return this.used.get(executor) ?? NOTHING_RESERVED;
  }

  private report(violation: string): void {
    this.violations.push(violation);
  }
}

function amountsOf(job: CheckedJob | undefined, task: string): ResourceAmounts {
  return job?.amounts[Number(task.split('.')[2])] ?? NOTHING_RESERVED;
}

function isWithin(used: ResourceAmounts, limit: ResourceAmounts): boolean {
  return (
    used.cpuMilli <= limit.cpuMilli &&
    used.memMb <= limit.memMb &&
    used.accel <= limit.accel
  );
}

/** The tasks of a step in all occurrences. */
function taskNames(
  job: CheckedJob,
  step: number,
  count: number,
): readonly string[] {
  const {times = 1} = job;
  const occurrences = Array.from({length: times}, (_, i) => i);
  return occurrences.flatMap(each => namesOf(job, each, step, count));
}

function namesOf(
  {id}: CheckedJob,
  occurrence: number,
  step: number,
  count: number,
): readonly string[] {
  const prefix = `${id}.${occurrence}.${step}`;
  return Array.from({length: count}, (_, i) => `${prefix}.${i}`);
}
