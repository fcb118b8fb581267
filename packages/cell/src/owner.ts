/** The owner of the cell: decides, orders, and keeps progress in the store. */
import type {Clock, Metrics} from '@dragonflyward/common';
import {decode, encode} from 'cbor-x';
import {AdviceDesk, type AdviceLane} from './advice-desk.js';
import {CellState} from './cell-state.js';
import {
  ExecutorTask,
  MAX_LEASE_MS,
  type ExecutorHost,
} from './executor-task.js';
import type {ExecutorState} from './executor-state.js';
import {Follower} from './follower.js';
import type {JobState, StepState, TaskState} from './job-state.js';
import {taskName} from './job-state.js';
import {KEEP_FINAL_MS} from './job-table.js';
import type {JobRow} from './messages.js';
import {
  RIGHT_TO_ACT_MS,
  RIGHT_TO_START_MS,
  type Ownership,
} from './ownership.js';
import type {LogLine, Platform} from './platform.js';
import {ProgressWriter} from './progress-writer.js';
import {
  applyProgress,
  cancelKey,
  decodeJobsEntry,
  encodeProgress,
  jobKey,
  JOBS_TOPICS,
  PROGRESS_PREFIX,
  PROGRESS_TOPIC,
} from './records.js';
import {Review} from './review.js';
import {decideRound} from './schedule.js';
import type {RoundContext} from './round.js';
import {Signal} from './signal.js';
import {stateLines} from './state-lines.js';
import type {KeyedRecord, LogPage, PlacedRecord, Store} from './store.js';
import {isFinal, type CellConfig, type ExecutorInfo} from './types.js';

/** Key prefix of the records that name the executors in use. */
const EXECUTOR_PREFIX = 'e/';
/** Pause between reads of jobs that no VM has told of, in ms. */
const JOBS_PAUSE_MS = 600;
/** Pause between reads of what executors say of themselves, in ms. */
const EXECUTORS_PAUSE_MS = 400;
/** Pause after an append of progress, in which more is gathered, in ms. */
const COMMIT_GAP_MS = 10;
/** Time between two lines on the state of the cell, in ms. */
const STATE_LINE_MS = 5000;
/** Time between looks at what depends on time alone, in ms. */
const TICK_MS = 100;
/** Least time between two rounds of decisions, in ms. */
const ROUND_GAP_MS = 3;
/** Executors' clocks may be this much slower; stated by the platform. */
const SLOW_CLOCK_FACTOR = 1.03;
/** Added to the time after which a former owner's leases have ended, in ms. */
const FORMER_LEASE_SLACK_MS = 300;
/** A reading of the jobs that is older proves nothing about a job, in ms. */
const SURE_AGE_MS = 2000;

/** What an owner needs of its VM. */
export interface OwnerDeps {
  readonly platform: Platform;
  /** The store, with the help of peers. */
  readonly store: Store;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: LogLine;
  readonly ownership: Ownership;
  /** Whether the former owner has surely stopped. */
  readonly isFormerStopped: boolean;
  /** Whether every VM of the cell is connected and knows no newer owner. */
  readonly isLinkedToAll: () => boolean;
  readonly lanes: () => readonly AdviceLane[];
  /** Tells callers' VMs of changed phases. */
  readonly publish: (rows: readonly JobRow[]) => void;
}

/** Runs the cell under one term. */
export class Owner {
  readonly state: CellState;
  private readonly tasks = new Map<string, ExecutorTask>();
  private readonly desk: AdviceDesk;
  private readonly writer: ProgressWriter;
  private readonly jobsFollowers: readonly Follower[];
  private readonly executorsFollower: Follower;
  private readonly review: Review;
  private readonly dirtyJobs = new Set<JobState>();
  private readonly newExecutors = new Set<ExecutorState>();
  private readonly goneExecutors = new Set<string>();
  private readonly forgotten: string[] = [];
  private readonly phaseChanges = new Set<JobState>();
  /** Progress that was read before the job itself. */
  private readonly earlyProgress = new Map<string, Uint8Array>();
  /** Executors that a former owner may have used. */
  private readonly inherited = new Set<ExecutorState>();
  /** Jobs of the time before this owner's claim. */
  private readonly inheritedJobs = new Set<string>();
  private readonly claimedMs: number;
  private isActive = false;
  private isClosed = false;
  private stateLoggedMs = 0;
  private isRoundDue = false;
  private readonly commitSignal: Signal;

