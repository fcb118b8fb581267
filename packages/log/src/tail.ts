/** Follows one log stream and applies its records to a state. */
import {DragonflywardError, type Clock} from '@dragonflyward/common';
import type {LogClient} from './client.js';
import type {ApplyResult, StreamState} from './stream-state.js';
import type {LogPage, LogRecord} from './types.js';

const RETRY_MIN_DELAY_MS = 50;
const RETRY_MAX_DELAY_MS = 1_000;
const MAX_RECORDS_PER_READ = 1_000;

/** Called for each applied record, in log order. */
export type AppliedListener = (record: LogRecord, result: ApplyResult) => void;

/** Options of a tail. */
export interface StreamTailOptions {
  readonly client: LogClient;
  readonly stream: string;
  readonly state: StreamState;
  readonly clock: Clock;
  /** How long one read may wait for a new record; above 0. */
  readonly waitMs: number;
  readonly onApplied?: AppliedListener;
}

interface OffsetWaiter {
  readonly offset: number;
  readonly resolve: () => void;
  readonly reject: (err: Error) => void;
}

/** Reads one stream continuously. */
export class StreamTail {
  /**
   * Monotonic time at which the latest read that reached the end of the
   * stream was sent: all records appended before then are applied.
   */
  lastCaughtUpMs = Number.NEGATIVE_INFINITY;
  /** Whether the latest read succeeded. */
  isUp = false;
  /** Offset of the oldest record that the log retains. */
  oldestOffset = 0;
  private readonly listeners = new Set<AppliedListener>();
  private waiters: readonly OffsetWaiter[] = [];
  private isRunning = false;
  private retryDelayMs = RETRY_MIN_DELAY_MS;

  constructor(private readonly options: StreamTailOptions) {
    if (options.onApplied !== undefined) this.listeners.add(options.onApplied);
  }

  /** The name of the stream. */
  get stream(): string {
    return this.options.stream;
  }

  /** Starts following the stream. */
  start(): void {
    if (this.isRunning) return;
    this.isRunning = true;
    void this.readUntilStopped();
  }

  /** Stops following; pending `waitFor` calls fail with `logDown`. */
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
   * Resolves once the record at the offset has been applied.
   *
   * @throws logDown when the tail is stopped before that
   * @example
   * await tail.waitFor(reply.offset);
   */
  waitFor(offset: number): Promise<void> {
    if (this.options.state.nextOffset > offset) return Promise.resolve();
    return new Promise((resolve, reject) => {
      this.waiters = [...this.waiters, {offset, resolve, reject}];
    });
  }

  /**
   * Reads once and applies the records.
   *
   * @throws logDown
   * @example
   * await tail.readOnce(0);
   */
  async readOnce(waitMs = this.options.waitMs): Promise<void> {
    const {client, stream, state, clock} = this.options;
    const sentMs = clock.monotonicMs();
    const page = await client.read(stream, state.nextOffset, {
      maxRecords: MAX_RECORDS_PER_READ,
      waitMs,
    });
    this.isUp = true;
    this.applyPage(page);
    if (state.nextOffset !== page.end) return;
    this.lastCaughtUpMs = Math.max(this.lastCaughtUpMs, sentMs);
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

  private async readUntilStopped(): Promise<void> {
    while (this.isRunning) {
      try {
        await this.readOnce();
        this.retryDelayMs = RETRY_MIN_DELAY_MS;
      } catch {
        this.isUp = false;
        await this.options.clock.sleep(this.retryDelayMs);
        this.retryDelayMs = Math.min(RETRY_MAX_DELAY_MS, this.retryDelayMs * 2);
      }
    }
  }

  private applyPage(page: LogPage): void {
    const {state} = this.options;
    this.oldestOffset = page.first;
    if (page.first > state.nextOffset) state.skipTo(page.first);
    for (const record of page.records) this.applyRecord(record);
    this.wakeWaiters();
  }

  private applyRecord(record: LogRecord): void {
    const {state} = this.options;
    if (record.offset !== state.nextOffset) return;
    const result = state.apply(record);
    for (const listener of this.listeners) listener(record, result);
  }

  private wakeWaiters(): void {
    const {nextOffset} = this.options.state;
    const ready = this.waiters.filter(({offset}) => offset < nextOffset);
    if (ready.length === 0) return;
    this.waiters = this.waiters.filter(({offset}) => offset >= nextOffset);
    for (const waiter of ready) waiter.resolve();
  }
}
