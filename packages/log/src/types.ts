/** The shapes of the platform log service's records and answers. */

/** A record to append; the id tells repeats of one append apart. */
export interface NewRecord {
  readonly id: string;
  readonly data: unknown;
}

/** A record as it stands in a stream. */
export interface LogRecord extends NewRecord {
  readonly offset: number;
  /** The log service's wall time at the append. */
  readonly timeMs: number;
}

/** What a read returned. */
export interface LogPage {
  /** Offset of the oldest record that is still kept. */
  readonly first: number;
  /** Offset that the next append will get. */
  readonly end: number;
  readonly records: readonly LogRecord[];
}

/** Bounds of one read. */
export interface ReadOptions {
  readonly maxRecords: number;
  /** How long the service may wait for a record when there is none. */
  readonly waitMs: number;
}

/** What an append returned: the offset of the first of its records. */
export interface AppendReply {
  readonly offset: number;
}

/** One stream and what it keeps. */
export interface StreamInfo {
  readonly stream: string;
  readonly first: number;
  readonly end: number;
}
