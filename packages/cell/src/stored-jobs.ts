/** Reads the jobs from the store while a VM is not connected to an owner. */
import type {Clock} from '@dragonflyward/common';
import {Follower, haveReadAll} from './follower.js';
import type {Lookup} from './front.js';
import type {JobTable} from './job-table.js';
import {
  decodeJobsEntry,
  decodePhase,
  JOBS_TOPICS,
  PROGRESS_PREFIX,
  PROGRESS_TOPIC,
} from './records.js';
import type {PlacedRecord, Store} from './store.js';
import {isFinal} from './types.js';

/** Pause between two reads, in ms. */
const READ_PAUSE_MS = 400;
/** How long a caller's question waits for a reading of the jobs, in ms. */
const READ_BOUND_MS = 500;
/** A reading that is older does not count the jobs, in ms. */
const SURE_AGE_MS = 1500;

interface Followers {
  readonly jobs: readonly Follower[];
  readonly progress: Follower;
}

/** Fills the table of jobs from the store. */
export class StoredJobs {
  private followers: Followers | null = null;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly table: JobTable,
  ) {}

  /** Starts to read; does nothing where it reads already. */
  start(): void {
    if (this.followers !== null) return;
    const options = {pauseMs: READ_PAUSE_MS, waitMs: 0};
    const jobs = JOBS_TOPICS.map(
      topic =>
        new Follower(this.store, this.clock, {...options, topic}, record =>
          this.takeJob(record),
        ),
    );
    const progress = new Follower(
      this.store,
      this.clock,
      {...options, topic: PROGRESS_TOPIC},
      record => this.takeProgress(record),
    );
    this.followers = {jobs, progress};
    for (const follower of jobs) void follower.run();
    void progress.run();
  }

  /** Ends the reading. */
  stop(): void {
    for (const follower of this.followers?.jobs ?? []) follower.stop();
    this.followers?.progress.stop();
    this.followers = null;
  }

  /** What the store says of a job that is not in the table. */
  async lookup(id: string): Promise<Lookup> {
    if (this.followers === null) return {row: null, isSure: false};
    const {jobs} = this.followers;
    const isSure = await haveReadAll(jobs, this.clock, READ_BOUND_MS);
    return {row: this.table.get(id) ?? null, isSure};
  }

  /** Whether all jobs that are stored have been read a moment ago. */
  get isSure(): boolean {
    if (this.followers === null) return false;
    const readMs = Math.min(...this.followers.jobs.map(each => each.freshMs));
    return this.clock.monotonicMs() - readMs < SURE_AGE_MS;
  }

  private takeJob({key, value}: PlacedRecord): void {
    const entry = decodeJobsEntry(key, value);
    if (entry?.kind === 'job') {
      const {id, queue, organisation} = entry.job;
      this.table.set({id, phase: 'queued', queue: queue.name, organisation});
    }
    if (entry?.kind === 'cancel') this.setPhase(entry.id, 'cancelled');
  }

  private takeProgress({key, value}: PlacedRecord): void {
    if (!key.startsWith(PROGRESS_PREFIX) || value.length === 0) return;
    const phase = decodePhase(value);
    const id = key.slice(PROGRESS_PREFIX.length);
    this.setPhase(id, isFinal(phase) ? phase : 'running');
  }

  private setPhase(
    id: string,
    phase: Parameters<JobTable['set']>[0]['phase'],
  ): void {
    const row = this.table.get(id);
    if (row !== undefined) this.table.set({...row, phase});
  }
}
