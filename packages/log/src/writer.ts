/** Appends records to one stream in groups and reads them back. */
import {
  DragonflywardError,
  newId,
  toFailure,
  type Clock,
} from '@dragonflyward/common';
import PQueue from 'p-queue';
import type {LogClient} from './client.js';
import type {ApplyResult} from './fold.js';
import type {StreamTail} from './tail.js';
import type {NewRecord} from './types.js';

const DEFAULT_MAX_BATCH = 256;
const DEFAULT_MAX_DELAY_MS = 2;
const DEFAULT_MIN_INTERVAL_MS = 50;
const READ_BACK_BOUND_MS = 5_000;
const READ_BACK_STEP_MS = 20;
const MAX_ATTEMPTS = 3;

/** What a writer needs. */
export interface StreamWriterOptions {
  readonly client: LogClient;
  readonly stream: string;
  /** Reads the records back. */
  readonly tail: StreamTail;
  readonly clock: Clock;
  /** How many records one append may hold. */
  readonly maxBatch?: number;
  /** How long the first record of a group waits for others. */
  readonly maxDelayMs?: number;
  /** How far apart appends are at least, unless a group is full. */
  readonly minIntervalMs?: number;
}

interface PendingWrite {
  readonly record: NewRecord;
  readonly resolve: (result: ApplyResult) => void;
  readonly reject: (err: Error) => void;
}

/** Group commit: many records to an append, one append at a time. */
export class StreamWriter {
  /** How many appends were sent. */
  appends = 0;
  private readonly queue = new PQueue({concurrency: 1});
  private readonly unread = new Map<string, PendingWrite>();
  private group: readonly PendingWrite[] = [];
  private isFlushDue = false;
  private sentMs = -Infinity;

  constructor(private readonly options: StreamWriterOptions) {
    options.tail.listen((record, result) => {
      this.settle(record.id, result);
    });
  }

  /**
   * Appends a record and resolves once it was read back.
   *
   * @throws logDown when it certainly had no effect
   * @throws appendUnknown when it may have had an effect
   * @example
   * const result = await writer.write(record);
   * if (result !== 'applied') raise('staleTerm', shard);
   */
  write(data: unknown): Promise<ApplyResult> {
    const record = {id: newId('r'), data};
    return new Promise((resolve, reject) => {
      this.group = [...this.group, {record, resolve, reject}];
      this.scheduleFlush();
    });
  }

  private scheduleFlush(): void {
    if (this.isFlushDue) return;
    this.isFlushDue = true;
    void this.queue.add(() => this.flush());
  }

  private async flush(): Promise<void> {
    const {clock, maxBatch = DEFAULT_MAX_BATCH} = this.options;
    if (this.group.length < maxBatch) await clock.sleep(this.delayMs());
    const batch = this.group.slice(0, maxBatch);
    this.group = this.group.slice(maxBatch);
    this.isFlushDue = false;
    if (this.group.length > 0) this.scheduleFlush();
    for (const pending of batch) this.unread.set(pending.record.id, pending);
    await this.appendBatch(batch);
  }

  /** A lone record goes soon; under load appends keep their distance. */
  private delayMs(): number {
    const {clock, maxDelayMs = DEFAULT_MAX_DELAY_MS} = this.options;
    const {minIntervalMs = DEFAULT_MIN_INTERVAL_MS} = this.options;
    const nextMs = this.sentMs + minIntervalMs;
    return Math.max(maxDelayMs, nextMs - clock.monotonicMs());
  }

  /** Repeats with the same ids, so that readers can tell repeats apart. */
  private async appendBatch(batch: readonly PendingWrite[]): Promise<void> {
    let isUnknown = false;
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      const failure = await this.tryAppend(batch);
      if (failure === undefined) return void this.boundReadBack(batch);
      isUnknown ||= failure !== 'logDown';
      if (!isUnknown) return this.rejectAll(batch, 'logDown');
      await this.readToEnd();
      if (!this.isUnread(batch)) return;
    }
    this.rejectAll(batch, 'appendUnknown');
  }

  private async tryAppend(
    batch: readonly PendingWrite[],
  ): Promise<string | undefined> {
    const {client, stream} = this.options;
    this.appends += 1;
    this.sentMs = this.options.clock.monotonicMs();
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

  /** Waits, within a bound, for a read that was sent after now. */
  private async readToEnd(): Promise<void> {
    const {clock, tail} = this.options;
    const fromMs = clock.monotonicMs();
    const untilMs = fromMs + READ_BACK_BOUND_MS / MAX_ATTEMPTS;
    while (tail.lastProofMs < fromMs && clock.monotonicMs() < untilMs) {
      await clock.sleep(READ_BACK_STEP_MS);
    }
  }

  private async boundReadBack(batch: readonly PendingWrite[]): Promise<void> {
    await this.options.clock.sleep(READ_BACK_BOUND_MS);
    this.rejectAll(batch, 'appendUnknown');
  }

  private isUnread(batch: readonly PendingWrite[]): boolean {
    return batch.some(({record}) => this.unread.has(record.id));
  }

  private settle(id: string, result: ApplyResult): void {
    const pending = this.unread.get(id);
    if (pending === undefined) return;
    this.unread.delete(id);
    pending.resolve(result);
  }

  private rejectAll(
    batch: readonly PendingWrite[],
    kind: 'logDown' | 'appendUnknown',
  ): void {
    for (const {record, reject} of batch) {
      if (!this.unread.delete(record.id)) continue;
      reject(new DragonflywardError(kind, this.options.stream));
    }
  }
}
