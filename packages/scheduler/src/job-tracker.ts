/** Tracks what is not in the log: placed tasks and failed attempts. */
import type {JobEntry, JobStatus, ShardState} from '@dragonflyward/state';
import type {PlacedTask, PolicyJob} from '@dragonflyward/policy';

/** Number of failed attempts of a task that fail its job. */
export const MAX_TASK_ATTEMPTS = 5;

/** The result of a task that may or may not have run. */
export const UNKNOWN_RESULT = 'outcome unknown';

/** The placed tasks, attempts and set-aside reasons of a shard's jobs. */
export class JobTracker {
  private readonly placed = new Map<string, Map<string, PlacedTask>>();
  private readonly attempts = new Map<string, number>();
  private readonly setAsideReasons = new Map<string, string>();

  /** @param isStarted whether a worker is known to have started the task */
  constructor(
    private readonly shardState: ShardState,
    private readonly isStarted: (task: PlacedTask) => boolean,
  ) {}

  /** Records that a task was placed. */
  recordPlaced(task: PlacedTask): void {
    const tasks = this.placed.get(task.jobId) ?? new Map<string, PlacedTask>();
    tasks.set(task.taskId, task);
    this.placed.set(task.jobId, tasks);
    this.setAsideReasons.delete(task.jobId);
  }

  /** Records that a task no longer runs. */
  recordNotRunning(task: PlacedTask): void {
    const tasks = this.placed.get(task.jobId);
    tasks?.delete(task.taskId);
    if (tasks?.size === 0) this.placed.delete(task.jobId);
  }

  /** Counts a failed attempt; returns whether the task may be retried. */
  countFailedAttempt(task: PlacedTask): boolean {
    const key = `${task.jobId}.${task.taskIndex}`;
    const count = (this.attempts.get(key) ?? 0) + 1;
    this.attempts.set(key, count);
    return count < MAX_TASK_ATTEMPTS;
  }

  /** Records why a job was set aside. */
  recordSetAside(jobId: string, reason: string): void {
    this.setAsideReasons.set(jobId, reason);
  }

  /** The placed tasks of a job. */
  *tasksOf(jobId: string): Generator<PlacedTask> {
    yield* this.placed.get(jobId)?.values() ?? [];
  }

  /** Forgets a job that has ended. */
  forget(entry: JobEntry): void {
    this.setAsideReasons.delete(entry.spec.jobId);
    for (let index = 0; index < entry.spec.tasks; index += 1) {
      this.attempts.delete(`${entry.spec.jobId}.${index}`);
    }
  }

  /** Indexes of the tasks that have neither ended nor been placed. */
  unplacedIndexes(entry: JobEntry): readonly number[] {
    const running = new Set<number>();
    for (const task of this.tasksOf(entry.spec.jobId)) {
      running.add(task.taskIndex);
    }
    const unplaced: number[] = [];
    for (let index = 0; index < entry.spec.tasks; index += 1) {
      if (!entry.ended.has(index) && !running.has(index)) unplaced.push(index);
    }
    return unplaced;
  }

  /** Converts a job to the form that the policy takes. */
  toPolicyJob(entry: JobEntry, taskIndexes: readonly number[]): PolicyJob {
    const {spec} = entry;
    return {
      jobId: spec.jobId,
      team: spec.team,
      queue: spec.queue,
      taskIndexes,
      isGang: spec.isGang,
      isService: spec.isService,
      isIdempotent: spec.isIdempotent,
      size: spec.size,
      runMs: spec.runMs,
      acceptedMs: entry.acceptedMs,
    };
  }

  /** The status of a job, as callers get it. */
  status(shard: string, jobId: string, waitReason: string): JobStatus | null {
    const entry = this.shardState.jobs.get(jobId);
    if (entry === undefined) return null;
    const running = [...this.tasksOf(jobId)].filter(this.isStarted).length;
    const setAsideReason = this.setAsideReasons.get(jobId);
    const {spec} = entry;
    return {
      jobId,
      team: spec.team,
      queue: spec.queue,
      shard,
      phase: phaseOf(entry, running, setAsideReason),
      end: entry.end,
      tasksRunning: running,
      tasksEnded: entry.ended.size,
      results: listResults(entry),
      reason:
        entry.end === null ? (setAsideReason ?? waitReason) : entry.reason,
    };
  }
}

function phaseOf(
  entry: JobEntry,
  running: number,
  setAsideReason: string | undefined,
): JobStatus['phase'] {
  if (entry.end !== null) return 'ended';
  if (running > 0) return 'running';
  return setAsideReason === undefined ? 'waiting' : 'setAside';
}

function listResults(entry: JobEntry): readonly string[] {
  return Array.from(
    {length: entry.spec.tasks},
    (_, index) => entry.ended.get(index) ?? '',
  );
}
