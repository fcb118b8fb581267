/** Submits jobs and polls their status until they end. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {JobEnd, JobStatus} from '@dragonflyward/state';
import type {CallerClient, JobCall, TeamKey} from '@dragonflyward/standins';

const POLL_PERIOD_MS = 250;
const SUBMIT_DEADLINE_MS = 12_000;

/** A job and the team key to submit it with. */
export interface JobSubmission {
  readonly key: TeamKey;
  readonly job: JobCall;
}

/** An accepted job and its last known status. */
export interface TrackedJob {
  readonly jobId: string;
  readonly submission: JobSubmission;
  readonly status: JobStatus | undefined;
}

/** The jobs of one caller. */
export class JobLoad {
  private readonly tracked = new Map<string, TrackedJob>();
  readonly refused: string[] = [];

  constructor(private readonly caller: CallerClient) {}

  get jobs(): readonly TrackedJob[] {
    return [...this.tracked.values()];
  }

  /** Submits a job with retries; returns its id, or '' if not accepted. */
  async submit(submission: JobSubmission): Promise<string> {
    const {key, job} = submission;
    const res = await this.caller.submit(key.text, job, SUBMIT_DEADLINE_MS);
    if (res.outcome === 'answered') {
      const {jobId} = res;
      this.tracked.set(jobId, {
        jobId,
        submission,
        status: undefined,
      });
      return jobId;
    }
    this.refused.push(`${job.id}: ${res.outcome} ${res.kind}`);
    return '';
  }

  /** Polls until all accepted jobs have ended or the timeout has passed. */
  async pollUntilEnded(timeoutMs: number): Promise<void> {
    const endMs = performance.now() + timeoutMs;
    while (performance.now() < endMs && this.openJobs().length > 0) {
      await Promise.all(this.openJobs().map(job => this.refreshStatus(job)));
      await sleep(POLL_PERIOD_MS);
    }
  }

  /** Returns the accepted jobs that have not ended. */
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
