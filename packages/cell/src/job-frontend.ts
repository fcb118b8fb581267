/** The API of a VM for callers: submits, cancels and looks up jobs. */
import type {Clock, Metrics} from '@dragonflyward/common';
import {countForAppend, recordSize} from './append-size.js';
import {describeError} from './background.js';
import type {
  Admission,
  AdmissionRequest,
  JobAdmission,
} from './job-admission.js';
import {jobBytes} from './job-size.js';
import type {JobTable} from './job-table.js';
import type {JobRow} from './messages.js';
import type {LogFunction} from './platform.js';
import {cancelKey, encodeJob, jobKey} from './records.js';
import {StoreError, type KeyedRecord, type Store} from './store.js';
import {isFinal, type JobPhase, type JobSpec, type Queue} from './types.js';

/** Timeout of an append to the store, in ms; callers wait 3 s. */
const APPEND_TIMEOUT_MS = 2200;
/** Fraction of the caller's timeout after which an unsent write is refused. */
const UNSENT_TIMEOUT_FRACTION = 0.4;
/**
 * The same for a job that was sent. Callers cannot safely retry a job whose
 * outcome is unknown, so the store gets most of their timeout to answer.
 */
const SENT_TIMEOUT_FRACTION = 0.8;
/**
 * An append that takes this long, in addition to twice the usual time, delays
 * those queued behind it; in ms.
 */
const STALL_THRESHOLD_MS = 500;
const USUAL_TIME_FACTOR = 2;
/** Bounds of the retry delay that refused callers are given, in seconds. */
const MIN_RETRY_AFTER_S = 1;
const MAX_RETRY_AFTER_S = 4;

/** A job submitted by a caller. */
export interface Submission {
  readonly id: string;
  readonly queue: Queue;
  readonly organisation: string;
  readonly spec: JobSpec;
  /** How long the caller waits for the answer. */
  readonly timeoutMs: number;
}

/** The caller that cancels or looks up a job. */
export interface JobCaller {
  /** Empty for a caller without a key. */
  readonly organisation: string;
  /** The queue of the call's path. */
  readonly queue: Queue;
  /** How long the caller waits for the answer. */
  readonly timeoutMs: number;
}

/** Answer to a submission or a cancel. */
export type WriteAnswer =
  | {readonly kind: 'done'}
  | {readonly kind: 'noSuchJob'}
  /** Certainly not done; may be retried after that time. */
  | {readonly kind: 'refused'; readonly retryAfterS: number}
  /** The cell has no memory for it; it may be retried after that time. */
  | {readonly kind: 'full'; readonly retryAfterS: number}
  /** Neither the store nor the cell can ever hold it. */
  | {readonly kind: 'tooLarge'}
  /** May have been done; the caller should retry. */
  | {readonly kind: 'unknown'};

/** Answer to a lookup of a job's phase. */
export type PhaseAnswer =
  | {readonly kind: 'phase'; readonly phase: JobPhase}
  | {readonly kind: 'noSuchJob'}
  | {readonly kind: 'unavailable'};

/** The owner's or the store's answer for a job that is not in the table. */
export interface Lookup {
  readonly row: JobRow | null;
  readonly isSure: boolean;
}

/** Who answered a lookup. */
export type LookupSource = 'table' | 'ownState' | 'owner' | 'store';

/** A lookup and who answered it, under which term. */
export interface SourcedLookup extends Lookup {
  readonly source: LookupSource;
  /** The newest term that this VM knows; 0 if the job was in the table. */
  readonly term: number;
}

/** Dependencies of the frontend. */
export interface JobFrontendDeps {
  readonly store: Store;
  /** The topic to which this VM appends jobs. */
  readonly jobsTopic: string;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: LogFunction;
  readonly table: JobTable;
  readonly admission: JobAdmission;
  readonly lookup: (id: string, timeoutMs: number) => Promise<SourcedLookup>;
  readonly notifyJob: (id: string, value: Uint8Array) => void;
  readonly notifyCancel: (id: string) => void;
  /** How long calls to the store take now, in ms. */
  readonly storeMs: () => number;
  /** Whether the table is complete enough to count waiting jobs. */
  readonly isTableFresh: () => boolean;
}

