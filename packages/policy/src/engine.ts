/** The interface between the owner of a shard and its placement engine. */
import type {Resources} from '@dragonflyward/common';

/** The priority of a queue, which applies to all of its jobs. */
export type PolicyPriority = 'urgent' | 'normal' | 'batch';

/** The availability of a worker for new tasks. */
export type WorkerCondition =
  /** Responds, and accepts new tasks. */
  | 'ready'
  /**
   * Does not respond, or is not listed yet. It gets no new tasks; its tasks
   * keep their reservations.
   */
  | 'silent'
  /**
   * Its failure domain is closed. It gets no new tasks; its tasks keep running,
   * and it counts as capacity, so that jobs wait for it.
   */
  | 'closed'
  /** Is being drained: its tasks keep running, but it gets no new ones. */
  | 'leaving';

/** A worker of the shard. */
export interface PolicyWorker {
  readonly workerId: string;
  readonly rack: string;
  readonly capacity: Resources;
  readonly condition: WorkerCondition;
}

/** A team with its weights and its limit in this shard. */
export interface PolicyTeam {
  readonly team: string;
  readonly organisation: string;
  readonly share: number;
  readonly organisationShare: number;
  /** The most that the team may have reserved in this shard at any time. */
  readonly allowance: Resources;
}

/** A queue with its priority and the policy that places its tasks. */
export interface PolicyQueue {
  readonly queue: string;
  readonly priority: PolicyPriority;
  readonly policy: 'pack' | 'spread' | 'gang';
}

/** A job with tasks to place. */
export interface PolicyJob {
  readonly jobId: string;
  readonly team: string;
  readonly queue: string;
  /** The indexes of the tasks that still have to run. */
  readonly taskIndexes: readonly number[];
  readonly isGang: boolean;
  readonly isService: boolean;
  readonly isIdempotent: boolean;
  /** The declared size of each task. */
  readonly size: Resources;
  /** The declared run time; 0 where none was declared. */
  readonly runMs: number;
  readonly acceptedMs: number;
}

/** A task that runs on a worker, or may be running there. */
export interface PlacedTask {
  readonly taskId: string;
  readonly jobId: string;
  readonly taskIndex: number;
  readonly workerId: string;
  /** The resources that are reserved for it on the worker. */
  readonly size: Resources;
}

/** How a placed task ended, as far as the policy needs to know. */
export type PlacedTaskEnd =
  /** It succeeded and needs no further run. */
  | 'succeeded'
  /** It ran and failed; the owner calls `submit` if it has to run again. */
  | 'failed'
  /** It was never started or was stopped, and is known not to be running. */
  | 'notRunning';

/** A measurement of the usage of one task; it may lag behind. */
export interface UsageSample {
  readonly taskId: string;
  readonly cpuMilli: number;
  readonly memMb: number;
}

/** Start this task; its reservation is already accounted for. */
export interface StartDecision {
  readonly kind: 'start';
  readonly task: PlacedTask;
}

/**
 * Checkpoint and stop this task to free its resources, and call `ended` when
 * it has stopped.
 */
export interface PreemptDecision {
  readonly kind: 'preempt';
  readonly taskId: string;
  readonly workerId: string;
  readonly reason: string;
}

/**
 * Change the resource limit of a running task; its new reservation is already
 * accounted for.
 */
export interface ResizeDecision {
  readonly kind: 'resize';
  readonly taskId: string;
  readonly workerId: string;
  readonly size: Resources;
}

/** Set a job aside that cannot run at present, so that it blocks no other. */
export interface SetAsideDecision {
  readonly kind: 'setAside';
  readonly jobId: string;
  readonly reason: string;
}

/**
 * A worker was quarantined because its tasks keep failing, or gets tasks again
 * after its quarantine.
 */
export interface WorkerDecision {
  readonly kind: 'worker';
  readonly workerId: string;
  readonly isQuarantined: boolean;
  readonly reason: string;
}

/** One decision of the policy. */
export type Decision =
  | StartDecision
  | PreemptDecision
  | ResizeDecision
  | SetAsideDecision
  | WorkerDecision;

/**
 * The running and the waiting resources of a team in this shard; its overall
 * limit is divided among the shards by them.
 */
export interface TeamDemand {
  readonly team: string;
  readonly running: Resources;
  readonly waiting: Resources;
}

/** Decides all placements of one shard; not safe for concurrent use. */
export abstract class PlacementEngine {
  /** Replaces the queues; jobs of unknown queues have the priority `batch`. */
  abstract setQueues(queues: readonly PolicyQueue[]): void;
  /** Replaces the teams with their shares and allowances. */
  abstract setTeams(teams: readonly PolicyTeam[]): void;
  /** Adds a worker or changes its condition or capacity. */
  abstract setWorker(worker: PolicyWorker): void;
  /** Removes a worker whose tasks are known to run no longer. */
  abstract removeWorker(workerId: string): void;

  /**
   * Returns why the tasks of the job could not be placed even in an empty
   * shard; empty if they could.
   */
  abstract findUnplaceableReason(job: PolicyJob): string;
  /** Adds a job, or the tasks of a known job that have to run again. */
  abstract submit(job: PolicyJob): void;
  /**
   * Removes the waiting tasks of a job; placed ones keep their reservations
   * until `ended`.
   *
   * @returns the tasks of the job that are placed
   */
  abstract cancel(jobId: string): readonly PlacedTask[];
  /** Adds a task of an earlier owner that was found running. */
  abstract adopt(task: PlacedTask): void;
  /** Releases the reservation of a placed task. */
  abstract ended(taskId: string, end: PlacedTaskEnd, nowMs: number): void;
  /** Updates the usage estimates from measurements, which may lag behind. */
  abstract recordUsage(samples: readonly UsageSample[], nowMs: number): void;

  /** Yields what to do now; each decision is accounted for before its yield. */
  abstract decide(nowMs: number): Generator<Decision>;

  /** Describes in one line why a job waits or where it was placed. */
  abstract explain(jobId: string): string;
  /** The running and the waiting resources of each team in this shard. */
  abstract getDemand(): readonly TeamDemand[];
  /** The number of waiting tasks. */
  abstract countWaitingTasks(): number;
}
