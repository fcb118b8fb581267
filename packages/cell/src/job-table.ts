/** A VM's table of job phases, from which it answers callers at once. */
import type {Clock} from '@dragonflyward/common';
import {JobLoad, type SizedJob} from './job-load.js';
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
  /** Jobs that this VM has stored and the owner may not know, in bytes each. */
  private readonly unconfirmed = new Map<string, number>();
  /** The memory that the jobs need in the process that owns the cell. */
  readonly load = new JobLoad();
  /** The same for the jobs that the owner may not know, in bytes. */
  unconfirmedBytes = 0;
  /** How often open rows were replaced, which may have removed some. */
  replacements = 0;
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
      if (isFinal(known.phase)) return this.updateSize(known, row);
      if (known.phase === 'running' && row.phase === 'queued') return;
      this.uncount(known);
    }
    this.rows.set(row.id, row);
    this.count(row);
    if (!isFinal(row.phase)) return;
    const nowMs = this.clock.monotonicMs();
    this.final.push({id: row.id, atMs: nowMs});
    this.removeExpired(nowMs);
  }

  /** Sets the row of a job that this VM has stored. */
  addStored(row: JobRow): void {
    this.set(row);
    this.confirm(row.id);
    const {phase = row.phase} = this.rows.get(row.id) ?? {};
    if (isFinal(phase)) return;
    const {bytes} = sizedJob(row);
    this.unconfirmed.set(row.id, bytes);
    this.unconfirmedBytes += bytes;
  }

  /** Records that the owner, or whoever reads the store, knows the job. */
  confirm(id: string): void {
    this.unconfirmedBytes -= this.unconfirmed.get(id) ?? 0;
    this.unconfirmed.delete(id);
  }

  /** Records that the owner knows all jobs. */
  confirmAll(): void {
    this.unconfirmed.clear();
    this.unconfirmedBytes = 0;
  }

  /**
   * Sets all open rows. Others that are open here may have ended: they are
   * removed, so that a question for them is passed on to the owner.
   */
  replaceOpen(rows: readonly JobRow[]): void {
    this.replacements += 1;
    const ids = new Set(rows.map(({id}) => id));
    for (const row of this.rows.values()) {
      if (isFinal(row.phase) || ids.has(row.id)) continue;
      this.rows.delete(row.id);
      this.uncount(row);
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
      if (oldest !== undefined) this.remove(oldest.id);
    }
  }

  private remove(id: string): void {
    const row = this.rows.get(id);
    if (row === undefined) return;
    this.rows.delete(id);
    this.uncount(row);
  }

  /** The owner tells what is left of a job of which this VM knew the end. */
  private updateSize(known: JobRow, {phase, bytes}: JobRow): void {
    if (phase !== known.phase || bytes === undefined) return;
    this.uncount(known);
    const row = {...known, bytes};
    this.rows.set(row.id, row);
    this.count(row);
  }

  private count(row: JobRow): void {
    this.load.add(sizedJob(row));
    this.countQueued(row, 1);
  }

  private uncount(row: JobRow): void {
    this.load.remove(sizedJob(row), this.clock.monotonicMs());
    this.countQueued(row, -1);
  }

  private countQueued({phase, queue}: JobRow, change: number): void {
    if (phase !== 'queued') return;
    this.waiting.set(queue, this.countWaiting(queue) + change);
  }
}

/** Other VMs send rows; a size that is none would spoil the sums. */
function sizedJob({organisation, bytes = 0}: JobRow): SizedJob {
  return {organisation, bytes: bytes > 0 && bytes < Infinity ? bytes : 0};
}
