/** Writes progress in groups, each append fenced by the owner's term. */
import type {Clock} from '@dragonflyward/common';
import PQueue from 'p-queue';
import {PROGRESS_TOPIC} from './records.js';
import {StoreError, type KeyedRecord, type Store} from './store.js';

const PRODUCER_NAME = 'progress';
/** First pause before an append is repeated, in ms. */
const RETRY_MIN_MS = 50;
/** Longest pause before an append is repeated, in ms. */
const RETRY_MAX_MS = 400;

/** The only writer of the progress topic under one term. */
export class ProgressWriter {
  private sequence = 0;
  /** One append at a time: the store takes an equal number for a repeat. */
  private readonly writes = new PQueue({concurrency: 1});
  private opened: Promise<boolean> | null = null;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly term: number,
    private readonly mayWrite: () => boolean,
  ) {}

  /**
   * Makes the store refuse what earlier owners still have under way.
   *
   * @returns whether this owner may go on
   * @example
   * if (!(await writer.open())) return;
   */
  open(): Promise<boolean> {
    this.opened ??= this.write([]);
    return this.opened;
  }

  /**
   * Appends the records, again and again until it is known that they are
   * stored.
   *
   * @returns false where another owner has taken over
   * @example
   * const isStored = await writer.write(records);
   */
  write(records: readonly KeyedRecord[]): Promise<boolean> {
    return this.writes.add(() => this.writeUntilStored(records));
  }

  private async writeUntilStored(
    records: readonly KeyedRecord[],
  ): Promise<boolean> {
    for (let delayMs = RETRY_MIN_MS; this.mayWrite();) {
      const outcome = await this.tryOnce(records);
      if (outcome === 'stored') return true;
      if (outcome === 'fenced') return false;
      if (outcome === 'sequence') continue;
      await this.clock.sleep(delayMs);
      delayMs = Math.min(RETRY_MAX_MS, delayMs * 2);
    }
    return false;
  }

  private async tryOnce(
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
      if (err.failure !== 'conflict') return 'failed';
      if (err.expectedSequence < 0) return 'fenced';
      const isDone = err.expectedSequence === sequence + 1;
      this.sequence = err.expectedSequence;
      return isDone ? 'stored' : 'sequence';
    }
  }
}
