/** Submits jobs and follows them to their ends. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {JobEnd, JobStatus} from '@dragonflyward/state';
import type {CallerClient, JobCall, TeamKey} from '@dragonflyward/standins';

const POLL_PERIOD_MS = 250;
const SUBMIT_DEADLINE_MS = 12_000;

/** A job with the key that it is submitted with. */
export interface JobOrder {
  readonly key: TeamKey;
  readonly job: JobCall;
}

/** An accepted job and the newest that was read of it. */
export interface FollowedJob {
  readonly jobId: string;
  readonly order: JobOrder;
  readonly status: JobStatus | undefined;
}

/** A set of jobs of one caller. */
export class JobLoad {
  private readonly followed = new Map<string, FollowedJob>();
  readonly refused: string[] = [];

  constructor(private readonly caller: CallerClient) {}

  get jobs(): readonly FollowedJob[] {
    return [...this.followed.values()];
  }

  /** Submits a job until it is accepted or its deadline has passed. */
  async submit(order: JobOrder): Promise<string> {
    const {key, job} = order;
    const res = await this.caller.submit(key.text, job, SUBMIT_DEADLINE_MS);
    if (res.outcome === 'answered') {
      const {jobId} = res;
      this.followed.set(jobId, {jobId, order, status: undefined});
      return jobId;
    }
    this.refused.push(`${job.id}: ${res.outcome} ${res.kind}`);
    return '';
  }

  /** Reads the jobs until all have ended or the time has run out. */
  async follow(boundMs: number): Promise<void> {
    const endMs = performance.now() + boundMs;
    while (performance.now() < endMs && this.open().length > 0) {
      await Promise.all(this.open().map(job => this.read(job)));
      await sleep(POLL_PERIOD_MS);
    }
  }

  /** The accepted jobs that have not ended. */
  open(): readonly FollowedJob[] {
    return this.jobs.filter(job => job.status?.phase !== 'ended');
  }

  count(end: JobEnd): number {
    return this.jobs.filter(job => job.status?.end === end).length;
  }

  private async read(job: FollowedJob): Promise<void> {
    const {key} = job.order;
    const status = await this.caller.status(key.text, job.jobId);
    if (status === undefined) return;
    this.followed.set(job.jobId, {...job, status});
  }
}
