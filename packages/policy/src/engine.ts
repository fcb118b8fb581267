/** What a shard's owner asks of the policy, and what the policy decides. */
import type {Resources} from '@dragonflyward/common';

/** How urgent a job's queue is. */
export type PolicyPriority = 'urgent' | 'normal' | 'batch';

/** Whether a worker may get new tasks. */
export type WorkerCondition =
  /** Answers and may get new tasks. */
  | 'ready'
  /** Does not answer, or is not yet listed: its tasks still count. */
  | 'silent'
  /** Leaves: its tasks run on, but it gets no new ones. */
  | 'leaving';

/** A worker of the shard. */
export interface PolicyWorker {
  readonly workerId: string;
  readonly rack: string;
  readonly capacity: Resources;
  readonly condition: WorkerCondition;
}

/** A team as the shares see it. */
export interface PolicyTeam {
  readonly team: string;
  readonly organisation: string;
  readonly share: number;
  readonly organisationShare: number;
  /** What the team may have running in this shard at any instant. */
  readonly allowance: Resources;
}

/** A queue as the placement sees it. */
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
  /** Indexes of the tasks that still have to run. */
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

/** A task that runs, or may run, on a worker. */
export interface PlacedTask {
  readonly taskId: string;
  readonly jobId: string;
  readonly taskIndex: number;
  readonly workerId: string;
  /** What is reserved for it on the worker. */
  readonly size: Resources;
}

/** How a placed task went, as far as the policy needs to know. */
export type PlacedTaskEnd =
  /** It ended well; it needs no further run. */
  | 'succeeded'
  /** It ran and failed; the owner says by `resubmit` whether it runs again. */
  | 'failed'
  /** It was never started, or was stopped, and surely does not run. */
  | 'notRunning';

/** Usage of one task, as measured a while ago. */
export interface UsageSample {
  readonly taskId: string;
  readonly cpuMilli: number;
  readonly memMb: number;
}

/** Start this task; its reservation is already counted. */
export interface StartDecision {
  readonly kind: 'start';
  readonly task: PlacedTask;
}

/** Checkpoint and stop this task to make room; then call `ended`. */
export interface PreemptDecision {
  readonly kind: 'preempt';
  readonly taskId: string;
  readonly workerId: string;
  readonly reason: string;
}

/** Change the cap of a running task; the room is already counted. */
export interface ResizeDecision {
  readonly kind: 'resize';
  readonly taskId: string;
  readonly workerId: string;
  readonly size: Resources;
}

/** Nothing can run this job now; it blocks no other. */
export interface SetAsideDecision {
  readonly kind: 'setAside';
  readonly jobId: string;
  readonly reason: string;
}

/** A worker that fails all it starts was set aside, or is tried again. */
export interface WorkerDecision {
  readonly kind: 'worker';
  readonly workerId: string;
  readonly isSetAside: boolean;
  readonly reason: string;
}

/** One decision of the policy. */
export type Decision =
  | StartDecision
  | PreemptDecision
  | ResizeDecision
  | SetAsideDecision
  | WorkerDecision;

/** What a team wants and has in this shard, for dividing its limit. */
export interface TeamDemand {
  readonly team: string;
  readonly running: Resources;
  readonly waiting: Resources;
}

/** Decides all placements of one shard; used by one task at a time. */
export abstract class PlacementEngine {
  /** Replaces the queues; unknown queues of known jobs act as `batch`. */
  abstract setQueues(queues: readonly PolicyQueue[]): void;
  /** Replaces the teams with their shares and allowances. */
  abstract setTeams(teams: readonly PolicyTeam[]): void;
  /** Adds a worker or changes its condition or capacity. */
  abstract setWorker(worker: PolicyWorker): void;
  /** Removes a worker whose tasks surely run no more. */
  abstract removeWorker(workerId: string): void;

  /**
   * Tells why no worker of this shard could ever hold a task of the job;
   * empty where one could.
   */
  abstract findObstacle(job: PolicyJob): string;
  /** Adds a job, or again those of its tasks that have to run again. */
  abstract submit(job: PolicyJob): void;
  /**
   * Forgets the waiting tasks of a job; running ones stay until `ended`.
   *
   * @returns the tasks that are placed
   */
  abstract cancel(jobId: string): readonly PlacedTask[];
  /** Counts a task that was found running, after a takeover. */
  abstract adopt(task: PlacedTask): void;
  /** Frees a placed task's reservation. */
  abstract ended(taskId: string, end: PlacedTaskEnd, nowMs: number): void;
  /** Learns from lagging usage. */
  abstract learn(samples: readonly UsageSample[], nowMs: number): void;

  /** Decides what to do now; each decision is counted before it is yielded. */
  abstract decide(nowMs: number): Generator<Decision>;

  /** Says in one line why a job waits or where it was placed. */
  abstract explain(jobId: string): string;
  /** What each team has and wants here. */
  abstract demand(): readonly TeamDemand[];
  /** How many tasks wait. */
  abstract waitingCount(): number;
}
