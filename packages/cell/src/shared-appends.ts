/**
 * Appends records of several VMs together. While the store is slow, a partition
 * takes few appends in a second; one that carries the jobs of all VMs costs no
 * more time than one with the jobs of one VM.
 */
import {countForAppend} from './append-size.js';
import type {KeyedRecord, Store} from './store.js';

/** Timeout of an append, in ms; callers wait 3 s. */
const APPEND_TIMEOUT_MS = 2200;

interface PendingAppend {
  readonly records: readonly KeyedRecord[];
  readonly resolve: (endOffset: number) => void;
  readonly reject: (err: unknown) => void;
}

/** The appends to one topic that have not been sent. */
interface TopicAppends {
  pending: readonly PendingAppend[];
  isWriting: boolean;
}

/** Joins appends to the same topic while an earlier one is under way. */
export class SharedAppends {
  private readonly topics = new Map<string, TopicAppends>();

  constructor(private readonly store: Pick<Store, 'append' | 'limits'>) {}

  /**
   * Appends records, perhaps together with those of other calls.
   *
   * @throws StoreError
   * @example
   * const endOffset = await sharedAppends.append('keyed.jobs-0', records);
   */
  append(topic: string, records: readonly KeyedRecord[]): Promise<number> {
    const appends = this.topics.get(topic) ?? {pending: [], isWriting: false};
    this.topics.set(topic, appends);
    return new Promise((resolve, reject) => {
      const append = {records, resolve, reject};
      appends.pending = [...appends.pending, append];
      if (!appends.isWriting) void this.write(topic, appends);
    });
  }

  private async write(topic: string, appends: TopicAppends): Promise<void> {
    appends.isWriting = true;
    while (appends.pending.length > 0) {
      const batch = this.takeBatch(appends);
      const records = batch.flatMap(each => each.records);
      try {
        const timeoutMs = APPEND_TIMEOUT_MS;
        const end = await this.store.append(topic, records, {timeoutMs});
        for (const {resolve} of batch) resolve(end);
      } catch (err) {
        for (const {reject} of batch) reject(err);
      }
    }
    this.topics.delete(topic);
  }

  /** Takes the oldest appends that fit into one, and at least one. */
  private takeBatch(appends: TopicAppends): readonly PendingAppend[] {
    const {pending} = appends;
    const all = pending.flatMap(({records}) => records);
    let left = countForAppend(all, this.store.limits);
    let count = 0;
    for (const {records} of pending) {
      left -= records.length;
      if (left < 0) break;
      count += 1;
    }
    const batch = pending.slice(0, Math.max(1, count));
    appends.pending = pending.slice(batch.length);
    return batch;
  }
}
