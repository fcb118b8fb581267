/** The state of one shard: its ownership and its jobs. */
import type {ProcessRef} from '@dragonflyward/common';
import type {ApplyResult} from '@dragonflyward/log';
import type {JobEnd, JobSpec} from './job-types.js';
import {SHARD_RECORDS} from './record-schema.js';
import type {
  ClaimRecord,
  HandoverRecord,
  JobAcceptedRecord,
  JobEndedRecord,
  ShardRecord,
  SuccessorsRecord,
  TaskEndedRecord,
  TaskStartingRecord,
} from './records.js';
import {SnapshottedState, type ChangeOf} from './snapshotted-state.js';

/** How long an ended job is kept, by the timestamps of the log. */
export const ENDED_JOB_RETENTION_MS = 15 * 60_000;

/** The worker on which a non-idempotent task was about to be started. */
export interface StartingTask {
  readonly taskId: string;
  readonly workerId: string;
}

/** An accepted job. */
export interface JobEntry {
  readonly spec: JobSpec;
  readonly acceptedMs: number;
  /** Results of the ended tasks by task index. */
  readonly ended: ReadonlyMap<number, string>;
  /** Non-idempotent tasks that may have been started, by task index. */
  readonly starting: ReadonlyMap<number, StartingTask>;
  /** How the job ended; null while it is live. */
  readonly end: JobEnd | null;
  /** Log timestamp at which it ended. */
  readonly endedMs: number;
  readonly reason: string;
}

interface OwnershipEntry {
  readonly term: number;
  readonly owner: ProcessRef | null;
  readonly listVersion: number;
  readonly successors: readonly ProcessRef[];
}

interface MutableJob {
  readonly spec: JobSpec;
  readonly acceptedMs: number;
  readonly ended: Map<number, string>;
  readonly starting: Map<number, StartingTask>;
  end: JobEnd | null;
  endedMs: number;
  reason: string;
}

type StoredJob = Omit<JobEntry, 'ended' | 'starting'> & {
  readonly ended: readonly (readonly [number, string])[];
  readonly starting: readonly (readonly [number, StartingTask])[];
};

type TermRecord = Exclude<ChangeOf<ShardRecord>, ClaimRecord>;

/** Ownership and jobs of one shard, computed from its stream. */
export class ShardState extends SnapshottedState<ShardRecord> {
  /** The current term; 0 where the shard never had an owner. */
  term = 0;
  owner: ProcessRef | null = null;
  /** Incremented by each change of the owner or of the successors. */
  listVersion = 0;
  successors: readonly ProcessRef[] = [];
  private readonly jobsById = new Map<string, MutableJob>();
  /** IDs of ended jobs in the order in which they ended. */
  private readonly endedJobIds = new Set<string>();

  constructor(private readonly retentionMs = ENDED_JOB_RETENTION_MS) {
    super(SHARD_RECORDS);
  }

  /** All live jobs, and those that ended within the retention time. */
  get jobs(): ReadonlyMap<string, JobEntry> {
    return this.jobsById;
  }

  protected override applyChange(record: ChangeOf<ShardRecord>): ApplyResult {
    this.dropExpiredJobs();
    if (record.type === 'claim') return this.applyClaim(record);
    if (!this.isCurrent(record)) return 'void';
    return this.applyTermRecord(record);
  }

  /** Whether the record was written under the current term. */
  protected isCurrent(record: TermRecord): boolean {
    return this.owner !== null && record.term === this.term;
  }

  /** Whether the claim is based on the current term and successor list. */
  protected isClaimCurrent(claim: ClaimRecord): boolean {
    if (claim.prevTerm !== this.term) return false;
    return claim.prevListVersion === this.listVersion;
  }

  protected override *entries(): Generator<OwnershipEntry | StoredJob> {
    const {term, owner, listVersion, successors} = this;
    yield {term, owner, listVersion, successors};
    for (const job of this.jobsById.values()) {
      if (job.end === null) yield serializeJob(job);
    }
    for (const jobId of this.endedJobIds) {
      const job = this.jobsById.get(jobId);
      if (job !== undefined) yield serializeJob(job);
    }
  }

