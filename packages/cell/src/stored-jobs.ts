/** Reads the jobs from the store while a VM is not connected to an owner. */
import type {Clock} from '@dragonflyward/common';
import {keepRunning, skipInvalid} from './background.js';
import {Follower} from './follower.js';
import type {Lookup} from './job-frontend.js';
import {jobBytes} from './job-size.js';
import type {JobTable} from './job-table.js';
import {JobsFollower} from './jobs-follower.js';
import type {LogFunction} from './platform.js';
import {parseProgressKey, PROGRESS_PREFIX} from './progress-records.js';
import {decodeJobsRecord, decodePhase, PROGRESS_TOPIC} from './records.js';
import type {StoredRecord, Store} from './store.js';
import {isFinal, type JobPhase} from './types.js';

/** Pause between two reads, in ms. */
const READ_INTERVAL_MS = 400;
/** After an older read the table may not be used to count jobs, in ms. */
const MAX_READ_AGE_MS = 1500;
/**
 * How long a VM that no caller asks waits for an owner before it reads, in ms.
 * All VMs lose an owner at the same moment, and the next one has to read too.
 */
const MIN_IDLE_MS = 3000;
/** Further delay by which the reads of such VMs are spread, in ms. */
const IDLE_SPREAD_MS = 2000;
/** Longest wait of a lookup for the phases of jobs, in ms. */
const PROGRESS_TIMEOUT_MS = 500;
/** Interval at which it is checked whether they were read, in ms. */
const POLL_INTERVAL_MS = 10;

interface Followers {
  readonly jobs: JobsFollower;
  readonly progress: Follower;
}

/**
 * Fills the table of jobs from the store while the VM is detached, from the
 * first caller's question on that needs it.
 */
export class StoredJobs {
  private followers: Followers | null = null;
  /** How often the open rows of the table had been replaced by then. */
  private replacementsBefore = 0;
  private isDetached = false;
  /** Number of times it was started, by which an older timer is known. */
  private starts = 0;
  /** What was read of jobs that are not in the table yet. */
  private readonly earlyPhases = new Map<string, JobPhase>();
  private readonly earlyCancels = new Set<string>();

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly table: JobTable,
    private readonly log: LogFunction,
    /** Returns a number from 0 to 1. */
    private readonly random: () => number = Math.random,
  ) {}

  /** Reads once that is needed; does nothing if it has started already. */
  start(): void {
    if (this.isDetached) return;
    this.isDetached = true;
    this.starts += 1;
    void this.readLater(this.starts);
  }

  /** Keeps phases up to date that callers are told from the table. */
  private async readLater(start: number): Promise<void> {
    await this.clock.sleep(MIN_IDLE_MS + this.random() * IDLE_SPREAD_MS);
    if (this.starts === start) this.startReading();
  }

  /** Returns null while the VM is not detached. */
  private startReading(): Followers | null {
    if (this.isDetached) this.followers ??= this.createFollowers();
    return this.followers;
  }

  private createFollowers(): Followers {
    const {store, clock, log} = this;
    this.replacementsBefore = this.table.replacements;
    const jobs = new JobsFollower(
      store,
      clock,
      {pauseMs: READ_INTERVAL_MS, log},
      skipInvalid(log, record => this.applyJobRecord(record)),
    );
    const progress = new Follower(
      store,
      clock,
      {topic: PROGRESS_TOPIC, pauseMs: READ_INTERVAL_MS, waitMs: 0, log},
      skipInvalid(log, record => this.applyProgressRecord(record)),
    );
    jobs.run(log);
    void keepRunning('progressReads', () => progress.run(), {clock, log});
    return {jobs, progress};
  }

  /** Stops reading. */
  stop(): void {
    this.followers?.jobs.stop();
    this.followers?.progress.stop();
    this.followers = null;
    this.isDetached = false;
    this.earlyPhases.clear();
    this.earlyCancels.clear();
  }

  /**
   * Looks up a job in the store that is not in the table, within the time. It is
   * not sure that a job is missing once a new owner has replaced the rows that
   * were read: that owner removes those of jobs that ended before it loaded them.
   */
  async lookup(id: string, timeoutMs: number): Promise<Lookup> {
    const sinceMs = this.clock.monotonicMs();
    const followers = this.startReading();
    if (followers === null) return {row: null, isSure: false};
    const {replacementsBefore} = this;
    const [isRead] = await Promise.all([
      followers.jobs.waitUntilRead(timeoutMs, sinceMs),
      this.waitForProgress(followers, timeoutMs),
    ]);
    const isSure = isRead && this.table.replacements === replacementsBefore;
    return {row: this.table.get(id) ?? null, isSure};
  }

  /**
   * Whether all stored jobs and their phases were read recently enough to count
   * them. If not, they are being read from now on.
   */
  checkFresh(): boolean {
    const followers = this.startReading();
    if (followers === null) return false;
    const {jobs, progress} = followers;
    const freshMs = Math.min(jobs.freshMs, progress.freshMs);
    return this.clock.monotonicMs() - freshMs < MAX_READ_AGE_MS;
  }

  /** A job that has ended would be shown as queued. */
  private async waitForProgress(
    {progress}: Followers,
    timeoutMs: number,
  ): Promise<void> {
    const startMs = this.clock.monotonicMs();
    const boundMs = Math.min(timeoutMs, PROGRESS_TIMEOUT_MS);
    while (progress.freshMs === -Infinity) {
      if (this.clock.monotonicMs() - startMs >= boundMs) return;
      await this.clock.sleep(POLL_INTERVAL_MS);
    }
  }

  private applyJobRecord({key, value}: StoredRecord): void {
    const entry = decodeJobsRecord(key, value);
    if (entry?.kind === 'cancel') this.applyCancel(entry.id);
    if (entry?.kind !== 'job') return;
    const {id, queue, organisation, spec} = entry.job;
    const phase = this.takeEarlyPhase(id);
    const bytes = jobBytes(spec);
    this.table.set({id, phase, queue: queue.name, organisation, bytes});
    this.table.confirm(id);
  }

  private applyCancel(id: string): void {
    if (!this.setPhase(id, 'cancelled')) this.earlyCancels.add(id);
  }

  private applyProgressRecord({key, value}: StoredRecord): void {
    if (!key.startsWith(PROGRESS_PREFIX) || value.length === 0) return;
    const {jobId: id, part} = parseProgressKey(key);
    if (part !== '') return;
    const phase = decodePhase(value);
    if (!this.setPhase(id, phase)) this.earlyPhases.set(id, phase);
  }

  /** A final phase that the owner stored counts more than a cancel. */
  private takeEarlyPhase(id: string): JobPhase {
    const phase = this.earlyPhases.get(id) ?? 'queued';
    const isCancelled = this.earlyCancels.has(id);
    this.earlyPhases.delete(id);
    this.earlyCancels.delete(id);
    return isCancelled && !isFinal(phase) ? 'cancelled' : phase;
  }

  /** Returns false if the job is not in the table. */
  private setPhase(id: string, phase: JobPhase): boolean {
    const row = this.table.get(id);
    if (row === undefined) return false;
    this.table.set({...row, phase});
    return true;
  }
}
