/** The cell's owner: schedules tasks, commands executors, stores progress. */
import type {Clock, Metrics} from '@dragonflyward/common';
import {
  TicketRequester,
  type AdviceChannel,
  type TicketRequest,
} from './ticket-requester.js';
import {keepRunning, runInBackground} from './background.js';
import {CellFeed} from './cell-feed.js';
import {START_LEASE_MS, UNCONNECTED_LEASE_MS} from './claim-bounds.js';
import {CellState} from './cell-state.js';
import {describeLoad, type LoadDescription} from './load-description.js';
import {ExecutorLoop, type ExecutorHost} from './executor-loop.js';
import {reportCrash} from './crash-report.js';
import {
  describeDomain,
  type ClosedDomains,
  type DomainUse,
} from './evacuation/index.js';
import type {Ticket} from './executor-client.js';
import type {ExecutorState} from './executor-state.js';
import type {Lookup} from './job-frontend.js';
import {FormerOwnerRuns} from './former-owner-runs.js';
import type {NamedOrders, OrdersNotice} from './last-orders.js';
import {FirstStarts} from './first-starts.js';
import type {JobState, StepState, TaskState} from './job-state.js';
import {FINAL_TTL_MS} from './job-table.js';
import type {JobRow} from './messages.js';
import type {Ownership} from './ownership.js';
import type {LogFunction, Platform} from './platform.js';
import {ProgressCommit} from './progress-commit.js';
import {ProgressWriter} from './progress-writer.js';
import {decodeJobsRecord, jobKey} from './records.js';
import {markHeld} from './order-holds.js';
import {logStarts} from './run-lines.js';
import {RoundStatistics} from './round-times.js';
import {RuntimeMonitor} from './runtime-monitor.js';
import {decideRound} from './schedule.js';
import type {RoundContext, StartContext} from './round.js';
import {SilentExecutors} from './silent-executors.js';
import {StartCounts} from './start-counts.js';
import type {StartDecision} from './starts.js';
import {stateLines} from './state-lines.js';
import {stopNotice} from './stop-notice.js';
import type {Store} from './store.js';
import type {ExecutorSilence} from './tenure.js';
import {startWithTickets, TicketUse} from './tickets/index.js';
import {isFinal, type CellConfig} from './types.js';

/** An executor that misses one renewal may just be slow. */
const MISSED_RENEWALS_OF_SILENCE = 2;
/** Time between two log entries on the state of the cell, in ms. */
const STATE_LOG_INTERVAL_MS = 5000;
/** Time between checks of what changes with time alone, in ms. */
const TICK_INTERVAL_MS = 100;
/** Minimum delay before a scheduling round, in ms. */
const MIN_ROUND_DELAY_MS = 3;
/** A round starts after this many times the duration of the last one. */
const ROUND_DELAY_FACTOR = 2;
/**
 * Time for the start order to reach an executor in another region, and for the
 * end of the run to be reported, stored and published, in ms.
 */
const START_AND_REPORT_MS = 150;
/** Maximum delay before a scheduling round, in ms. */
const MAX_ROUND_DELAY_MS = 250;
/** An executor that can answer a new owner has done so by then, in ms. */
const ANSWER_TIME_MS = 300;
/** The same for an owner that may give orders at once, in ms. */
const HANDOVER_ANSWER_TIME_MS = 1000;
/** Time between checks of whether all have answered, in ms. */
const ANSWER_CHECK_MS = 20;
/** Usual time until a record is confirmed, in ms. */
const CONFIRMATION_MS = 100;
/** A VM that connects is told of jobs that ended within this time, in ms. */
const JUST_ENDED_MS = 10_000;
/** Maximum age of a read that shows that a job does not exist, in ms. */
const MAX_READ_AGE_MS = 2000;

