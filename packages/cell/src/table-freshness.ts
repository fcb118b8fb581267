/** Tracks whether a VM's job table is complete enough to count waiting jobs. */
import type {Clock} from '@dragonflyward/common';

/**
 * A table that was complete within this time is fresh, in ms: less than the
 * time that the platform allows until a job has to be visible.
 */
const FRESHNESS_MS = 2000;

/** The VM's state when the freshness is checked. */
export interface TableSource {
  /** The term of the owner that the VM is connected to, or 0. */
  readonly connectedTerm: number;
  /** Whether the VM knows all jobs itself, as the owner or from the store. */
  readonly knowsAllJobs: boolean;
}

/** Tracks the owner's updates and the jobs that it was notified of. */
export class TableFreshness {
  /** The term of the owner whose rows the table holds; 0 before the first. */
  fullUpdateTerm = 0;
  private freshMs = -Infinity;
  /** When the owner was notified of jobs that it has not yet published. */
  private readonly notifiedMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Records that the table holds all rows of the owner of a term. */
  recordFullUpdate(term: number): void {
    this.fullUpdateTerm = term;
    this.notifiedMs.clear();
  }

  /** Records that the owner was notified of a stored job. */
  recordNotified(jobId: string): void {
    this.notifiedMs.set(jobId, this.clock.monotonicMs());
  }

  /** Records that the owner has published a job, or that the job has ended. */
  recordPublished(jobId: string): void {
    this.notifiedMs.delete(jobId);
  }

  /** Whether the table is fresh enough to count jobs. */
  isFresh(source: TableSource): boolean {
    const nowMs = this.clock.monotonicMs();
    if (this.isComplete(source, nowMs)) this.freshMs = nowMs;
    return nowMs - this.freshMs < FRESHNESS_MS;
  }

  /** An owner lags behind if it does not publish jobs it was notified of. */
  private isComplete(source: TableSource, nowMs: number): boolean {
    if (source.knowsAllJobs) return true;
    const isFull =
      source.connectedTerm > 0 && source.connectedTerm === this.fullUpdateTerm;
    const [oldestMs = nowMs] = this.notifiedMs.values();
    return isFull && nowMs - oldestMs < FRESHNESS_MS;
  }
}
