/** Writes progress in batches, each append fenced by the owner's term. */
import type {Clock} from '@dragonflyward/common';
import PQueue from 'p-queue';
import {splitIntoAppends} from './append-size.js';
import type {LogFunction} from './platform.js';
import {PROGRESS_TOPIC} from './records.js';
import {StoreError, type KeyedRecord, type Store} from './store.js';

const PRODUCER_NAME = 'progress';
/** Initial delay before an append is retried, in ms. */
const MIN_RETRY_DELAY_MS = 50;
/** Longest delay before an append is retried, in ms. */
const MAX_RETRY_DELAY_MS = 400;

/** The only writer of the progress topic under one term. */
export class ProgressWriter {
  private sequence = 0;
  /** Serializes appends: the store treats an equal sequence as a retry. */
  private readonly writes = new PQueue({concurrency: 1});
  private opening: Promise<boolean> | null = null;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly term: number,
    private readonly mayWrite: () => boolean,
    private readonly log: LogFunction,
  ) {}

  /**
   * Makes the store refuse appends of earlier owners that are still in flight.
   *
   * @returns false if another owner has taken over
   * @example
   * if (!(await writer.open())) return;
   */
  open(): Promise<boolean> {
    this.opening ??= this.write([]);
    return this.opening;
  }

  /**
   * Appends the records, in several appends if they are too large for one, and
   * retries until they are known to be stored.
   *
   * @returns false if another owner has taken over
   * @example
   * const isStored = await writer.write(records);
   */
  write(records: readonly KeyedRecord[]): Promise<boolean> {
    return this.writes.add(() => this.writeAll(records));
  }

  private async writeAll(records: readonly KeyedRecord[]): Promise<boolean> {
    for (const batch of splitIntoAppends(records, this.store.limits)) {
      if (!(await this.writeUntilStored(batch))) return false;
    }
    return true;
  }

  private async writeUntilStored(
    records: readonly KeyedRecord[],
  ): Promise<boolean> {
    for (let delayMs = MIN_RETRY_DELAY_MS; this.mayWrite();) {
      const outcome = await this.appendOnce(records);
      if (outcome === 'stored') return true;
      if (outcome === 'fenced') return false;
      if (outcome === 'sequence') continue;
      await this.clock.sleep(delayMs);
      delayMs = Math.min(MAX_RETRY_DELAY_MS, delayMs * 2);
    }
    return false;
  }

  private async appendOnce(
    records: readonly KeyedRecord[],
  ): Promise<'stored' | 'fenced' | 'sequence' | 'failed'> {
    const {term, sequence} = this;
    const producer = {name: PRODUCER_NAME, epoch: term, sequence};
    try {
      await this.store.append(PROGRESS_TOPIC, records, {producer});
      this.sequence = sequence + 1;
      return 'stored';
    } catch (err) {
      if (!(err instanceof StoreError)) throw err;
      if (err.failure !== 'conflict') {
        this.log('progressNotStored', {
          records: records.length,
          failure: err.failure,
          detail: err.message,
        });
        return 'failed';
      }
      if (err.expectedSequence < 0) return 'fenced';
      const isDone = err.expectedSequence === sequence + 1;
      this.sequence = err.expectedSequence;
      return isDone ? 'stored' : 'sequence';
    }
  }
}
