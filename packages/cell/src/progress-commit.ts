/** Stores changes, then acknowledges ends and publishes final phases. */
import type {Clock, Metrics} from '@dragonflyward/common';
import {encode} from 'cbor-x';
import type {CellState} from './cell-state.js';
import type {ExecutorState} from './executor-state.js';
import {addService, type JobState} from './job-state.js';
import type {Ownership} from './ownership.js';
import type {LogFunction} from './platform.js';
import {
  forgetStoredParts,
  PROGRESS_PREFIX,
  progressRecords,
} from './progress-records.js';
import type {ProgressWriter} from './progress-writer.js';
import {cancelKey, EXECUTOR_PREFIX, jobKey, JOBS_TOPICS} from './records.js';
import {Signal} from './signal.js';
import type {KeyedRecord, Store} from './store.js';
import {isFinal} from './types.js';

/** Delay after an append in which further changes are batched, in ms. */
const COMMIT_INTERVAL_MS = 10;
/** Interval at which acknowledgements are checked without a signal, in ms. */
const IDLE_WAIT_MS = 100;
/** Delay before the deletion of expired jobs is retried, in ms. */
const DELETION_RETRY_MS = 5000;

/** Dependencies of the progress commit. */
export interface ProgressCommitDeps {
  readonly state: CellState;
  readonly store: Store;
  readonly writer: ProgressWriter;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: LogFunction;
  readonly ownership: Ownership;
  /** Called when an executor's record is stored: it may be given work. */
  readonly onExecutorStored: (executor: ExecutorState) => void;
  /** Called when ends of an executor are stored: it may forget them. */
  readonly onAck: (executor: ExecutorState) => void;
  /** Called when a service is stored on which tasks may start from now on. */
  readonly onServiceStored: () => void;
  /** Called when the final phases of jobs are stored. */
  readonly onFinal: (jobs: readonly JobState[]) => void;
}

/** Collects changes and stores them in batches. */
export class ProgressCommit {
  private readonly changedJobs = new Set<JobState>();
  private readonly newExecutors = new Set<ExecutorState>();
  private readonly goneExecutors = new Set<string>();
  private readonly expiredJobs: string[] = [];
  /** Jobs whose records are deleted, but not yet their progress. */
  private readonly deletedJobs: string[] = [];
  private readonly signal: Signal;
  private isClosed = false;

  constructor(private readonly deps: ProgressCommitDeps) {
    this.signal = new Signal(deps.clock);
  }

  /** Commits until it is closed. */
  async run(): Promise<void> {
    while (!this.isClosed) {
      const hasWork = await this.commitOnce();
      if (hasWork) await this.deps.clock.sleep(COMMIT_INTERVAL_MS);
      else await this.signal.wait(IDLE_WAIT_MS);
    }
  }

  /** Stops committing. */
  close(): void {
    this.isClosed = true;
    this.signal.raise();
  }

  /** Checks at once for changes to store or ends to acknowledge. */
  wake(): void {
    this.signal.raise();
  }

  /** Marks the progress of a job to be stored. */
  addJob(job: JobState): void {
    this.changedJobs.add(job);
    this.signal.raise();
  }

  /** Marks an executor whose record must be stored before it gets work. */
  addExecutor(executor: ExecutorState): void {
    this.goneExecutors.delete(executor.info.id);
    this.newExecutors.add(executor);
    this.signal.raise();
  }

  /** Unmarks an executor whose record is stored already. */
  removeExecutor(executor: ExecutorState): void {
    this.newExecutors.delete(executor);
  }

  /** Marks a gone executor: later owners need not look for its runs. */
  addGoneExecutor(executor: ExecutorState): void {
    this.newExecutors.delete(executor);
    this.goneExecutors.add(executor.info.id);
    this.signal.raise();
  }

  /** Marks a job that ended long ago for deletion from the store. */
  addExpiredJob(jobId: string): void {
    this.expiredJobs.push(jobId);
  }

