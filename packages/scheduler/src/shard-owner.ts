/** Runs a shard from the start of a term until the ownership is lost. */
import {
  NO_RESOURCES,
  subtractResources,
  type Clock,
  type EventRing,
  type Metrics,
  type Resources,
  type TimingSettings,
} from '@dragonflyward/common';
import type {LogRecord, StreamWriter} from '@dragonflyward/log';
import type {
  PlacedTask,
  PlacementEngine,
  PolicyTeam,
} from '@dragonflyward/policy';
import type {
  ConfigState,
  JobAcceptedRecord,
  ShardRecord,
  ShardState,
  TaskEndedRecord,
} from '@dragonflyward/state';
import type {TaskReport, TaskUsage, WorkerClient} from '@dragonflyward/target';
import type {VmEntry} from '@dragonflyward/vms';
import {Dispatcher} from './dispatcher.js';
import {boundUnconfirmedWork} from './unconfirmed-work.js';
import {JobTracker} from './job-tracker.js';
import {JobService} from './job-service.js';
import {JobRecords} from './job-records.js';
import type {Membership} from './membership.js';
import {TakeoverGuard} from './takeover-guard.js';
import {TaskOutcomes} from './task-outcomes.js';
import {WorkerSet} from './worker-set.js';
import {WorkerObserver, type WorkerSession} from './worker-session.js';

const WORKER_SYNC_MS = 500;

/** The ownership under which a process acts; checked before each send. */
export interface Ownership {
  readonly term: number;
  mayAct(): boolean;
}

/** Dependencies of an owner. */
export interface ShardOwnerParts {
  readonly shard: string;
  readonly ownership: Ownership;
  readonly shardState: ShardState;
  readonly writer: StreamWriter;
  readonly config: ConfigState;
  readonly engine: PlacementEngine;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly timing: TimingSettings;
  readonly events: EventRing;
  readonly metrics: Metrics;
  readonly makeWorkerClient: (vm: VmEntry, shard: string) => WorkerClient;
}

/** One term of ownership of one shard. */
export class ShardOwner extends WorkerObserver {
  readonly jobs: JobService;
  private readonly dispatcher: Dispatcher;
  private readonly outcomes: TaskOutcomes;
  private readonly records: JobRecords;
  private readonly tracker: JobTracker;
  private readonly guard: TakeoverGuard;
  private readonly workers: WorkerSet;
  private readonly ownedTerm: number;
  private isStopped = false;

  constructor(private readonly parts: ShardOwnerParts) {
    super();
    const {clock, timing, shardState} = parts;
    const term = parts.ownership.term;
    this.ownedTerm = term;
    this.workers = new WorkerSet(parts, this);
    this.tracker = new JobTracker(shardState, ({taskId, workerId}) => {
      const worker = this.workers.get(workerId);
      return worker?.leases.isConfirmed(taskId) ?? false;
    });
    this.records = new JobRecords({...parts, term});
    this.guard = this.makeGuard(clock.monotonicMs(), timing.taskLeaseMs);
    this.outcomes = new TaskOutcomes({
      ...parts,
      tracker: this.tracker,
      records: this.records,
      stopTask: task => {
        this.dispatcher.stopTask(task);
      },
    });
    this.dispatcher = new Dispatcher({
      ...parts,
      tracker: this.tracker,
      records: this.records,
      observer: this,
      workers: this.workers,
      outcomes: this.outcomes,
    });
    this.jobs = new JobService({
      ...parts,
      tracker: this.tracker,
      records: this.records,
      guard: this.guard,
      mayAct: () => this.mayAct(),
    });
  }

  /** The policy of this term. */
  get engine(): PlacementEngine {
    return this.parts.engine;
  }

  override mayAct(): boolean {
    const {ownership} = this.parts;
    if (this.isStopped || ownership.term !== this.ownedTerm) return false;
    return ownership.mayAct();
  }

  override term(): number {
    return this.ownedTerm;
  }

  /** Runs until it is stopped. */
  async run(): Promise<void> {
    const looping = this.dispatcher.run();
    while (!this.isStopped) {
      if (this.mayAct()) this.syncWorkers();
      await this.parts.clock.sleep(WORKER_SYNC_MS);
    }
    await looping;
  }

  /** Stops everything that this term started. */
  stop(): void {
    this.isStopped = true;
    this.dispatcher.stop();
    this.records.stop();
    this.workers.stop();
  }

  /** Handles a record of the shard's stream that was applied. */
  applied(record: LogRecord): void {
    if (this.isStopped) return;
    const data = record.data as ShardRecord;
    if (data.type === 'jobAccepted') return this.jobAccepted(data);
    if (data.type === 'jobEnded') return this.jobEnded(data.jobId);
    if (data.type === 'taskEnded') this.taskRecorded(data);
  }

