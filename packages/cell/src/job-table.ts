/** What a VM knows of the jobs' phases, to answer callers at once. */
import type {JobRow} from './messages.js';
import {isFinal} from './types.js';

/** The rows of all jobs; a final phase is never replaced. */
export class JobTable {
  private readonly rows = new Map<string, JobRow>();
  private readonly waiting = new Map<string, number>();

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
  }

  /** Drops a job that ended long ago. */
  delete(id: string): void {
    const known = this.rows.get(id);
    if (known === undefined) return;
    this.rows.delete(id);
    this.count(known, -1);
  }

  /** How many accepted jobs of a queue have not begun. */
  waitingIn(queue: string): number {
    return this.waiting.get(queue) ?? 0;
  }

  /** How many jobs are known. */
  get size(): number {
    return this.rows.size;
  }

  private count({phase, queue}: JobRow, change: number): void {
    if (phase !== 'queued') return;
    this.waiting.set(queue, this.waitingIn(queue) + change);
  }
}
