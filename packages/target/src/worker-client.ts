/** Interface for calling workers. */
import type {Resources} from '@dragonflyward/common';

/** A task to start, with its reservation and its lease. */
export interface TaskStart {
  readonly taskId: string;
  readonly jobId: string;
  readonly team: string;
  readonly queue: string;
  readonly shard: string;
  readonly term: number;
  /** The reservation; the worker limits the task to it. */
  readonly size: Resources;
  readonly leaseMs: number;
  /** The worker rejects the start if it arrives later than this. */
  readonly startWithinMs: number;
  /** The program and its arguments, opaque to the system. */
  readonly payload: unknown;
}

/** How a task ended. */
export type TaskEnd =
  'succeeded' | 'failed' | 'stopped' | 'leaseLapsed' | 'checkpointed';

/** The state of a task on a worker. */
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

/** The running and the recently ended tasks of a worker. */
export interface Inventory {
  readonly workerId: string;
  readonly capacity: Resources;
  readonly tasks: readonly TaskReport[];
  /** Increases with each change; passed to `watch`. */
  readonly sequence: number;
}

/** The result of a lease renewal. */
export interface RenewReply {
  /** Tasks that the worker is not running. */
  readonly unknown: readonly string[];
}

/** Resource usage of a task, as the platform measured it `ageMs` ago. */
export interface TaskUsage {
  readonly taskId: string;
  readonly cpuMilli: number;
  readonly memMb: number;
  readonly ageMs: number;
}

/** A client of one worker; calls carry the term of a shard. */
export abstract class WorkerClient {
  /**
   * Starts a task; repeating the call with the same task id has no effect.
   *
   * @throws staleTerm, targetRefused (not run), targetLost (unknown)
   */
  abstract start(task: TaskStart): Promise<void>;

  /**
   * Renews the leases of tasks.
   *
   * @throws staleTerm, targetLost
   */
  abstract renew(
    term: number,
    taskIds: readonly string[],
    leaseMs: number,
  ): Promise<RenewReply>;

  /**
   * Stops a task; once this resolves, the task is not running.
   *
   * @throws staleTerm, targetLost
   */
  abstract stop(term: number, taskId: string): Promise<void>;

  /**
   * Saves a task's progress and stops it; a restart resumes from there.
   *
   * @throws staleTerm, targetLost
   */
  abstract checkpoint(term: number, taskId: string): Promise<void>;

  /**
   * Limits the resources of a running task.
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
   * Waits for a change after the sequence number, then lists the tasks.
   *
   * @throws targetLost
   */
  abstract watch(sequence: number, waitMs: number): Promise<Inventory>;

  /**
   * Reads the usage of the tasks; it lags behind, see `ageMs`.
   *
   * @throws targetLost
   */
  abstract usage(): Promise<readonly TaskUsage[]>;
}