/** Dependencies of an owner. */
export interface OwnerDeps {
  readonly platform: Platform;
  /** The store, called through peers where direct calls fail. */
  readonly store: Store;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: LogFunction;
  readonly ownership: Ownership;
  /** Whether every VM of the cell is connected and none knows a newer owner. */
  readonly isConnectedToAll: () => boolean;
  /** The failure domains in which no task may start. */
  readonly closedDomains: ClosedDomains;
  /** Whether the closures that the store holds are known. */
  readonly areClosuresKnown: () => boolean;
  readonly adviceChannels: () => readonly AdviceChannel[];
  /** Sends changed phases to the VMs that serve callers. */
  readonly publish: (rows: readonly JobRow[]) => void;
}

/** Schedules the cell's jobs under one term. */
export class Owner {
  readonly state: CellState;
  private readonly loops = new Map<string, ExecutorLoop>();
  private readonly ticketRequester: TicketRequester;
  private readonly writer: ProgressWriter;
  private readonly feed: CellFeed;
  private readonly commit: ProgressCommit;
  private readonly formerOwnerRuns: FormerOwnerRuns;
  private readonly silentExecutors: SilentExecutors;
  private readonly runtimeMonitor: RuntimeMonitor;
  private readonly claimedMs: number;
  private firstStarts: FirstStarts | null = null;
  private isActive = false;
  /** Whether it has loaded the stored state and may have given orders. */
  private isLoaded = false;
  private isClosed = false;
  /** When those that have not answered get no orders until they have. */
  private answersDueMs = Infinity;
  private lastStateLogMs = 0;
  /** Steps that waited for closed domains at the last such entry. */
  private closedWaitCount = 0;
  private isRoundDue = false;
  /** Duration of the last scheduling round, in ms. */
  private roundMs = 0;
  /** What happened since the last log entry on the state of the cell. */
  private readonly rounds = new RoundStatistics();
  private readonly starts = new StartCounts();
  private readonly ticketUse = new TicketUse();

  constructor(private readonly deps: OwnerDeps) {
    const {clock, store, ownership} = deps;
    this.claimedMs = clock.monotonicMs();
    this.state = this.createState();
    this.state.setClosedDomains(deps.closedDomains);
    this.formerOwnerRuns = new FormerOwnerRuns({
      claimedMs: this.claimedMs,
      ownership,
      executorsReadMs: () => this.feed.executorsReadMs,
    });
    const {state, formerOwnerRuns} = this;
    this.silentExecutors = new SilentExecutors({state, formerOwnerRuns, clock});
    this.ticketRequester = new TicketRequester(
      deps.adviceChannels,
      () => clock.monotonicMs(),
      (step, tickets, reservedIds) =>
        this.useTickets(step, tickets, reservedIds),
      deps.log,
    );
    const mayWrite = (): boolean => !this.isClosed && !ownership.isRevoked;
    this.writer = new ProgressWriter(
      store,
      clock,
      ownership.term,
      mayWrite,
      deps.log,
    );
    this.commit = this.createCommit();
    this.feed = this.createFeed();
    this.runtimeMonitor = new RuntimeMonitor(
      this.state,
      clock,
      deps.log,
      (task, percent) => {
        const executorId = task.executor?.info.id ?? '';
        const loop = this.loops.get(executorId);
        if (loop === undefined) return;
        runInBackground('limitCpu', loop.limitCpu(task, percent), deps.log);
      },
    );
  }

  private useTickets(
    step: StepState,
    tickets: readonly Ticket[],
    reservedIds: readonly string[],
  ): void {
    const {state} = this;
    this.ticketUse.recordArrival(step, tickets, state.executors);
    if (tickets.length > 0 && this.isActive && this.mayStart()) {
      const context = this.startContext(this.deps.clock.monotonicMs());
      for (const decision of startWithTickets(
        state,
        step,
        reservedIds,
        context,
      )) {
        this.carryOutStart(decision, context.nowMs);
      }
    }
    this.requestRound();
  }

