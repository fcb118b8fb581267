/** Submits jobs and follows them to their ends. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {JobEnd, JobStatus} from '@dragonflyward/state';
import type {CallerClient, JobCall, TeamKey} from '@dragonflyward/standins';

const POLL_PERIOD_MS = 250;
const SUBMIT_DEADLINE_MS = 12_000;

/** A job with the key that it is submitted with. */
export interface JobSubmission {
  readonly key: TeamKey;
  readonly job: JobCall;
}

/** An accepted job and the newest that was read of it. */
export interface TrackedJob {
  readonly jobId: string;
  readonly submission: JobSubmission;
  readonly status: JobStatus | undefined;
}

/** A set of jobs of one caller. */
export class JobLoad {
  private readonly tracked = new Map<string, TrackedJob>();
  readonly refused: string[] = [];

  constructor(private readonly caller: CallerClient) {}

  get jobs(): readonly TrackedJob[] {
    return [...this.tracked.values()];
  }

  /** Submits a job until it is accepted or its deadline has passed. */
  async submit(submission: JobSubmission): Promise<string> {
    const {key, job} = submission;
    const res = await this.caller.submit(key.text, job, SUBMIT_DEADLINE_MS);
    if (res.outcome === 'answered') {
      const {jobId} = res;
      this.tracked.set(jobId, {
        jobId,
        submission: submission,
        status: undefined,
      });
      return jobId;
    }
    this.refused.push(`${job.id}: ${res.outcome} ${res.kind}`);
    return '';
  }

  /** Reads the jobs until all have ended or the time has run out. */
  async pollUntilEnded(timeoutMs: number): Promise<void> {
    const endMs = performance.now() + timeoutMs;
    while (performance.now() < endMs && this.openJobs().length > 0) {
      await Promise.all(this.openJobs().map(job => this.refreshStatus(job)));
      await sleep(POLL_PERIOD_MS);
    }
  }

  /** The accepted jobs that have not ended. */
  openJobs(): readonly TrackedJob[] {
    return this.jobs.filter(job => job.status?.phase !== 'ended');
  }

  count(end: JobEnd): number {
    return this.jobs.filter(job => job.status?.end === end).length;
  }

  private async refreshStatus(job: TrackedJob): Promise<void> {
    const {key} = job.submission;
    const status = await this.caller.status(key.text, job.jobId);
    if (status === undefined) return;
    this.tracked.set(job.jobId, {...job, status});
  }
}