  constructor(private readonly deps: OwnerDeps) {
    const {clock, store, ownership, platform} = deps;
    this.claimedMs = clock.monotonicMs();
    this.commitSignal = new Signal(clock);
    this.state = new CellState(ownership.term, {
      onDirty: job => this.noteDirty(job),
      onPhase: job => this.notePhase(job),
      onStop: task => this.sendStop(task),
      onStray: (executor, name, run) => {
        void this.tasks.get(executor.info.id)?.stop(name, run, null);
      },
    });
    this.desk = new AdviceDesk(
      deps.lanes,
      () => clock.monotonicMs(),
      () => this.kick(),
    );
    const mayWrite = (): boolean => !this.isClosed && !ownership.isSuperseded;
    this.writer = new ProgressWriter(store, clock, ownership.term, mayWrite);
    this.jobsFollowers = JOBS_TOPICS.map(
      topic =>
        new Follower(
          store,
          clock,
          {topic, pauseMs: JOBS_PAUSE_MS, waitMs: 0},
          record => this.takeJobsRecord(record),
        ),
    );
    this.executorsFollower = new Follower(
      store,
      clock,
      {topic: platform.executorsTopic, pauseMs: EXECUTORS_PAUSE_MS, waitMs: 0},
      record => this.takeExecutorRecord(record),
      ids => this.noteListed(ids),
    );
    this.review = new Review(this.state, clock, deps.log, (task, percent) => {
      const executorId = task.executor?.info.id ?? '';
      void this.tasks.get(executorId)?.pace(task, percent);
    });
  }

  /**
   * Loads what is stored and starts to act.
   *
   * @returns false where another owner has taken over meanwhile
   * @throws StoreError
   */
  async start(config: CellConfig | null): Promise<boolean> {
    if (config !== null) this.state.setConfig(config);
    if (!(await this.load())) return false;
    this.isActive = true;
    this.deps.log('ownerActive', {
      term: this.state.term,
      jobs: this.state.jobs.size,
      executors: this.state.executors.size,
      tookMs: Math.round(this.deps.clock.monotonicMs() - this.claimedMs),
    });
    for (const follower of this.jobsFollowers) void follower.run();
    void this.executorsFollower.run();
    void this.commitLoop();
    void this.tickLoop();
    this.kick();
    return true;
  }

  /** Stops acting; orders that are under way are not awaited. */
  close(): void {
    this.isClosed = true;
    this.isActive = false;
    for (const follower of this.jobsFollowers) follower.stop();
    this.executorsFollower.stop();
    for (const task of this.tasks.values()) task.close();
    this.commitSignal.raise();
  }

  /** Takes over a configuration. */
  setConfig(config: CellConfig): void {
    this.state.setConfig(config);
    this.kick();
  }

  /** Takes in an accepted job that a VM has stored. */
  addStoredJob(value: Uint8Array): void {
    const entry = decodeJobsEntry(jobKey(''), value);
    if (entry?.kind !== 'job') return;
    this.addJob(entry.job);
  }

  /** Takes in a cancel that a VM has stored. */
  addStoredCancel(id: string): void {
    this.deps.log('jobCancelled', {job: id, by: 'notice'});
    this.state.cancelJob(id);
    this.kick();
  }

  /** The row of one job; null where there is none. */
  rowOf(id: string): JobRow | null {
    const job = this.state.jobs.get(id);
    return job === undefined ? null : toRow(job);
  }

