/** Serves the job requests of callers: submit, cancel, status and list. */
import {raise, type Clock, type Metrics} from '@dragonflyward/common';
import type {JobListAsk, JobSubmit} from '@dragonflyward/peer';
import type {PlacementEngine, PolicyJob} from '@dragonflyward/policy';
import type {
  ConfigState,
  JobSpec,
  JobStatus,
  ShardState,
} from '@dragonflyward/state';
import type {JobTracker} from './job-tracker.js';
import type {JobRecords} from './job-records.js';
import type {TakeoverGuard} from './takeover-guard.js';

const CLOSED_REASON = 'the failure domain is closed, so no task starts';
const TAKEOVER_REASON = 'waits for workers to answer after a takeover';

/** Dependencies of the job service. */
export interface JobServiceParts {
  readonly shard: string;
  readonly shardState: ShardState;
  readonly config: ConfigState;
  readonly engine: PlacementEngine;
  readonly tracker: JobTracker;
  readonly records: JobRecords;
  readonly guard: TakeoverGuard;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly mayAct: () => boolean;
}

/** Serves the jobs of one shard during one term. */
export class JobService {
  constructor(private readonly parts: JobServiceParts) {}

  /**
   * Accepts a job; it is stored in the log when this returns.
   *
   * @throws duplicateId, neverRunnable, queueUnknown, queueFull, notOwner,
   *     logDown, appendUnknown
   * @example
   * await service.submit(ask);
   */
  async submit(ask: JobSubmit): Promise<void> {
    this.requireOwnership();
    if (this.isDuplicate(ask)) return;
    const job = toJobSpec(ask);
    const acceptedMs = this.parts.clock.wallMs();
    this.requireRunnable(job, acceptedMs);
    this.requireQueueCapacity(job);
    const body = {type: 'jobAccepted', acceptedMs, job} as const;
    await this.parts.records.write(body);
    this.parts.metrics.count('jobs_accepted_total');
  }

  /**
   * Cancels a job; does nothing if the job has ended.
   *
   * @throws jobUnknown, notOwner, logDown, appendUnknown
   */
  async cancel(jobId: string): Promise<void> {
    this.requireOwnership();
    const entry = this.parts.shardState.jobs.get(jobId);
    if (entry === undefined) return raise('jobUnknown', jobId);
    if (entry.end !== null) return;
    await this.parts.records.cancel(jobId);
  }

  /**
   * Returns a job's status.
   *
   * @throws jobUnknown, notOwner
   */
  status(jobId: string): JobStatus {
    this.requireOwnership();
    const {shard, engine, guard, tracker, config} = this.parts;
    const cause = guard.isHoldOver ? engine.explain(jobId) : TAKEOVER_REASON;
    const isClosed = config.isDomainClosed(shard);
    const reason = isClosed ? `${CLOSED_REASON}; ${cause}` : cause;
    const status = tracker.status(shard, jobId, reason);
    return status ?? raise('jobUnknown', jobId);
  }

  /** Lists the newest jobs of a team; of all teams if the name is empty. */
  list(ask: JobListAsk): readonly JobStatus[] {
    this.requireOwnership();
    const ids: string[] = [];
    for (const [jobId, {spec}] of this.parts.shardState.jobs) {
      if (ask.team === '' || spec.team === ask.team) ids.push(jobId);
    }
    const newest = ids.slice(-ask.maxJobs);
    return newest.map(jobId => this.status(jobId));
  }

  private isDuplicate(ask: JobSubmit): boolean {
    const known = this.parts.shardState.jobs.get(ask.jobId);
    if (known === undefined) return false;
    const {team, queue} = known.spec;
    const isSame = team === ask.team && queue === ask.queue;
    return isSame || raise('duplicateId', ask.jobId);
  }

  private requireOwnership(): void {
    if (!this.parts.mayAct()) raise('notOwner', this.parts.shard);
  }

  private requireRunnable(spec: JobSpec, acceptedMs: number): void {
    const job: PolicyJob = {
      ...spec,
      acceptedMs,
      taskIndexes: Array.from({length: spec.tasks}, (_, index) => index),
    };
    const obstacle = this.parts.engine.findUnplaceableReason(job);
    if (obstacle !== '') raise('neverRunnable', obstacle);
  }

  private requireQueueCapacity(job: JobSpec): void {
    const queue = this.parts.config.queue(job.queue);
    if (queue === undefined) return raise('queueUnknown', job.queue);
    if (this.parts.engine.countWaitingTasks() >= queue.maxWaiting) {
      raise('queueFull', job.queue);
    }
  }
}

function toJobSpec(ask: JobSubmit): JobSpec {
  return {
    jobId: ask.jobId,
    team: ask.team,
    queue: ask.queue,
    tasks: ask.tasks,
    isGang: ask.isGang,
    isService: ask.isService,
    isIdempotent: ask.isIdempotent,
    size: ask.size,
    runMs: ask.runMs,
    payload: ask.payload,
  };
}
