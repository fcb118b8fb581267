/** Jobs as they are submitted, kept and reported. */
import type {Resources} from '@dragonflyward/common';

/** A job as its caller submitted it. */
export interface JobSpec {
  readonly jobId: string;
  readonly team: string;
  readonly queue: string;
  /** How many tasks of the same size it has. */
  readonly tasks: number;
  /** Whether all tasks must run at the same time. */
  readonly isGang: boolean;
  /** Whether it runs until it is cancelled; ended tasks are started again. */
  readonly isService: boolean;
  /** Whether a task may be run again after it may have run. */
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

/** Where a job stands. */
export type JobPhase = 'waiting' | 'running' | 'setAside' | 'ended';

/** What a caller is told of a job. */
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
  /** Why it waits, or was set aside, in one line. */
  readonly reason: string;
}
