/** What a VM does for callers: accepts jobs, cancels them, tells of them. */
import type {Clock, Metrics} from '@dragonflyward/common';
import type {JobTable} from './job-table.js';
import type {JobRow} from './messages.js';
import type {LogLine} from './platform.js';
import {cancelKey, encodeJob, jobKey} from './records.js';
import {StoreError, type KeyedRecord, type Store} from './store.js';
import {isFinal, type JobPhase, type JobSpec, type Queue} from './types.js';

/** How long the store may take to accept a job, in ms; callers wait 3 s. */
const APPEND_TIMEOUT_MS = 2200;
/** Part of a caller's time after which a job that was not sent is refused. */
const UNSENT_PART = 0.4;
/**
 * The same for a job that was sent. Callers cannot safely repeat a job whose
 * outcome is unknown, so the store gets most of their time to answer.
 */
const SENT_PART = 0.8;
/** An append that takes longer holds up those behind it, in ms. */
const STALLED_MS = 500;
/** Bounds of the time that callers should wait for the store, in seconds. */
const MIN_RETRY_AFTER_S = 1;
const MAX_RETRY_AFTER_S = 4;

/** A job as a caller submits it. */
export interface Submission {
  readonly id: string;
  readonly queue: Queue;
  readonly organisation: string;
  readonly spec: JobSpec;
  /** How long the caller will wait. */
  readonly timeoutMs: number;
}

/** Who asks for a job. */
export interface JobCaller {
  readonly organisation: string;
  /** The queue is open to all: its jobs belong to nobody. */
  readonly isPublic: boolean;
  /** How long the caller will wait. */
  readonly timeoutMs: number;
}

/** Answer to a submission or a cancel. */
export type FrontAnswer =
  | {readonly kind: 'done'}
  | {readonly kind: 'noSuchJob'}
  /** Surely not done; may be sent again after that time. */
  | {readonly kind: 'refused'; readonly retryAfterS: number}
  /** May have been done: the caller should send it again. */
  | {readonly kind: 'unknown'};

/** Answer to a question for a job's phase. */
export type PhaseAnswer =
  | {readonly kind: 'phase'; readonly phase: JobPhase}
  | {readonly kind: 'noSuchJob'}
  | {readonly kind: 'unavailable'};

/** What the owner, or the store, says of a job that is not in the table. */
export interface Lookup {
  readonly row: JobRow | null;
  readonly isSure: boolean;
}

/** What the front needs of its VM. */
export interface FrontDeps {
  readonly store: Store;
  /** The topic to which this VM appends. */
  readonly jobsTopic: string;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: LogLine;
  readonly table: JobTable;
  readonly lookup: (id: string, timeoutMs: number) => Promise<Lookup>;
  readonly tellJob: (id: string, value: Uint8Array) => void;
  readonly tellCancel: (id: string) => void;
  /** Whether the table holds all jobs that were accepted a moment ago. */
  readonly isTableFresh: () => boolean;
}

interface PendingWrite {
  readonly record: KeyedRecord;
  readonly resolve: (outcome: WriteOutcome) => void;
}

type WriteOutcome = 'stored' | 'refused' | 'unknown';

/** Serves the callers of one VM. */
export class Front {
  private pending: PendingWrite[] = [];
  private isWriting = false;
  /** When the append that is under way was sent. */
  private sentMs = 0;
  /** Since when the store takes nothing; NaN while it does. */
  private refusedSinceMs = Number.NaN;
  private readonly submitting = new Map<string, Promise<FrontAnswer>>();

  constructor(private readonly deps: FrontDeps) {}

  /**
   * Accepts a job; `done` means that it is stored.
   *
   * @example
   * const answer = await front.submit({id, queue, organisation, spec});
   */
  async submit(submission: Submission): Promise<FrontAnswer> {
    const {id} = submission;
    if (this.deps.table.get(id) !== undefined) return {kind: 'done'};
    const underWay = this.submitting.get(id);
    if (underWay !== undefined) return underWay;
    const answer = this.storeJob(submission);
    this.submitting.set(id, answer);
    try {
      return await answer;
    } finally {
      this.submitting.delete(id);
    }
  }

  /** Cancels a job; `done` means that the cancel is stored. */
  async cancel(id: string, caller: JobCaller): Promise<FrontAnswer> {
    const {table, log, clock} = this.deps;
    const {row, isSure} = await this.find(id, caller.timeoutMs);
    if (row === null && isSure) return {kind: 'noSuchJob'};
    if (row !== null && !mayAsk(row, caller)) return {kind: 'noSuchJob'};
    if (row !== null && isFinal(row.phase)) return {kind: 'done'};
    const sentMs = clock.monotonicMs();
    const record = {key: cancelKey(id), value: Uint8Array.of(1)};
    const outcome = await this.write(record);
    const tookMs = Math.round(clock.monotonicMs() - sentMs);
    log('cancelStored', {job: id, outcome, tookMs});
    if (outcome !== 'stored') return this.toAnswer(outcome);
    this.deps.tellCancel(id);
    if (row !== null) table.set({...row, phase: 'cancelled'});
    return {kind: 'done'};
  }

