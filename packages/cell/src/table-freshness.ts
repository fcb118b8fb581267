/** Whether a VM's table of jobs is complete enough to count what waits. */
import type {Clock} from '@dragonflyward/common';

/**
 * A table that was complete within this time is good enough, in ms: less than
 * the time that the platform allows for a job to be visible.
 */
const FRESH_MS = 2000;

/** What is known of the owner as the question is asked. */
export interface TableSource {
  /** The term of the owner that the VM is connected to; 0 for none. */
  readonly linkedTerm: number;
  /** The VM itself knows all jobs: as the owner, or from the store. */
  readonly isSureItself: boolean;
}

/** Follows what the owner has told, and what it was told. */
export class TableFreshness {
  private fullTerm = 0;
  private freshMs = -Infinity;
  /** When the owner was told of jobs that it has not shown yet. */
  private readonly told = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** All rows of the owner of that term are in the table. */
  noteFull(term: number): void {
    this.fullTerm = term;
    this.told.clear();
  }

  /** The owner was told of a job that is stored. */
  noteTold(jobId: string): void {
    this.told.set(jobId, this.clock.monotonicMs());
  }

  /** The owner has shown a job, or the job has ended. */
  noteShown(jobId: string): void {
    this.told.delete(jobId);
  }

  /** Whether the table may be counted now. */
  isFresh(source: TableSource): boolean {
    const nowMs = this.clock.monotonicMs();
    if (this.isComplete(source, nowMs)) this.freshMs = nowMs;
    return nowMs - this.freshMs < FRESH_MS;
  }

  /** An owner that does not show what it is told lags behind. */
  private isComplete(source: TableSource, nowMs: number): boolean {
    if (source.isSureItself) return true;
    const isFull = source.linkedTerm > 0 && source.linkedTerm === this.fullTerm;
    const [oldestMs = nowMs] = this.told.values();
    return isFull && nowMs - oldestMs < FRESH_MS;
  }
}