  private createState(): CellState {
    return new CellState(this.deps.ownership.term, {
      onProgress: job => this.commit.addJob(job),
      onPhaseChange: job => this.recordPhase(job),
      onStop: ({executor}) =>
        this.loops.get(executor?.info.id ?? '')?.sendStops(),
      onOrphan: ({info}) => this.loops.get(info.id)?.sendStops(),
      onCrash: crash => reportCrash(crash, this.deps.log, this.deps.metrics),
    });
  }

  private createCommit(): ProgressCommit {
    const {state, writer, deps} = this;
    return new ProgressCommit({
      ...deps,
      state,
      writer,
      onExecutorStored: executor => this.startExecutorLoop(executor),
      onAck: executor => this.loops.get(executor.info.id)?.wake(),
      onServiceStored: () => this.requestRound(),
      onFinal: jobs => deps.publish(jobs.map(toRow)),
    });
  }

  private createFeed(): CellFeed {
    const {state, writer, formerOwnerRuns, deps} = this;
    return new CellFeed({
      ...deps,
      state,
      writer,
      formerOwnerRuns,
      onJob: job => {
        if (!this.isActive) return;
        this.recordPhase(job);
        this.requestRound();
      },
      onCancel: () => this.requestRound(),
      onNewExecutor: executor => {
        this.silentExecutors.recordUsed(executor);
        this.commit.addExecutor(executor);
        this.requestRound();
      },
      onFormerExecutor: executor => {
        this.commit.removeExecutor(executor);
        this.startExecutorLoop(executor);
      },
      onServerChanged: executor => this.restartExecutorLoop(executor),
      onCapacityGrown: executor => this.commit.addExecutor(executor),
      onDraining: executor => this.runtimeMonitor.drainExecutor(executor),
    });
  }

  /**
   * Loads the stored state and starts to schedule.
   *
   * @returns false if another owner has taken over in the meantime
   * @throws StoreError
   */
  async start(config: CellConfig | null): Promise<boolean> {
    if (config !== null) this.state.setConfig(config);
    runInBackground('beginOrders', this.beginOrders(), this.deps.log);
    if (!(await this.feed.load())) return false;
    // The cell may have been handed over while the load was under way.
    if (this.isClosed || this.deps.ownership.isRevoked) return false;
    this.isActive = true;
    this.isLoaded = true;
    const {clock, ownership} = this.deps;
    const answerMs = ownership.isHoldingAll
      ? ANSWER_TIME_MS
      : HANDOVER_ANSWER_TIME_MS;
    const activeMs = clock.monotonicMs();
    this.answersDueMs = activeMs + answerMs;
    this.firstStarts = this.createFirstStarts(activeMs);
    ownership.setHeldExecutors(() => this.describeHeld());
    this.deps.log('ownerActive', {
      term: this.state.term,
      jobs: this.state.jobs.size,
      executors: this.state.executors.size,
      ...this.describeLoad(),
    });
    this.feed.start();
    void keepRunning('commit', () => this.commit.run(), this.deps);
    void keepRunning('ownerTick', () => this.tickLoop(), this.deps);
    this.requestRound();
    return true;
  }

  private createFirstStarts(activeMs: number): FirstStarts {
    const {clock, log, ownership} = this.deps;
    const {claimedMs} = this;
    const leaseEndMs = Math.max(claimedMs, ownership.formerStartUntilMs);
    const activeWallMs = clock.wallMs();
    const times = {claimedMs, leaseEndMs, activeMs, activeWallMs};
    return new FirstStarts(times, log);
  }

