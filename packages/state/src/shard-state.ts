/** The state of one shard: who owns it, and its jobs. */
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
import {SnapshotFold, type ChangeOf} from './snapshot-fold.js';

/** How long an ended job is kept, in the log's time. */
export const ENDED_JOB_KEPT_MS = 15 * 60_000;

/** Where a non-idempotent task was about to be started. */
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
  /** The log's time at which it ended. */
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

type JobDump = Omit<JobEntry, 'ended' | 'starting'> & {
  readonly ended: readonly (readonly [number, string])[];
  readonly starting: readonly (readonly [number, StartingTask])[];
};

type TermRecord = Exclude<ChangeOf<ShardRecord>, ClaimRecord>;

/** Ownership and jobs of one shard, folded from its stream. */
export class ShardState extends SnapshotFold<ShardRecord> {
  /** The current term; 0 where the shard never had an owner. */
  term = 0;
  owner: ProcessRef | null = null;
  /** Grows with each change of the owner or of the successors. */
  listVersion = 0;
  successors: readonly ProcessRef[] = [];
  private readonly jobMap = new Map<string, MutableJob>();
  /** Ended jobs in the order in which they ended. */
  private readonly endedIds = new Set<string>();

  constructor(private readonly keptMs = ENDED_JOB_KEPT_MS) {
    super(SHARD_RECORDS);
  }

  /** All jobs that are live or ended not long ago. */
  get jobs(): ReadonlyMap<string, JobEntry> {
    return this.jobMap;
  }

  protected override applyChange(change: ChangeOf<ShardRecord>): ApplyResult {
    this.forgetEnded();
    if (change.type === 'claim') return this.claim(change);
    if (!this.isCurrent(change)) return 'void';
    return this.applyUnderTerm(change);
  }

  /** Whether the record was written under the current term. */
  protected isCurrent(change: TermRecord): boolean {
    return this.owner !== null && change.term === this.term;
  }

  /** Whether a claim cites the current term and list. */
  protected isClaimCurrent(claim: ClaimRecord): boolean {
    if (claim.prevTerm !== this.term) return false;
    return claim.prevListVersion === this.listVersion;
  }

  protected override *entries(): Generator<OwnershipEntry | JobDump> {
    const {term, owner, listVersion, successors} = this;
    yield {term, owner, listVersion, successors};
    for (const job of this.jobMap.values()) {
      if (job.end === null) yield dumpJob(job);
    }
    for (const jobId of this.endedIds) {
      const job = this.jobMap.get(jobId);
      if (job !== undefined) yield dumpJob(job);
    }
  }

  protected override restore(entries: readonly unknown[]): void {
    const [ownership, ...jobs] = entries;
    const {term, owner, listVersion, successors} = ownership as OwnershipEntry;
    this.setOwner(term, owner, listVersion, successors);
    this.jobMap.clear();
    this.endedIds.clear();
    for (const dump of jobs as readonly JobDump[]) this.restoreJob(dump);
  }

  private applyUnderTerm(change: TermRecord): ApplyResult {
    switch (change.type) {
      case 'successors':
        return this.replaceSuccessors(change);
      case 'handover':
        return this.handOver(change);
      case 'jobAccepted':
        return this.acceptJob(change);
      case 'taskStarting':
        return this.noteStarting(change);
      case 'taskEnded':
        return this.noteTaskEnded(change);
      case 'jobEnded':
        return this.noteJobEnded(change);
    }
  }

  private claim(claim: ClaimRecord): ApplyResult {
    if (!this.isClaimCurrent(claim)) return 'void';
    const {owner, successors} = claim;
    this.setOwner(this.term + 1, owner, this.listVersion + 1, successors);
    return 'applied';
  }

  private replaceSuccessors(change: SuccessorsRecord): ApplyResult {
    if (change.prevListVersion !== this.listVersion) return 'void';
    this.listVersion += 1;
    this.successors = change.successors;
    return 'applied';
  }

  private handOver({owner, successors}: HandoverRecord): ApplyResult {
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

  private acceptJob({job, acceptedMs}: JobAcceptedRecord): ApplyResult {
    if (this.jobMap.has(job.jobId)) return 'void';
    this.jobMap.set(job.jobId, {
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

  private noteStarting(change: TaskStartingRecord): ApplyResult {
    const {taskIndex, taskId, workerId} = change;
    const job = this.liveJob(change.jobId, taskIndex);
    if (job === undefined || job.starting.has(taskIndex)) return 'void';
    job.starting.set(taskIndex, {taskId, workerId});
    return 'applied';
  }

  private noteTaskEnded(change: TaskEndedRecord): ApplyResult {
    const {taskIndex, result} = change;
    const job = this.liveJob(change.jobId, taskIndex);
    if (job === undefined) return 'void';
    job.ended.set(taskIndex, result);
    job.starting.delete(taskIndex);
    return 'applied';
  }

  private noteJobEnded({jobId, end, reason}: JobEndedRecord): ApplyResult {
    const job = this.jobMap.get(jobId);
    if (job === undefined || job.end !== null) return 'void';
    job.end = end;
    job.endedMs = this.logMs;
    job.reason = reason;
    this.endedIds.add(jobId);
    return 'applied';
  }

  /** The job, if it is live and this task of it has not ended. */
  private liveJob(jobId: string, taskIndex: number): MutableJob | undefined {
    const job = this.jobMap.get(jobId);
    if (job === undefined || job.end !== null) return undefined;
    if (taskIndex >= job.spec.tasks || job.ended.has(taskIndex)) {
      return undefined;
    }
    return job;
  }

  private forgetEnded(): void {
    for (const jobId of this.endedIds) {
      const endedMs = this.jobMap.get(jobId)?.endedMs ?? 0;
      if (endedMs + this.keptMs > this.logMs) return;
      this.endedIds.delete(jobId);
      this.jobMap.delete(jobId);
    }
  }

  private restoreJob(dump: JobDump): void {
    const {jobId} = dump.spec;
    this.jobMap.set(jobId, {
      ...dump,
      ended: new Map(dump.ended),
      starting: new Map(dump.starting),
    });
    if (dump.end !== null) this.endedIds.add(jobId);
  }
}

function dumpJob(job: JobEntry): JobDump {
  return {
    ...job,
    ended: [...job.ended],
    starting: [...job.starting],
  };
}