  /** Stores all changes, then acknowledges ends and publishes final phases. */
  private async commitOnce(): Promise<boolean> {
    const acks = this.collectAcks();
    const jobs = [...this.changedJobs];
    // Others may become final while their earlier progress is being stored.
    const final = jobs.filter(({phase}) => isFinal(phase));
    const services = jobs.map(job => ({job, service: job.queue.service}));
    const executors = [...this.newExecutors];
    const gone = [...this.goneExecutors];
    const expired = this.expiredJobs.splice(0);
    const deleted = this.deletedJobs.splice(0);
    this.changedJobs.clear();
    this.newExecutors.clear();
    this.goneExecutors.clear();
    const records = [
      ...jobs.flatMap(job => progressRecords(job, this.deps.store.limits)),
      ...executors.map(executorRecord),
      ...gone.map(id => tombstone(EXECUTOR_PREFIX + id)),
      ...deleted.map(id => tombstone(PROGRESS_PREFIX + id)),
    ];
    if (expired.length > 0) void this.deleteStoredJobs(expired);
    try {
      if (records.length > 0 && !(await this.store(records))) return false;
    } catch (err) {
      // They are stored by the next commit.
      for (const job of jobs) {
        forgetStoredParts(job);
        this.changedJobs.add(job);
      }
      for (const executor of executors) this.newExecutors.add(executor);
      for (const id of gone) this.goneExecutors.add(id);
      this.deletedJobs.push(...deleted);
      throw err;
    }
    for (const executor of executors) {
      // Its address may have changed while the former one was being stored.
      if (this.newExecutors.has(executor)) continue;
      this.deps.onExecutorStored(executor);
    }
    for (const ack of acks) this.acknowledge(ack);
    this.recordServices(services);
    this.publishFinal(final);
    return records.length > 0 || acks.length > 0;
  }

  private async store(records: readonly KeyedRecord[]): Promise<boolean> {
    const {clock, metrics, ownership, writer} = this.deps;
    const sentMs = clock.monotonicMs();
    const isStored = await writer.write(records);
    metrics.record('commit_us', (clock.monotonicMs() - sentMs) * 1000);
    if (!isStored) ownership.revoke();
    return isStored;
  }

  /**
   * Deletes the records of jobs. Their progress is deleted after that: a job
   * without progress would run again.
   */
  private async deleteStoredJobs(ids: readonly string[]): Promise<void> {
    const keys = ids.flatMap(id => [jobKey(id), cancelKey(id)]);
    try {
      for (const topic of JOBS_TOPICS) {
        await this.deps.store.append(topic, keys.map(tombstone));
      }
      this.deletedJobs.push(...ids);
    } catch (err) {
      this.deps.log('forgetFailed', {jobs: ids.length, err: String(err)});
      await this.deps.clock.sleep(DELETION_RETRY_MS);
      this.expiredJobs.push(...ids);
    }
  }

  private collectAcks(): readonly Ack[] {
    const acks: Ack[] = [];
    for (const executor of this.deps.state.executors.values()) {
      const {processedThrough, ackedThrough, bornMs} = executor;
      if (processedThrough === ackedThrough) continue;
      acks.push({executor, through: processedThrough, bornMs});
    }
    return acks;
  }

  private acknowledge({executor, through, bornMs}: Ack): void {
    if (executor.bornMs !== bornMs) return;
    executor.ackedThrough = Math.max(executor.ackedThrough, through);
    this.deps.onAck(executor);
  }

  private recordServices(stored: readonly StoredService[]): void {
    const added = stored.filter(
      ({job, service}) => !job.services.includes(service),
    );
    for (const {job, service} of added) addService(job, service);
    if (added.length > 0) this.deps.onServiceStored();
  }

  private publishFinal(jobs: readonly JobState[]): void {
    const final = jobs.filter(({finalMs}) => finalMs === 0);
    if (final.length === 0) return;
    for (const job of final) {
      job.visiblePhase = job.phase;
      job.finalMs = this.deps.clock.monotonicMs();
      const tookMs = this.deps.clock.wallMs() - job.acceptedMs;
      const {queue, organisation, phase} = job;
      this.deps.log('jobEnded', {
        job: job.id,
        phase,
        queue: queue.name,
        organisation,
        tookMs,
      });
    }
    this.deps.onFinal(final);
  }
}

/** The service that a job's queue was sent to when its progress was written. */
interface StoredService {
  readonly job: JobState;
  readonly service: string;
}

interface Ack {
  readonly executor: ExecutorState;
  readonly through: number;
  readonly bornMs: number;
}

function executorRecord(executor: ExecutorState): KeyedRecord {
  const {info, largestCapacity} = executor;
  const capacity = {...info.capacity, ...largestCapacity};
  const value = encode({...info, capacity});
  return {key: EXECUTOR_PREFIX + info.id, value};
}

function tombstone(key: string): KeyedRecord {
  return {key, value: new Uint8Array(0)};
}
