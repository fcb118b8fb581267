/**
 * Decides which occurrences of jobs are held in memory: of each job one that is
 * due or nearly due, and further ones as far as there is memory.
 */
import {
  CLASS_BYTES,
  isLasting,
  jobBytes,
  occurrenceBytes,
  OVERLAP_BYTES,
  sizeClassOf,
  UNCONFIRMED_BYTES,
} from './job-size.js';
import {
  dueMsOf,
  openOccurrence,
  type JobState,
  type OccurrenceState,
} from './job-state.js';
import {isFinal} from './types.js';

/** An occurrence is opened this long before it is due, in ms. */
const OPEN_BEFORE_MS = 1000;

/** Memory that occurrences are charged to. */
type Account = 'small' | 'large' | 'overlap';

interface Charge {
  readonly account: Account;
  readonly bytes: number;
}

const LIMITS: Readonly<Record<Account, number>> = {
  small: CLASS_BYTES.small + UNCONFIRMED_BYTES,
  large: CLASS_BYTES.large + UNCONFIRMED_BYTES,
  overlap: OVERLAP_BYTES,
};

/** The occurrences in memory of all jobs, and what they take. */
export class OccurrenceWindow {
  /** Jobs that have occurrences to open, now or later. */
  private readonly waiting = new Set<JobState>();
  private readonly charges = new Map<OccurrenceState, Charge>();
  private readonly used: Record<Account, number> = {
    small: 0,
    large: 0,
    overlap: 0,
  };
  /** Memory for overlapping occurrences, by job. */
  private readonly overlapOf = new Map<JobState, number>();

  /** Adds a job, of which nothing is in memory yet. */
  add(job: JobState): void {
    this.waiting.add(job);
  }

  /** Removes a job of which nothing more is opened. */
  remove(job: JobState): void {
    this.waiting.delete(job);
    for (const occurrence of [...job.occurrences.values()]) {
      this.close(occurrence);
    }
  }

  /**
   * Opens the occurrences that are due or nearly due, as far as there is memory.
   *
   * @example
   * for (const {steps} of window.openDue(Date.now())) steps.forEach(addPending);
   */
  *openDue(wallMs: number): Generator<OccurrenceState> {
    for (const job of this.waiting) yield* this.openDueOf(job, wallMs);
  }

  /** Opens the occurrences of one job that are due or nearly due. */
  *openDueOf(job: JobState, wallMs: number): Generator<OccurrenceState> {
    while (this.waiting.has(job)) {
      const index = nextIndex(job);
      if (index === null) {
        this.waiting.delete(job);
        return;
      }
      if (dueMsOf(job, index) > wallMs + OPEN_BEFORE_MS) return;
      const charge = this.chargeFor(job);
      if (!this.hasRoomFor(job, charge)) return;
      yield this.openCharged(job, index, charge);
    }
  }

  /**
   * Opens an occurrence that is not in memory whatever there is of that: an
   * executor or a record names it.
   */
  open(job: JobState, index: number): OccurrenceState {
    return this.openCharged(job, index, this.chargeFor(job));
  }

  /** Drops an occurrence from memory. */
  close(occurrence: OccurrenceState): void {
    const {job, index} = occurrence;
    job.occurrences.delete(index);
    const charge = this.charges.get(occurrence);
    if (charge === undefined) return;
    this.charges.delete(occurrence);
    const {account, bytes} = charge;
    this.used[account] -= bytes;
    if (account !== 'overlap') return;
    const left = (this.overlapOf.get(job) ?? 0) - bytes;
    if (left > 0) this.overlapOf.set(job, left);
    else this.overlapOf.delete(job);
  }

  private openCharged(
    job: JobState,
    index: number,
    charge: Charge,
  ): OccurrenceState {
    const occurrence = openOccurrence(job, index);
    this.charges.set(occurrence, charge);
    const {account, bytes} = charge;
    this.used[account] += bytes;
    if (account === 'overlap') {
      this.overlapOf.set(job, (this.overlapOf.get(job) ?? 0) + bytes);
    }
    return occurrence;
  }

  /** Only the first one that is open was counted when the job was accepted. */
  private chargeFor(job: JobState): Charge {
    const {spec, occurrences} = job;
    const bytes = occurrenceBytes(spec);
    const isCounted = occurrences.size === 0 || isLasting(spec);
    const account = isCounted ? sizeClassOf(jobBytes(spec)) : 'overlap';
    return {account, bytes};
  }

  /** A job gets no more for overlapping occurrences than it leaves to others. */
  private hasRoomFor(job: JobState, {account, bytes}: Charge): boolean {
    const free = LIMITS[account] - this.used[account];
    if (account !== 'overlap') return bytes <= free;
    return (this.overlapOf.get(job) ?? 0) + bytes <= free;
  }
}

/** The first occurrence that is neither done nor in memory; null for none. */
function nextIndex(job: JobState): number | null {
  if (isFinal(job.phase)) return null;
  const {occurrences, doneOccurrences, spec} = job;
  let index = doneOccurrences.firstMissing(0);
  while (occurrences.has(index)) {
    index = doneOccurrences.firstMissing(index + 1);
  }
  return index < spec.repetition.times ? index : null;
}