  /** Whether tasks of earlier terms may run on workers without a report. */
  get isHoldActive(): boolean {
    return !this.guard.isHoldOver;
  }

  /**
   * Sets the teams. After a takeover, tasks that may run without having
   * been reported count against the allowances.
   */
  setTeams(teams: readonly PolicyTeam[]): void {
    const unconfirmed = this.unconfirmedWork();
    const reduced = teams.map(team => {
      const reserved = unconfirmed.get(team.team) ?? NO_RESOURCES;
      const allowance = subtractResources(team.allowance, reserved);
      return {...team, allowance};
    });
    this.engine.setTeams(reduced);
  }

  /** Counts for the status page. */
  summary(): Readonly<Record<string, number>> {
    return {
      ...this.workers.counts(),
      tasksWaiting: this.engine.countWaitingTasks(),
      workersUnanswered: this.guard.unansweredCount,
    };
  }

  override adopt(
    vm: VmEntry,
    reports: readonly TaskReport[],
  ): readonly PlacedTask[] {
    return this.outcomes.adopt(vm, reports);
  }

  override taskEnded(task: PlacedTask, report: TaskReport): void {
    this.outcomes.ended(task, report);
    this.dispatcher.wake();
  }

  override taskLost(task: PlacedTask): void {
    this.outcomes.lost(task);
    this.dispatcher.wake();
  }

  override workerChanged(worker: WorkerSession): void {
    const {workerId, rack, capacity, condition} = worker;
    this.engine.setWorker({workerId, rack, capacity, condition});
    this.dispatcher.wake();
  }

  override usage(samples: readonly TaskUsage[]): void {
    this.engine.recordUsage(samples, this.parts.clock.monotonicMs());
  }

  protected makeGuard(nowMs: number, leaseMs: number): TakeoverGuard {
    return new TakeoverGuard(nowMs, leaseMs);
  }

  private unconfirmedWork(): ReadonlyMap<string, Resources> {
    if (!this.isHoldActive) return new Map();
    const {membership, shardState} = this.parts;
    const isListed = this.guard.isListFresh(membership.listSentMs);
    const workers = isListed ? this.workers.list() : [];
    const known = workers.length > 0 ? workers : undefined;
    return boundUnconfirmedWork(shardState, this.tracker, known);
  }

  private syncWorkers(): void {
    for (const workerId of this.workers.sync()) {
      this.engine.removeWorker(workerId);
    }
    if (!this.guard.isHoldOver) this.tryEndHold();
  }

  /** Resumes the jobs of earlier terms once the takeover wait is over. */
  private tryEndHold(): void {
    const {membership, clock, shardState} = this.parts;
    const nowMs = clock.monotonicMs();
    const {listSentMs} = membership;
    const workers = this.workers.list();
    if (!this.guard.update(nowMs, listSentMs, workers)) return;
    for (const jobId of shardState.jobs.keys()) this.outcomes.resume(jobId);
    this.dispatcher.wake();
  }

  /** Submits a job of this term; earlier ones wait for the takeover guard. */
  private jobAccepted({term, job}: JobAcceptedRecord): void {
    const {jobId} = job;
    if (term !== this.ownedTerm) return;
    const entry = this.parts.shardState.jobs.get(jobId);
    if (entry === undefined) return;
    const subject = {job: jobId, team: entry.spec.team};
    this.parts.events.add('jobAccepted', subject);
    const all = this.tracker.unplacedIndexes(entry);
    this.engine.submit(this.tracker.toPolicyJob(entry, all));
    this.dispatcher.wake();
  }

  private jobEnded(jobId: string): void {
    const entry = this.parts.shardState.jobs.get(jobId);
    if (entry === undefined || entry.end === null) return;
    const {end, spec} = entry;
    const kind = end === 'cancelled' ? 'jobCancelled' : 'jobFinished';
    this.parts.events.add(kind, {job: jobId, team: spec.team}, end);
    this.parts.metrics.count(`jobs_ended_total{end="${end}"}`);
    this.engine.cancel(jobId);
    for (const task of [...this.tracker.tasksOf(jobId)]) {
      this.dispatcher.stopTask(task);
    }
    this.tracker.forget(entry);
    this.records.confirmEnd(jobId);
    this.dispatcher.wake();
  }

  private taskRecorded(data: TaskEndedRecord): void {
    for (const task of [...this.tracker.tasksOf(data.jobId)]) {
      if (task.taskIndex === data.taskIndex) this.dispatcher.stopTask(task);
    }
    this.records.endIfComplete(data.jobId);
  }
}
