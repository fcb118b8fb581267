/** Reads jobs, progress and executors of the store into the owner's state. */
import type {Clock, Metrics} from '@dragonflyward/common';
import {decode} from 'cbor-x';
import type {CellState} from './cell-state.js';
import type {ExecutorState} from './executor-state.js';
import {Follower} from './follower.js';
import type {FormerRuns} from './former-runs.js';
import type {JobState, NewJob} from './job-state.js';
import {JobsFollower} from './jobs-follower.js';
import type {LogLine, Platform} from './platform.js';
import type {ProgressWriter} from './progress-writer.js';
import {
  applyProgress,
  decodeJobsEntry,
  EXECUTOR_PREFIX,
  PROGRESS_PREFIX,
  PROGRESS_TOPIC,
} from './records.js';
import type {LogPage, PlacedRecord, Store} from './store.js';
import {isFinal, type ExecutorInfo} from './types.js';

/** Pause between reads of jobs that no VM has told of, in ms. */
const JOBS_PAUSE_MS = 600;
/** Pause between reads of what executors say of themselves, in ms. */
const EXECUTORS_PAUSE_MS = 400;

/** What the feed needs of its owner. */
export interface FeedDeps {
  readonly state: CellState;
  readonly store: Store;
  readonly platform: Platform;
  readonly writer: ProgressWriter;
  readonly former: FormerRuns;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: LogLine;
  readonly onJob: (job: JobState) => void;
  readonly onCancel: () => void;
  /** An executor that no owner has used yet is listed. */
  readonly onNewExecutor: (executor: ExecutorState) => void;
  /** A former owner has used the executor. */
  readonly onFormerExecutor: (executor: ExecutorState) => void;
  /** The executor listens at another address. */
  readonly onMoved: (executor: ExecutorState) => void;
  readonly onDraining: (executor: ExecutorState) => void;
}

/** Loads the state of a new owner and follows what changes. */
export class CellFeed {
  private readonly jobs: JobsFollower;
  private readonly executors: Follower;
  /** Progress that was read before the job itself. */
  private readonly earlyProgress = new Map<string, Uint8Array>();

  constructor(private readonly deps: FeedDeps) {
    const {store, clock, platform} = deps;
    this.jobs = new JobsFollower(store, clock, JOBS_PAUSE_MS, record =>
      this.takeJobsRecord(record),
    );
    this.executors = new Follower(
      store,
      clock,
      {
        topic: platform.executorsTopic,
        pauseMs: EXECUTORS_PAUSE_MS,
        waitMs: 0,
      },
      record => this.takeExecutorRecord(record),
      ids => this.noteListed(ids),
    );
  }

  /**
   * Loads what is stored.
   *
   * @returns false where another owner has taken over meanwhile
   * @throws StoreError
   */
  async load(): Promise<boolean> {
    const {state, former} = this.deps;
    const progressLoad = this.loadProgress();
    // A load that failed must have ended before it is tried again.
    const loads = [progressLoad, ...this.jobs.loads(), this.executors.load()];
    for (const load of await Promise.allSettled(loads)) {
      if (load.status === 'rejected') throw load.reason;
    }
    const progress = await progressLoad;
    if (progress === null) return false;
    for (const record of progress.records) this.takeProgress(record);
    for (const id of state.jobs.keys()) former.addJob(id);
    return true;
  }

  /** Follows what changes. */
  start(): void {
    this.jobs.run();
    void this.executors.run();
  }

  /** Follows no longer. */
  stop(): void {
    this.jobs.stop();
    this.executors.stop();
  }

  /** Up to when the jobs are surely known, on the steady clock in ms. */
  get jobsFreshMs(): number {
    return this.jobs.freshMs;
  }

  /** Whether all jobs that were stored before the call are known now. */
  readJobs(): Promise<boolean> {
    return this.jobs.readNow();
  }

  /** Takes in an accepted job; a repeat changes nothing. */
  addJob(job: NewJob): void {
    const {state, metrics, onJob} = this.deps;
    if (state.jobs.has(job.id)) return;
    const added = state.addJob(job);
    const progress = this.earlyProgress.get(job.id);
    if (progress !== undefined) this.applyStored(added, progress);
    this.earlyProgress.delete(job.id);
    metrics.count('jobs_added_total');
    onJob(added);
  }

  /** Null where another owner has taken over meanwhile. */
  private async loadProgress(): Promise<LogPage | null> {
    if (!(await this.deps.writer.open())) return null;
    return this.deps.store.newest(PROGRESS_TOPIC);
  }

  private takeProgress({key, value}: PlacedRecord): void {
    if (value.length === 0) return;
    if (key.startsWith(EXECUTOR_PREFIX)) {
      return this.takeFormer(decode(value as Buffer) as ExecutorInfo);
    }
    const id = key.slice(PROGRESS_PREFIX.length);
    const job = this.deps.state.jobs.get(id);
    if (job === undefined) this.earlyProgress.set(id, value);
    else this.applyStored(job, value);
  }

  private applyStored(job: JobState, value: Uint8Array): void {
    if (isFinal(job.phase)) return;
    applyProgress(job, value);
    if (isFinal(job.phase)) this.deps.state.closeJob(job);
  }

  /**
   * An executor that a former owner has used: it may run tasks, also where it
   * has started again since that was recorded.
   */
  private takeFormer(info: ExecutorInfo): void {
    const {state, former, onFormerExecutor} = this.deps;
    const known = state.executors.get(info.id);
    const executor = known ?? state.setExecutor(info);
    if (known === undefined) executor.isListed = false;
    former.addExecutor(executor);
    onFormerExecutor(executor);
  }

  private takeJobsRecord({key, value}: PlacedRecord): void {
    const entry = decodeJobsEntry(key, value);
    if (entry === null) return;
    if (entry.kind === 'job') return this.addJob(entry.job);
    if (entry.kind === 'forgotten') return this.deps.state.forgetJob(entry.id);
    this.deps.state.cancelJob(entry.id);
    this.deps.onCancel();
  }

  private takeExecutorRecord(record: PlacedRecord): void {
    const {state, platform} = this.deps;
    if (record.value.length === 0) {
      const executor = state.executors.get(record.key);
      if (executor !== undefined) this.noteUnlisted(executor);
      return;
    }
    const info = platform.decodeExecutor(record);
    if (info === null) return;
    const known = state.executors.get(info.id);
    const wasDraining = known?.info.isDraining ?? false;
    const hasMoved = known !== undefined && known.info.port !== info.port;
    const executor = state.setExecutor(info);
    if (hasMoved) this.deps.onMoved(executor);
    if (known === undefined) this.noteNew(executor);
    if (info.isDraining && !wasDraining) this.noteDraining(executor);
  }

  private noteNew(executor: ExecutorState): void {
    const {id, service} = executor.info;
    this.deps.log('executorListed', {executorId: id, service});
    this.deps.onNewExecutor(executor);
  }

  private noteDraining(executor: ExecutorState): void {
    const {id, drainRemainingMs} = executor.info;
    const fields = {executorId: id, remainingMs: drainRemainingMs};
    this.deps.log('executorDraining', fields);
    this.deps.onDraining(executor);
  }

  private noteListed(ids: ReadonlySet<string>): void {
    for (const executor of this.deps.state.executors.values()) {
      if (!ids.has(executor.info.id)) this.noteUnlisted(executor);
    }
  }

  private noteUnlisted(executor: ExecutorState): void {
    if (!executor.isListed) return;
    executor.isListed = false;
    this.deps.log('executorUnlisted', {
      executorId: executor.info.id,
      tasks: executor.tasks.size,
    });
  }
}
