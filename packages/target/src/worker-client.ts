/** Workers as the rest of the system sees them. */
import type {Resources} from '@dragonflyward/common';

/** What to run and for how long without a renewal. */
export interface TaskStart {
  readonly taskId: string;
  readonly jobId: string;
  readonly team: string;
  readonly queue: string;
  readonly shard: string;
  readonly term: number;
  /** The reservation; the worker caps the task at it. */
  readonly size: Resources;
  readonly leaseMs: number;
  /** The start is void when it reaches the worker later than this. */
  readonly startWithinMs: number;
  /** The program and its arguments, opaque to the system. */
  readonly payload: unknown;
}

/** How a task ended. */
export type TaskEnd =
  'succeeded' | 'failed' | 'stopped' | 'leaseLapsed' | 'checkpointed';

/** One task on a worker. */
export interface TaskReport {
  readonly taskId: string;
  readonly jobId: string;
  readonly shard: string;
  readonly team: string;
  readonly queue: string;
  readonly size: Resources;
  readonly state: 'running' | 'ended';
  /** Set once the task has ended. */
  readonly end: TaskEnd | null;
  readonly result: string;
  readonly leaseLeftMs: number;
  readonly runMs: number;
}

/** All that a worker runs or lately ran. */
export interface Inventory {
  readonly workerId: string;
  readonly capacity: Resources;
  readonly tasks: readonly TaskReport[];
  /** Grows with each change; for watching. */
  readonly sequence: number;
}

/** What became of a renewal. */
export interface RenewReply {
  /** Tasks that the worker does not run. */
  readonly unknown: readonly string[];
}

/** Usage of one task, as the platform measured it a while ago. */
export interface TaskUsage {
  readonly taskId: string;
  readonly cpuMilli: number;
  readonly memMb: number;
  readonly ageMs: number;
}

/** One worker, reached under a shard's term. */
export abstract class WorkerClient {
  /**
   * Starts a task; a repeat of the same task id has no further effect.
   *
   * @throws staleTerm, targetRefused (not run), targetLost (unknown)
   */
  abstract start(task: TaskStart): Promise<void>;

  /**
   * Extends leases.
   *
   * @throws staleTerm, targetLost
   */
  abstract renew(
    term: number,
    taskIds: readonly string[],
    leaseMs: number,
  ): Promise<RenewReply>;

  /**
   * Stops a task; when it returns, the task does not run.
   *
   * @throws staleTerm, targetLost
   */
  abstract stop(term: number, taskId: string): Promise<void>;

  /**
   * Saves a task's progress and stops it; a restart goes on from there.
   *
   * @throws staleTerm, targetLost
   */
  abstract checkpoint(term: number, taskId: string): Promise<void>;

  /**
   * Caps a running task.
   *
   * @throws staleTerm, targetLost
   */
  abstract throttle(
    term: number,
    taskId: string,
    size: Resources,
  ): Promise<void>;

  /**
   * Lists the tasks and fences all older terms of the shard.
   *
   * @throws staleTerm, targetLost
   */
  abstract inventory(shard: string, term: number): Promise<Inventory>;

  /**
   * Waits until something changed after the sequence number, then lists.
   *
   * @throws targetLost
   */
  abstract watch(sequence: number, waitMs: number): Promise<Inventory>;

  /**
   * Reads the lagging usage.
   *
   * @throws targetLost
   */
  abstract usage(): Promise<readonly TaskUsage[]>;
}