  /** The rows of all jobs. */
  allRows(): readonly JobRow[] {
    return [...this.state.jobs.values()].map(toRow);
  }

  /** Whether a job that is not known here does not exist. */
  get isSure(): boolean {
    const readMs = Math.min(...this.jobsFollowers.map(each => each.freshMs));
    const ageMs = this.deps.clock.monotonicMs() - readMs;
    return this.isActive && ageMs < SURE_AGE_MS;
  }

  private async load(): Promise<boolean> {
    const [progress] = await Promise.all([
      this.loadProgress(),
      ...this.jobsFollowers.map(each => each.load()),
      this.executorsFollower.load(),
    ]);
    if (progress === null) return false;
    for (const record of progress.records) this.takeProgress(record);
    for (const id of this.state.jobs.keys()) this.inheritedJobs.add(id);
    this.deps.publish(this.allRows());
    return true;
  }

  /** Null where another owner has taken over meanwhile. */
  private async loadProgress(): Promise<LogPage | null> {
    if (!(await this.writer.open())) return null;
    return this.deps.store.newest(PROGRESS_TOPIC);
  }

  private takeProgress({key, value}: PlacedRecord): void {
    if (value.length === 0) return;
    if (key.startsWith(EXECUTOR_PREFIX)) {
      return this.inheritExecutor(decode(value as Buffer) as ExecutorInfo);
    }
    const id = key.slice(PROGRESS_PREFIX.length);
    const job = this.state.jobs.get(id);
    if (job === undefined) this.earlyProgress.set(id, value);
    else this.applyStored(job, value);
  }

  private applyStored(job: JobState, value: Uint8Array): void {
    if (isFinal(job.phase)) return;
    applyProgress(job, value);
    if (isFinal(job.phase)) this.dropOpenSteps(job);
  }

  private dropOpenSteps(job: JobState): void {
    for (const {steps} of job.occurrences) {
      for (const step of steps) this.state.openSteps.delete(step);
    }
  }

  /**
   * An executor that a former owner has used: it may run tasks, also where it
   * has started again since that was recorded.
   */
  private inheritExecutor(info: ExecutorInfo): void {
    const known = this.state.executors.get(info.id);
    const executor = known ?? this.state.setExecutor(info);
    if (known === undefined) executor.isListed = false;
    this.inherited.add(executor);
    this.newExecutors.delete(executor);
    this.openTask(executor);
  }

  private takeJobsRecord({key, value}: PlacedRecord): void {
    const entry = decodeJobsEntry(key, value);
    if (entry === null) return;
    if (entry.kind === 'job') return this.addJob(entry.job);
    if (entry.kind === 'forgotten') return this.state.forgetJob(entry.id);
    this.state.cancelJob(entry.id);
    if (this.isActive) this.kick();
  }

  private addJob(job: Parameters<CellState['addJob']>[0]): void {
    if (this.state.jobs.has(job.id)) return;
    const state = this.state.addJob(job);
    const progress = this.earlyProgress.get(job.id);
    if (progress !== undefined) this.applyStored(state, progress);
    this.earlyProgress.delete(job.id);
    this.deps.metrics.count('jobs_added_total');
    if (!this.isActive) return;
    this.notePhase(state);
    this.kick();
  }

  private takeExecutorRecord(record: PlacedRecord): void {
    if (record.value.length === 0) {
      const executor = this.state.executors.get(record.key);
      if (executor !== undefined) this.noteUnlisted(executor);
      return;
    }
    const info = this.deps.platform.decodeExecutor(record);
    if (info === null) return;
    const known = this.state.executors.get(info.id);
    const wasDraining = known?.info.isDraining ?? false;
    const moved = known !== undefined && known.info.port !== info.port;
    const executor = this.state.setExecutor(info);
    if (moved) this.reopenTask(executor);
    if (known === undefined) {
      this.newExecutors.add(executor);
      this.deps.log('executorListed', {
        executorId: info.id,
        service: info.service,
      });
      this.commitSignal.raise();
    }
    if (info.isDraining && !wasDraining) {
      this.deps.log('executorDraining', {
        executorId: info.id,
        remainingMs: info.drainRemainingMs,
      });
      this.review.leave(executor);
    }
    if (this.isActive && known === undefined) this.kick();
  }

