/** One task on a simulated worker: its run time, lease and end. */
import type {Resources} from '@dragonflyward/common';
import type {TaskEnd, TaskReport, TaskStart} from '@dragonflyward/target';

/** The task payload that a simulated worker understands. */
export interface TaskPayload {
  readonly runMs: number;
  readonly fail?: boolean;
  readonly usage?: {readonly cpuMilli: number; readonly memMb: number};
  readonly result?: string;
}

/** The resources that a task held from a point in time. */
export interface Holding {
  readonly sinceMs: number;
  readonly size: Resources;
}

/** The record of one run of a task, which tests check. */
export interface TaskRun {
  readonly workerId: string;
  readonly taskId: string;
  readonly jobId: string;
  readonly team: string;
  readonly holdings: readonly Holding[];
  readonly startMs: number;
  readonly endMs: number | null;
  readonly end: TaskEnd | null;
}

/** A running or recently ended task. */
export class WorkerTask {
  readonly payload: TaskPayload;
  readonly startMs = Date.now();
  private holdings: readonly Holding[];
  endMs: number | null = null;
  end: TaskEnd | null = null;
  private leaseUntilMs = 0;
  private leaseTimer: NodeJS.Timeout | undefined;
  private readonly runTimer: NodeJS.Timeout;

  constructor(
    readonly start: TaskStart,
    savedMs: number,
    willFail: boolean,
    private readonly onEnd: () => void,
  ) {
    this.payload = (start.payload ?? {runMs: 0}) as TaskPayload;
    this.holdings = [{sinceMs: this.startMs, size: start.size}];
    const end = willFail || this.payload.fail ? 'failed' : 'succeeded';
    const runMs = Math.max(0, this.payload.runMs - savedMs);
    this.runTimer = setTimeout(() => {
      this.finish(end);
    }, runMs);
    this.renew(start.leaseMs);
  }

  get isRunning(): boolean {
    return this.end === null;
  }

  /** The current resource cap. */
  get size(): Resources {
    return this.holdings.at(-1)?.size ?? this.start.size;
  }

  throttle(size: Resources): void {
    this.holdings = [...this.holdings, {sinceMs: Date.now(), size}];
  }

  renew(leaseMs: number): void {
    this.leaseUntilMs = Date.now() + leaseMs;
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(() => {
      this.finish('leaseLapsed');
    }, leaseMs);
  }

  finish(end: TaskEnd): void {
    if (!this.isRunning) return;
    clearTimeout(this.runTimer);
    clearTimeout(this.leaseTimer);
    this.end = end;
    this.endMs = Date.now();
    this.onEnd();
  }

  toReport(): TaskReport {
    const {taskId, jobId, shard, team, queue} = this.start;
    const {size, end} = this;
    const isDone = end === 'succeeded';
    return {
      taskId,
      jobId,
      shard,
      team,
      queue,
      size,
      state: this.isRunning ? 'running' : 'ended',
      end,
      result: isDone ? (this.payload.result ?? 'done') : '',
      leaseLeftMs: Math.max(0, this.leaseUntilMs - Date.now()),
      runMs: (this.endMs ?? Date.now()) - this.startMs,
    };
  }

  /** Describes the task and its sizes over time in one line. */
  describe(): string {
    const sizes = this.holdings.map(({sinceMs, size}) => {
      return `${size.cpuMilli} m ${size.memMb} MB since ${sinceMs}`;
    });
    return `${this.start.taskId} (${sizes.join('; ')})`;
  }

  toRun(workerId: string): TaskRun {
    const {taskId, jobId, team} = this.start;
    const {startMs, endMs, end, holdings} = this;
    return {workerId, taskId, jobId, team, holdings, startMs, endMs, end};
  }
}
