/** Quarantines workers on which tasks keep failing, and retries them later. */
import type {Decision} from './engine.js';
import type {WorkerState} from './state.js';

/** Most recent task ends that are kept for each worker. */
const MAX_RECENT_ENDS = 8;
/** Recent failures, and distinct jobs among them, that quarantine a worker. */
const MIN_FAILURES = 4;
const MIN_FAILED_JOBS = 3;
/**
 * A worker that is not on probation is quarantined only if its failure rate is
 * at least this multiple of the mean of the other workers and reaches the
 * minimum.
 */
const FLEET_RATE_FACTOR = 3;
const MIN_FAILURE_RATE = 0.5;
/** Jobs remembered as having succeeded on some worker. */
const MAX_SUCCEEDED_JOBS = 10_000;
/** Fraction of the workers that may be quarantined at once. */
const MAX_QUARANTINED_FRACTION = 1 / 3;
/** How long a worker is quarantined at first and at most; doubles each time. */
const FIRST_QUARANTINE_MS = 30_000;
const MAX_QUARANTINE_MS = 960_000;

interface TaskOutcome {
  readonly isFailure: boolean;
  readonly jobId: string;
}

interface WorkerHistory {
  readonly recentEnds: TaskOutcome[];
  quarantineMs: number;
}

/** Tracks how tasks end on each worker and quarantines failing workers. */
export class WorkerHealth {
  private readonly records = new Map<string, WorkerHistory>();
  private readonly quarantinedWorkers = new Set<WorkerState>();
  private readonly succeededJobs = new Set<string>();

  /**
   * The mean failure rate of the other workers. Each worker has the same
   * weight, as one that fails fast ends far more tasks than the others.
   */
  private meanFailureRate(except: WorkerHistory): number {
    let sum = 0;
    let count = 0;
    for (const history of this.records.values()) {
      if (history === except || history.recentEnds.length === 0) continue;
      sum += failuresOf(history.recentEnds).length / history.recentEnds.length;
      count += 1;
    }
    return count === 0 ? 0 : sum / count;
  }

  /** The fraction of the other jobs of which a task failed recently. */
  jobFailureRate(exceptJobId: string): number {
    const failed = new Set<string>();
    const ended = new Set<string>();
    for (const {recentEnds} of this.records.values()) {
      for (const {jobId, isFailure} of recentEnds) {
        if (jobId === exceptJobId) continue;
        ended.add(jobId);
        if (isFailure) failed.add(jobId);
      }
    }
    return ended.size === 0 ? 0 : failed.size / ended.size;
  }

  /** Records a task's end; returns a decision if it quarantines the worker. */
  recordEnd(
    state: WorkerState,
    end: TaskOutcome,
    workerCount: number,
    nowMs: number,
  ): Decision | undefined {
    const history = this.getHistory(state.worker.workerId);
    history.recentEnds.push(end);
    if (history.recentEnds.length > MAX_RECENT_ENDS) history.recentEnds.shift();
    if (!end.isFailure) {
      this.addSucceededJob(end.jobId);
      this.endProbationIfAny(state, history);
      return undefined;
    }
    if (state.quarantinedUntilMs > 0) return undefined;
    if (state.isOnProbation) return this.quarantine(state, history, nowMs);
    const maxQuarantined = Math.max(1, workerCount * MAX_QUARANTINED_FRACTION);
    if (this.quarantinedWorkers.size + 1 > maxQuarantined) return undefined;
    if (!this.isFailingTooOften(history)) return undefined;
    return this.quarantine(state, history, nowMs);
  }

  /** Puts workers on probation whose quarantine is over. */
  *startDueProbations(nowMs: number): Generator<WorkerState> {
    for (const state of this.quarantinedWorkers) {
      if (state.quarantinedUntilMs === 0 || state.quarantinedUntilMs > nowMs) {
        continue;
      }
      state.quarantinedUntilMs = 0;
      state.isOnProbation = true;
      yield state;
    }
  }

  /** Drops the state of a removed worker. */
  removeWorker(state: WorkerState): void {
    this.records.delete(state.worker.workerId);
    this.quarantinedWorkers.delete(state);
  }

  private addSucceededJob(jobId: string): void {
    this.succeededJobs.delete(jobId);
    this.succeededJobs.add(jobId);
    if (this.succeededJobs.size <= MAX_SUCCEEDED_JOBS) return;
    const [oldest] = this.succeededJobs;
    if (oldest !== undefined) this.succeededJobs.delete(oldest);
  }

  private endProbationIfAny(state: WorkerState, history: WorkerHistory): void {
    if (!state.isOnProbation) return;
    state.isOnProbation = false;
    this.quarantinedWorkers.delete(state);
    history.quarantineMs = 0;
    history.recentEnds.length = 0;
  }

  private quarantine(
    state: WorkerState,
    history: WorkerHistory,
    nowMs: number,
  ): Decision {
    const doubledMs = Math.max(FIRST_QUARANTINE_MS, history.quarantineMs * 2);
    history.quarantineMs = Math.min(MAX_QUARANTINE_MS, doubledMs);
    state.quarantinedUntilMs = nowMs + history.quarantineMs;
    state.isOnProbation = false;
    this.quarantinedWorkers.add(state);
    const failures = failuresOf(history.recentEnds).length;
    const rate = this.meanFailureRate(history).toFixed(2);
    return {
      kind: 'worker',
      workerId: state.worker.workerId,
      isQuarantined: true,
      reason: `${failures} of ${history.recentEnds.length} tasks failed; mean rate of other workers ${rate}`,
    };
  }

  private isFailingTooOften(history: WorkerHistory): boolean {
    const {recentEnds} = history;
    const failures = failuresOf(recentEnds);
    if (failures.length < MIN_FAILURES) return false;
    const jobs = new Set(failures.map(end => end.jobId));
    const hasSucceededJob = [...jobs].some(jobId =>
      this.succeededJobs.has(jobId),
    );
    if (jobs.size < MIN_FAILED_JOBS && !hasSucceededJob) return false;
    const rate = failures.length / recentEnds.length;
    return (
      rate >=
      Math.max(
        MIN_FAILURE_RATE,
        this.meanFailureRate(history) * FLEET_RATE_FACTOR,
      )
    );
  }

  private getHistory(workerId: string): WorkerHistory {
    const known = this.records.get(workerId);
    if (known !== undefined) return known;
    const history: WorkerHistory = {recentEnds: [], quarantineMs: 0};
    this.records.set(workerId, history);
    return history;
  }
}

function failuresOf(ends: readonly TaskOutcome[]): readonly TaskOutcome[] {
  return ends.filter(end => end.isFailure);
}
