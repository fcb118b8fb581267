/** Follows one log stream and folds its records into a state. */
import {DragonflywardError, type Clock} from '@dragonflyward/common';
import type {LogClient} from './client.js';
import type {ApplyResult, StreamFold} from './fold.js';
import type {LogPage, LogRecord} from './types.js';

const RETRY_MIN_MS = 50;
const RETRY_MAX_MS = 1_000;
const MAX_RECORDS_PER_READ = 1_000;

/** Is told of each record in the order of the log. */
export type AppliedListener = (record: LogRecord, result: ApplyResult) => void;

/** What a tail needs. */
export interface StreamTailOptions {
  readonly client: LogClient;
  readonly stream: string;
  readonly fold: StreamFold;
  readonly clock: Clock;
  /** How long one read may wait for a record; above 0. */
  readonly waitMs: number;
  readonly onApplied?: AppliedListener;
}

interface OffsetWaiter {
  readonly offset: number;
  readonly resolve: () => void;
  readonly reject: (err: Error) => void;
}

/** Reads one stream for as long as it runs. */
export class StreamTail {
  /** Monotonic time of sending the newest read that reached the end. */
  lastProofMs = Number.NEGATIVE_INFINITY;
  /** Whether the newest read was answered. */
  isUp = false;
  /** Offset of the oldest record that the log still keeps. */
  firstKept = 0;
  private readonly listeners = new Set<AppliedListener>();
  private waiters: readonly OffsetWaiter[] = [];
  private isRunning = false;
  private retryMs = RETRY_MIN_MS;

  constructor(private readonly options: StreamTailOptions) {
    if (options.onApplied !== undefined) this.listeners.add(options.onApplied);
  }

  /** The name of the stream. */
  get stream(): string {
    return this.options.stream;
  }

  /** Starts to follow the stream. */
  start(): void {
    if (this.isRunning) return;
    this.isRunning = true;
    void this.run();
  }

  /** Stops; those who wait for an offset fail with `logDown`. */
  stop(): void {
    this.isRunning = false;
    this.isUp = false;
    const {waiters} = this;
    this.waiters = [];
    const err = new DragonflywardError('logDown', 'the tail was stopped');
    for (const waiter of waiters) waiter.reject(err);
  }

  /**
   * Adds a listener and returns the function that removes it.
   *
   * @example
   * const remove = tail.listen((record, result) => note(record.id, result));
   */
  listen(listener: AppliedListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Resolves once the record at the offset was applied.
   *
   * @throws logDown when the tail is stopped before
   * @example
   * await tail.waitFor(reply.offset);
   */
  waitFor(offset: number): Promise<void> {
    if (this.options.fold.nextOffset > offset) return Promise.resolve();
    return new Promise((resolve, reject) => {
      this.waiters = [...this.waiters, {offset, resolve, reject}];
    });
  }

  /**
   * Reads once and applies what came.
   *
   * @throws logDown
   * @example
   * await tail.readOnce(0);
   */
  async readOnce(waitMs = this.options.waitMs): Promise<void> {
    const {client, stream, fold, clock} = this.options;
    const sentMs = clock.monotonicMs();
    const page = await client.read(stream, fold.nextOffset, {
      maxRecords: MAX_RECORDS_PER_READ,
      waitMs,
    });
    this.isUp = true;
    this.applyPage(page);
    if (fold.nextOffset !== page.end) return;
    this.lastProofMs = Math.max(this.lastProofMs, sentMs);
  }

  /**
   * Applies records that a peer has read from the same stream.
   *
   * @example
   * tail.applyFromPeer(reply.records);
   */
  applyFromPeer(records: readonly LogRecord[]): void {
    for (const record of records) this.applyRecord(record);
    this.wakeWaiters();
  }

  private async run(): Promise<void> {
    while (this.isRunning) {
      try {
        await this.readOnce();
        this.retryMs = RETRY_MIN_MS;
      } catch {
        this.isUp = false;
        await this.options.clock.sleep(this.retryMs);
        this.retryMs = Math.min(RETRY_MAX_MS, this.retryMs * 2);
      }
    }
  }

  private applyPage(page: LogPage): void {
    const {fold} = this.options;
    this.firstKept = page.first;
    if (page.first > fold.nextOffset) fold.skipTo(page.first);
    for (const record of page.records) this.applyRecord(record);
    this.wakeWaiters();
  }

  private applyRecord(record: LogRecord): void {
    const {fold} = this.options;
    if (record.offset !== fold.nextOffset) return;
    const result = fold.apply(record);
    for (const listener of this.listeners) listener(record, result);
  }

  private wakeWaiters(): void {
    const {nextOffset} = this.options.fold;
    const ready = this.waiters.filter(({offset}) => offset < nextOffset);
    if (ready.length === 0) return;
    this.waiters = this.waiters.filter(({offset}) => offset >= nextOffset);
    for (const waiter of ready) waiter.resolve();
  }
}
