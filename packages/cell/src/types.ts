/** The data of the cell: jobs as submitted, configuration, executors. */
import type {Resources} from '@dragonflyward/common';

/** One step of a job as its caller submitted it. */
export interface StepSpec {
  /** How many tasks the step has. */
  readonly count: number;
  /** What each task needs; `cpuMilli` is what it asks for, also if it fills. */
  readonly size: Resources;
  /** The caller's rough estimate of a task's run time. */
  readonly estimatedMs: number;
  /** Indexes of the steps that have to be done first. */
  readonly after: readonly number[];
  readonly savesProgress: boolean;
  /** All tasks start together and end together. */
  readonly isGang: boolean;
  /** The tasks of a gang are slow when they run on more than one rack. */
  readonly isRackSensitive: boolean;
  /** A label that the executor must have; empty where none is asked for. */
  readonly requiredLabel: string;
  /** The rack that holds the data; empty where it does not matter. */
  readonly rack: string;
  /** The most tasks of the step on one executor; 0 for no bound. */
  readonly maxPerExecutor: number;
  /** Copies of a task may run at the same time. */
  readonly mayDuplicate: boolean;
  /** The tasks run until the job is cancelled. */
  readonly isService: boolean;
  /** Tasks of the same image behave alike. */
  readonly image: string;
  /** Bound on the tail latency of a service task; 0 for none. */
  readonly targetMs: number;
  /** The task's processor need does not count against the capacity. */
  readonly isFiller: boolean;
  /** How many tasks of a service may be away through the system's doing. */
  readonly missAllowed: number;
}

/** When the steps of a job are repeated; `times` is 1 for a plain job. */
export interface Repetition {
  readonly times: number;
  /** Wall-clock milliseconds of the first occurrence; 0 for at once. */
  readonly firstMs: number;
  readonly intervalMs: number;
}

/** What a caller submitted. */
export interface JobSpec {
  /** Opaque to the system; handed to the executor with each task. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly repetition: Repetition;
}

/** How queues ask the advice service which executors may run a step. */
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
  /** Latency objective: this times the chain of work, plus `objectiveMs`. */
  readonly stretch: number;
  readonly objectiveMs: number;
  /** No key is needed. */
  readonly isPublic: boolean;
  readonly advice: AdvicePolicy | null;
}

/** A tenant's share and limit. */
export interface Organisation {
  readonly name: string;
  readonly weight: number;
  /** The most it may have running; 0 in a part for no limit. */
  readonly limit: Resources;
}

/** A configuration, decoded. */
export interface CellConfig {
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly organisations: readonly Organisation[];
  /** Organisation by API key. */
  readonly keys: ReadonlyMap<string, string>;
  /** Services whose executors refuse what does not fit. */
  readonly guardedServices: ReadonlySet<string>;
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
  /** Least time that a draining executor still has. */
  readonly drainRemainingMs: number;
  /** Unix milliseconds of the start of this life of the executor. */
  readonly bornMs: number;
}

/** What callers see of a job. */
export type JobPhase =
  'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/** How a run of a task ended. */
export type RunEnd =
  'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** Tells whether a phase is final. */
export function isFinal(phase: JobPhase): boolean {
  return phase !== 'queued' && phase !== 'running';
}
