/** Tracks the workers on which the tasks of a job have failed. */

/** Jobs and tasks whose failures are kept; the oldest are dropped. */
const MAX_TRACKED_KEYS = 10_000;

const NO_WORKERS: ReadonlySet<string> = new Set();

/** The failures of each job and task since its last success. */
export class JobFailures {
  private readonly workersByKey = new Map<string, Set<string>>();

  /** Records that a task of the job failed on this worker. */
  recordFailure(jobId: string, taskIndex: number, workerId: string): void {
    this.add(jobId, workerId);
    this.add(taskKey(jobId, taskIndex), workerId);
  }

  /** Clears the failures of a job and a task after the task succeeded. */
  clearFailures(jobId: string, taskIndex: number): void {
    this.workersByKey.delete(jobId);
    this.workersByKey.delete(taskKey(jobId, taskIndex));
  }

  /** The workers on which tasks of the job failed since one succeeded. */
  workersOf(jobId: string): ReadonlySet<string> {
    return this.workersByKey.get(jobId) ?? NO_WORKERS;
  }

  /** The workers on which this task failed. */
  workersOfTask(jobId: string, taskIndex: number): ReadonlySet<string> {
    return this.workersByKey.get(taskKey(jobId, taskIndex)) ?? NO_WORKERS;
  }

  private add(key: string, workerId: string): void {
    const workers = this.workersByKey.get(key) ?? new Set();
    workers.add(workerId);
    this.workersByKey.set(key, workers);
    if (this.workersByKey.size <= MAX_TRACKED_KEYS) return;
    const [oldest] = this.workersByKey.keys();
    if (oldest !== undefined) this.workersByKey.delete(oldest);
  }
}

function taskKey(jobId: string, taskIndex: number): string {
  return `${jobId}.${taskIndex}`;
}