  private noteListed(ids: ReadonlySet<string>): void {
    for (const executor of this.state.executors.values()) {
      if (!ids.has(executor.info.id)) this.noteUnlisted(executor);
    }
  }

  private noteUnlisted(executor: ExecutorState): void {
    if (!executor.isListed) return;
    executor.isListed = false;
    this.deps.log('executorUnlisted', {
      executorId: executor.info.id,
      tasks: executor.tasks.size,
    });
  }

  private openTask(executor: ExecutorState): void {
    const {id} = executor.info;
    if (this.tasks.has(id)) return;
    const client = this.deps.platform.connect(executor.info);
    const task = new ExecutorTask(executor, client, this.host());
    this.tasks.set(id, task);
    void task.run();
  }

  private reopenTask(executor: ExecutorState): void {
    const {id} = executor.info;
    const old = this.tasks.get(id);
    if (old === undefined) return;
    old.close();
    this.tasks.delete(id);
    this.openTask(executor);
  }

  private host(): ExecutorHost {
    const {clock, ownership, log} = this.deps;
    return {
      state: this.state,
      clock,
      token: ownership.term,
      mayAct: () => this.mayAct(),
      onFenced: () => {
        if (!ownership.isSuperseded) log('ownerFenced', {term: ownership.term});
        ownership.lose();
      },
      onChange: executor => {
        this.inherited.delete(executor);
        this.commitSignal.raise();
        this.kick();
      },
      onLine: log,
    };
  }

  private mayAct(): boolean {
    return !this.isClosed && this.deps.ownership.mayAct();
  }

  private mayStart(): boolean {
    const {ownership, isLinkedToAll} = this.deps;
    const isProven = ownership.isProvenWithin(RIGHT_TO_START_MS);
    return this.mayAct() && (isProven || isLinkedToAll());
  }

  private sendStop(task: TaskState): void {
    const executorId = task.executor?.info.id;
    if (executorId === undefined) return;
    void this.tasks.get(executorId)?.stop(taskName(task), task.run, task);
  }

  private noteDirty(job: JobState): void {
    this.dirtyJobs.add(job);
    this.commitSignal.raise();
  }

  private notePhase(job: JobState): void {
    if (isFinal(job.phase)) this.noteDirty(job);
    else this.phaseChanges.add(job);
    this.kick();
  }

  /** Asks for a round of decisions soon. */
  private kick(): void {
    if (this.isRoundDue || !this.isActive) return;
    this.isRoundDue = true;
    void this.roundSoon();
  }

  private async roundSoon(): Promise<void> {
    await this.deps.clock.sleep(ROUND_GAP_MS);
    this.isRoundDue = false;
    this.runRound();
  }

  private runRound(): void {
    const {clock, metrics} = this.deps;
    if (!this.mayStart()) return;
    const nowMs = clock.monotonicMs();
    const context = this.roundContext(nowMs);
    for (const decision of decideRound(this.state, context)) {
      if (decision.kind === 'start') {
        decision.tasks.forEach(t => this.sendStart(t));
      } else {
        this.desk.request(decision);
      }
    }
    metrics.record('round_us', (clock.monotonicMs() - nowMs) * 1000);
    this.publishPhases();
  }

  private roundContext(nowMs: number): RoundContext {
    return {
      nowMs,
      wallMs: this.deps.clock.wallMs(),
      isUnsure: step => this.isUnsure(step, nowMs),
    };
  }

  private sendStart(task: TaskState): void {
    const {executor, step} = task;
    if (executor === null) return;
    const {id} = executor.info;
    const ticket = step.tickets.get(id)?.ticket ?? '';
    this.deps.log('runStarted', {
      task: taskName(task),
      run: task.run,
      executorId: id,
    });
    this.deps.metrics.count('starts_total');
    void this.tasks.get(id)?.start(task, ticket);
  }

