/** What the cell needs of the platform's store, a log with keyed topics. */

/** Outcome of a call that was not answered with success. */
export type StoreFailure =
  /** The store did nothing. */
  | 'refused'
  /** The call may have been executed, or may be executed later. */
  | 'unknown'
  /** Another writer was first, or this writer was superseded. */
  | 'conflict'
  /** The records asked for were deleted. */
  | 'expired';

/** Thrown by every store call that did not succeed. */
export class StoreError extends Error {
  constructor(
    readonly failure: StoreFailure,
    detail: string,
    /** The sequence number that the store expects; -1 where not said. */
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

/** A record with its place in the partition. */
export interface PlacedRecord extends KeyedRecord {
  readonly offset: number;
}

/** A page of a partition. */
export interface LogPage {
  readonly endOffset: number;
  readonly records: readonly PlacedRecord[];
}

/** Fencing of one writer of a partition. */
export interface Producer {
  readonly name: string;
  readonly epoch: number;
  readonly sequence: number;
}

/** Conditions and bounds of an append. */
export interface AppendOptions {
  /** Appends only if the partition ends here. */
  readonly at?: number;
  readonly producer?: Producer;
  readonly timeoutMs?: number;
}

/** The platform's store. */
export abstract class Store {
  /**
   * Appends records, all or none.
   *
   * @returns the offset after the last one
   * @throws StoreError
   * @example
   * await store.append('keyed.jobs', [{key: 'j/1', value}]);
   */
  abstract append(
    topic: string,
    records: readonly KeyedRecord[],
    options?: AppendOptions,
  ): Promise<number>;

  /**
   * Reads records from an offset on; waits for one where there is none yet.
   *
   * @throws StoreError
   */
  abstract read(topic: string, from: number, waitMs: number): Promise<LogPage>;

  /**
   * Reads the newest record of each key. Later records may be missing or
   * present; reading on from `endOffset` gives them.
   *
   * @throws StoreError
   */
  abstract newest(topic: string): Promise<LogPage>;
}
