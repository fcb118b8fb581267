/** What a shard's owner does from its activation until it loses the shard. */
import {
  NO_RESOURCES,
  subtractResources,
  type Clock,
  type EventRing,
  type EventSubject,
  type Metrics,
  type Resources,
  type TimingSettings,
} from '@dragonflyward/common';
import type {LogRecord, StreamWriter} from '@dragonflyward/log';
import type {
  PlacedTask,
  PlacementEngine,
  PolicyJob,
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
import {boundHeldWork} from './held-work.js';
import {JobBook, UNKNOWN_RESULT} from './job-book.js';
import {JobDesk} from './job-desk.js';
import {JobRecords} from './job-records.js';
import type {Membership} from './membership.js';
import {TakeoverGuard} from './takeover-guard.js';
import {WorkerSet} from './worker-set.js';
import {WorkerObserver, type WorkerTask} from './worker-task.js';

const WORKER_SYNC_MS = 500;

/** The right to act, checked before each send. */
export interface RightToAct {
  readonly term: number;
  mayAct(): boolean;
}

/** The parts that an owner needs. */
export interface ShardOwnerParts {
  readonly shard: string;
  readonly right: RightToAct;
  readonly fold: ShardState;
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
  readonly jobs: JobDesk;
  private readonly dispatcher: Dispatcher;
  private readonly records: JobRecords;
  private readonly book: JobBook;
  private readonly guard: TakeoverGuard;
  private readonly workers: WorkerSet;
  private readonly actTerm: number;
  private isStopped = false;

  constructor(private readonly parts: ShardOwnerParts) {
    super();
    const {clock, timing, fold} = parts;
    const term = parts.right.term;
    this.actTerm = term;
    this.book = new JobBook(fold);
    this.records = new JobRecords({...parts, term});
    this.guard = this.makeGuard(clock.monotonicMs(), timing.taskLeaseMs);
    this.workers = new WorkerSet(parts, this);
    this.dispatcher = new Dispatcher({
      ...parts,
      book: this.book,
      records: this.records,
      observer: this,
      workers: this.workers,
      runAgain: (task, why) => {
        this.runAgain(task, why);
      },
    });
    this.jobs = new JobDesk({
      ...parts,
      book: this.book,
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
    const {right} = this.parts;
    if (this.isStopped || right.term !== this.actTerm) return false;
    return right.mayAct();
  }

  override term(): number {
    return this.actTerm;
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

  /** Ends all that this term started. */
  stop(): void {
    this.isStopped = true;
    this.dispatcher.stop();
    this.records.stop();
    this.workers.stop();
  }

  /** Takes in a record of the shard's stream that took effect. */
  applied(record: LogRecord): void {
    if (this.isStopped) return;
    const data = record.data as ShardRecord;
    if (data.type === 'jobAccepted') return this.jobAccepted(data);
    if (data.type === 'jobEnded') return this.jobEnded(data.jobId);
    if (data.type === 'taskEnded') this.taskRecorded(data);
  }

  /** Whether tasks of earlier terms may run unseen. */
  get isHolding(): boolean {
    return !this.guard.isOver;
  }

  /**
   * Sets the teams; what may run unseen after a takeover counts against
   * their allowances.
   */
  setTeams(teams: readonly PolicyTeam[]): void {
    const held = this.heldWork();
    const reduced = teams.map(team => {
      const unseen = held.get(team.team) ?? NO_RESOURCES;
      const allowance = subtractResources(team.allowance, unseen);
      return {...team, allowance};
    });
    this.engine.setTeams(reduced);
  }

  /** Counts for the status page. */
  summary(): Readonly<Record<string, number>> {
    return {
      ...this.workers.counts(),
      tasksWaiting: this.engine.waitingCount(),
      workersUnanswered: this.guard.unansweredCount,
    };
  }

  override adopt(
    vm: VmEntry,
    reports: readonly TaskReport[],
  ): readonly PlacedTask[] {
    const kept: PlacedTask[] = [];
    for (const report of reports) {
      if (report.shard !== this.parts.shard) continue;
      const task = toPlacedTask(vm, report);
      if (task === undefined) continue;
      if (report.state === 'ended') this.foundEnded(task, report);
      else kept.push(this.foundRunning(task, report));
    }
    return kept;
  }

  override taskEnded(task: PlacedTask, report: TaskReport): void {
    const end = report.end ?? 'stopped';
    this.parts.metrics.count(`tasks_ended_total{end="${end}"}`);
    this.parts.events.add('taskFinished', subjectOf(task), end);
    if (end === 'succeeded') {
      this.release(task, 'succeeded');
      this.succeeded(task, report.result);
    } else if (end === 'failed') {
      this.release(task, 'failed');
      this.failed(task, report.result);
    } else {
      this.release(task, 'notRunning');
      this.runAgain(task, end);
    }
    this.dispatcher.wake();
  }

  override taskLost(task: PlacedTask): void {
    this.parts.metrics.count('tasks_lost_total');
    this.parts.events.add('taskLost', subjectOf(task));
    this.release(task, 'notRunning');
    this.runAgain(task, 'lost');
    this.dispatcher.wake();
  }

  override workerChanged(worker: WorkerTask): void {
    const {workerId, rack, capacity, condition} = worker;
    this.engine.setWorker({workerId, rack, capacity, condition});
    this.dispatcher.wake();
  }

  override usage(samples: readonly TaskUsage[]): void {
    this.engine.learn(samples, this.parts.clock.monotonicMs());
  }

  protected makeGuard(nowMs: number, leaseMs: number): TakeoverGuard {
    return new TakeoverGuard(nowMs, leaseMs);
  }

  private heldWork(): ReadonlyMap<string, Resources> {
    if (!this.isHolding) return new Map();
    const {membership, fold} = this.parts;
    const isListed = this.guard.isListNew(membership.listSentMs);
    const workers = isListed ? this.workers.list() : [];
    const known = workers.length > 0 ? workers : undefined;
    return boundHeldWork(fold, this.book, known);
  }

  private syncWorkers(): void {
    for (const workerId of this.workers.sync()) {
      this.engine.removeWorker(workerId);
    }
    if (!this.guard.isOver) this.tryEndHold();
  }

  /** After a takeover: goes on with what surely runs nowhere. */
  private tryEndHold(): void {
    const {membership, clock, fold} = this.parts;
    const nowMs = clock.monotonicMs();
    const {listSentMs} = membership;
    const workers = this.workers.list();
    if (!this.guard.update(nowMs, listSentMs, workers)) return;
    for (const jobId of fold.jobs.keys()) this.resumeJob(jobId);
    this.dispatcher.wake();
  }

  private resumeJob(jobId: string): void {
    const entry = this.parts.fold.jobs.get(jobId);
    if (entry === undefined || this.records.isEnding(entry)) return;
    const again: number[] = [];
    for (const index of this.book.missingIndexes(entry)) {
      const mayHaveRun = entry.starting.has(index) && !entry.spec.isIdempotent;
      if (mayHaveRun) this.records.recordResult(jobId, index, UNKNOWN_RESULT);
      else again.push(index);
    }
    if (again.length === 0) return this.records.endIfComplete(jobId);
    this.engine.submit(this.book.toPolicyJob(entry, again));
  }

  /** Jobs of earlier terms wait until the hold after a takeover ends. */
  private jobAccepted({term, job}: JobAcceptedRecord): void {
    const {jobId} = job;
    if (term !== this.actTerm) return;
    const entry = this.parts.fold.jobs.get(jobId);
    if (entry === undefined) return;
    const subject = {job: jobId, team: entry.spec.team};
    this.parts.events.add('jobAccepted', subject);
    const all = this.book.missingIndexes(entry);
    this.engine.submit(this.book.toPolicyJob(entry, all));
    this.dispatcher.wake();
  }

  private jobEnded(jobId: string): void {
    const entry = this.parts.fold.jobs.get(jobId);
    if (entry === undefined || entry.end === null) return;
    const {end, spec} = entry;
    const kind = end === 'cancelled' ? 'jobCancelled' : 'jobFinished';
    this.parts.events.add(kind, {job: jobId, team: spec.team}, end);
    this.parts.metrics.count(`jobs_ended_total{end="${end}"}`);
    this.engine.cancel(jobId);
    for (const task of [...this.book.tasksOf(jobId)]) {
      this.dispatcher.stopTask(task);
    }
    this.book.forget(entry);
    this.records.noteEnded(jobId);
    this.dispatcher.wake();
  }

  private taskRecorded(data: TaskEndedRecord): void {
    for (const task of [...this.book.tasksOf(data.jobId)]) {
      if (task.taskIndex === data.taskIndex) this.dispatcher.stopTask(task);
    }
    this.records.endIfComplete(data.jobId);
  }

  private foundRunning(task: PlacedTask, report: TaskReport): PlacedTask {
    const entry = this.parts.fold.jobs.get(task.jobId);
    this.engine.adopt(task);
    this.engine.submit(this.jobOfFound(task, report));
    this.book.notePlaced(task);
    this.parts.events.add('taskAdopted', subjectOf(task));
    const isNeeded = entry?.end === null && !entry.ended.has(task.taskIndex);
    if (!isNeeded) this.dispatcher.stopTask(task);
    return task;
  }

  /** The job of a found task, so that the policy knows its team. */
  private jobOfFound(task: PlacedTask, report: TaskReport): PolicyJob {
    const entry = this.parts.fold.jobs.get(task.jobId);
    if (entry !== undefined) return this.book.toPolicyJob(entry, []);
    return {
      jobId: task.jobId,
      team: report.team,
      queue: report.queue,
      taskIndexes: [],
      isGang: false,
      isService: false,
      isIdempotent: false,
      size: task.size,
      runMs: 0,
      acceptedMs: 0,
    };
  }

  /** What failed or was stopped is submitted again when the hold ends. */
  private foundEnded(task: PlacedTask, report: TaskReport): void {
    const entry = this.parts.fold.jobs.get(task.jobId);
    if (entry === undefined || this.records.isEnding(entry)) return;
    if (entry.ended.has(task.taskIndex)) return;
    if (report.end === 'succeeded') this.succeeded(task, report.result);
    const isFinal = report.end === 'failed' && !entry.spec.isIdempotent;
    if (isFinal) this.records.recordEnd(task.jobId, 'failed', report.result);
  }

  private release(
    task: PlacedTask,
    end: 'succeeded' | 'failed' | 'notRunning',
  ): void {
    this.book.noteGone(task);
    this.engine.ended(task.taskId, end, this.parts.clock.monotonicMs());
  }

  private succeeded(task: PlacedTask, result: string): void {
    const {jobId, taskIndex} = task;
    const entry = this.parts.fold.jobs.get(jobId);
    if (entry === undefined || this.records.isEnding(entry)) return;
    if (entry.spec.isService) return this.runAgain(task, 'ended');
    this.records.recordResult(jobId, taskIndex, result);
  }

  private failed(task: PlacedTask, result: string): void {
    const entry = this.parts.fold.jobs.get(task.jobId);
    if (entry === undefined || this.records.isEnding(entry)) return;
    const isRetried = entry.spec.isIdempotent && this.book.mayRetry(task);
    if (isRetried) return this.runAgain(task, 'failed');
    this.records.recordEnd(task.jobId, 'failed', result);
  }

  /** Runs a task again where it may; else its outcome is unknown. */
  private runAgain(task: PlacedTask, why: string): void {
    const {jobId, taskIndex} = task;
    const entry = this.parts.fold.jobs.get(jobId);
    if (entry === undefined || this.records.isEnding(entry)) return;
    if (entry.ended.has(taskIndex)) return;
    const mayRun = entry.spec.isIdempotent || why === 'notRun';
    if (!mayRun) {
      return this.records.recordResult(jobId, taskIndex, UNKNOWN_RESULT);
    }
    this.engine.submit(this.book.toPolicyJob(entry, [taskIndex]));
  }
}

function toPlacedTask(vm: VmEntry, report: TaskReport): PlacedTask | undefined {
  const {taskId, jobId, size} = report;
  const [indexText] = taskId.slice(jobId.length + 1).split('.');
  const taskIndex = Number(indexText);
  if (!Number.isInteger(taskIndex)) return undefined;
  return {taskId, jobId, taskIndex, workerId: vm.id, size};
}

function subjectOf(task: PlacedTask): EventSubject {
  return {job: task.jobId, task: task.taskId, worker: task.workerId};
}
