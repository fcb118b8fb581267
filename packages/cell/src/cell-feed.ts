/** Reads jobs, progress and executors from the store into the owner's state. */
import type {Clock, Metrics} from '@dragonflyward/common';
import {keepRunning, skipInvalid} from './background.js';
import type {CellState} from './cell-state.js';
import type {ExecutorState} from './executor-state.js';
import {Follower} from './follower.js';
import type {FormerOwnerRuns} from './former-owner-runs.js';
import type {JobState, NewJob} from './job-state.js';
import {JobsFollower} from './jobs-follower.js';
import type {LogFunction, Platform} from './platform.js';
import {ProgressLoad} from './progress-load.js';
import {
  parseProgressKey,
  partCountOf,
  recordReadPart,
} from './progress-records.js';
import type {ProgressWriter} from './progress-writer.js';
import {
  decodeFormerExecutor,
  decodeJobsRecord,
  EXECUTOR_PREFIX,
  jobIdOf,
} from './records.js';
import {
  hasMore,
  maxAmounts,
  toAmounts,
  type ResourceAmounts,
} from './resource-amounts.js';
import type {KeyedRecord, StoredRecord, Store} from './store.js';
import type {TopicLoadReport} from './topic-load.js';
import type {ExecutorInfo} from './types.js';

/** Interval of reads for jobs whose notice was lost, in ms. */
const JOBS_READ_INTERVAL_MS = 600;
/** Interval of reads of the executors' records, in ms. */
const EXECUTORS_READ_INTERVAL_MS = 400;

/** Dependencies of the feed. */
export interface CellFeedDeps {
  readonly state: CellState;
  readonly store: Store;
  readonly platform: Platform;
  readonly writer: ProgressWriter;
  readonly formerOwnerRuns: FormerOwnerRuns;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: LogFunction;
  readonly onJob: (job: JobState) => void;
  readonly onCancel: () => void;
  /** Called for a listed executor that no owner has used yet. */
  readonly onNewExecutor: (executor: ExecutorState) => void;
  /** Called for an executor that a former owner has used at its address. */
  readonly onFormerExecutor: (executor: ExecutorState) => void;
  /** Called when an executor listens elsewhere or serves something else. */
  readonly onServerChanged: (executor: ExecutorState) => void;
  /** Called when an executor has more of a resource than was stored. */
  readonly onCapacityGrown: (executor: ExecutorState) => void;
  readonly onDraining: (executor: ExecutorState) => void;
}

/** Loads the state of a new owner and follows its changes. */
export class CellFeed {
  private readonly jobs: JobsFollower;
  private readonly executors: Follower;
  private readonly progress: ProgressLoad;
  /** Progress that was read before the job itself. */
  private readonly pendingProgress = new Map<string, ReadProgress[]>();
  /** When the load last advanced, or the creation; monotonic clock, in ms. */
  loadProgressMs: number;
  private isStopped = false;

  constructor(private readonly deps: CellFeedDeps) {
    const {store, clock, platform, log} = deps;
    this.loadProgressMs = clock.monotonicMs();
    const onProgress = (): void => {
      this.loadProgressMs = clock.monotonicMs();
    };
    this.jobs = new JobsFollower(
      store,
      clock,
      {pauseMs: JOBS_READ_INTERVAL_MS, onProgress, log},
      skipInvalid(log, record => this.applyJobsRecord(record)),
    );
    this.progress = new ProgressLoad(store, clock, deps.writer, onProgress);
    this.executors = new Follower(
      store,
      clock,
      {
        topic: platform.executorsTopic,
        pauseMs: EXECUTORS_READ_INTERVAL_MS,
        waitMs: 0,
        onProgress,
        log,
      },
      skipInvalid(log, record => this.applyExecutorRecord(record)),
      ids => this.markUnlistedExcept(ids),
    );
  }

  /**
   * Loads the stored state. After a failure, the next call goes on with what
   * was not read.
   *
   * @returns false if another owner has taken over or this one was closed
   * @throws StoreError
   */
  async load(): Promise<boolean> {
    const progressLoad = this.progress.load();
    // All loads must have ended before a failed one is retried.
    const loads = [
      progressLoad,
      ...this.jobs.startLoads(),
      this.executors.load(),
    ];
    for (const load of await Promise.allSettled(loads)) {
      if (load.status === 'rejected') throw load.reason;
    }
    const progress = await progressLoad;
    if (progress === null || this.isStopped) return false;
    const apply = skipInvalid(this.deps.log, record =>
      this.applyProgressRecord(record),
    );
    const executors = progress.filter(isExecutorRecord);
    for (const record of this.endingFirst(executors)) apply(record);
    const others = progress.filter(each => !isExecutorRecord(each));
    for (const record of inWrittenOrder(others)) apply(record);
    return true;
  }

