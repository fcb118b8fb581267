/** Writes the job records of a term: accepts, starts, results and ends. */
import {
  raise,
  toFailure,
  type Clock,
  type Metrics,
} from '@dragonflyward/common';
import type {StreamWriter} from '@dragonflyward/log';
import {
  RECORD_VERSION,
  type JobEnd,
  type JobEntry,
  type ShardRecord,
  type ShardState,
} from '@dragonflyward/state';
import {UNKNOWN_RESULT} from './job-tracker.js';

const RETRY_PERIOD_MS = 500;

type WithoutEnvelope<T> = T extends unknown ? Omit<T, 'v' | 'term'> : never;
type JobRecord = Extract<
  ShardRecord,
  {type: 'jobAccepted' | 'taskEnded' | 'jobEnded' | 'taskStarting'}
>;

/** A job record without its version and term. */
export type JobRecordBody = WithoutEnvelope<JobRecord>;

/** Dependencies of the job records. */
export interface JobRecordsParts {
  readonly term: number;
  readonly shardState: ShardState;
  readonly writer: StreamWriter;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** The job records of one term. */
export class JobRecords {
  private readonly pendingEnds = new Set<string>();
  private readonly pendingResults = new Set<string>();
  private isStopped = false;

  constructor(private readonly parts: JobRecordsParts) {}

  /** Stops all retries. */
  stop(): void {
    this.isStopped = true;
  }

  /**
   * Writes a record once.
   *
   * @throws notOwner if the term has ended, logDown, appendUnknown
   * @example
   * await records.write({type: 'jobAccepted', acceptedMs, job});
   */
  async write(body: JobRecordBody): Promise<void> {
    const {term, writer} = this.parts;
    const result = await writer.write({v: RECORD_VERSION, term, ...body});
    if (result !== 'applied') raise('notOwner', `term ${term} has ended`);
  }

  /** Whether a job's end is being written, or is stored. */
  isEnding(entry: JobEntry): boolean {
    return entry.end !== null || this.pendingEnds.has(entry.spec.jobId);
  }

  /** Confirms a written end: it was read back from the log. */
  confirmEnd(jobId: string): void {
    this.pendingEnds.delete(jobId);
  }

  /** Writes the result of one task; retries until it is stored. */
  recordResult(jobId: string, taskIndex: number, result: string): void {
    if (this.isResultPending(jobId, taskIndex)) return;
    this.pendingResults.add(resultKey(jobId, taskIndex));
    const body = {type: 'taskEnded', jobId, taskIndex, result} as const;
    void this.writeUntilStored(body).finally(() => {
      this.pendingResults.delete(resultKey(jobId, taskIndex));
    });
  }

  /** Whether a task's result is being written. */
  isResultPending(jobId: string, taskIndex: number): boolean {
    return this.pendingResults.has(resultKey(jobId, taskIndex));
  }

  /** Writes the end of a job; retries until it is stored. */
  recordEnd(jobId: string, end: JobEnd, reason: string): void {
    if (this.pendingEnds.has(jobId)) return;
    this.pendingEnds.add(jobId);
    void this.writeUntilStored({type: 'jobEnded', jobId, end, reason});
  }

  /**
   * Writes a cancellation once.
   *
   * @throws notOwner, logDown, appendUnknown
   */
  async cancel(jobId: string): Promise<void> {
    const reason = 'cancelled by its team';
    await this.write({type: 'jobEnded', jobId, end: 'cancelled', reason});
  }

  /** Ends a job if all its tasks have ended. */
  endIfComplete(jobId: string): void {
    const entry = this.parts.shardState.jobs.get(jobId);
    if (entry === undefined || this.isEnding(entry)) return;
    if (entry.ended.size < entry.spec.tasks) return;
    const isUnknown = [...entry.ended.values()].includes(UNKNOWN_RESULT);
    this.recordEnd(jobId, isUnknown ? 'outcomeUnknown' : 'succeeded', '');
  }

  private async writeUntilStored(body: JobRecordBody): Promise<void> {
    while (!this.isStopped) {
      try {
        return await this.write(body);
      } catch (err) {
        const {kind} = toFailure(err);
        this.parts.metrics.count(`record_retries_total{kind="${kind}"}`);
        if (kind === 'notOwner') return;
        await this.parts.clock.sleep(RETRY_PERIOD_MS);
      }
    }
  }
}

function resultKey(jobId: string, taskIndex: number): string {
  return `${jobId}.${taskIndex}`;
}
