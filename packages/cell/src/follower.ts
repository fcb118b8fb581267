/** Follows a keyed topic: the newest record of each key, then new records. */
import type {Clock} from '@dragonflyward/common';
import {ReadFailures, type ReadPosition} from './following/index.js';
import type {LogFunction} from './platform.js';
import {Signal} from './signal.js';
import {
  StoreError,
  type LogPage,
  type StoredRecord,
  type Store,
} from './store.js';
import {TopicLoad, type TopicLoadReport} from './topic-load.js';

/** Delay before a failed read is retried, in ms. */
const RETRY_DELAY_MS = 200;
/**
 * A load reads what was appended since its first page when that is this old,
 * in ms: well before the store's history of some 20 s expires.
 */
const MAX_TAIL_AGE_MS = 1000;

/** Options for following a topic. */
export interface FollowerOptions {
  readonly topic: string;
  /** Pause between reads that do not wait, in ms; 0 if reads wait. */
  readonly pauseMs: number;
  /** How long the store may wait for a record, in ms. */
  readonly waitMs: number;
  /** Called when more of a load has arrived. */
  readonly onProgress?: () => void;
  /** Receives a line for failed reads, at most one in 2 s. */
  readonly log?: LogFunction;
}

/** Follows one topic until it is stopped. */
export class Follower {
  /** All records stored before this time are read; -Infinity before that. */
  freshMs = -Infinity;
  private topicLoad: TopicLoad;
  private isLoaded = false;
  /** Where the records begin that were not read yet, or -1. */
  private nextOffset = -1;
  /** When the last read that reached the end of the partition was sent. */
  private tailReadMs = -Infinity;
  /** Offsets of the records of a load until the tail has passed them. */
  private readonly loadedOffsets = new Map<string, number>();
  private isStopped = false;
  private isTailArriving = false;
  private readonly pause: Signal;
  private readonly failures: ReadFailures;

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
    const {topic, log = () => undefined} = options;
    this.failures = new ReadFailures(topic, clock, log);
    this.topicLoad = this.newLoad();
  }

  /**
   * Reads the newest record of each key. After a failure, the next call goes on
   * where this one ended; once all is read, it reads what was appended since.
   *
   * @throws StoreError
   * @example
   * await follower.load();
   */
  async load(): Promise<void> {
    if (this.isLoaded) return this.keepUp();
    const {topicLoad} = this;
    for await (const records of topicLoad.readPages()) {
      if (this.isStopped) return;
      if (this.nextOffset < 0) this.beginTail(topicLoad);
      for (const record of records) this.applyLoaded(record);
      await this.keepUp();
    }
    await this.keepUp();
    this.onReload(new Set(this.loadedOffsets.keys()));
    this.freshMs = this.tailReadMs;
    this.isLoaded = true;
    this.failures.recordSuccess();
  }

  /** Whether records are arriving. */
  get isReceiving(): boolean {
    return this.isTailArriving || this.topicLoad.isReceiving;
  }

  /** How far the topic was read. */
  get position(): ReadPosition {
    return {offset: this.nextOffset, freshMs: this.freshMs};
  }

  /** Describes the last load for the log. */
  get loadReport(): TopicLoadReport {
    return this.topicLoad.report;
  }

  /** Follows the topic until it is stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      try {
        if (!this.isLoaded) await this.load();
        else if (await this.readNext(this.options.waitMs)) continue;
        await this.pause.wait(this.options.pauseMs);
      } catch (err) {
        if (!(err instanceof StoreError)) throw err;
        this.failures.record(err, this.position);
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
    this.topicLoad.abort();
  }

  private newLoad(): TopicLoad {
    const {store, clock} = this;
    const {topic, onProgress} = this.options;
    return new TopicLoad(store, clock, topic, onProgress);
  }

  private beginTail({endOffset, sentMs}: TopicLoad): void {
    this.nextOffset = endOffset;
    this.tailReadMs = sentMs;
  }

  /** Reads the tail while not following it, so that it does not expire. */
  private async keepUp(): Promise<void> {
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.tailReadMs < MAX_TAIL_AGE_MS) return;
    let hasMore = true;
    while (hasMore) hasMore = await this.readNext(0);
  }

  /**
   * Reads one page. The store limits its size, so the partition may end later.
   *
   * @returns whether there is more to read
   */
  private async readNext(waitMs: number): Promise<boolean> {
    const sentMs = this.clock.monotonicMs();
    const page = await this.readTail(waitMs);
    if (this.isStopped) return false;
    this.failures.recordSuccess();
    for (const record of page.records) this.applyTail(record);
    const last = page.records.at(-1);
    if (last !== undefined) this.nextOffset = last.offset + 1;
    if (this.nextOffset < page.endOffset) return last !== undefined;
    this.tailReadMs = sentMs;
    if (this.isLoaded) {
      this.freshMs = sentMs;
      this.loadedOffsets.clear();
    }
    return false;
  }

  private async readTail(waitMs: number): Promise<LogPage> {
    const {topic} = this.options;
    const onData = (): void => {
      this.isTailArriving = true;
    };
    try {
      return await this.store.read(topic, this.nextOffset, waitMs, onData);
    } catch (err) {
      const isExpired = err instanceof StoreError && err.failure === 'expired';
      if (isExpired) this.restart();
      throw err;
    } finally {
      this.isTailArriving = false;
    }
  }

  /** Without the tail, only a new load shows what has changed. */
  private restart(): void {
    this.isLoaded = false;
    this.nextOffset = -1;
    this.loadedOffsets.clear();
    this.topicLoad = this.newLoad();
  }

  private applyLoaded(record: StoredRecord): void {
    const {key, offset} = record;
    if (offset <= (this.loadedOffsets.get(key) ?? -1)) return;
    this.loadedOffsets.set(key, offset);
    this.onRecord(record);
  }

  /** A page may have shown a newer record of the key, or the same one. */
  private applyTail(record: StoredRecord): void {
    const {key, value, offset} = record;
    if (offset <= (this.loadedOffsets.get(key) ?? -1)) return;
    if (!this.isLoaded) {
      if (value.length === 0) this.loadedOffsets.delete(key);
      else this.loadedOffsets.set(key, offset);
    }
    this.onRecord(record);
  }
}