  /**
   * Gives orders once it is stored which executors get none. After a claim that
   * is shortly before the former owner can start nothing more, or when all have
   * answered: those that have not get no orders. Where the former owner can
   * start nothing already, they have the usual time to answer.
   */
  private async beginOrders(): Promise<void> {
    const {clock, ownership} = this.deps;
    const leaseEndMs = ownership.formerStartUntilMs - CONFIRMATION_MS;
    const latestMs = this.claimedMs + START_LEASE_MS - CONFIRMATION_MS;
    const untilMs = ownership.isHoldingAll
      ? Math.max(leaseEndMs, latestMs)
      : leaseEndMs;
    while (clock.monotonicMs() < untilMs) {
      if (this.isLoaded && !this.isAnyAwaited()) break;
      const nowMs = clock.monotonicMs();
      if (nowMs >= Math.max(this.answersDueMs, leaseEndMs)) break;
      await clock.sleep(ANSWER_CHECK_MS);
    }
    if (this.isClosed) return;
    if (this.isLoaded && ownership.isHoldingAll) {
      this.answersDueMs = clock.monotonicMs();
    }
    const stored = ownership.beginOrders();
    // Tickets may be requested while the record is being stored. As executors
    // have answered, more waits are expected to end soon.
    this.state.endingOrder.invalidate();
    this.requestRound();
    await stored;
    this.requestRound();
  }

  /** The executors that get no orders, for the next owner. */
  private describeHeld(): readonly NamedOrders[] {
    const {clock, ownership} = this.deps;
    const areAnswersDue =
      ownership.isHoldingAll || clock.monotonicMs() >= this.answersDueMs;
    const told = ownership.describeFormerOrders().executors;
    const toldIds = new Set(told.map(({id}) => id));
    return this.silentExecutors.describeHeld(areAnswersDue, toldIds);
  }

  /** Whether an executor may yet answer that no record says to get no orders. */
  private isAnyAwaited(): boolean {
    const told = this.deps.ownership.describeFormerOrders().executors;
    const toldIds = new Set(told.map(({id}) => id));
    const awaited = [...this.state.executors.values()].filter(each =>
      this.formerOwnerRuns.isAwaited(each),
    );
    return awaited.some(({info}) => !toldIds.has(info.id));
  }

  /** Describes the load for the log: each topic, and what it waited for. */
  describeLoad(): LoadDescription {
    const tookMs = this.deps.clock.monotonicMs() - this.claimedMs;
    return describeLoad(this.feed.loadReports, tookMs);
  }

  /** How many of the executors with work do not answer. */
  get executorSilence(): ExecutorSilence {
    let silent = 0;
    let total = 0;
    for (const executor of this.state.executors.values()) {
      if (executor.tasks.size + executor.orphans.size === 0) continue;
      total += 1;
      if (executor.missedRenewals >= MISSED_RENEWALS_OF_SILENCE) silent += 1;
    }
    return {silent, total};
  }

  /** When the last page of the load arrived, or its creation; monotonic. */
  get loadProgressMs(): number {
    return this.feed.loadProgressMs;
  }

  /** Stops scheduling; does not wait for orders in flight. */
  close(): void {
    this.isClosed = true;
    this.isActive = false;
    this.feed.stop();
    for (const loop of this.loops.values()) loop.close();
    this.commit.close();
  }

  /**
   * What the next owner has to know of this one's orders and of earlier ones;
   * call it after `close`.
   *
   * @returns null if this owner has not started to act
   */
  describeOrders(): OrdersNotice | null {
    if (!this.isLoaded) return null;
    const nowMs = this.deps.clock.monotonicMs();
    const {state, formerOwnerRuns} = this;
    const silent = this.silentExecutors.describe();
    return stopNotice(silent, state, formerOwnerRuns, nowMs);
  }

  /** Applies a configuration. */
  setConfig(config: CellConfig): void {
    this.state.setConfig(config);
    this.requestRound();
  }

  /** Applies a change of the closed failure domains. */
  updateClosedDomains(): void {
    this.state.setClosedDomains(this.deps.closedDomains);
    this.requestRound();
  }

  /** How many steps waited only for closed domains at the last check. */
  get closedWaits(): number {
    return this.closedWaitCount;
  }

  /** Describes a failure domain for the log. */
  describeDomain(domain: string): DomainUse {
    return describeDomain(this.state, domain);
  }