  protected override restore(entries: readonly unknown[]): void {
    const [ownership, ...jobs] = entries;
    const {term, owner, listVersion, successors} = ownership as OwnershipEntry;
    this.setOwner(term, owner, listVersion, successors);
    this.jobsById.clear();
    this.endedJobIds.clear();
    for (const entry of jobs as readonly StoredJob[]) this.restoreJob(entry);
  }

  private applyTermRecord(record: TermRecord): ApplyResult {
    switch (record.type) {
      case 'successors':
        return this.applySuccessors(record);
      case 'handover':
        return this.applyHandover(record);
      case 'jobAccepted':
        return this.applyJobAccepted(record);
      case 'taskStarting':
        return this.applyTaskStarting(record);
      case 'taskEnded':
        return this.applyTaskEnded(record);
      case 'jobEnded':
        return this.applyJobEnded(record);
    }
  }

  private applyClaim(claim: ClaimRecord): ApplyResult {
    if (!this.isClaimCurrent(claim)) return 'void';
    const {owner, successors} = claim;
    this.setOwner(this.term + 1, owner, this.listVersion + 1, successors);
    return 'applied';
  }

  private applySuccessors(record: SuccessorsRecord): ApplyResult {
    if (record.prevListVersion !== this.listVersion) return 'void';
    this.listVersion += 1;
    this.successors = record.successors;
    return 'applied';
  }

  private applyHandover({owner, successors}: HandoverRecord): ApplyResult {
    this.setOwner(this.term + 1, owner, this.listVersion + 1, successors);
    return 'applied';
  }

  private setOwner(
    term: number,
    owner: ProcessRef | null,
    listVersion: number,
    successors: readonly ProcessRef[],
  ): void {
    this.term = term;
    this.owner = owner;
    this.listVersion = listVersion;
    this.successors = successors;
  }

  private applyJobAccepted({job, acceptedMs}: JobAcceptedRecord): ApplyResult {
    if (this.jobsById.has(job.jobId)) return 'void';
    this.jobsById.set(job.jobId, {
      spec: job,
      acceptedMs,
      ended: new Map(),
      starting: new Map(),
      end: null,
      endedMs: 0,
      reason: '',
    });
    return 'applied';
  }

  private applyTaskStarting(record: TaskStartingRecord): ApplyResult {
    const {taskIndex, taskId, workerId} = record;
    const job = this.jobWithLiveTask(record.jobId, taskIndex);
    if (job === undefined || job.starting.has(taskIndex)) return 'void';
    job.starting.set(taskIndex, {taskId, workerId});
    return 'applied';
  }

  private applyTaskEnded(record: TaskEndedRecord): ApplyResult {
    const {taskIndex, result} = record;
    const job = this.jobWithLiveTask(record.jobId, taskIndex);
    if (job === undefined) return 'void';
    job.ended.set(taskIndex, result);
    job.starting.delete(taskIndex);
    return 'applied';
  }

  private applyJobEnded({jobId, end, reason}: JobEndedRecord): ApplyResult {
    const job = this.jobsById.get(jobId);
    if (job === undefined || job.end !== null) return 'void';
    job.end = end;
    job.endedMs = this.logMs;
    job.reason = reason;
    this.endedJobIds.add(jobId);
    return 'applied';
  }

  /** Returns the job if it is live and this task of it has not ended. */
  private jobWithLiveTask(
    jobId: string,
    taskIndex: number,
  ): MutableJob | undefined {
    const job = this.jobsById.get(jobId);
    if (job === undefined || job.end !== null) return undefined;
    if (taskIndex >= job.spec.tasks || job.ended.has(taskIndex)) {
      return undefined;
    }
    return job;
  }

  private dropExpiredJobs(): void {
    for (const jobId of this.endedJobIds) {
      const endedMs = this.jobsById.get(jobId)?.endedMs ?? 0;
      if (endedMs + this.retentionMs > this.logMs) return;
      this.endedJobIds.delete(jobId);
      this.jobsById.delete(jobId);
    }
  }

  private restoreJob(entry: StoredJob): void {
    const {jobId} = entry.spec;
    this.jobsById.set(jobId, {
      ...entry,
      ended: new Map(entry.ended),
      starting: new Map(entry.starting),
    });
    if (entry.end !== null) this.endedJobIds.add(jobId);
  }
}

function serializeJob(job: JobEntry): StoredJob {
  return {
    ...job,
    ended: [...job.ended],
    starting: [...job.starting],
  };
}
