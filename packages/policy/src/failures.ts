/** On which workers the tasks of a job have failed. */

/** Jobs of which failures are remembered; the oldest are forgotten. */
const MAX_JOBS = 10_000;

const NO_WORKERS: ReadonlySet<string> = new Set();

/** The failures of each job that has not yet succeeded. */
export class JobFailures {
  private readonly byJob = new Map<string, Set<string>>();

  /** Notes that a task of the job failed on this worker. */
  note(jobId: string, workerId: string): void {
    const workers = this.byJob.get(jobId) ?? new Set();
    workers.add(workerId);
    this.byJob.set(jobId, workers);
    if (this.byJob.size <= MAX_JOBS) return;
    const [oldest] = this.byJob.keys();
    if (oldest !== undefined) this.byJob.delete(oldest);
  }

  /** Forgets a job that succeeded or was set aside. */
  forget(jobId: string): void {
    this.byJob.delete(jobId);
  }

  /** The workers on which the job failed. */
  workersOf(jobId: string): ReadonlySet<string> {
    return this.byJob.get(jobId) ?? NO_WORKERS;
  }
}
