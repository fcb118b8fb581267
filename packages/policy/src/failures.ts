/** On which workers the tasks of a job have failed. */

/** Jobs and tasks of which failures are kept; the oldest are forgotten. */
const MAX_KEYS = 10_000;

const NO_WORKERS: ReadonlySet<string> = new Set();

/** The failures of each job, and of each task, that has not succeeded. */
export class JobFailures {
  private readonly byKey = new Map<string, Set<string>>();

  /** Notes that a task of the job failed on this worker. */
  note(jobId: string, taskIndex: number, workerId: string): void {
    this.add(jobId, workerId);
    this.add(taskKey(jobId, taskIndex), workerId);
  }

  /** Forgets what a success has disproved. */
  noteSuccess(jobId: string, taskIndex: number): void {
    this.byKey.delete(jobId);
    this.byKey.delete(taskKey(jobId, taskIndex));
  }

  /** The workers on which tasks of the job failed since one succeeded. */
  workersOf(jobId: string): ReadonlySet<string> {
    return this.byKey.get(jobId) ?? NO_WORKERS;
  }

  /** The workers on which this task failed. */
  workersOfTask(jobId: string, taskIndex: number): ReadonlySet<string> {
    return this.byKey.get(taskKey(jobId, taskIndex)) ?? NO_WORKERS;
  }

  private add(key: string, workerId: string): void {
    const workers = this.byKey.get(key) ?? new Set();
    workers.add(workerId);
    this.byKey.set(key, workers);
    if (this.byKey.size <= MAX_KEYS) return;
    const [oldest] = this.byKey.keys();
    if (oldest !== undefined) this.byKey.delete(oldest);
  }
}

function taskKey(jobId: string, taskIndex: number): string {
  return `${jobId}.${taskIndex}`;
}
