/** Records, requests and responses of the platform log service. */

/** A record to append; the id identifies it when an append is retried. */
export interface NewRecord {
  readonly id: string;
  readonly data: unknown;
}

/** A record in a stream. */
export interface LogRecord extends NewRecord {
  readonly offset: number;
  /** Wall time of the log service at the append. */
  readonly timeMs: number;
}

/** The result of a read. */
export interface LogPage {
  /** Offset of the oldest retained record. */
  readonly first: number;
  /** Offset of the next record to be appended. */
  readonly end: number;
  readonly records: readonly LogRecord[];
}

/** Limits of one read. */
export interface ReadOptions {
  readonly maxRecords: number;
  /** How long the service may wait for a record if there is none. */
  readonly waitMs: number;
}

/** The result of an append: the offset of its first record. */
export interface AppendReply {
  readonly offset: number;
}

/** A stream and the range of its retained offsets. */
export interface StreamInfo {
  readonly stream: string;
  readonly first: number;
  readonly end: number;
}