interface PendingWrite {
  readonly record: KeyedRecord;
  readonly resolve: (outcome: WriteOutcome) => void;
}

type WriteOutcome = 'stored' | 'refused' | 'unknown';

/** Serves the callers of one VM. */
export class JobFrontend {
  private pending: PendingWrite[] = [];
  private isWriting = false;
  /** When the append in flight was sent. */
  private sentMs = 0;
  /** Start of the current store outage; NaN while there is none. */
  private outageStartMs = Number.NaN;
  private readonly inFlightSubmissions = new Map<
    string,
    Promise<WriteAnswer>
  >();

  constructor(private readonly deps: JobFrontendDeps) {}

  /**
   * Submits a job; `done` means that it is stored.
   *
   * @example
   * const answer = await frontend.submit({...job, timeoutMs});
   */
  async submit(submission: Submission): Promise<WriteAnswer> {
    const {id} = submission;
    if (this.deps.table.get(id) !== undefined) return {kind: 'done'};
    const inFlight = this.inFlightSubmissions.get(id);
    if (inFlight !== undefined) return inFlight;
    const answer = this.admitJob(submission);
    this.inFlightSubmissions.set(id, answer);
    try {
      return await answer;
    } finally {
      this.inFlightSubmissions.delete(id);
    }
  }

  /** Cancels a job; `done` means that the cancel is stored. */
  async cancel(id: string, caller: JobCaller): Promise<WriteAnswer> {
    const startMs = this.deps.clock.monotonicMs();
    const lookup = await this.find(id, caller.timeoutMs);
    const {row} = lookup;
    if (isMissing(lookup, caller)) {
      this.logMissing('cancel', id, caller, lookup, startMs);
      return {kind: 'noSuchJob'};
    }
    if (row !== null && isFinal(row.phase)) return {kind: 'done'};
    const elapsedMs = this.deps.clock.monotonicMs() - startMs;
    return this.storeCancel(id, row, caller.timeoutMs - elapsedMs);
  }

  /** Returns how many jobs of a queue wait, or null while this is unknown. */
  countWaiting(queue: string): number | null {
    const {table, isTableFresh} = this.deps;
    return isTableFresh() ? table.countWaiting(queue) : null;
  }

  /** Looks up a job's phase. */
  async phase(id: string, caller: JobCaller): Promise<PhaseAnswer> {
    const startMs = this.deps.clock.monotonicMs();
    const lookup = await this.find(id, caller.timeoutMs);
    if (isMissing(lookup, caller)) {
      this.logMissing('phase', id, caller, lookup, startMs);
      return {kind: 'noSuchJob'};
    }
    const {row} = lookup;
    if (row === null) return {kind: 'unavailable'};
    return {kind: 'phase', phase: row.phase};
  }

  /** Looks up a job in the table, then at the owner or in the store. */
  private async find(id: string, timeoutMs: number): Promise<SourcedLookup> {
    const row = this.deps.table.get(id);
    if (row !== undefined) {
      return {row, isSure: true, source: 'table', term: 0};
    }
    const lookup = await this.deps.lookup(id, timeoutMs);
    if (lookup.row !== null) this.deps.table.set(lookup.row);
    return lookup;
  }

  /**
   * Logs by what a job counts as missing. A lookup is sure only if it has read
   * the store since it began, so no reading is older than `tookMs`.
   */
  private logMissing(
    call: 'phase' | 'cancel',
    id: string,
    caller: JobCaller,
    {row, source, term}: SourcedLookup,
    startMs: number,
  ): void {
    this.deps.log('jobNotFound', {
      job: id,
      call,
      reason: row === null ? 'notStored' : 'otherOrganisation',
      source,
      term,
      tookMs: Math.round(this.deps.clock.monotonicMs() - startMs),
      organisation: caller.organisation,
      queue: caller.queue.name,
      jobOrganisation: row?.organisation,
      jobQueue: row?.queue,
    });
  }

