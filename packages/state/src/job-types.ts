/** Types of jobs as they are submitted, stored and reported. */
import type {Resources} from '@dragonflyward/common';

/** The largest body of a submitted job; applies to all queues. */
export const MAX_JOB_BYTES = 1024 * 1024;

/** A job as its caller submitted it. */
export interface JobSpec {
  readonly jobId: string;
  readonly team: string;
  readonly queue: string;
  /** Number of tasks, all of the same size. */
  readonly tasks: number;
  /** Whether all tasks must run at the same time. */
  readonly isGang: boolean;
  /** Whether it runs until cancelled; ended tasks are then started again. */
  readonly isService: boolean;
  /** Whether a task that may have run already may be run again. */
  readonly isIdempotent: boolean;
  /** The declared size of each task. */
  readonly size: Resources;
  /** The declared run time of each task; 0 where none was declared. */
  readonly runMs: number;
  readonly payload: unknown;
}

/** How a job ended. */
export type JobEnd =
  'succeeded' | 'failed' | 'cancelled' | 'neverRunnable' | 'outcomeUnknown';

/** Phase of a job. */
export type JobPhase = 'waiting' | 'running' | 'setAside' | 'ended';

/** Status of a job as it is reported to a caller. */
export interface JobStatus {
  readonly jobId: string;
  readonly team: string;
  readonly queue: string;
  readonly shard: string;
  readonly phase: JobPhase;
  /** Set once the job has ended. */
  readonly end: JobEnd | null;
  readonly tasksRunning: number;
  readonly tasksEnded: number;
  /** One entry for each ended task, by task index. */
  readonly results: readonly string[];
  /** Why the job waits or was set aside, in one line. */
  readonly reason: string;
}