  /**
   * Adds an accepted job that a VM has stored.
   *
   * @returns its id, or null if the value is not valid
   */
  addStoredJob(value: Uint8Array): string | null {
    const entry = decodeJobsRecord(jobKey(''), value);
    if (entry?.kind !== 'job') return null;
    this.feed.addJob(entry.job);
    return entry.job.id;
  }

  /** Applies a cancel that a VM has stored. */
  addStoredCancel(id: string): void {
    this.deps.log('jobCancelled', {job: id, by: 'notice'});
    this.state.cancelNotified(id);
    this.requestRound();
  }

  /** Returns the row of a job, or null if the job is not known. */
  findRow(id: string): JobRow | null {
    const job = this.state.jobs.get(id);
    return job === undefined ? null : toRow(job);
  }

  /** Looks up a job; reads the store before it reports the job as missing. */
  async lookup(id: string, timeoutMs = Infinity): Promise<Lookup> {
    const known = this.findRow(id);
    if (known !== null || !this.isActive) return {row: known, isSure: false};
    const isSure = await this.feed.readJobs(timeoutMs);
    return {row: this.findRow(id), isSure};
  }

  /** Returns the rows of the jobs that have not ended or have just ended. */
  currentRows(): readonly JobRow[] {
    const sinceMs = this.deps.clock.monotonicMs() - JUST_ENDED_MS;
    const current = [...this.state.jobs.values()].filter(
      ({visiblePhase, finalMs}) => !isFinal(visiblePhase) || finalMs >= sinceMs,
    );
    return current.map(toRow);
  }

  /** Whether the stored jobs were read recently enough to be complete. */
  get isJobListFresh(): boolean {
    const ageMs = this.deps.clock.monotonicMs() - this.feed.jobsFreshMs;
    return this.isActive && ageMs < MAX_READ_AGE_MS;
  }

  private startExecutorLoop(executor: ExecutorState): void {
    const {id} = executor.info;
    // It may have gone while its record was being stored.
    const isGone = this.state.executors.get(id) !== executor;
    if (isGone || this.loops.has(id)) return;
    const client = this.deps.platform.connect(executor.info);
    const loop = new ExecutorLoop(executor, client, this.executorHost());
    this.loops.set(id, loop);
    void keepRunning('executorLoop', () => loop.run(), this.deps);
  }

  private restartExecutorLoop(executor: ExecutorState): void {
    const {id} = executor.info;
    this.loops.get(id)?.close();
    this.loops.delete(id);
    // Another process listens there, until its list shows that it is the same.
    executor.isReached = false;
    // Nothing is started there before a later owner would look there.
    this.commit.addExecutor(executor);
  }

  private executorHost(): ExecutorHost {
    const {clock, ownership, log} = this.deps;
    return {
      state: this.state,
      clock,
      token: ownership.term,
      formerOwnerRuns: this.formerOwnerRuns,
      mayAct: () => this.mayAct(),
      mayStart: () => this.mayStart(),
      awaitStartLease: timeoutMs =>
        Promise.race([ownership.nextConfirmation(), clock.sleep(timeoutMs)]),
      isHeld: id => ownership.isHeld(id),
      onFenced: () => {
        if (!ownership.isRevoked) log('ownerFenced', {term: ownership.term});
        ownership.revoke();
      },
      onChange: () => {
        this.commit.wake();
        this.requestRound();
      },
      onStartFailed: (failure, obstacle) =>
        this.starts.recordFailure(failure, obstacle),
      writeLog: log,
    };
  }

  private mayAct(): boolean {
    if (this.isClosed || !this.deps.ownership.mayAct()) return false;
    return this.isConfirmedWithin(UNCONNECTED_LEASE_MS);
  }

  private mayStart(): boolean {
    if (!this.deps.areClosuresKnown()) return false;
    return this.mayAct() && this.isConfirmedWithin(START_LEASE_MS);
  }

  /** Whether a heartbeat is that recent, or no VM can have claimed unnoticed. */
  private isConfirmedWithin(boundMs: number): boolean {
    const {ownership, isConnectedToAll} = this.deps;
    return ownership.isConfirmedWithin(boundMs) || isConnectedToAll();
  }