  private async admitJob(submission: Submission): Promise<WriteAnswer> {
    const {clock, admission} = this.deps;
    const {id, organisation, spec, timeoutMs} = submission;
    const req = {id, organisation, bytes: jobBytes(spec)};
    const startMs = clock.monotonicMs();
    const answer =
      admission.decide(req) ?? (await admission.ask(req, timeoutMs));
    const leftMs = timeoutMs - (clock.monotonicMs() - startMs);
    return answer.kind === 'admitted'
      ? this.storeJob({...submission, timeoutMs: leftMs}, req.bytes)
      : this.refuseJob(req, answer, leftMs);
  }

  /** An earlier attempt of the caller may have been accepted elsewhere. */
  private async refuseJob(
    req: AdmissionRequest,
    refusal: Exclude<Admission, {kind: 'admitted'}>,
    timeoutMs: number,
  ): Promise<WriteAnswer> {
    const {id, organisation, bytes} = req;
    this.deps.log('jobNotAdmitted', {job: id, organisation, bytes, ...refusal});
    this.deps.metrics.count(`jobs_total{outcome="${refusal.kind}"}`);
    const {row, isSure} = await this.find(id, timeoutMs);
    if (row !== null) return {kind: 'done'};
    if (!isSure) return {kind: 'unknown'};
    return refusal.kind === 'never' ? {kind: 'tooLarge'} : refusal;
  }

  private async storeJob(
    submission: Submission,
    memoryBytes: number,
  ): Promise<WriteAnswer> {
    const {clock, store, table, metrics, log, admission} = this.deps;
    const {id, queue, organisation, spec} = submission;
    const acceptedMs = clock.wallMs();
    const value = encodeJob({id, queue, organisation, spec, acceptedMs});
    const record = {key: jobKey(id), value};
    const sentMs = clock.monotonicMs();
    const bytes = recordSize(record);
    if (bytes > store.limits.recordBytes) {
      log('jobNotStored', {job: id, reason: 'too large', bytes});
      admission.release(id);
      return {kind: 'tooLarge'};
    }
    if (this.isStalled()) {
      log('jobNotStored', {job: id, reason: 'the store does not answer'});
      admission.release(id);
      return this.toAnswer('refused');
    }
    const written = this.write(record);
    void written.then(outcome => {
      if (outcome === 'refused') admission.release(id);
      if (outcome !== 'stored') return;
      const row = {
        id,
        phase: 'queued',
        queue: queue.name,
        organisation,
      } as const;
      table.addStored({...row, bytes: memoryBytes});
      this.deps.notifyJob(id, value);
    });
    const {timeoutMs} = submission;
    const outcome = await this.awaitOutcome(record, written, timeoutMs);
    const tookMs = clock.monotonicMs() - sentMs;
    metrics.record('accept_us', tookMs * 1000);
    metrics.count(`jobs_total{outcome="${outcome}"}`);
    log('jobStored', {
      job: id,
      queue: queue.name,
      organisation,
      outcome,
      tookMs: Math.round(tookMs),
    });
    return outcome === 'stored' ? {kind: 'done'} : this.toAnswer(outcome);
  }

  private async storeCancel(
    id: string,
    row: JobRow | null,
    timeoutMs: number,
  ): Promise<WriteAnswer> {
    const {clock, table, log} = this.deps;
    const sentMs = clock.monotonicMs();
    const record = {key: cancelKey(id), value: Uint8Array.of(1)};
    const written = this.write(record);
    void written.then(outcome => {
      if (outcome !== 'stored') return;
      this.deps.notifyCancel(id);
      if (row !== null) table.set({...row, phase: 'cancelled'});
    });
    const outcome = await this.awaitOutcome(record, written, timeoutMs);
    const tookMs = Math.round(clock.monotonicMs() - sentMs);
    log('cancelStored', {job: id, outcome, tookMs});
    return outcome === 'stored' ? {kind: 'done'} : this.toAnswer(outcome);
  }

