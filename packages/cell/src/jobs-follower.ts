/** Follows all topics in which accepted jobs and cancels are stored. */
import type {Clock} from '@dragonflyward/common';
import {keepRunning} from './background.js';
import {Follower} from './follower.js';
import type {LogFunction} from './platform.js';
import {JOBS_TOPICS} from './records.js';
import type {StoredRecord, Store} from './store.js';
import type {TopicLoadReport} from './topic-load.js';

/** How long a caller's lookup waits until the jobs are read, in ms. */
const READ_TIMEOUT_MS = 500;
/** Interval at which it is checked whether all topics were read, in ms. */
const POLL_INTERVAL_MS = 10;

/** Options for following the jobs. */
export interface JobsFollowerOptions {
  /** Pause between two reads, in ms. */
  readonly pauseMs: number;
  /** Called when more of a load has arrived. */
  readonly onProgress?: () => void;
  /** Receives a line for failed reads of a topic, at most one in 2 s. */
  readonly log?: LogFunction;
}

/** Runs one follower for each jobs topic. */
export class JobsFollower {
  private readonly followers: readonly Follower[];

  constructor(
    store: Store,
    private readonly clock: Clock,
    options: JobsFollowerOptions,
    onRecord: (record: StoredRecord) => void,
  ) {
    this.followers = JOBS_TOPICS.map(
      topic =>
        new Follower(store, clock, {...options, topic, waitMs: 0}, onRecord),
    );
  }

  /** Loads each topic once; each load may fail with a StoreError. */
  startLoads(): readonly Promise<void>[] {
    return this.followers.map(each => each.load());
  }

  /** Describes the last load of each topic for the log. */
  get loadReports(): readonly TopicLoadReport[] {
    return this.followers.map(each => each.loadReport);
  }

  /** Follows the topics until it is stopped. */
  run(log: LogFunction): void {
    const {clock} = this;
    for (const follower of this.followers) {
      void keepRunning('jobReads', () => follower.run(), {clock, log});
    }
  }

  /** Stops following. */
  stop(): void {
    for (const follower of this.followers) follower.stop();
  }

  /** All jobs stored before this time are known; monotonic clock, in ms. */
  get freshMs(): number {
    return Math.min(...this.followers.map(each => each.freshMs));
  }

  /**
   * Waits until all jobs that were stored before the given time, or else the
   * call, have been read.
   *
   * @returns false if that takes longer than the given time or 500 ms
   * @example
   * const isSure = await jobs.waitUntilRead(remainingMs);
   */
  async waitUntilRead(
    timeoutMs: number,
    sinceMs = this.clock.monotonicMs(),
  ): Promise<boolean> {
    const startMs = this.clock.monotonicMs();
    const boundMs = Math.min(timeoutMs, READ_TIMEOUT_MS);
    for (const follower of this.followers) follower.requestRead();
    while (this.freshMs < sinceMs) {
      if (this.clock.monotonicMs() - startMs >= boundMs) return false;
      await this.clock.sleep(POLL_INTERVAL_MS);
    }
    return true;
  }
}