  /**
   * Orders executors as they are asked for their runs: all of them at once take
   * a while, and those that are shutting down may end before that. Their runs
   * would stay unknown until all leases have expired.
   */
  private endingFirst(
    records: readonly StoredRecord[],
  ): readonly StoredRecord[] {
    const {executors} = this.deps.state;
    const isEnding = ({key}: StoredRecord): boolean =>
      executors.get(key.slice(EXECUTOR_PREFIX.length))?.info.isDraining ??
      false;
    return [
      ...records.filter(isEnding),
      ...records.filter(each => !isEnding(each)),
    ];
  }

  /** Describes how far the load of each topic has come, for the log. */
  get loadReports(): readonly TopicLoadReport[] {
    const {progress, executors, jobs} = this;
    return [progress.report, executors.loadReport, ...jobs.loadReports];
  }

  /** Starts to follow changes. */
  start(): void {
    this.jobs.run(this.deps.log);
    const run = (): Promise<void> => this.executors.run();
    void keepRunning('executorReads', run, this.deps);
  }

  /** Stops following. */
  stop(): void {
    this.isStopped = true;
    this.progress.stop();
    this.jobs.stop();
    this.executors.stop();
  }

  /** All jobs stored before this time are known; monotonic clock, in ms. */
  get jobsFreshMs(): number {
    return this.jobs.freshMs;
  }

  /** When the newest read of the executors' records was sent. */
  get executorsReadMs(): number {
    return this.executors.freshMs;
  }

  /** Reads all jobs stored before the call; resolves to false on a timeout. */
  readJobs(timeoutMs: number): Promise<boolean> {
    return this.jobs.waitUntilRead(timeoutMs);
  }

  /** Adds an accepted job; does nothing if it is known. */
  addJob(job: NewJob): void {
    const {state, metrics, formerOwnerRuns, onJob} = this.deps;
    if (state.jobs.has(job.id)) return;
    formerOwnerRuns.addJob(job.id, this.jobsFreshMs);
    const added = state.addJob(job);
    const progress = this.pendingProgress.get(job.id) ?? [];
    for (const each of progress) this.applyStoredProgress(added, each);
    this.pendingProgress.delete(job.id);
    metrics.count('jobs_added_total');
    onJob(added);
  }

  private applyProgressRecord({key, value}: StoredRecord): void {
    if (value.length === 0) return;
    if (isExecutorRecord({key, value})) {
      return this.addFormerExecutor(decodeFormerExecutor(value));
    }
    const {jobId, part} = parseProgressKey(key);
    const job = this.deps.state.jobs.get(jobId);
    if (job !== undefined) return this.applyStoredProgress(job, {part, value});
    const earlier = this.pendingProgress.get(jobId) ?? [];
    this.pendingProgress.set(jobId, [...earlier, {part, value}]);
  }

  private applyStoredProgress(
    job: JobState,
    {part, value}: ReadProgress,
  ): void {
    if (part !== '') recordReadPart(job, part);
    this.deps.state.restoreProgress(job, value);
  }

  /**
   * Adds an executor that a former owner has used. It may run tasks even if it
   * has restarted since that was recorded.
   */
  private addFormerExecutor(info: ExecutorInfo): void {
    const {state, formerOwnerRuns, onFormerExecutor} = this.deps;
    const known = state.executors.get(info.id);
    const executor = known ?? state.setExecutor(info);
    if (known === undefined) executor.isListed = false;
    const {largestCapacity} = executor;
    executor.largestCapacity = maxAmounts(largestCapacity, info.capacity);
    formerOwnerRuns.addExecutor(executor, info.service);
    // With a new address or service, it is used once that is stored.
    if (!isSameServer(info, executor.info)) return;
    onFormerExecutor(executor);
    this.reportGrowth(executor, info.capacity);
  }