  /**
   * Returns the outcome of a write, or what is known of it when the caller must
   * be answered. A record that was not sent by then is dropped.
   */
  private async awaitOutcome(
    record: KeyedRecord,
    written: Promise<WriteOutcome>,
    timeoutMs: number,
  ): Promise<WriteOutcome> {
    const outcome = await this.withTimeout(
      written,
      timeoutMs * UNSENT_TIMEOUT_FRACTION,
    );
    if (outcome !== null) return outcome;
    const waiting = this.pending.find(each => each.record === record);
    if (waiting !== undefined) {
      this.pending = this.pending.filter(each => each !== waiting);
      waiting.resolve('refused');
      return 'refused';
    }
    const remainingMs =
      timeoutMs * (SENT_TIMEOUT_FRACTION - UNSENT_TIMEOUT_FRACTION);
    return (await this.withTimeout(written, remainingMs)) ?? 'unknown';
  }

  private withTimeout(
    written: Promise<WriteOutcome>,
    timeoutMs: number,
  ): Promise<WriteOutcome | null> {
    const timeout = this.deps.clock.sleep(timeoutMs).then(() => null);
    return Promise.race([written, timeout]);
  }

  /** Appends a record, batched with others that arrive during an append. */
  private write(record: KeyedRecord): Promise<WriteOutcome> {
    return new Promise(resolve => {
      this.pending.push({record, resolve});
      void this.flush();
    });
  }

  /** While stalled, unsent jobs are refused so that callers retry elsewhere. */
  private isStalled(): boolean {
    const elapsedMs = this.deps.clock.monotonicMs() - this.sentMs;
    const boundMs =
      STALL_THRESHOLD_MS + USUAL_TIME_FACTOR * this.deps.storeMs();
    return this.isWriting && elapsedMs > boundMs;
  }

  private async flush(): Promise<void> {
    if (this.isWriting) return;
    this.isWriting = true;
    const {clock} = this.deps;
    while (this.pending.length > 0) {
      const batch = this.takeBatch();
      this.sentMs = clock.monotonicMs();
      const outcome = await this.append(batch.map(({record}) => record));
      for (const {resolve} of batch) resolve(outcome);
    }
    this.isWriting = false;
  }

  /** Takes the oldest pending writes that fit into one append. */
  private takeBatch(): readonly PendingWrite[] {
    const records = this.pending.map(({record}) => record);
    const count = countForAppend(records, this.deps.store.limits);
    const batch = this.pending.slice(0, count);
    this.pending = this.pending.slice(count);
    return batch;
  }

  private async append(records: readonly KeyedRecord[]): Promise<WriteOutcome> {
    try {
      const {store, jobsTopic} = this.deps;
      const timeoutMs = APPEND_TIMEOUT_MS;
      await store.append(jobsTopic, records, {timeoutMs});
      this.outageStartMs = Number.NaN;
      return 'stored';
    } catch (err) {
      const failure = err instanceof StoreError ? err.failure : 'unknown';
      this.deps.log('storeFailed', {
        records: records.length,
        failure,
        err: describeError(err),
      });
      return failure === 'unknown' ? 'unknown' : 'refused';
    }
  }

  /** Estimates that an outage lasts as long again as it has lasted so far. */
  private toAnswer(outcome: 'refused' | 'unknown'): WriteAnswer {
    if (outcome === 'unknown') return {kind: 'unknown'};
    const nowMs = this.deps.clock.monotonicMs();
    if (Number.isNaN(this.outageStartMs)) this.outageStartMs = nowMs;
    const seconds = Math.round((nowMs - this.outageStartMs) / 1000);
    const bounded = Math.min(MAX_RETRY_AFTER_S, seconds);
    return {kind: 'refused', retryAfterS: Math.max(MIN_RETRY_AFTER_S, bounded)};
  }
}

/** Whether a job certainly does not exist for a caller. */
function isMissing({row, isSure}: Lookup, caller: JobCaller): boolean {
  return row === null ? isSure : !mayAccess(row, caller);
}

/**
 * Only its own organisation may see a job, unless its queue is public or was
 * when the job was submitted without a key.
 */
function mayAccess(row: JobRow, {organisation, queue}: JobCaller): boolean {
  if (row.organisation === '') return true;
  if (queue.isPublic && row.queue === queue.name) return true;
  return row.organisation === organisation;
}
