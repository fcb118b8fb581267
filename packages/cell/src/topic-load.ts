/** A load of a keyed topic, page by page, that keeps what it has read. */
import type {Clock} from '@dragonflyward/common';
import {
  StoreError,
  type NewestPage,
  type Store,
  type StoredRecord,
} from './store.js';

/** How far a load has come, and what it has waited for. */
export interface TopicLoadReport {
  readonly topic: string;
  readonly pages: number;
  readonly records: number;
  /** All bytes that arrived, those of failed calls included. */
  readonly bytes: number;
  readonly failures: number;
  /** Waits until responses began: the store and the way to it. */
  readonly waitMs: number;
  /** Time from then until the pages were complete: the link. */
  readonly receiveMs: number;
  /** Time in which the records were decoded and applied: the processor. */
  readonly applyMs: number;
  /** The last failure; empty once all is read. */
  readonly err: string;
}

/** Reads the newest records; a failed load goes on after the last page. */
export class TopicLoad {
  /** The end of the partition at the first page, or -1 before. */
  endOffset = -1;
  /** When the first page was requested; older records are read by the end. */
  sentMs = -Infinity;
  isComplete = false;
  /** Whether a page is arriving. */
  isReceiving = false;
  private after = '';
  private readonly counts = {
    pages: 0,
    records: 0,
    bytes: 0,
    failures: 0,
    waitMs: 0,
    receiveMs: 0,
    applyMs: 0,
  };
  private err = '';
  private readonly aborter = new AbortController();
  /** The most bytes of the next page that have arrived in one call. */
  private pageBytes = 0;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly topic: string,
    /** Called when more of the topic has arrived than ever before. */
    private readonly onProgress: () => void = () => undefined,
  ) {}

  /**
   * Yields the pages that were not read before.
   *
   * @throws StoreError
   * @example
   * for await (const records of load.readPages()) records.forEach(apply);
   */
  async *readPages(): AsyncGenerator<readonly StoredRecord[]> {
    while (!this.isComplete) {
      const {records} = await this.readPage();
      const readMs = this.clock.monotonicMs();
      yield records;
      this.counts.applyMs += this.clock.monotonicMs() - readMs;
    }
  }

  /** Ends the transfer of a page: other calls of the VM need its link. */
  abort(): void {
    this.aborter.abort();
  }

  /** Describes the load for the log. */
  get report(): TopicLoadReport {
    const {topic, counts, err} = this;
    const [waitMs, receiveMs, applyMs] = [
      counts.waitMs,
      counts.receiveMs,
      counts.applyMs,
    ].map(Math.round) as [number, number, number];
    return {topic, ...counts, waitMs, receiveMs, applyMs, err};
  }

  private async readPage(): Promise<NewestPage> {
    const sentMs = this.clock.monotonicMs();
    if (this.endOffset < 0) this.sentMs = sentMs;
    const page = await this.fetchPage(sentMs);
    const {counts} = this;
    counts.pages += 1;
    counts.records += page.records.length;
    // Records may change behind the first pages until the last is read.
    if (this.endOffset < 0) this.endOffset = page.endOffset;
    this.after = page.records.at(-1)?.key ?? this.after;
    this.isComplete = !page.hasMore;
    this.pageBytes = 0;
    this.err = '';
    this.onProgress();
    return page;
  }

  private async fetchPage(sentMs: number): Promise<NewestPage> {
    const {store, clock, counts, topic, after} = this;
    let begunMs = NaN;
    let bytes = 0;
    try {
      const onData = (part: number): void => {
        if (Number.isNaN(begunMs)) begunMs = clock.monotonicMs();
        this.isReceiving = true;
        bytes += part;
        this.recordBytes(part, bytes);
      };
      const {signal} = this.aborter;
      return await store.newestPage(topic, after, onData, signal);
    } catch (err) {
      if (!(err instanceof StoreError)) throw err;
      counts.failures += 1;
      this.err = err.message;
      throw err;
    } finally {
      this.isReceiving = false;
      const endMs = clock.monotonicMs();
      const waitedMs = Number.isNaN(begunMs) ? endMs : begunMs;
      counts.waitMs += waitedMs - sentMs;
      counts.receiveMs += endMs - waitedMs;
    }
  }

  /** A page that fails at the same place each time is no progress. */
  private recordBytes(part: number, bytes: number): void {
    this.counts.bytes += part;
    if (bytes <= this.pageBytes) return;
    this.pageBytes = bytes;
    this.onProgress();
  }
}
