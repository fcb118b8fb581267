/** Reads the jobs from the store while a VM is not connected to an owner. */
import type {Clock} from '@dragonflyward/common';
import {Follower} from './follower.js';
import type {Lookup} from './job-frontend.js';
import type {JobTable} from './job-table.js';
import {JobsFollower} from './jobs-follower.js';
import {
  decodeJobsRecord,
  decodePhase,
  PROGRESS_PREFIX,
  PROGRESS_TOPIC,
} from './records.js';
import type {StoredRecord, Store} from './store.js';
import {isFinal, type JobPhase} from './types.js';

/** Pause between two reads, in ms. */
const READ_INTERVAL_MS = 400;
/** After an older read the table may not be used to count jobs, in ms. */
const MAX_READ_AGE_MS = 1500;

interface Followers {
  readonly jobs: JobsFollower;
  readonly progress: Follower;
}

/** Fills the table of jobs from the store. */
export class StoredJobs {
  private followers: Followers | null = null;
  /** What was read of jobs that are not in the table yet. */
  private readonly earlyPhases = new Map<string, JobPhase>();
  private readonly earlyCancels = new Set<string>();

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly table: JobTable,
  ) {}

  /** Starts to read; does nothing if it has started already. */
  start(): void {
    if (this.followers !== null) return;
    const {store, clock} = this;
    const jobs = new JobsFollower(
      store,
      clock,
      {pauseMs: READ_INTERVAL_MS},
      record => this.applyJobRecord(record),
    );
    const progress = new Follower(
      store,
      clock,
      {topic: PROGRESS_TOPIC, pauseMs: READ_INTERVAL_MS, waitMs: 0},
      record => this.applyProgressRecord(record),
    );
    this.followers = {jobs, progress};
    jobs.run();
    void progress.run();
  }

  /** Stops reading. */
  stop(): void {
    this.followers?.jobs.stop();
    this.followers?.progress.stop();
    this.followers = null;
    this.earlyPhases.clear();
    this.earlyCancels.clear();
  }

  /** Looks up a job in the store that is not in the table, within the time. */
  async lookup(id: string, timeoutMs: number): Promise<Lookup> {
    if (this.followers === null) return {row: null, isSure: false};
    const isSure = await this.followers.jobs.waitUntilRead(timeoutMs);
    return {row: this.table.get(id) ?? null, isSure};
  }

  /** Whether all stored jobs were read recently enough to count them. */
  get isFresh(): boolean {
    if (this.followers === null) return false;
    const ageMs = this.clock.monotonicMs() - this.followers.jobs.freshMs;
    return ageMs < MAX_READ_AGE_MS;
  }

  private applyJobRecord({key, value}: StoredRecord): void {
    const entry = decodeJobsRecord(key, value);
    if (entry?.kind === 'cancel') this.applyCancel(entry.id);
    if (entry?.kind !== 'job') return;
    const {id, queue, organisation} = entry.job;
    const phase = this.takeEarlyPhase(id);
    this.table.set({id, phase, queue: queue.name, organisation});
  }

  private applyCancel(id: string): void {
    if (!this.setPhase(id, 'cancelled')) this.earlyCancels.add(id);
  }

  private applyProgressRecord({key, value}: StoredRecord): void {
    if (!key.startsWith(PROGRESS_PREFIX) || value.length === 0) return;
    const stored = decodePhase(value);
    const phase = isFinal(stored) ? stored : 'running';
    const id = key.slice(PROGRESS_PREFIX.length);
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
