/** Appends records to one stream in batches and confirms them by reading. */
import {
  DragonflywardError,
  newId,
  toFailure,
  type Clock,
} from '@dragonflyward/common';
import PQueue from 'p-queue';
import type {LogClient} from './client.js';
import type {ApplyResult} from './stream-state.js';
import type {StreamTail} from './tail.js';
import type {NewRecord} from './types.js';

const DEFAULT_MAX_BATCH = 256;
const DEFAULT_MAX_DELAY_MS = 2;
const DEFAULT_MIN_INTERVAL_MS = 50;
const READ_BACK_TIMEOUT_MS = 5_000;
const READ_BACK_POLL_MS = 20;
const MAX_ATTEMPTS = 3;

/** Options of a writer. */
export interface StreamWriterOptions {
  readonly client: LogClient;
  readonly stream: string;
  /** Reads the appended records back. */
  readonly tail: StreamTail;
  readonly clock: Clock;
  /** Maximum number of records in one append. */
  readonly maxBatch?: number;
  /** How long the first record of a batch waits for others. */
  readonly maxDelayMs?: number;
  /** Minimum time between appends, unless a batch is full. */
  readonly minIntervalMs?: number;
}

interface PendingWrite {
  readonly record: NewRecord;
  readonly resolve: (result: ApplyResult) => void;
  readonly reject: (err: Error) => void;
}

/** Group commit: batches records, with one append in flight at a time. */
export class StreamWriter {
  /** Number of appends sent. */
  appends = 0;
  private readonly flushQueue = new PQueue({concurrency: 1});
  private readonly inFlight = new Map<string, PendingWrite>();
  private queue: readonly PendingWrite[] = [];
  private isFlushScheduled = false;
  private lastAppendMs = -Infinity;

  constructor(private readonly options: StreamWriterOptions) {
    options.tail.listen((record, result) => {
      this.confirm(record.id, result);
    });
  }

  /**
   * Appends a record and resolves once it has been read back.
   *
   * @throws logDown when the append certainly had no effect
   * @throws appendUnknown when it may have had an effect
   * @example
   * const result = await writer.write(record);
   * if (result !== 'applied') raise('staleTerm', shard);
   */
  write(data: unknown): Promise<ApplyResult> {
    const record = {id: newId('r'), data};
    return new Promise((resolve, reject) => {
      this.queue = [...this.queue, {record, resolve, reject}];
      this.scheduleFlush();
    });
  }

  private scheduleFlush(): void {
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    void this.flushQueue.add(() => this.flush());
  }

  private async flush(): Promise<void> {
    const {clock, maxBatch = DEFAULT_MAX_BATCH} = this.options;
    if (this.queue.length < maxBatch) await clock.sleep(this.flushDelayMs());
    const batch = this.queue.slice(0, maxBatch);
    this.queue = this.queue.slice(maxBatch);
    this.isFlushScheduled = false;
    if (this.queue.length > 0) this.scheduleFlush();
    for (const pending of batch) this.inFlight.set(pending.record.id, pending);
    await this.appendBatch(batch);
  }

  /**
   * A single record is sent after a short delay; under load, appends keep the
   * minimum interval.
   */
  private flushDelayMs(): number {
    const {clock, maxDelayMs = DEFAULT_MAX_DELAY_MS} = this.options;
    const {minIntervalMs = DEFAULT_MIN_INTERVAL_MS} = this.options;
    const earliestMs = this.lastAppendMs + minIntervalMs;
    return Math.max(maxDelayMs, earliestMs - clock.monotonicMs());
  }

  /** Retries with the same record ids, so that readers detect duplicates. */
  private async appendBatch(batch: readonly PendingWrite[]): Promise<void> {
    let isOutcomeUnknown = false;
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      const failure = await this.tryAppend(batch);
      if (failure === undefined) return void this.rejectAfterTimeout(batch);
      isOutcomeUnknown ||= failure !== 'logDown';
      if (!isOutcomeUnknown) return this.rejectAll(batch, 'logDown');
      await this.waitForFreshRead();
      if (!this.isInFlight(batch)) return;
    }
    this.rejectAll(batch, 'appendUnknown');
  }

  private async tryAppend(
    batch: readonly PendingWrite[],
  ): Promise<string | undefined> {
    const {client, stream} = this.options;
    this.appends += 1;
    this.lastAppendMs = this.options.clock.monotonicMs();
    try {
      await client.append(
        stream,
        batch.map(({record}) => record),
      );
      return undefined;
    } catch (err) {
      return toFailure(err).kind;
    }
  }

  /** Waits for a read sent from now on to reach the end, or a timeout. */
  private async waitForFreshRead(): Promise<void> {
    const {clock, tail} = this.options;
    const fromMs = clock.monotonicMs();
    const untilMs = fromMs + READ_BACK_TIMEOUT_MS / MAX_ATTEMPTS;
    while (tail.lastCaughtUpMs < fromMs && clock.monotonicMs() < untilMs) {
      await clock.sleep(READ_BACK_POLL_MS);
    }
  }

  private async rejectAfterTimeout(
    batch: readonly PendingWrite[],
  ): Promise<void> {
    await this.options.clock.sleep(READ_BACK_TIMEOUT_MS);
    this.rejectAll(batch, 'appendUnknown');
  }

  private isInFlight(batch: readonly PendingWrite[]): boolean {
    return batch.some(({record}) => this.inFlight.has(record.id));
  }

  private confirm(id: string, result: ApplyResult): void {
    const pending = this.inFlight.get(id);
    if (pending === undefined) return;
    this.inFlight.delete(id);
    pending.resolve(result);
  }

  private rejectAll(
    batch: readonly PendingWrite[],
    kind: 'logDown' | 'appendUnknown',
  ): void {
    for (const {record, reject} of batch) {
      if (!this.inFlight.delete(record.id)) continue;
      reject(new DragonflywardError(kind, this.options.stream));
    }
  }
}
