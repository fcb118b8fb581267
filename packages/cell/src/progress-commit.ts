/** Stores what has changed, then acknowledges ends and shows final phases. */
import type {Clock, Metrics} from '@dragonflyward/common';
import {encode} from 'cbor-x';
import type {CellState} from './cell-state.js';
import type {ExecutorState} from './executor-state.js';
import type {JobState} from './job-state.js';
import type {Ownership} from './ownership.js';
import type {LogLine} from './platform.js';
import type {ProgressWriter} from './progress-writer.js';
import {
  cancelKey,
  encodeProgress,
  EXECUTOR_PREFIX,
  jobKey,
  JOBS_TOPICS,
  PROGRESS_PREFIX,
} from './records.js';
import {Signal} from './signal.js';
import type {KeyedRecord, Store} from './store.js';
import {isFinal} from './types.js';

/** Pause after an append of progress, in which more is gathered, in ms. */
const COMMIT_GAP_MS = 10;
/** Time after which acknowledgements are looked for without a signal, in ms. */
const IDLE_MS = 100;

/** What the commits need of their owner. */
export interface CommitDeps {
  readonly state: CellState;
  readonly store: Store;
  readonly writer: ProgressWriter;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: LogLine;
  readonly ownership: Ownership;
  /** An executor's name is stored: it may be given work. */
  readonly onStoredExecutor: (executor: ExecutorState) => void;
  /** Ends of an executor are stored: it may forget them. */
  readonly onAck: (executor: ExecutorState) => void;
  /** The final phases of jobs are stored. */
  readonly onFinal: (jobs: readonly JobState[]) => void;
}

/** Gathers changes and stores them in groups. */
export class ProgressCommit {
  private readonly dirtyJobs = new Set<JobState>();
  private readonly newExecutors = new Set<ExecutorState>();
  private readonly goneExecutors = new Set<string>();
  private readonly forgotten: string[] = [];
  private readonly signal: Signal;
  private isClosed = false;

  constructor(private readonly deps: CommitDeps) {
    this.signal = new Signal(deps.clock);
  }

  /** Stores until it is closed. */
  async run(): Promise<void> {
    while (!this.isClosed) {
      const hasWork = await this.commitOnce();
      if (hasWork) await this.deps.clock.sleep(COMMIT_GAP_MS);
      else await this.signal.wait(IDLE_MS);
    }
  }

  /** Stores nothing more. */
  close(): void {
    this.isClosed = true;
    this.signal.raise();
  }

  /** Looks soon for what has to be stored or acknowledged. */
  poke(): void {
    this.signal.raise();
  }

  /** The progress of a job has to be stored. */
  addJob(job: JobState): void {
    this.dirtyJobs.add(job);
    this.signal.raise();
  }

  /** The name of an executor has to be stored before it gets work. */
  addExecutor(executor: ExecutorState): void {
    this.goneExecutors.delete(executor.info.id);
    this.newExecutors.add(executor);
    this.signal.raise();
  }

  /** The name of an executor is stored already. */
  dropExecutor(executor: ExecutorState): void {
    this.newExecutors.delete(executor);
  }

  /** An executor is gone: a later owner need not look for its runs. */
  addGone(executor: ExecutorState): void {
    this.newExecutors.delete(executor);
    this.goneExecutors.add(executor.info.id);
    this.signal.raise();
  }

  /** A job that ended long ago is dropped from the store. */
  addForgotten(jobId: string): void {
    this.forgotten.push(jobId);
  }

  /** Stores what has changed, then acknowledges and shows it. */
  private async commitOnce(): Promise<boolean> {
    const acks = this.readAcks();
    const jobs = [...this.dirtyJobs];
    const executors = [...this.newExecutors];
    const gone = [...this.goneExecutors];
    const forgotten = this.forgotten.splice(0);
    this.dirtyJobs.clear();
    this.newExecutors.clear();
    this.goneExecutors.clear();
    const records = [
      ...jobs.map(progressRecord),
      ...executors.map(executorRecord),
      ...gone.map(id => tombstone(EXECUTOR_PREFIX + id)),
      ...forgotten.map(id => tombstone(PROGRESS_PREFIX + id)),
    ];
    if (records.length > 0 && !(await this.store(records))) return false;
    if (forgotten.length > 0) void this.forgetStored(forgotten);
    for (const executor of executors) this.deps.onStoredExecutor(executor);
    for (const ack of acks) this.acknowledge(ack);
    this.showFinal(jobs);
    return records.length > 0 || acks.length > 0;
  }

  private async store(records: readonly KeyedRecord[]): Promise<boolean> {
    const {clock, metrics, ownership, writer} = this.deps;
    const sentMs = clock.monotonicMs();
    const isStored = await writer.write(records);
    metrics.record('commit_us', (clock.monotonicMs() - sentMs) * 1000);
    if (!isStored) ownership.lose();
    return isStored;
  }

  private async forgetStored(ids: readonly string[]): Promise<void> {
    const keys = ids.flatMap(id => [jobKey(id), cancelKey(id)]);
    try {
      for (const topic of JOBS_TOPICS) {
        await this.deps.store.append(topic, keys.map(tombstone));
      }
    } catch (err) {
      this.deps.log('forgetFailed', {jobs: ids.length, err: String(err)});
    }
  }

  private readAcks(): readonly Ack[] {
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

  private showFinal(jobs: readonly JobState[]): void {
    const final = jobs.filter(job => isFinal(job.phase) && job.finalMs === 0);
    if (final.length === 0) return;
    for (const job of final) {
      job.shownPhase = job.phase;
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

interface Ack {
  readonly executor: ExecutorState;
  readonly through: number;
  readonly bornMs: number;
}

function progressRecord(job: JobState): KeyedRecord {
  return {key: PROGRESS_PREFIX + job.id, value: encodeProgress(job)};
}

function executorRecord({info}: ExecutorState): KeyedRecord {
  return {key: EXECUTOR_PREFIX + info.id, value: encode(info)};
}

function tombstone(key: string): KeyedRecord {
  return {key, value: new Uint8Array(0)};
}
