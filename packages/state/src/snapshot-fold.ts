/** A fold whose state is carried forward by snapshot records. */
import {StreamFold, type ApplyResult, type LogRecord} from '@dragonflyward/log';
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

/** A record that carries state, not a snapshot of it. */
export type ChangeOf<R extends StreamRecord> = Exclude<R, SnapshotRecord>;

/** Folds one stream; a reader that starts late begins at a snapshot. */
export abstract class SnapshotFold<R extends StreamRecord> extends StreamFold {
  override nextOffset = 0;
  override isComplete = true;
  /** How many records were malformed or of an unknown version. */
  skippedCount = 0;
  /** How many records cited a state that was not current. */
  voidCount = 0;
  /** What the newest complete snapshot covers; 0 where there is none. */
  snapshotCovers = 0;
  /** The log's time of the newest record; never goes back. */
  logMs = 0;
  private readonly parts = new Map<string, Map<number, SnapshotRecord>>();
  /** Records that a snapshot yet to be read may not cover. */
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
   * Makes the records that carry the present state forward.
   *
   * @example
   * for (const record of fold.snapshot(newId('s'))) await writer.write(record);
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
   * Takes up a snapshot that a peer made; an older one than the present
   * state is left alone.
   *
   * @returns whether it was taken up
   * @example
   * if (fold.adopt(parts)) events.add('configApplied', {});
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

  /** Whether a state that covers this much is newer than the present one. */
  protected isNewer(covers: number): boolean {
    if (covers > this.nextOffset) return true;
    return !this.isComplete && covers === this.nextOffset;
  }

  /** Applies a well-formed change; its result is a function of the prefix. */
  protected abstract applyChange(
    change: ChangeOf<R>,
    record: LogRecord,
  ): ApplyResult;
  /** The state as entries that JSON can hold, in a fixed order. */
  protected abstract entries(): Iterable<unknown>;
  /** Replaces the state by that of the entries. */
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

  /** Takes a snapshot up, unless records after it are no longer there. */
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

/** Packs entries into JSON arrays of bounded size; the time goes first. */
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