  /** Publishes the phase of a job; a final one is stored before that. */
  private recordPhase(job: JobState): void {
    if (isFinal(job.phase)) {
      this.commit.addJob(job);
      this.requestRound();
    } else if (this.isActive) {
      this.deps.publish([toRow(job)]);
    }
  }

  /** Schedules a round unless one is already due. */
  private requestRound(): void {
    if (this.isRoundDue || !this.isActive) return;
    this.isRoundDue = true;
    runInBackground('round', this.runRoundAfterDelay(), this.deps.log);
  }

  private async runRoundAfterDelay(): Promise<void> {
    const dueMs = this.deps.clock.monotonicMs();
    // The delay limits rounds to a third of a processor, also on a slow one. A
    // freeze of the process makes a round long.
    const delayMs = Math.min(
      MAX_ROUND_DELAY_MS,
      ROUND_DELAY_FACTOR * this.roundMs,
    );
    await this.deps.clock.sleep(Math.max(MIN_ROUND_DELAY_MS, delayMs));
    this.isRoundDue = false;
    this.runRound(dueMs);
  }

  /** @param dueMs when the round was requested */
  private runRound(dueMs: number): void {
    const {clock, metrics} = this.deps;
    if (!this.mayStart()) {
      this.rounds.addSkipped();
      return;
    }
    const nowMs = clock.monotonicMs();
    const {formerOwnerRuns} = this;
    this.markHeld();
    const unreached = formerOwnerRuns.unreachedExecutors(nowMs);
    const context = this.roundContext(nowMs, unreached);
    const {organisations, jobs} = this.state;
    organisations.setUnknownUsage(
      formerOwnerRuns.unknownUsage(jobs.values(), nowMs, unreached),
    );
    const requests: TicketRequest[] = [];
    for (const decision of decideRound(this.state, context)) {
      if (decision.kind === 'start') {
        this.carryOutStart(decision, nowMs);
      } else {
        requests.push(decision);
      }
    }
    this.ticketRequester.replaceRequests(requests);
    this.roundMs = clock.monotonicMs() - nowMs;
    this.rounds.add(this.roundMs, nowMs - dueMs);
    metrics.record('round_us', this.roundMs * 1000);
  }

  private carryOutStart({tasks}: StartDecision, nowMs: number): void {
    this.firstStarts?.record(tasks, this.state.pendingSteps, nowMs);
    this.starts.recordStarts(tasks.length);
    this.ticketUse.recordStart(tasks);
    logStarts(tasks, this.deps.log);
    tasks.forEach(each => this.sendStart(each));
  }

  private markHeld(): void {
    const {clock, ownership} = this.deps;
    // Before, tickets would be requested for the first that answer alone.
    const isEnding =
      !ownership.isHoldingAll || clock.monotonicMs() >= this.answersDueMs;
    markHeld(this.state.executors.values(), ownership, isEnding);
  }

  private startContext(
    nowMs: number,
    unreached = this.formerOwnerRuns.unreachedExecutors(nowMs),
  ): StartContext {
    return {
      nowMs,
      wallMs: this.deps.clock.wallMs(),
      mayHaveUnknownRuns: task =>
        this.formerOwnerRuns.mayHaveUnknownRuns(task, nowMs, unreached),
    };
  }

  private roundContext(
    nowMs: number,
    unreached = this.formerOwnerRuns.unreachedExecutors(nowMs),
  ): RoundContext {
    return {
      ...this.startContext(nowMs, unreached),
      unknownRunsUntilMs: this.formerOwnerRuns.mayAnyWait(nowMs, unreached)
        ? task => this.formerOwnerRuns.expectedUntilMs(task, unreached)
        : null,
      leadMs: step => this.leadMs(step),
      ticketBudget: this.ticketRequester.newBudget(),
    };
  }

