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

const PART_BYTES = 128 * 1024;

type StateRecord = ShardRecord | ConfigStreamRecord | AllowanceStreamRecord;

/** A record that carries state, not a snapshot of it. */
export type ChangeOf<R extends StateRecord> = Exclude<R, SnapshotRecord>;

/** Folds one stream; a reader that starts late begins at a snapshot. */
export abstract class SnapshotFold<R extends StateRecord> extends StreamFold {
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
  private held: LogRecord[] = [];
  private startOffset = 0;

  constructor(private readonly checker: RecordChecker<R>) {
    super();
  }

  override apply(record: LogRecord): ApplyResult {
    if (record.offset !== this.nextOffset) return 'void';
    this.nextOffset += 1;
    const known = this.checker.check(record.data);
    if (known === undefined) this.skippedCount += 1;
    if (known !== undefined && isSnapshot(known)) {
      return this.collect(known, record.offset);
    }
    if (!this.isComplete) this.held.push(record);
    if (!this.isComplete) return known === undefined ? 'skipped' : 'void';
    return this.applyKnown(record, known);
  }

  override skipTo(offset: number): void {
    if (offset <= this.nextOffset) return;
    this.nextOffset = offset;
    this.isComplete = false;
    this.startOffset = offset;
    this.held = [];
    this.parts.clear();
  }

  /**
   * Makes the records that carry the present state forward.
   *
   * @example
   * for (const record of fold.snapshot(newId('s'))) await writer.write(record);
   */
  snapshot(snapshotId: string): readonly SnapshotRecord[] {
    const bodies = [...toBodies(this.logMs, this.entries())];
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
    if (!this.isAhead(first.covers)) return false;
    const state = readState(new Map(parts.map(part => [part.part, part])));
    if (state === undefined) return false;
    this.nextOffset = first.covers;
    this.takeUp(state);
    return true;
  }

  /** Whether a state that covers this much is newer than the present one. */
  protected isAhead(covers: number): boolean {
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

  private applyKnown(record: LogRecord, known: R | undefined): ApplyResult {
    this.logMs = Math.max(this.logMs, record.timeMs);
    if (known === undefined) return 'skipped';
    const result = this.applyChange(known as ChangeOf<R>, record);
    if (result === 'void') this.voidCount += 1;
    if (result === 'skipped') this.skippedCount += 1;
    return result;
  }

  private takeUp({logMs, entries}: FoldedState): void {
    this.logMs = logMs;
    this.restore(entries);
    this.isComplete = true;
    this.held = [];
    this.parts.clear();
  }

  private collect(snapshot: SnapshotRecord, offset: number): ApplyResult {
    const {snapshotId, part, parts, covers} = snapshot;
    if (part >= parts || covers > offset) {
      this.skippedCount += 1;
      return 'skipped';
    }
    const got = this.parts.get(snapshotId) ?? new Map<number, SnapshotRecord>();
    this.parts.set(snapshotId, got);
    got.set(part, this.isComplete ? {...snapshot, body: ''} : snapshot);
    if (got.size < parts) return 'applied';
    this.parts.delete(snapshotId);
    this.snapshotCovers = Math.max(this.snapshotCovers, covers);
    if (!this.isComplete) this.startFrom(got, covers);
    return 'applied';
  }

  /** Takes a snapshot up, unless records after it are no longer there. */
  private startFrom(
    parts: ReadonlyMap<number, SnapshotRecord>,
    covers: number,
  ): void {
    if (covers < this.startOffset) return;
    const state = readState(parts);
    if (state === undefined) return;
    const {held} = this;
    this.takeUp(state);
    for (const record of held) {
      if (record.offset < covers) continue;
      this.applyKnown(record, this.checker.check(record.data));
    }
  }
}

interface FoldedState {
  readonly logMs: number;
  readonly entries: readonly unknown[];
}

function isSnapshot(record: StateRecord): record is SnapshotRecord {
  return record.type === 'snapshot';
}

/** Packs entries into JSON arrays of bounded size; the time goes first. */
function* toBodies(
  logMs: number,
  entries: Iterable<unknown>,
): Generator<string> {
  let texts = [JSON.stringify(logMs)];
  let size = 0;
  for (const entry of entries) {
    const text = JSON.stringify(entry);
    if (size > 0 && size + text.length > PART_BYTES) {
      yield `[${texts.join(',')}]`;
      texts = [];
      size = 0;
    }
    texts.push(text);
    size += text.length;
  }
  yield `[${texts.join(',')}]`;
}

function readState(
  parts: ReadonlyMap<number, SnapshotRecord>,
): FoldedState | undefined {
  const ordered = [...parts.values()].sort((a, b) => a.part - b.part);
  try {
    const all = ordered.flatMap(({body}) => JSON.parse(body) as unknown[]);
    const [logMs, ...entries] = all;
    return typeof logMs === 'number' ? {logMs, entries} : undefined;
  } catch {
    return undefined;
  }
}