  /**
   * Whether a former owner may have started tasks of the step that this one
   * has not seen: on executors not yet reached, until the leases there that
   * it can have given have ended. While it may still start tasks, any task
   * may run on an executor that has started again and seen no token.
   */
  private isUnsure({occurrence}: StepState, nowMs: number): boolean {
    const {isFormerStopped} = this.deps;
    const startsUntilMs =
      this.claimedMs + RIGHT_TO_START_MS * SLOW_CLOCK_FACTOR;
    if (!isFormerStopped && nowMs < startsUntilMs) return true;
    if (this.inherited.size === 0) return false;
    const actsUntilMs =
      this.claimedMs + (isFormerStopped ? 0 : RIGHT_TO_ACT_MS);
    const leaseMs = MAX_LEASE_MS * SLOW_CLOCK_FACTOR + FORMER_LEASE_SLACK_MS;
    const isOld = this.inheritedJobs.has(occurrence.job.id);
    const boundMs = isOld || !isFormerStopped ? actsUntilMs + leaseMs : 0;
    if (nowMs > boundMs) return false;
    const {service} = occurrence.job.queue;
    for (const executor of this.inherited) {
      if (!executor.isReached && executor.info.service === service) return true;
    }
    return false;
  }

  private publishPhases(): void {
    if (this.phaseChanges.size === 0) return;
    const rows = [...this.phaseChanges].map(toRow);
    this.phaseChanges.clear();
    this.deps.publish(rows);
  }

  private async tickLoop(): Promise<void> {
    while (!this.isClosed) {
      await this.deps.clock.sleep(TICK_MS);
      this.tick();
    }
  }

  private tick(): void {
    if (!this.mayAct()) return;
    this.review.run();
    this.logState();
    this.dropGone();
    this.forgetOld();
    this.kick();
  }

  /** One line now and then that shows what the cell waits for. */
  private logState(): void {
    const nowMs = this.deps.clock.monotonicMs();
    if (nowMs - this.stateLoggedMs < STATE_LINE_MS) return;
    this.stateLoggedMs = nowMs;
    const context = this.roundContext(nowMs);
    for (const {event, fields} of stateLines(this.state, context)) {
      this.deps.log(event, fields);
    }
    for (const row of this.desk.takeReport()) {
      this.deps.log('adviceState', {...row});
    }
  }

  private dropGone(): void {
    for (const executor of [...this.state.executors.values()]) {
      const {isListed, isReached, tasks, strays, info} = executor;
      if (isListed || tasks.size > 0 || strays.size > 0) continue;
      const mayRun = this.inherited.has(executor) && !isReached;
      if (mayRun && !this.isPastLeases()) continue;
      this.deps.log('executorGone', {executorId: info.id});
      this.inherited.delete(executor);
      this.tasks.get(info.id)?.close();
      this.tasks.delete(info.id);
      this.state.executors.delete(info.id);
      this.newExecutors.delete(executor);
      this.goneExecutors.add(info.id);
      this.commitSignal.raise();
    }
  }

  private isPastLeases(): boolean {
    const leaseMs = MAX_LEASE_MS * SLOW_CLOCK_FACTOR + FORMER_LEASE_SLACK_MS;
    const sinceMs = this.deps.clock.monotonicMs() - this.claimedMs;
    return sinceMs > RIGHT_TO_ACT_MS + leaseMs;
  }

  private forgetOld(): void {
    const nowMs = this.deps.clock.monotonicMs();
    for (const job of this.state.jobs.values()) {
      if (job.finalMs === 0 || nowMs - job.finalMs < KEEP_FINAL_MS) continue;
      this.state.forgetJob(job.id);
      if (!this.state.jobs.has(job.id)) this.forgotten.push(job.id);
    }
  }

