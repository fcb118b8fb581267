/** Sets workers aside that fail what they start, and tries them again. */
import type {Decision} from './engine.js';
import type {WorkerState} from './state.js';

/** Ends of tasks on a worker that are looked at. */
const WINDOW_ENDS = 8;
/** Failures, and different jobs among them, that speak against a worker. */
const MIN_FAILURES = 4;
const MIN_JOBS = 3;
/** How far a worker's failure rate has to lie above that of the fleet. */
const RATE_FACTOR = 3;
const MIN_RATE = 0.5;
/** Jobs of which it is kept that they have succeeded somewhere. */
const MAX_GOOD_JOBS = 10_000;
/** The part of the workers that may be set aside at once. */
const MAX_ASIDE_PART = 1 / 3;
/** How long a worker is set aside at first, and at most. */
const FIRST_ASIDE_MS = 30_000;
const LONGEST_ASIDE_MS = 960_000;

interface End {
  readonly isFailure: boolean;
  readonly jobId: string;
}

interface WorkerRecord {
  readonly ends: End[];
  asideMs: number;
}

/** What has become of the tasks on each worker. */
export class WorkerHealth {
  private readonly records = new Map<string, WorkerRecord>();
  private readonly aside = new Set<WorkerState>();
  private readonly goodJobs = new Set<string>();

  /**
   * The mean failure rate of the workers; each counts alike, as one that
   * fails fast ends far more tasks than the others.
   */
  private fleetRate(except: WorkerRecord): number {
    let sum = 0;
    let count = 0;
    for (const record of this.records.values()) {
      if (record === except || record.ends.length === 0) continue;
      sum += failuresOf(record.ends).length / record.ends.length;
      count += 1;
    }
    return count === 0 ? 0 : sum / count;
  }

  /** The part of the jobs, but for one, of which a task failed of late. */
  jobFailureRate(exceptJobId: string): number {
    const failed = new Set<string>();
    const ended = new Set<string>();
    for (const {ends} of this.records.values()) {
      for (const {jobId, isFailure} of ends) {
        if (jobId === exceptJobId) continue;
        ended.add(jobId);
        if (isFailure) failed.add(jobId);
      }
    }
    return ended.size === 0 ? 0 : failed.size / ended.size;
  }

  /** Notes how a task ended; returns a decision where one follows. */
  noteEnd(
    state: WorkerState,
    end: End,
    workerCount: number,
    nowMs: number,
  ): Decision | undefined {
    const record = this.getRecord(state.worker.workerId);
    record.ends.push(end);
    if (record.ends.length > WINDOW_ENDS) record.ends.shift();
    if (!end.isFailure) {
      this.noteGoodJob(end.jobId);
      this.noteSuccess(state, record);
      return undefined;
    }
    if (state.setAsideUntilMs > 0) return undefined;
    if (state.isOnProbation) return this.setAside(state, record, nowMs);
    const mostAside = Math.max(1, workerCount * MAX_ASIDE_PART);
    if (this.aside.size + 1 > mostAside) return undefined;
    if (!this.isBad(record)) return undefined;
    return this.setAside(state, record, nowMs);
  }

  /** Gives workers another try whose time has come. */
  *retry(nowMs: number): Generator<WorkerState> {
    for (const state of this.aside) {
      if (state.setAsideUntilMs === 0 || state.setAsideUntilMs > nowMs) {
        continue;
      }
      state.setAsideUntilMs = 0;
      state.isOnProbation = true;
      yield state;
    }
  }

  /** Forgets a worker that is gone. */
  forget(state: WorkerState): void {
    this.records.delete(state.worker.workerId);
    this.aside.delete(state);
  }

  private noteGoodJob(jobId: string): void {
    this.goodJobs.delete(jobId);
    this.goodJobs.add(jobId);
    if (this.goodJobs.size <= MAX_GOOD_JOBS) return;
    const [oldest] = this.goodJobs;
    if (oldest !== undefined) this.goodJobs.delete(oldest);
  }

  private noteSuccess(state: WorkerState, record: WorkerRecord): void {
    if (!state.isOnProbation) return;
    state.isOnProbation = false;
    this.aside.delete(state);
    record.asideMs = 0;
    record.ends.length = 0;
  }

  private setAside(
    state: WorkerState,
    record: WorkerRecord,
    nowMs: number,
  ): Decision {
    const longer = Math.max(FIRST_ASIDE_MS, record.asideMs * 2);
    record.asideMs = Math.min(LONGEST_ASIDE_MS, longer);
    state.setAsideUntilMs = nowMs + record.asideMs;
    state.isOnProbation = false;
    this.aside.add(state);
    const failures = failuresOf(record.ends).length;
    const rate = this.fleetRate(record).toFixed(2);
    return {
      kind: 'worker',
      workerId: state.worker.workerId,
      isSetAside: true,
      reason: `${failures} of ${record.ends.length} failed; fleet ${rate}`,
    };
  }

  private isBad(record: WorkerRecord): boolean {
    const {ends} = record;
    const failures = failuresOf(ends);
    if (failures.length < MIN_FAILURES) return false;
    const jobs = new Set(failures.map(end => end.jobId));
    const hasGoodJob = [...jobs].some(jobId => this.goodJobs.has(jobId));
    if (jobs.size < MIN_JOBS && !hasGoodJob) return false;
    const rate = failures.length / ends.length;
    return rate >= Math.max(MIN_RATE, this.fleetRate(record) * RATE_FACTOR);
  }

  private getRecord(workerId: string): WorkerRecord {
    const known = this.records.get(workerId);
    if (known !== undefined) return known;
    const record: WorkerRecord = {ends: [], asideMs: 0};
    this.records.set(workerId, record);
    return record;
  }
}

function failuresOf(ends: readonly End[]): readonly End[] {
  return ends.filter(end => end.isFailure);
}
