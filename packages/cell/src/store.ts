/** Interface of the platform's store, a log with keyed topics. */

/** Why a store call failed. */
export type StoreFailure =
  /** The store did not execute the call. */
  | 'refused'
  /** The call may have been executed, or may yet be executed. */
  | 'unknown'
  /** Another writer was first, or this writer was superseded. */
  | 'conflict'
  /** The requested records were deleted. */
  | 'expired';

/** Thrown by every failed store call. */
export class StoreError extends Error {
  constructor(
    readonly failure: StoreFailure,
    detail: string,
    /** The sequence number that the store expects, or -1 if unknown. */
    readonly expectedSequence = -1,
  ) {
    super(`store ${failure}: ${detail}`);
    this.name = 'StoreError';
  }
}

/** A record of a keyed topic; an empty value deletes the key. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Uint8Array;
}

/** A record with its offset in the partition. */
export interface StoredRecord extends KeyedRecord {
  readonly offset: number;
}

/** A page of a partition. */
export interface LogPage {
  readonly endOffset: number;
  readonly records: readonly StoredRecord[];
}

/** A page of the newest records; the next begins after the last key. */
export interface NewestPage extends LogPage {
  readonly hasMore: boolean;
}

/** Identifies a writer of a partition, for fencing and deduplication. */
export interface Producer {
  readonly name: string;
  readonly epoch: number;
  readonly sequence: number;
}

/** Conditions and timeout of an append. */
export interface AppendOptions {
  /** Appends only if the partition ends at this offset. */
  readonly at?: number;
  readonly producer?: Producer;
  readonly timeoutMs?: number;
}

/** Sizes that an append may not exceed, in bytes. */
export interface StoreLimits {
  readonly recordBytes: number;
  /** Limit on the total of the records of one append. */
  readonly appendBytes: number;
}

/** Limits of a store whose settings name none. */
export const DEFAULT_STORE_LIMITS: StoreLimits = {
  recordBytes: 262_144,
  appendBytes: 2_097_152,
};

/** The platform's store. */
export abstract class Store {
  /** Sizes that the store accepts. */
  abstract readonly limits: StoreLimits;

  /**
   * Appends records, all or none. Records beyond the limits are refused.
   *
   * @returns the offset after the last record
   * @throws StoreError
   * @example
   * await store.append('keyed.jobs-0', [{key: 'j/1', value}]);
   */
  abstract append(
    topic: string,
    records: readonly KeyedRecord[],
    options?: AppendOptions,
  ): Promise<number>;

  /**
   * Reads records from an offset on; waits for one if there is none yet. One
   * record may be longer than the platform's pages, so once the response has
   * begun, it may take as long as data arrives.
   *
   * @param onData called with 0 when the response begins, then with the size
   *     of each part that arrives
   * @throws StoreError
   * @example
   * const {records} = await store.read('keyed.config', 17, 1000);
   */
  abstract read(
    topic: string,
    from: number,
    waitMs: number,
    onData?: (bytes: number) => void,
  ): Promise<LogPage>;

  /**
   * Reads the newest record of each key of a small topic. Records that are
   * appended during the call may be missing; read on from `endOffset` to get
   * them.
   *
   * @throws StoreError
   */
  abstract newest(topic: string): Promise<LogPage>;

  /**
   * Reads a page of the newest records of keys after the given one, or the
   * first page. It may take as long as data arrives. Pages are not a snapshot:
   * read on from the first page's `endOffset` to get what has changed.
   *
   * @param onData called with 0 when the response begins, then with the size
   *     of each part that arrives
   * @param signal ends the transfer, so that the link is free; the call fails
   * @throws StoreError
   * @example
   * const first = await store.newestPage('keyed.jobs-0', '');
   */
  abstract newestPage(
    topic: string,
    after: string,
    onData?: (bytes: number) => void,
    signal?: AbortSignal,
  ): Promise<NewestPage>;
}
