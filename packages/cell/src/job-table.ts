/** What a VM knows of the jobs' phases, to answer callers at once. */
import type {Clock} from '@dragonflyward/common';
import type {JobRow} from './messages.js';
import {isFinal} from './types.js';

/** Final phases are kept that long, in ms; callers may ask for two minutes. */
export const KEEP_FINAL_MS = 180_000;

interface FinalRow {
  readonly id: string;
  readonly atMs: number;
}

/** The rows of all jobs; a final phase is never replaced. */
export class JobTable {
  private readonly rows = new Map<string, JobRow>();
  private readonly waiting = new Map<string, number>();
  /** Final rows, the oldest first. */
  private readonly final: FinalRow[] = [];

  constructor(private readonly clock: Clock) {}

  /** The job's row; undefined where the job is not known here. */
  get(id: string): JobRow | undefined {
    return this.rows.get(id);
  }

  /** Takes in a row; what is final or has begun never goes back. */
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
    this.dropOld(nowMs);
  }

  /** How many accepted jobs of a queue have not begun. */
  waitingIn(queue: string): number {
    return this.waiting.get(queue) ?? 0;
  }

  /** How many jobs are known. */
  get size(): number {
    return this.rows.size;
  }

  private dropOld(nowMs: number): void {
    while (nowMs - (this.final[0]?.atMs ?? nowMs) > KEEP_FINAL_MS) {
      const oldest = this.final.shift();
      if (oldest !== undefined) this.rows.delete(oldest.id);
    }
  }

  private count({phase, queue}: JobRow, change: number): void {
    if (phase !== 'queued') return;
    this.waiting.set(queue, this.waitingIn(queue) + change);
  }
}
