/** Loads the progress that former owners have stored. */
import type {Clock} from '@dragonflyward/common';
import type {ProgressWriter} from './progress-writer.js';
import {PROGRESS_TOPIC} from './records.js';
import {StoreError, type Store, type StoredRecord} from './store.js';
import {TopicLoad, type TopicLoadReport} from './topic-load.js';

/** How long a load waits until earlier writers are shut out, in ms. */
const OPEN_TIMEOUT_MS = 3000;

/** Shuts out earlier writers, then reads the topic, which changes no more. */
export class ProgressLoad {
  private readonly topicLoad: TopicLoad;
  private readonly records: StoredRecord[] = [];
  private isOpen = false;

  constructor(
    store: Store,
    private readonly clock: Clock,
    private readonly writer: ProgressWriter,
    private readonly onProgress: () => void,
  ) {
    this.topicLoad = new TopicLoad(store, clock, PROGRESS_TOPIC, onProgress);
  }

  /**
   * Reads what was not read before, and returns all.
   *
   * @returns null if another owner has taken over in the meantime
   * @throws StoreError
   * @example
   * const records = await progress.load();
   */
  async load(): Promise<readonly StoredRecord[] | null> {
    if (!(await this.openInTime())) return null;
    for await (const page of this.topicLoad.readPages()) {
      this.records.push(...page);
    }
    return this.records;
  }

  /** Stops reading; a load that is under way fails. */
  stop(): void {
    this.topicLoad.abort();
  }

  /** Describes the load for the log. */
  get report(): TopicLoadReport {
    const {report} = this.topicLoad;
    return this.isOpen ? report : {...report, err: 'not open for writing'};
  }

  /** The writer goes on trying; a later call waits for the same attempt. */
  private async openInTime(): Promise<boolean> {
    const timeout = this.clock.sleep(OPEN_TIMEOUT_MS).then(() => null);
    const isOpen = await Promise.race([this.writer.open(), timeout]);
    if (isOpen === null) {
      const detail = `${PROGRESS_TOPIC} not open after ${OPEN_TIMEOUT_MS} ms`;
      throw new StoreError('unknown', detail);
    }
    if (isOpen && !this.isOpen) this.onProgress();
    this.isOpen = isOpen;
    return isOpen;
  }
}
