/** Writes snapshots of a stream before the log truncates its records. */
import {newId, type Clock, type EventRing} from '@dragonflyward/common';
import type {StreamTail, StreamWriter} from '@dragonflyward/log';
import type {SnapshotRecord} from './records.js';

/** Maximum time between two snapshots. */
export const SNAPSHOT_INTERVAL_MS = 10 * 60_000;
/**
 * A snapshot is written after this many records, which bounds what a new reader
 * has to read.
 */
export const MAX_RECORDS_AFTER_SNAPSHOT = 20_000;
const CHECK_INTERVAL_MS = 1_000;

/** The state that snapshots are made of. */
export interface SnapshotSource {
  readonly isComplete: boolean;
  readonly nextOffset: number;
  readonly snapshotCovers: number;
  snapshot(snapshotId: string): readonly SnapshotRecord[];
}

/** Options of a snapshot task. */
export interface SnapshotTaskOptions {
  readonly state: SnapshotSource;
  readonly tail: StreamTail;
  readonly writer: StreamWriter;
  readonly clock: Clock;
  readonly events: EventRing;
  /** Whether this process is responsible for writing snapshots now. */
  readonly isAllowed: () => boolean;
  readonly periodMs?: number;
}

/** Input of the decision whether a snapshot is due. */
export interface SnapshotAge {
  readonly oldestOffset: number;
  readonly covers: number;
  readonly nextOffset: number;
  /** Time since the newest snapshot was written or first read. */
  readonly ageMs: number;
  readonly periodMs: number;
}

/**
 * Returns whether a snapshot is due: the newest one is in the older half of
 * what the log retains, is too old, or too many records follow it.
 *
 * @example
 * if (isSnapshotDue(age)) await task.write();
 */
export function isSnapshotDue(age: SnapshotAge): boolean {
  const {oldestOffset, covers, nextOffset, ageMs, periodMs} = age;
  if (nextOffset === 0) return false;
  if (ageMs >= periodMs) return true;
  if (nextOffset - covers >= MAX_RECORDS_AFTER_SNAPSHOT) return true;
  const isLogTruncated = oldestOffset > 0;
  return (
    isLogTruncated && covers - oldestOffset < (nextOffset - oldestOffset) / 2
  );
}

/** Writes the snapshots of one stream. */
export class SnapshotTask {
  /** What the newest snapshot covers, and since when it is known. */
  private covers = 0;
  private sinceMs: number;

  constructor(private readonly options: SnapshotTaskOptions) {
    this.sinceMs = options.clock.monotonicMs();
  }

  /** Writes snapshots when they are due until told to stop. */
  async run(shouldRun: () => boolean): Promise<void> {
    const {clock} = this.options;
    while (shouldRun()) {
      if (this.isDue()) await this.tryWrite();
      await clock.sleep(CHECK_INTERVAL_MS);
    }
  }

  /**
   * Writes one snapshot now, one record per part.
   *
   * @throws logDown, appendUnknown
   * @example
   * await task.write();
   */
  async write(): Promise<void> {
    const {state, writer, events, tail} = this.options;
    const parts = state.snapshot(newId('snapshot'));
    for (const part of parts) await writer.write(part);
    const detail = `${tail.stream}: ${parts.length} parts`;
    events.add('snapshotWritten', {}, detail);
  }

  private isDue(): boolean {
    const {state, tail, clock, isAllowed} = this.options;
    const {nextOffset, snapshotCovers: covers} = state;
    if (covers !== this.covers) this.recordSnapshot(covers);
    if (!state.isComplete || !tail.isUp || !isAllowed()) return false;
    const {oldestOffset} = tail;
    const ageMs = clock.monotonicMs() - this.sinceMs;
    const {periodMs = SNAPSHOT_INTERVAL_MS} = this.options;
    return isSnapshotDue({oldestOffset, covers, nextOffset, ageMs, periodMs});
  }

  private recordSnapshot(covers: number): void {
    this.covers = covers;
    this.sinceMs = this.options.clock.monotonicMs();
  }

  private async tryWrite(): Promise<void> {
    try {
      await this.write();
    } catch {
      // The snapshot is still due at the next check, which retries it.
    }
  }
}