  private async commitLoop(): Promise<void> {
    while (!this.isClosed) {
      const hasWork = await this.commitOnce();
      if (hasWork) await this.deps.clock.sleep(COMMIT_GAP_MS);
      else await this.commitSignal.wait(TICK_MS);
    }
  }

  /** Stores what has changed, then acknowledges and shows it. */
  private async commitOnce(): Promise<boolean> {
    const acks = this.readAcks();
    const jobs = [...this.dirtyJobs];
    const executors = [...this.newExecutors];
    const gone = [...this.goneExecutors];
    const forgotten = this.forgotten.splice(0);
    this.dirtyJobs.clear();
    this.newExecutors.clear();
    this.goneExecutors.clear();
    const records = [
      ...jobs.map(progressRecord),
      ...executors.map(executorRecord),
      ...gone.map(id => tombstone(EXECUTOR_PREFIX + id)),
      ...forgotten.map(id => tombstone(PROGRESS_PREFIX + id)),
    ];
    if (records.length > 0 && !(await this.store(records))) return false;
    if (forgotten.length > 0) void this.forgetStored(forgotten);
    for (const executor of executors) this.openTask(executor);
    for (const ack of acks) this.acknowledge(ack);
    this.showFinal(jobs);
    return records.length > 0 || acks.length > 0;
  }

  private async store(records: readonly KeyedRecord[]): Promise<boolean> {
    const {clock, metrics, ownership} = this.deps;
    const sentMs = clock.monotonicMs();
    const isStored = await this.writer.write(records);
    metrics.record('commit_us', (clock.monotonicMs() - sentMs) * 1000);
    if (!isStored) ownership.lose();
    return isStored;
  }

  private async forgetStored(ids: readonly string[]): Promise<void> {
    const keys = ids.flatMap(id => [jobKey(id), cancelKey(id)]);
    try {
      for (const topic of JOBS_TOPICS) {
        await this.deps.store.append(topic, keys.map(tombstone));
      }
    } catch (err) {
      this.deps.log('forgetFailed', {jobs: ids.length, err: String(err)});
    }
  }

  private readAcks(): readonly Ack[] {
    const acks: Ack[] = [];
    for (const executor of this.state.executors.values()) {
      const {processedThrough, ackedThrough, bornMs} = executor;
      if (processedThrough === ackedThrough) continue;
      acks.push({executor, through: processedThrough, bornMs});
    }
    return acks;
  }

  private acknowledge({executor, through, bornMs}: Ack): void {
    if (executor.bornMs !== bornMs) return;
    executor.ackedThrough = Math.max(executor.ackedThrough, through);
    this.tasks.get(executor.info.id)?.poke();
  }

  private showFinal(jobs: readonly JobState[]): void {
    const final = jobs.filter(job => isFinal(job.phase) && job.finalMs === 0);
    if (final.length === 0) return;
    for (const job of final) {
      job.shownPhase = job.phase;
      job.finalMs = this.deps.clock.monotonicMs();
      const tookMs = this.deps.clock.wallMs() - job.acceptedMs;
      const {queue, organisation, phase} = job;
      this.deps.log('jobEnded', {
        job: job.id,
        phase,
        queue: queue.name,
        organisation,
        tookMs,
      });
    }
    this.deps.publish(final.map(toRow));
  }
}

interface Ack {
  readonly executor: ExecutorState;
  readonly through: number;
  readonly bornMs: number;
}

function toRow({id, shownPhase, queue, organisation}: JobState): JobRow {
  return {id, phase: shownPhase, queue: queue.name, organisation};
}

function progressRecord(job: JobState): KeyedRecord {
  return {key: PROGRESS_PREFIX + job.id, value: encodeProgress(job)};
}

function executorRecord({info}: ExecutorState): KeyedRecord {
  return {key: EXECUTOR_PREFIX + info.id, value: encode(info)};
}

function tombstone(key: string): KeyedRecord {
  return {key, value: new Uint8Array(0)};
}