  /** How many jobs of a queue wait; null while this is not known here. */
  waitingIn(queue: string): number | null {
    const {table, isTableFresh} = this.deps;
    return isTableFresh() ? table.waitingIn(queue) : null;
  }

  /** Tells a job's phase. */
  async phase(id: string, caller: JobCaller): Promise<PhaseAnswer> {
    const {row, isSure} = await this.find(id, caller.timeoutMs);
    if (row === null) return {kind: isSure ? 'noSuchJob' : 'unavailable'};
    if (!mayAsk(row, caller)) return {kind: 'noSuchJob'};
    return {kind: 'phase', phase: row.phase};
  }

  /** Looks a job up in the table, then elsewhere. */
  private async find(id: string, timeoutMs: number): Promise<Lookup> {
    const known = this.deps.table.get(id);
    if (known !== undefined) return {row: known, isSure: true};
    const lookup = await this.deps.lookup(id, timeoutMs);
    if (lookup.row !== null) this.deps.table.set(lookup.row);
    return lookup;
  }

  private async storeJob(submission: Submission): Promise<FrontAnswer> {
    const {clock, table, metrics, log} = this.deps;
    const {id, queue, organisation, spec} = submission;
    const acceptedMs = clock.wallMs();
    const value = encodeJob({id, queue, organisation, spec, acceptedMs});
    const sentMs = clock.monotonicMs();
    if (this.isStalled()) {
      log('jobNotStored', {job: id, reason: 'the store does not answer'});
      return this.toAnswer('refused');
    }
    const record = {key: jobKey(id), value};
    const written = this.write(record);
    void written.then(outcome => {
      if (outcome !== 'stored') return;
      table.set({id, phase: 'queued', queue: queue.name, organisation});
      this.deps.tellJob(id, value);
    });
    const {timeoutMs} = submission;
    const outcome = await this.outcomeWithin(record, written, timeoutMs);
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

  /**
   * The outcome of a write, or what is known of it when the caller has to be
   * answered: a record that was not sent by then is not sent any more.
   */
  private async outcomeWithin(
    record: KeyedRecord,
    written: Promise<WriteOutcome>,
    timeoutMs: number,
  ): Promise<WriteOutcome> {
    const outcome = await this.within(written, timeoutMs * UNSENT_PART);
    if (outcome !== null) return outcome;
    const waiting = this.pending.find(each => each.record === record);
    if (waiting !== undefined) {
      this.pending = this.pending.filter(each => each !== waiting);
      waiting.resolve('refused');
      return 'refused';
    }
    const leftMs = timeoutMs * (SENT_PART - UNSENT_PART);
    return (await this.within(written, leftMs)) ?? 'unknown';
  }

  private within(
    written: Promise<WriteOutcome>,
    boundMs: number,
  ): Promise<WriteOutcome | null> {
    const late = this.deps.clock.sleep(boundMs).then(() => null);
    return Promise.race([written, late]);
  }

  /** Appends a record together with those that come while one is sent. */
  private write(record: KeyedRecord): Promise<WriteOutcome> {
    return new Promise(resolve => {
      this.pending.push({record, resolve});
      void this.flush();
    });
  }

  /** A job that is not sent can be refused, and sent again elsewhere. */
  private isStalled(): boolean {
    const takenMs = this.deps.clock.monotonicMs() - this.sentMs;
    return this.isWriting && takenMs > STALLED_MS;
  }

  private async flush(): Promise<void> {
    if (this.isWriting) return;
    this.isWriting = true;
    const {clock} = this.deps;
    while (this.pending.length > 0) {
      const batch = this.pending;
      this.pending = [];
      this.sentMs = clock.monotonicMs();
      const outcome = await this.append(batch.map(({record}) => record));
      for (const {resolve} of batch) resolve(outcome);
    }
    this.isWriting = false;
  }

  private async append(records: readonly KeyedRecord[]): Promise<WriteOutcome> {
    try {
      const {store, jobsTopic} = this.deps;
      const timeoutMs = APPEND_TIMEOUT_MS;
      await store.append(jobsTopic, records, {timeoutMs});
      this.refusedSinceMs = Number.NaN;
      return 'stored';
    } catch (err) {
      if (!(err instanceof StoreError)) throw err;
      this.deps.log('storeFailed', {
        records: records.length,
        failure: err.failure,
      });
      return err.failure === 'unknown' ? 'unknown' : 'refused';
    }
  }

  /** An outage is taken to last as long again as it has lasted so far. */
  private toAnswer(outcome: 'refused' | 'unknown'): FrontAnswer {
    if (outcome === 'unknown') return {kind: 'unknown'};
    const nowMs = this.deps.clock.monotonicMs();
    if (Number.isNaN(this.refusedSinceMs)) this.refusedSinceMs = nowMs;
    const seconds = Math.round((nowMs - this.refusedSinceMs) / 1000);
    const bounded = Math.min(MAX_RETRY_AFTER_S, seconds);
    return {kind: 'refused', retryAfterS: Math.max(MIN_RETRY_AFTER_S, bounded)};
  }
}

/** Jobs are shown to their own organisation only. */
function mayAsk({organisation}: JobRow, caller: JobCaller): boolean {
  return caller.isPublic || organisation === caller.organisation;
}
