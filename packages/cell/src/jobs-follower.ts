/** Follows all topics in which accepted jobs and cancels are stored. */
import type {Clock} from '@dragonflyward/common';
import {Follower} from './follower.js';
import {JOBS_TOPICS} from './records.js';
import type {PlacedRecord, Store} from './store.js';

/** How long a caller's question waits for a reading of the jobs, in ms. */
const READ_BOUND_MS = 500;
/** Time between two looks whether all topics were read, in ms. */
const LOOK_MS = 10;

/** One follower for each topic of jobs. */
export class JobsFollower {
  private readonly followers: readonly Follower[];

  /** @param pauseMs pause between two reads, in ms */
  constructor(
    store: Store,
    private readonly clock: Clock,
    pauseMs: number,
    onRecord: (record: PlacedRecord) => void,
  ) {
    this.followers = JOBS_TOPICS.map(
      topic =>
        new Follower(store, clock, {topic, pauseMs, waitMs: 0}, onRecord),
    );
  }

  /** One reading of each topic; each may fail with a StoreError. */
  loads(): readonly Promise<void>[] {
    return this.followers.map(each => each.load());
  }

  /** Follows the topics until it is stopped. */
  run(): void {
    for (const follower of this.followers) void follower.run();
  }

  /** Ends the following. */
  stop(): void {
    for (const follower of this.followers) follower.stop();
  }

  /** Up to when the jobs are surely known, on the steady clock in ms. */
  get freshMs(): number {
    return Math.min(...this.followers.map(each => each.freshMs));
  }

  /**
   * Waits until all jobs that were stored before the call have been read.
   *
   * @returns false where that takes too long
   * @example
   * const isSure = await jobs.readNow();
   */
  async readNow(): Promise<boolean> {
    const askedMs = this.clock.monotonicMs();
    for (const follower of this.followers) follower.readSoon();
    while (this.freshMs < askedMs) {
      if (this.clock.monotonicMs() - askedMs >= READ_BOUND_MS) return false;
      await this.clock.sleep(LOOK_MS);
    }
    return true;
  }
}
