/** Base of the states that are computed from a stream with snapshots. */
import {
  StreamState,
  type ApplyResult,
  type LogRecord,
} from '@dragonflyward/log';
import {
  RECORD_VERSION,
  type ConfigStreamRecord,
  type AllowanceStreamRecord,
  type ShardRecord,
  type SnapshotRecord,
} from './records.js';
import type {RecordChecker} from './record-schema.js';

const MAX_PART_LENGTH = 128 * 1024;

type StreamRecord = ShardRecord | ConfigStreamRecord | AllowanceStreamRecord;

/** A record that changes the state, as opposed to a snapshot. */
export type ChangeOf<R extends StreamRecord> = Exclude<R, SnapshotRecord>;

/**
 * Computes a state from one stream. A reader that starts after the log was
 * truncated begins at a snapshot.
 */
export abstract class SnapshottedState<
  R extends StreamRecord,
> extends StreamState {
  override nextOffset = 0;
  override isComplete = true;
  /** How many records were malformed or of an unknown version. */
  skippedCount = 0;
  /**
   * How many valid records had no effect, for example because they were based
   * on an outdated state.
   */
  voidCount = 0;
  /**
   * The newest complete snapshot covers all records before this offset; 0 if
   * there is none.
   */
  snapshotCovers = 0;
  /** Highest log timestamp of the records so far. */
  logMs = 0;
  private readonly parts = new Map<string, Map<number, SnapshotRecord>>();
  /** Records read before a complete snapshot, to be applied after it. */
  private deferred: LogRecord[] = [];
  private startOffset = 0;

  constructor(private readonly checker: RecordChecker<R>) {
    super();
  }

  override apply(record: LogRecord): ApplyResult {
    if (record.offset !== this.nextOffset) return 'void';
    this.nextOffset += 1;
    const checked = this.checker.check(record.data);
    if (checked === undefined) this.skippedCount += 1;
    if (checked !== undefined && isSnapshot(checked)) {
      return this.addSnapshotPart(checked, record.offset);
    }
    if (!this.isComplete) this.deferred.push(record);
    if (!this.isComplete) return checked === undefined ? 'skipped' : 'void';
    return this.applyChecked(record, checked);
  }

  override skipTo(offset: number): void {
    if (offset <= this.nextOffset) return;
    this.nextOffset = offset;
    this.isComplete = false;
    this.startOffset = offset;
    this.deferred = [];
    this.parts.clear();
  }

  /**
   * Returns the records of a snapshot of the current state.
   *
   * @example
   * const records = state.snapshot(newId('s'));
   */
  snapshot(snapshotId: string): readonly SnapshotRecord[] {
    const bodies = [...packEntries(this.logMs, this.entries())];
    return bodies.map((body, part) => ({
      v: RECORD_VERSION,
      type: 'snapshot',
      snapshotId,
      covers: this.nextOffset,
      part,
      parts: bodies.length,
      body,
    }));
  }

  /**
   * Replaces the state by a snapshot made by a peer, unless it is older.
   *
   * @returns whether it was adopted
   * @example
   * if (state.adopt(parts)) events.add('configApplied', {});
   */
  adopt(parts: readonly SnapshotRecord[]): boolean {
    const [first] = parts;
    if (first === undefined || parts.length !== first.parts) return false;
    if (!this.isNewer(first.covers)) return false;
    const state = parseSnapshot(new Map(parts.map(part => [part.part, part])));
    if (state === undefined) return false;
    this.nextOffset = first.covers;
    this.replaceState(state);
    return true;
  }

  /**
   * Whether a snapshot of all records before this offset is newer than the
   * state.
   */
  protected isNewer(covers: number): boolean {
    if (covers > this.nextOffset) return true;
    return !this.isComplete && covers === this.nextOffset;
  }

  /**
   * Applies a valid change. The result must depend only on the records up to
   * this one, so that all readers agree on it.
   */
  protected abstract applyChange(
    change: ChangeOf<R>,
    record: LogRecord,
  ): ApplyResult;
  /**
   * Returns the state as entries that can be encoded as JSON, in a fixed order.
   */
  protected abstract entries(): Iterable<unknown>;
  /** Replaces the state by the one that the entries describe. */
  protected abstract restore(entries: readonly unknown[]): void;

  private applyChecked(record: LogRecord, checked: R | undefined): ApplyResult {
    this.logMs = Math.max(this.logMs, record.timeMs);
    if (checked === undefined) return 'skipped';
    const result = this.applyChange(checked as ChangeOf<R>, record);
    if (result === 'void') this.voidCount += 1;
    if (result === 'skipped') this.skippedCount += 1;
    return result;
  }

  private replaceState({logMs, entries}: SnapshotState): void {
    this.logMs = logMs;
    this.restore(entries);
    this.isComplete = true;
    this.deferred = [];
    this.parts.clear();
  }

  private addSnapshotPart(
    snapshot: SnapshotRecord,
    offset: number,
  ): ApplyResult {
    const {snapshotId, part, parts, covers} = snapshot;
    if (part >= parts || covers > offset) {
      this.skippedCount += 1;
      return 'skipped';
    }
    const received =
      this.parts.get(snapshotId) ?? new Map<number, SnapshotRecord>();
    this.parts.set(snapshotId, received);
    received.set(part, this.isComplete ? {...snapshot, body: ''} : snapshot);
    if (received.size < parts) return 'applied';
    this.parts.delete(snapshotId);
    this.snapshotCovers = Math.max(this.snapshotCovers, covers);
    if (!this.isComplete) this.startFromSnapshot(received, covers);
    return 'applied';
  }

  /** Restores a snapshot, unless records after it were already truncated. */
  private startFromSnapshot(
    parts: ReadonlyMap<number, SnapshotRecord>,
    covers: number,
  ): void {
    if (covers < this.startOffset) return;
    const state = parseSnapshot(parts);
    if (state === undefined) return;
    const {deferred} = this;
    this.replaceState(state);
    for (const record of deferred) {
      if (record.offset < covers) continue;
      this.applyChecked(record, this.checker.check(record.data));
    }
  }
}

interface SnapshotState {
  readonly logMs: number;
  readonly entries: readonly unknown[];
}

function isSnapshot(record: StreamRecord): record is SnapshotRecord {
  return record.type === 'snapshot';
}

/**
 * Packs the timestamp and then the entries into JSON arrays of bounded length.
 */
function* packEntries(
  logMs: number,
  entries: Iterable<unknown>,
): Generator<string> {
  let texts = [JSON.stringify(logMs)];
  let length = 0;
  for (const entry of entries) {
    const text = JSON.stringify(entry);
    if (length > 0 && length + text.length > MAX_PART_LENGTH) {
      yield `[${texts.join(',')}]`;
      texts = [];
      length = 0;
    }
    texts.push(text);
    length += text.length;
  }
  yield `[${texts.join(',')}]`;
}

function parseSnapshot(
  parts: ReadonlyMap<number, SnapshotRecord>,
): SnapshotState | undefined {
  const ordered = [...parts.values()].sort((a, b) => a.part - b.part);
  try {
    const values = ordered.flatMap(({body}) => JSON.parse(body) as unknown[]);
    const [logMs, ...entries] = values;
    return typeof logMs === 'number' ? {logMs, entries} : undefined;
  } catch {
    return undefined;
  }
}
