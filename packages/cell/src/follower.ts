/** Follows a keyed topic: the newest record of each key, then new records. */
import type {Clock} from '@dragonflyward/common';
import {Signal} from './signal.js';
import {StoreError, type StoredRecord, type Store} from './store.js';

/** Delay before a failed read is retried, in ms. */
const RETRY_DELAY_MS = 200;

/** Options for following a topic. */
export interface FollowerOptions {
  readonly topic: string;
  /** Pause between reads that do not wait, in ms; 0 if reads wait. */
  readonly pauseMs: number;
  /** How long the store may wait for a record, in ms. */
  readonly waitMs: number;
}

/** Follows one topic until it is stopped. */
export class Follower {
  /** All records stored before this time are read; -Infinity before that. */
  freshMs = -Infinity;
  private nextOffset = -1;
  private isStopped = false;
  private readonly pause: Signal;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly options: FollowerOptions,
    private readonly onRecord: (record: StoredRecord) => void,
    /** Called after a full read: keys that are missing were deleted. */
    private readonly onReload: (keys: ReadonlySet<string>) => void = () =>
      undefined,
  ) {
    this.pause = new Signal(clock);
  }

  /**
   * Reads the newest record of each key.
   *
   * @throws StoreError
   * @example
   * await follower.load();
   */
  async load(): Promise<void> {
    const sentMs = this.clock.monotonicMs();
    const page = await this.store.newest(this.options.topic);
    for (const record of page.records) this.onRecord(record);
    this.onReload(new Set(page.records.map(({key}) => key)));
    this.nextOffset = page.endOffset;
    this.freshMs = sentMs;
  }

  /** Follows the topic until it is stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      try {
        if (this.nextOffset < 0) await this.load();
        else if (await this.readNext()) continue;
        await this.pause.wait(this.options.pauseMs);
      } catch (err) {
        if (!(err instanceof StoreError)) throw err;
        if (err.failure === 'expired') this.nextOffset = -1;
        await this.clock.sleep(RETRY_DELAY_MS);
      }
    }
  }

  /** Ends the current pause so that the next read starts at once. */
  requestRead(): void {
    this.pause.raise();
  }

  /** Stops following. */
  stop(): void {
    this.isStopped = true;
  }

  /**
   * Reads one page. The store limits its size, so the partition may end later.
   *
   * @returns whether there is more to read
   */
  private async readNext(): Promise<boolean> {
    const {topic, waitMs} = this.options;
    const sentMs = this.clock.monotonicMs();
    const page = await this.store.read(topic, this.nextOffset, waitMs);
    if (this.isStopped) return false;
    for (const record of page.records) this.onRecord(record);
    const last = page.records.at(-1);
    if (last !== undefined) this.nextOffset = last.offset + 1;
    if (this.nextOffset >= page.endOffset) {
      this.freshMs = sentMs;
      return false;
    }
    return last !== undefined;
  }
}
