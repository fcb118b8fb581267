/** Calls to one worker: start, stop, checkpoint and throttle a task. */
import {
  toFailure,
  type Clock,
  type ErrorKind,
  type Metrics,
  type Resources,
} from '@dragonflyward/common';
import type {PlacedTask} from '@dragonflyward/policy';
import type {TaskStart, WorkerClient} from '@dragonflyward/target';
import PQueue from 'p-queue';
import {WORKER_CALL_TIMEOUT_MS, type LeaseTable} from './lease-table.js';

const MAX_CONCURRENT_CALLS = 4;
/** The worker refuses a start that arrives later than this. */
export const START_WITHIN_MS = WORKER_CALL_TIMEOUT_MS;

/** The outcome of a start. */
export type StartOutcome = 'started' | 'notRun' | 'unknown';

/** Dependencies of the calls. */
export interface WorkerCallsParts {
  readonly client: WorkerClient;
  readonly leases: LeaseTable;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly term: () => number;
  /** Whether this process may act for the shard at this instant. */
  readonly mayAct: () => boolean;
  /** Whether the worker may get new tasks at this instant. */
  readonly mayStart: () => boolean;
}

/** Sends calls to one worker, with limited concurrency. */
export class WorkerCalls {
  private readonly queue = new PQueue({concurrency: MAX_CONCURRENT_CALLS});

  constructor(private readonly parts: WorkerCallsParts) {}

  /** Discards the calls that have not been sent. */
  stop(): void {
    this.queue.clear();
  }

  /**
   * Starts a task.
   *
   * @example
   * if ((await calls.start(task, start)) === 'notRun') engine.ended(id);
   */
  start(task: PlacedTask, start: TaskStart): Promise<StartOutcome> {
    return this.queue.add(() => this.startNow(task, start));
  }

  /** Stops a task; returns whether the worker confirmed it. */
  stopTask(taskId: string): Promise<boolean> {
    const {client} = this.parts;
    return this.queue.add(() =>
      this.endTask(taskId, term => client.stop(term, taskId)),
    );
  }

  /** Checkpoints a task and stops it; returns whether it was confirmed. */
  checkpoint(taskId: string): Promise<boolean> {
    const {client} = this.parts;
    return this.queue.add(() =>
      this.endTask(taskId, term => client.checkpoint(term, taskId)),
    );
  }

  /** Changes a task's resource limit; returns whether it was confirmed. */
  throttle(taskId: string, size: Resources): Promise<boolean> {
    const {client} = this.parts;
    return this.queue.add(() =>
      this.tryCall(term => client.throttle(term, taskId, size)),
    );
  }

  private async startNow(
    task: PlacedTask,
    start: TaskStart,
  ): Promise<StartOutcome> {
    const {client, clock, leases, mayAct, mayStart} = this.parts;
    if (!mayAct() || !mayStart()) return 'notRun';
    leases.recordStart(task, clock.monotonicMs(), START_WITHIN_MS);
    try {
      await client.start(start);
      leases.recordConfirmed(task.taskId, clock.monotonicMs());
      return 'started';
    } catch (err) {
      return this.startFailed(task, toFailure(err).kind);
    }
  }

  private startFailed(task: PlacedTask, kind: ErrorKind): StartOutcome {
    this.parts.metrics.count('task_starts_failed_total');
    if (kind !== 'targetRefused' && kind !== 'staleTerm') return 'unknown';
    this.parts.leases.remove(task.taskId);
    return 'notRun';
  }

  private async endTask(
    taskId: string,
    call: (term: number) => Promise<void>,
  ): Promise<boolean> {
    const isDone = await this.tryCall(call);
    if (isDone) this.parts.leases.remove(taskId);
    return isDone;
  }

  private async tryCall(
    call: (term: number) => Promise<void>,
  ): Promise<boolean> {
    const {mayAct, term, metrics} = this.parts;
    if (!mayAct()) return false;
    try {
      await call(term());
      return true;
    } catch {
      metrics.count('worker_calls_failed_total');
      return false;
    }
  }
}
