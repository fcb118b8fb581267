/** The data of the cell: jobs as submitted, configuration, executors. */
import type {Resources} from '@dragonflyward/common';

/** One step of a job as its caller submitted it. */
export interface StepSpec {
  /** How many tasks the step has. */
  readonly count: number;
  /** What each task needs; `cpuMilli` is set for fillers too. */
  readonly size: Resources;
  /** The caller's rough estimate of a task's run time. */
  readonly estimatedMs: number;
  /** Indexes of the steps that this one depends on. */
  readonly after: readonly number[];
  readonly savesProgress: boolean;
  /** Whether all tasks start and end together. */
  readonly isGang: boolean;
  /** Whether the gang runs slowly on more than one rack. */
  readonly isRackSensitive: boolean;
  /** A label that the executor must have; empty for none. */
  readonly requiredLabel: string;
  /** The rack that holds the data; empty where it does not matter. */
  readonly rack: string;
  /** The most tasks of the step on one executor; 0 for no limit. */
  readonly maxPerExecutor: number;
  /** Whether copies of a task may run at the same time. */
  readonly mayDuplicate: boolean;
  /** Whether the tasks run until the job is cancelled. */
  readonly isService: boolean;
  /** Identifies the program; tasks of one image have similar run times. */
  readonly image: string;
  /** Target for the tail latency of a service task; 0 for none. */
  readonly targetMs: number;
  /** Whether the CPU of a task does not count against the capacity. */
  readonly isFiller: boolean;
  /** How many tasks of a service may be down on account of the system. */
  readonly missAllowed: number;
}

/** How often and when a job's steps run; `times` is 1 for a plain job. */
export interface Repetition {
  readonly times: number;
  /** Wall-clock milliseconds of the first occurrence; 0 for at once. */
  readonly firstMs: number;
  readonly intervalMs: number;
}

/** A job as its caller submitted it. */
export interface JobSpec {
  /** Opaque to the system; handed to the executor with each task. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly repetition: Repetition;
}

/** The advice service that decides which executors may run a step. */
export interface AdvicePolicy {
  readonly decisionMs: number;
  readonly perExecutorMs: number;
  /** How long a ticket is valid. */
  readonly validityMs: number;
}

/** A queue of the configuration. */
export interface Queue {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  /** The service whose executors run the queue's tasks. */
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly maxAttempts: number;
  /** Latency objective: this times the critical path, plus `objectiveMs`. */
  readonly stretch: number;
  readonly objectiveMs: number;
  /** Whether submissions need no API key. */
  readonly isPublic: boolean;
  readonly advice: AdvicePolicy | null;
}

/** A tenant with its submission rate and resource limit. */
export interface Organisation {
  readonly name: string;
  readonly weight: number;
  /** The most resources its tasks may use; 0 for no limit of that resource. */
  readonly limit: Resources;
}

/** A decoded configuration. */
export interface CellConfig {
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly organisations: readonly Organisation[];
  /** Organisation by API key. */
  readonly keys: ReadonlyMap<string, string>;
  /** Services whose executors reject tasks that exceed their capacity. */
  readonly overloadRejectingServices: ReadonlySet<string>;
  readonly maxBodyBytes: number;
}

/** An executor as it describes itself in the platform's store. */
export interface ExecutorInfo {
  readonly id: string;
  readonly service: string;
  readonly ip: string;
  readonly port: number;
  readonly domain: string;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  readonly isDraining: boolean;
  /** The least time until a draining executor shuts down. */
  readonly drainRemainingMs: number;
  /** How much longer it is slow after its start, in ms; 0 if it is not. */
  readonly coldRemainingMs: number;
  /** Unix milliseconds at which this incarnation of the executor started. */
  readonly bornMs: number;
}

/** The phase of a job, as shown to callers. */
export type JobPhase =
  'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/** How a run of a task ended. */
export type RunOutcome =
  'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** Whether a phase is final. */
export function isFinal(phase: JobPhase): boolean {
  return phase !== 'queued' && phase !== 'running';
}
