/** State that is computed from the records of one log stream. */
import type {LogRecord} from './types.js';

/** The effect of a record on the state. */
export type ApplyResult =
  /** It took effect. */
  | 'applied'
  /** It refers to an outdated state; every reader ignores it. */
  | 'void'
  /** It is malformed or of an unknown version; every reader skips it. */
  | 'skipped';

/** State that depends only on the records of a stream up to an offset. */
export abstract class StreamState {
  /** Offset of the next record to apply. */
  abstract readonly nextOffset: number;
  /** Applies the next record; records at earlier offsets are ignored. */
  abstract apply(record: LogRecord): ApplyResult;
  /**
   * Continues at the oldest retained record after earlier ones were dropped.
   * The state is complete only after a snapshot or when read from offset 0.
   */
  abstract skipTo(offset: number): void;
  /** Whether the state includes all records before `nextOffset`. */
  abstract readonly isComplete: boolean;
}