  private applyJobsRecord({key, value}: StoredRecord): void {
    // Mostly, the VM that stored it has sent a notice.
    const id = jobIdOf(key);
    const isKnown = id !== null && this.deps.state.jobs.has(id);
    if (isKnown && value.length > 0) return;
    const entry = decodeJobsRecord(key, value);
    if (entry === null) return;
    if (entry.kind === 'job') return this.addJob(entry.job);
    if (entry.kind === 'forgotten') return this.deps.state.removeJob(entry.id);
    this.deps.state.cancelJob(entry.id);
    this.deps.onCancel();
  }

  private applyExecutorRecord(record: StoredRecord): void {
    const {state, platform} = this.deps;
    if (record.value.length === 0) {
      const executor = state.executors.get(record.key);
      if (executor !== undefined) this.markUnlisted(executor);
      return;
    }
    const info = platform.decodeExecutor(record);
    if (info === null) return;
    const known = state.executors.get(info.id);
    const before = known?.info;
    const largestBefore = known?.largestCapacity;
    const executor = state.setExecutor(info, this.deps.clock.monotonicMs());
    if (executor.info !== info) return this.logPassedOver(info);
    if (before === undefined) this.reportNewExecutor(executor);
    else if (!isSameServer(before, executor.info)) {
      this.deps.onServerChanged(executor);
    }
    if (before !== undefined) this.logCapacityChange(executor, before);
    if (largestBefore !== undefined) this.reportGrowth(executor, largestBefore);
    const wasDraining = before?.isDraining ?? false;
    if (info.isDraining && !wasDraining) this.reportDraining(executor);
  }

  /** Logs a late record of a process that another one has followed. */
  private logPassedOver({id: executorId, bornMs}: ExecutorInfo): void {
    this.deps.log('executorRecordPassedOver', {executorId, bornMs});
  }

  /** Logs a change of the capacity, and how much is in use now. */
  private logCapacityChange(
    executor: ExecutorState,
    {capacity: former}: ExecutorInfo,
  ): void {
    const {info, usedCpuMilli, usedMemMb, usedAccel} = executor;
    const {capacity} = info;
    if (!hasMore(former, capacity) && !hasMore(capacity, former)) return;
    this.deps.log('executorCapacityChanged', {
      executorId: info.id,
      former: toAmounts(former),
      capacity: toAmounts(capacity),
      used: {cpuMilli: usedCpuMilli, memMb: usedMemMb, accel: usedAccel},
    });
  }

  private reportGrowth(executor: ExecutorState, stored: ResourceAmounts): void {
    const {largestCapacity} = executor;
    if (hasMore(largestCapacity, stored)) this.deps.onCapacityGrown(executor);
  }

  private reportNewExecutor(executor: ExecutorState): void {
    const {id, service} = executor.info;
    this.deps.log('executorListed', {executorId: id, service});
    this.deps.onNewExecutor(executor);
  }

  private reportDraining(executor: ExecutorState): void {
    const {id, drainRemainingMs} = executor.info;
    const fields = {executorId: id, remainingMs: drainRemainingMs};
    this.deps.log('executorDraining', fields);
    this.deps.onDraining(executor);
  }

  private markUnlistedExcept(ids: ReadonlySet<string>): void {
    for (const executor of this.deps.state.executors.values()) {
      if (!ids.has(executor.info.id)) this.markUnlisted(executor);
    }
  }

  private markUnlisted(executor: ExecutorState): void {
    if (!executor.isListed) return;
    executor.isListed = false;
    this.deps.log('executorUnlisted', {
      executorId: executor.info.id,
      tasks: executor.tasks.size,
    });
  }
}

/** A record of a job's progress; `part` is empty for the main one. */
interface ReadProgress {
  readonly part: string;
  readonly value: Uint8Array;
}

function isExecutorRecord({key}: KeyedRecord): boolean {
  return key.startsWith(EXECUTOR_PREFIX);
}

/**
 * Main records first: they say which jobs have ended. What was written when a
 * job had more parts is newer.
 */
function inWrittenOrder(
  records: readonly StoredRecord[],
): readonly StoredRecord[] {
  const partOf = ({key}: StoredRecord): string => parseProgressKey(key).part;
  const parts = records.filter(each => partOf(each) !== '');
  if (parts.length === 0) return records;
  parts.sort((a, b) => partCountOf(partOf(a)) - partCountOf(partOf(b)));
  return [...records.filter(each => partOf(each) === ''), ...parts];
}

/** Whether a later owner would look for the same runs at the same place. */
function isSameServer(a: ExecutorInfo, b: ExecutorInfo): boolean {
  return a.ip === b.ip && a.port === b.port && a.service === b.service;
}