  /** How long a start of the step takes from now on. */
  private leadMs(step: StepState): number {
    const roundsMs = (1 + ROUND_DELAY_FACTOR) * this.roundMs;
    const ticketMs = this.ticketRequester.expectedWaitMs(step);
    return START_AND_REPORT_MS + roundsMs + ticketMs;
  }

  private sendStart(task: TaskState): void {
    const {executor, step} = task;
    if (executor === null) return;
    const {id} = executor.info;
    const ticket = step.tickets.get(id)?.ticket ?? '';
    this.deps.metrics.count('starts_total');
    const loop = this.loops.get(id);
    if (loop === undefined) return;
    runInBackground('start', loop.start(task, ticket), this.deps.log);
  }

  private async tickLoop(): Promise<void> {
    while (!this.isClosed) {
      await this.deps.clock.sleep(TICK_INTERVAL_MS);
      this.tick();
    }
  }

  private tick(): void {
    if (!this.mayAct()) return;
    this.runtimeMonitor.checkExecutors();
    // A VM is free again some time after a failed call; no event says so.
    this.ticketRequester.dispatch();
    this.logState();
    this.removeGoneExecutors();
    this.removeExpiredJobs();
    this.requestRound();
  }

  /** Logs at intervals what the cell waits for. */
  private logState(): void {
    const nowMs = this.deps.clock.monotonicMs();
    if (nowMs - this.lastStateLogMs < STATE_LOG_INTERVAL_MS) return;
    this.lastStateLogMs = nowMs;
    const context = this.roundContext(nowMs);
    let closedWaitCount = 0;
    for (const {event, fields, closedWaits} of stateLines(
      this.state,
      context,
      this.deps.closedDomains.list,
    )) {
      this.deps.log(event, fields);
      closedWaitCount += closedWaits;
    }
    this.closedWaitCount = closedWaitCount;
    if (!this.deps.areClosuresKnown()) this.deps.log('closuresUnknown', {});
    this.deps.log('roundState', {...this.rounds.takeReport()});
    this.deps.log('startState', {...this.starts.takeReport()});
    const wait = this.formerOwnerRuns.describeWait(nowMs);
    if (wait !== null) this.deps.log('formerRunsUnknown', wait);
    const ticketCounts = this.ticketUse.takeReport();
    for (const row of this.ticketRequester.takeReport()) {
      this.deps.log('adviceState', {...row, ...ticketCounts.get(row.queue)});
    }
  }

  private removeGoneExecutors(): void {
    const nowMs = this.deps.clock.monotonicMs();
    for (const executor of [...this.state.executors.values()]) {
      const {isListed, tasks, orphans, info} = executor;
      if (isListed || tasks.size > 0 || orphans.size > 0) continue;
      if (this.formerOwnerRuns.mayHoldUnknownRuns(executor, nowMs)) continue;
      this.deps.log('executorGone', {executorId: info.id});
      this.silentExecutors.recordGone(executor);
      this.state.crashes.recordGone(executor, nowMs);
      this.formerOwnerRuns.removeExecutor(executor);
      this.loops.get(info.id)?.close();
      this.loops.delete(info.id);
      this.state.executors.delete(info.id);
      this.commit.addGoneExecutor(executor);
    }
  }

  private removeExpiredJobs(): void {
    const nowMs = this.deps.clock.monotonicMs();
    for (const job of this.state.jobs.values()) {
      // It had ended when this owner loaded it.
      if (job.finalMs === 0 && isFinal(job.visiblePhase)) {
        job.finalMs = nowMs - JUST_ENDED_MS;
      }
      if (job.finalMs === 0 || nowMs - job.finalMs < FINAL_TTL_MS) continue;
      this.state.removeJob(job.id);
      if (!this.state.jobs.has(job.id)) this.commit.addExpiredJob(job.id);
    }
  }
}

function toRow(job: JobState): JobRow {
  const {id, visiblePhase: phase, queue, organisation, bytes} = job;
  return {id, phase, queue: queue.name, organisation, bytes};
}
