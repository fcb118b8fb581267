/**
 * Decides whether the cell has memory for one more job. The process that owns
 * the cell holds the state of all jobs, and one that was accepted cannot be
 * refused any more.
 */
import type {Clock} from '@dragonflyward/common';
import {isObject, isPositive, isText} from './checks.js';
import {CLASS_BYTES, sizeClassOf, UNCONFIRMED_BYTES} from './job-size.js';
import type {SizedJob} from './job-load.js';
import type {JobTable} from './job-table.js';

/**
 * The jobs of an organisation may need this many times the memory that stays
 * free, so that no organisation takes all of it.
 */
const ORGANISATION_FACTOR = 4;
/** A job that was not stored by then is not stored any more, in ms. */
const RESERVATION_MS = 10_000;
/** Timeout of a request to the owner, in ms. */
const ASK_TIMEOUT_MS = 700;
/** In a smaller cell, a VM accepts no more without the owner's word. */
const MIN_VMS = 8;
/** Bounds of the retry delay that refused callers are given, in seconds. */
const MIN_RETRY_AFTER_S = 1;
const MAX_RETRY_AFTER_S = 60;
/** The same where no owner answers: it is replaced within seconds. */
const NO_OWNER_RETRY_AFTER_S = 2;

/** A job to be accepted. */
export interface AdmissionRequest extends SizedJob {
  readonly id: string;
}

/** Whether a message of another VM asks for the admission of a job. */
export const isAdmissionRequest = isObject<AdmissionRequest>({
  id: isText,
  organisation: isText,
  bytes: isPositive,
});

/** Whether a job may be accepted. */
export type Admission =
  | {readonly kind: 'admitted'}
  /** There is no memory for it now. */
  | {readonly kind: 'full'; readonly retryAfterS: number}
  /** It needs more memory than there ever is. */
  | {readonly kind: 'never'};

/** Dependencies of the admission. */
export interface JobAdmissionDeps {
  readonly table: JobTable;
  readonly clock: Clock;
  /** The number of VMs of the cell, as far as known. */
  readonly vmCount: () => number;
  /** Whether this VM owns the cell and knows all jobs. */
  readonly isOwner: () => boolean;
  /** Asks the owner on another VM; null if it does not answer. */
  readonly askOwner: (
    req: AdmissionRequest,
    timeoutMs: number,
  ) => Promise<Admission | null>;
}

interface Reservation extends AdmissionRequest {
  readonly untilMs: number;
}

const ADMITTED: Admission = {kind: 'admitted'};
const NEVER: Admission = {kind: 'never'};

/** Counts what the jobs in the table and those being stored need. */
export class JobAdmission {
  /** Jobs that were admitted and are not in the table yet. */
  private readonly reservations = new Map<string, Reservation>();

  constructor(private readonly deps: JobAdmissionDeps) {}

  /**
   * Admits a job if this VM can decide that. What other VMs admit at the same
   * moment is not known here, so that it decides only on its share.
   *
   * @returns null if only the owner can decide
   * @example
   * const answer = admission.decide(req) ?? (await admission.ask(req, remainingMs));
   */
  decide(req: AdmissionRequest): Admission | null {
    const mayDecide = this.deps.isOwner() || this.isWithinShare(req);
    if (mayDecide) return this.grant(req);
    return mayEverFit(req) ? null : NEVER;
  }

  /** Asks the owner whether a job is admitted. */
  async ask(req: AdmissionRequest, timeoutMs: number): Promise<Admission> {
    const askMs = Math.min(ASK_TIMEOUT_MS, timeoutMs / 2);
    const answer = await this.deps.askOwner(req, askMs);
    if (answer?.kind === 'admitted') this.reserve(req);
    return answer ?? {kind: 'full', retryAfterS: NO_OWNER_RETRY_AFTER_S};
  }

  /**
   * Admits a job by what this VM knows, and reserves the memory until the job
   * is in the table.
   *
   * @example
   * if (owner !== null) return admission.grant(ask.req);
   */
  grant(req: AdmissionRequest): Admission {
    if (!mayEverFit(req)) return NEVER;
    const missingBytes = this.missingBytes(req);
    if (missingBytes > 0) {
      return {kind: 'full', retryAfterS: this.retryAfterS(req, missingBytes)};
    }
    this.reserve(req);
    return ADMITTED;
  }

  /** Ends the reservation of a job that was not stored. */
  release(id: string): void {
    this.reservations.delete(id);
  }

  private reserve(req: AdmissionRequest): void {
    const untilMs = this.deps.clock.monotonicMs() + RESERVATION_MS;
    this.reservations.set(req.id, {...req, untilMs});
  }

  private isWithinShare({id, bytes}: AdmissionRequest): boolean {
    const {table, vmCount} = this.deps;
    const shareBytes = UNCONFIRMED_BYTES / Math.max(MIN_VMS, vmCount());
    let ownBytes = table.unconfirmedBytes + bytes;
    for (const each of this.otherReservations(id)) ownBytes += each.bytes;
    return ownBytes <= shareBytes;
  }

  /** How much memory has to become free before the job fits, in bytes. */
  private missingBytes({id, bytes, organisation}: AdmissionRequest): number {
    const {load} = this.deps.table;
    const sizeClass = sizeClassOf(bytes);
    let total = load.total(sizeClass);
    let own = load.totalOf(sizeClass, organisation);
    for (const each of this.otherReservations(id)) {
      if (sizeClassOf(each.bytes) !== sizeClass) continue;
      total += each.bytes;
      if (each.organisation === organisation) own += each.bytes;
    }
    const freeAfter = CLASS_BYTES[sizeClass] - total - bytes;
    const neededFree = (own + bytes) / ORGANISATION_FACTOR;
    return neededFree - freeAfter;
  }

  private retryAfterS({bytes}: AdmissionRequest, missingBytes: number): number {
    const {table, clock} = this.deps;
    const sizeClass = sizeClassOf(bytes);
    const nowMs = clock.monotonicMs();
    const waitMs = table.load.untilFreeMs(sizeClass, missingBytes, nowMs);
    const seconds = Math.ceil(waitMs / 1000);
    return Math.max(MIN_RETRY_AFTER_S, Math.min(MAX_RETRY_AFTER_S, seconds));
  }

  /** The reservations of other jobs that are not in the table. */
  private *otherReservations(jobId: string): Generator<Reservation> {
    const nowMs = this.deps.clock.monotonicMs();
    for (const [id, each] of this.reservations) {
      const isStored = this.deps.table.get(id) !== undefined;
      if (each.untilMs <= nowMs || isStored) this.reservations.delete(id);
      else if (id !== jobId) yield each;
    }
  }
}

/** Whether an empty cell has memory for the job. */
function mayEverFit({bytes}: AdmissionRequest): boolean {
  const classBytes = CLASS_BYTES[sizeClassOf(bytes)];
  return (
    bytes <= (classBytes * ORGANISATION_FACTOR) / (ORGANISATION_FACTOR + 1)
  );
}
