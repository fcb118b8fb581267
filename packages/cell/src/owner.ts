/** The owner of the cell: decides, orders, and keeps progress in the store. */
import type {Clock, Metrics} from '@dragonflyward/common';
import {AdviceDesk, type AdviceLane} from './advice-desk.js';
import {CellFeed} from './cell-feed.js';
import {CellState} from './cell-state.js';
import {ExecutorTask, type ExecutorHost} from './executor-task.js';
import type {ExecutorState} from './executor-state.js';
import type {Lookup} from './front.js';
import {FormerRuns} from './former-runs.js';
import type {JobState, TaskState} from './job-state.js';
import {taskName} from './job-state.js';
import {KEEP_FINAL_MS} from './job-table.js';
import type {JobRow} from './messages.js';
import {RIGHT_TO_START_MS, type Ownership} from './ownership.js';
import type {LogLine, Platform} from './platform.js';
import {ProgressCommit} from './progress-commit.js';
import {ProgressWriter} from './progress-writer.js';
import {decodeJobsEntry, jobKey} from './records.js';
import {Review} from './review.js';
import {decideRound} from './schedule.js';
import type {RoundContext} from './round.js';
import {stateLines} from './state-lines.js';
import type {Store} from './store.js';
import {isFinal, type CellConfig} from './types.js';

/** Time between two lines on the state of the cell, in ms. */
const STATE_LINE_MS = 5000;
/** Time between looks at what depends on time alone, in ms. */
const TICK_MS = 100;
/** Least time between two rounds of decisions, in ms. */
const ROUND_GAP_MS = 3;
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
  private readonly feed: CellFeed;
  private readonly commit: ProgressCommit;
  private readonly former: FormerRuns;
  private readonly review: Review;
  private readonly phaseChanges = new Set<JobState>();
  private readonly claimedMs: number;
  private isActive = false;
  private isClosed = false;
  private stateLoggedMs = 0;
  private isRoundDue = false;
  /** How long the newest round of decisions took, in ms. */
  private roundMs = 0;

  constructor(private readonly deps: OwnerDeps) {
    const {clock, store, ownership, isFormerStopped} = deps;
    this.claimedMs = clock.monotonicMs();
    this.former = new FormerRuns(this.claimedMs, isFormerStopped);
    this.state = this.newState();
    this.desk = new AdviceDesk(
      deps.lanes,
      () => clock.monotonicMs(),
      () => this.kick(),
    );
    const mayWrite = (): boolean => !this.isClosed && !ownership.isSuperseded;
    this.writer = new ProgressWriter(store, clock, ownership.term, mayWrite);
    this.commit = this.newCommit();
    this.feed = this.newFeed();
    this.review = new Review(this.state, clock, deps.log, (task, percent) => {
      const executorId = task.executor?.info.id ?? '';
      void this.tasks.get(executorId)?.pace(task, percent);
    });
  }

  private newState(): CellState {
    return new CellState(this.deps.ownership.term, {
      onDirty: job => this.commit.addJob(job),
      onPhase: job => this.notePhase(job),
      onStop: task => this.sendStop(task),
      onStray: (executor, name, run) => {
        void this.tasks.get(executor.info.id)?.stop(name, run, null);
      },
    });
  }

  private newCommit(): ProgressCommit {
    const {state, writer, deps} = this;
    return new ProgressCommit({
      ...deps,
      state,
      writer,
      onStoredExecutor: executor => this.openTask(executor),
      onAck: executor => this.tasks.get(executor.info.id)?.poke(),
      onFinal: jobs => deps.publish(jobs.map(toRow)),
    });
  }

  private newFeed(): CellFeed {
    const {state, writer, former, deps} = this;
    return new CellFeed({
      ...deps,
      state,
      writer,
      former,
      onJob: job => {
        if (this.isActive) this.notePhase(job);
      },
      onCancel: () => this.kick(),
      onNewExecutor: executor => {
        this.commit.addExecutor(executor);
        this.kick();
      },
      onFormerExecutor: executor => {
        this.commit.dropExecutor(executor);
        this.openTask(executor);
      },
      onMoved: executor => this.reopenTask(executor),
      onDraining: executor => this.review.leave(executor),
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
    if (!(await this.feed.load())) return false;
    this.deps.publish(this.allRows());
    this.isActive = true;
    this.deps.log('ownerActive', {
      term: this.state.term,
      jobs: this.state.jobs.size,
      executors: this.state.executors.size,
      tookMs: Math.round(this.deps.clock.monotonicMs() - this.claimedMs),
    });
    this.feed.start();
    void this.commit.run();
    void this.tickLoop();
    this.kick();
    return true;
  }

  /** Stops acting; orders that are under way are not awaited. */
  close(): void {
    this.isClosed = true;
    this.isActive = false;
    this.feed.stop();
    for (const task of this.tasks.values()) task.close();
    this.commit.close();
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
    this.feed.addJob(entry.job);
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

  /** Looks a job up; reads the store before it says that there is none. */
  async lookup(id: string): Promise<Lookup> {
    const known = this.rowOf(id);
    if (known !== null || !this.isActive) return {row: known, isSure: false};
    const isSure = await this.feed.readJobs();
    return {row: this.rowOf(id), isSure};
  }

  /** The rows of all jobs. */
  allRows(): readonly JobRow[] {
    return [...this.state.jobs.values()].map(toRow);
  }

  /** Whether all jobs that were stored a moment ago are known here. */
  get isSure(): boolean {
    const ageMs = this.deps.clock.monotonicMs() - this.feed.jobsFreshMs;
    return this.isActive && ageMs < SURE_AGE_MS;
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
        this.former.dropExecutor(executor);
        this.commit.poke();
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

  private notePhase(job: JobState): void {
    if (isFinal(job.phase)) this.commit.addJob(job);
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
    // Rounds take half of a slow processor at most.
    await this.deps.clock.sleep(Math.max(ROUND_GAP_MS, this.roundMs));
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
    this.roundMs = clock.monotonicMs() - nowMs;
    metrics.record('round_us', this.roundMs * 1000);
    this.publishPhases();
  }

  private roundContext(nowMs: number): RoundContext {
    return {
      nowMs,
      wallMs: this.deps.clock.wallMs(),
      isUnsure: step => this.former.mayRun(step, nowMs),
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
    const nowMs = this.deps.clock.monotonicMs();
    for (const executor of [...this.state.executors.values()]) {
      const {isListed, tasks, strays, info} = executor;
      if (isListed || tasks.size > 0 || strays.size > 0) continue;
      if (this.former.mayHold(executor, nowMs)) continue;
      this.deps.log('executorGone', {executorId: info.id});
      this.former.dropExecutor(executor);
      this.tasks.get(info.id)?.close();
      this.tasks.delete(info.id);
      this.state.executors.delete(info.id);
      this.commit.addGone(executor);
    }
  }

  private forgetOld(): void {
    const nowMs = this.deps.clock.monotonicMs();
    for (const job of this.state.jobs.values()) {
      if (job.finalMs === 0 || nowMs - job.finalMs < KEEP_FINAL_MS) continue;
      this.state.forgetJob(job.id);
      if (!this.state.jobs.has(job.id)) this.commit.addForgotten(job.id);
    }
  }
}

function toRow({id, shownPhase, queue, organisation}: JobState): JobRow {
  return {id, phase: shownPhase, queue: queue.name, organisation};
}
