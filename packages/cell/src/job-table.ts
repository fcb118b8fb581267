/** A VM's table of job phases, from which it answers callers at once. */
import type {Clock} from '@dragonflyward/common';
import type {JobRow} from './messages.js';
import {isFinal} from './types.js';

/** How long final phases are kept, in ms; callers may ask for two minutes. */
export const FINAL_TTL_MS = 180_000;

interface FinalRow {
  readonly id: string;
  readonly atMs: number;
}

/** The rows of all known jobs; a final phase is never replaced. */
export class JobTable {
  private readonly rows = new Map<string, JobRow>();
  private readonly waiting = new Map<string, number>();
  /** Final rows, oldest first. */
  private readonly final: FinalRow[] = [];

  constructor(private readonly clock: Clock) {}

  /** Returns a job's row, or undefined if the job is not known. */
  get(id: string): JobRow | undefined {
    return this.rows.get(id);
  }

  /** Updates a row; a final phase never changes, nor running to queued. */
  set(row: JobRow): void {
    const known = this.rows.get(row.id);
    if (known !== undefined) {
      if (isFinal(known.phase)) return;
      if (known.phase === 'running' && row.phase === 'queued') return;
      this.count(known, -1);
    }
    this.rows.set(row.id, row);
    this.count(row, 1);
    if (!isFinal(row.phase)) return;
    const nowMs = this.clock.monotonicMs();
    this.final.push({id: row.id, atMs: nowMs});
    this.removeExpired(nowMs);
  }

  /**
   * Sets all open rows. Others that are open here may have ended: they are
   * removed, so that a question for them is passed on to the owner.
   */
  replaceOpen(rows: readonly JobRow[]): void {
    const ids = new Set(rows.map(({id}) => id));
    for (const row of this.rows.values()) {
      if (isFinal(row.phase) || ids.has(row.id)) continue;
      this.rows.delete(row.id);
      this.count(row, -1);
    }
    for (const row of rows) this.set(row);
  }

  /** Returns how many accepted jobs of a queue have not started. */
  countWaiting(queue: string): number {
    return this.waiting.get(queue) ?? 0;
  }

  /** The number of known jobs. */
  get size(): number {
    return this.rows.size;
  }

  private removeExpired(nowMs: number): void {
    while (nowMs - (this.final[0]?.atMs ?? nowMs) > FINAL_TTL_MS) {
      const oldest = this.final.shift();
      if (oldest !== undefined) this.rows.delete(oldest.id);
    }
  }

  private count({phase, queue}: JobRow, change: number): void {
    if (phase !== 'queued') return;
    this.waiting.set(queue, this.countWaiting(queue) + change);
  }
}
