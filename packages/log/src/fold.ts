/** A state that is folded from the records of one log stream. */
import type {LogRecord} from './types.js';

/** What became of a record. */
export type ApplyResult =
  /** It took effect. */
  | 'applied'
  /** It cites a state that is not the current one; void for every reader. */
  | 'void'
  /** It is malformed or of an unknown version; skipped by every reader. */
  | 'skipped';

/** A deterministic function of a stream's prefix. */
export abstract class StreamFold {
  /** Offset of the next record to apply. */
  abstract readonly nextOffset: number;
  /** Takes in the next record; earlier offsets are ignored. */
  abstract apply(record: LogRecord): ApplyResult;
  /**
   * Starts at the oldest kept record, where earlier ones were dropped. The
   * fold is complete only once it has read a snapshot, or from offset 0.
   */
  abstract skipTo(offset: number): void;
  /** Whether all that came before is known. */
  abstract readonly isComplete: boolean;
}
