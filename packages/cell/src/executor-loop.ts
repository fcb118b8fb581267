/** Control loop of one executor: extends its lease and reads its inventory. */
import type {Clock} from '@dragonflyward/common';
import {runInBackground} from './background.js';
import type {CellState} from './cell-state.js';
import {runsLostBy} from './crash-suspects.js';
import {
  dueStops,
  isStopDue,
  recordStopAnswer,
  type DueStop,
} from './due-stops.js';
import {
  isInventory,
  type ExecutorClient,
  type Inventory,
  type OrderFailure,
  type OrderReply,
  type StartOrder,
} from './executor-client.js';
import {
  earliestClockMs,
  haveLeasesExpired,
  leastClockMs,
  recordClock,
  type ExecutorState,
} from './executor-state.js';
import type {FormerOwnerRuns} from './former-owner-runs.js';
import {InventoryReader} from './inventory-reader.js';
import {taskName, type TaskState} from './job-state.js';
import {
  RENEWAL_WAIT_MS,
  renewalPauseMs,
  renewalWaitMs,
} from './renewal-timing.js';
import {Signal} from './signal.js';
import type {StartObstacle} from './start-counts.js';

/** Lease of an executor, in ms; runs continue that long without an owner. */
export const EXECUTOR_LEASE_MS = 6000;
/** Such a renewal extends no lease; one that does has to follow soon, in ms. */
const HELD_WAIT_MS = 100;
/** Timeout of the answer in addition to that wait, in ms. */
const RENEWAL_TIMEOUT_MS = 300;
/** The same timeout after an unanswered renewal, in ms. */
const MISSED_RENEWAL_TIMEOUT_MS = 900;
/** Delay before an unanswered order is retried, in ms. */
const MISSED_RETRY_DELAY_MS = 150;
/** Delay after the first unanswered renewal, in ms. */
const FIRST_MISSED_RETRY_DELAY_MS = 10;
/** Longer than the time between two heartbeats of an owner, in ms. */
const MAX_LEASE_WAIT_MS = 800;
/**
 * An executor that the store does not list counts as gone after more than this
 * many unanswered renewals in a row.
 */
const MAX_MISSED_RENEWALS = 8;

/** How long an executor gets no new work after it refused a start, in ms. */
const REFUSAL_BACKOFF_MS: ReadonlyMap<OrderFailure, number> = new Map([
  ['unhealthy', 1000],
  ['noRoom', 200],
  ['late', 100],
  ['restarted', 50],
  ['notSent', 100],
  ['notAllowed', 0],
  ['badOrder', 500],
]);

/** Dependencies of the loop. */
export interface ExecutorHost {
  readonly state: CellState;
  readonly clock: Clock;
  readonly token: number;
  readonly formerOwnerRuns: Pick<
    FormerOwnerRuns,
    'recordAnswer' | 'recordReplaced' | 'inventoryDueMs' | 'leaseLeftMs'
  >;
  readonly mayAct: () => boolean;
  readonly mayStart: () => boolean;
  /** Resolves when the owner may start tasks again, or after the timeout. */
  readonly awaitStartLease: (timeoutMs: number) => Promise<void>;
  /** Whether the executor may get no start and no longer lease now. */
  readonly isHeld: (executorId: string) => boolean;
  /** Called when the executor has seen a higher token. */
  readonly onFenced: () => void;
  /** Called when the executor's state has changed. */
  readonly onChange: (executor: ExecutorState) => void;
  /** Called when a start was not carried out, or not surely. */
  readonly onStartFailed: (
    failure: OrderFailure | null,
    obstacle: StartObstacle | null,
  ) => void;
  readonly writeLog: (event: string, fields: Readonly<object>) => void;
}

/** An executor's answer to a start, or why the owner did not send it. */
interface StartAnswer {
  readonly reply: OrderReply;
  readonly obstacle: StartObstacle | null;
}

/** Sends orders to one executor and applies its answers. */
export class ExecutorLoop {
  private isClosed = false;
  /** Whether another process answers at the executor's address. */
  private isReplaced = false;
  private sentAck = 0;
  /** Start time of the executor process that `sentAck` refers to. */
  private ackedBornMs = 0;
  /** When the newest applied inventory was requested. */
  private inventorySentMs = -Infinity;
  /** Runs whose stop is being sent. */
  private readonly stopsInFlight = new Set<string>();
  private readonly signal: Signal;
  private readonly reader: InventoryReader;

  constructor(
    readonly executor: ExecutorState,
    private readonly client: ExecutorClient,
    private readonly host: ExecutorHost,
  ) {
    this.signal = new Signal(host.clock);
    this.reader = new InventoryReader(executor, host);
  }

  /** Renews the executor's lease until the loop is closed. */
  async run(): Promise<void> {
    while (!this.isClosed) {
      if (!this.host.mayAct()) {
        await this.signal.wait(RENEWAL_WAIT_MS);
        continue;
      }
      if (!this.needsRenewal()) {
        await this.signal.wait(Math.min(RENEWAL_WAIT_MS, this.dueInMs()));
        continue;
      }
      this.resumeStops();
      await this.renewOnce();
    }
  }

  /** Ends the loop. */
  close(): void {
    this.isClosed = true;
    this.client.close();
    this.wake();
  }

  /** Wakes the loop to check again whether a renewal is needed. */
  wake(): void {
    this.signal.raise();
  }

  /** Sends the start order of a task that is assigned to this executor. */
  async start(task: TaskState, ticket: string): Promise<void> {
    const {executor} = this;
    const {clock, token} = this.host;
    const {run} = task;
    const {bornMs} = executor;
    const leaseUntilMs = this.extendLease();
    const {payload} = task.step.occurrence.job.spec;
    const order = {
      task: taskName(task),
      run,
      payload,
      leaseUntilMs,
      bornMs,
      leastClockMs: leastClockMs(executor, clock.monotonicMs()),
      token,
      checkpoint: task.checkpoint,
      ticket,
    };
    const {reply, obstacle} = await this.sendStart(order, task);
    // The answer of a former process tells nothing of the clock of the next.
    const isSameProcess = executor.isReached && executor.bornMs === bornMs;
    if (!this.isClosed && isSameProcess) {
      recordClock(executor, reply.clockMs, clock.monotonicMs());
    }
    if (reply.failure === null) {
      this.host.state.recordJobStarted(task.step.occurrence.job);
    }
    if (task.executor !== executor || task.run !== run) return;
    if (reply.failure === null) this.handleStarted(task);
    else this.handleStartFailure(task, reply, obstacle);
    const isRestarted = reply.failure === 'restarted';
    if (isRestarted || task.isStartUnconfirmed) await this.refreshInventory();
    this.wake();
  }

  /**
   * Sends a start. If the owner's lease for starts has ended since the start
   * was decided, waits for the next one: placing the task anew would take new
   * tickets, and more of the owner's time.
   */
  private async sendStart(
    order: StartOrder,
    task: TaskState,
  ): Promise<StartAnswer> {
    const {clock, awaitStartLease} = this.host;
    let answer = await this.trySendStart(order, task);
    const untilMs = clock.monotonicMs() + MAX_LEASE_WAIT_MS;
    while (answer.obstacle === 'lease' && !this.isClosed) {
      const leftMs = untilMs - clock.monotonicMs();
      if (leftMs <= 0) break;
      await awaitStartLease(leftMs);
      answer = await this.trySendStart(order, task);
    }
    return answer;
  }

  private async trySendStart(
    order: StartOrder,
    task: TaskState,
  ): Promise<StartAnswer> {
    const obstacles: Array<StartObstacle | null> = [];
    const reply = await this.client.start(order, () => {
      const obstacle = this.findObstacle(task, order.run);
      obstacles.push(obstacle);
      return obstacle === null;
    });
    const isRefused = reply.failure === 'notAllowed';
    return {reply, obstacle: isRefused ? (obstacles.at(-1) ?? null) : null};
  }

  /** Why a start that was ordered may not be sent now; null if it may. */
  private findObstacle(task: TaskState, run: number): StartObstacle | null {
    const {executor, host} = this;
    if (this.isClosed || !host.mayStart()) return 'lease';
    if (host.isHeld(executor.info.id)) return 'held';
    if (host.state.isDomainClosed(executor.info.domain)) return 'closed';
    const {service} = task.step.occurrence.job.queue;
    if (executor.info.service !== service) return 'rerouted';
    return task.executor === executor && task.run === run ? null : 'moved';
  }

  /** Sends the stops that are due and not being sent. */
  sendStops(): void {
    for (const due of this.stopsToSend()) this.stopInBackground(due);
  }

  /**
   * Sends stops whose order was dropped, because the owner could not act for a
   * while or because the loop was replaced.
   */
  private resumeStops(): void {
    const executorId = this.executor.info.id;
    for (const due of this.stopsToSend()) {
      const {name, run} = due;
      this.host.writeLog('stopResumed', {task: name, run, executorId});
      this.stopInBackground(due);
    }
  }

  private stopInBackground(due: DueStop): void {
    runInBackground('stop', this.stop(due), this.host.writeLog);
  }

  private stopsToSend(): readonly DueStop[] {
    if (this.isClosed || !this.host.mayAct()) return [];
    const stops = [...dueStops(this.executor)];
    return stops.filter(
      ({name, run}) => !this.stopsInFlight.has(`${name}#${run}`),
    );
  }

  private async stop(due: DueStop): Promise<void> {
    const key = `${due.name}#${due.run}`;
    this.stopsInFlight.add(key);
    try {
      await this.sendStop(due);
    } finally {
      this.stopsInFlight.delete(key);
    }
    this.wake();
  }

  /** Sends a stop until it is answered; an inventory reports the end later. */
  private async sendStop(due: DueStop): Promise<void> {
    const {executor, host} = this;
    const {name, run, task} = due;
    while (!this.isClosed && host.mayAct() && isStopDue(due, executor)) {
      const reply = await this.client.stop(name, run, host.token);
      if (reply.failure === null) {
        recordStopAnswer(due, executor, host.clock.monotonicMs());
        if (task?.isStartUnconfirmed === true) await this.refreshInventory();
        break;
      }
      this.handleFailure(reply, `stop ${name}`);
      await host.clock.sleep(MISSED_RETRY_DELAY_MS);
    }
  }

  /** Sets the processor share that a run may use. */
  async limitCpu(task: TaskState, percent: number): Promise<void> {
    const reply = await this.client.limitCpu(
      taskName(task),
      task.run,
      percent,
      this.host.token,
    );
    if (reply.failure === null) task.percent = percent;
    else this.handleFailure(reply, `pace ${taskName(task)}`);
  }

  private needsRenewal(): boolean {
    this.resetAckOnRestart();
    const {tasks, orphans, isReached, missedRenewals, ackedThrough} =
      this.executor;
    if (tasks.size > 0 || orphans.size > 0 || missedRenewals > 0) return true;
    if (!isReached || this.sentAck < ackedThrough) return true;
    return this.dueInMs() <= 0;
  }

  /** The time until an inventory has to be requested; Infinity for never. */
  private dueInMs(): number {
    const {clock, formerOwnerRuns} = this.host;
    return formerOwnerRuns.inventoryDueMs(this.executor) - clock.monotonicMs();
  }

  /** A restarted executor numbers its ends from 1 again. */
  private resetAckOnRestart(): void {
    const {bornMs} = this.executor;
    if (bornMs === this.ackedBornMs) return;
    this.ackedBornMs = bornMs;
    this.sentAck = 0;
  }

  private async renewOnce(): Promise<void> {
    const {executor, host} = this;
    const waitMs = renewalWaitMs(executor, this.dueInMs());
    const isHeld = host.isHeld(executor.info.id);
    const sentMs = host.clock.monotonicMs();
    const reply = await this.sendRenewal(
      isHeld ? Math.min(waitMs, HELD_WAIT_MS) : waitMs,
    );
    if (this.isClosed || reply === null) return;
    if (!isInventory(reply)) {
      this.handleMissedRenewal(reply, sentMs);
      const isFirst = executor.missedRenewals === 1;
      return host.clock.sleep(
        isFirst ? FIRST_MISSED_RETRY_DELAY_MS : MISSED_RETRY_DELAY_MS,
      );
    }
  }

  /** Reads the inventory at once, in parallel to a waiting renewal. */
  private async refreshInventory(): Promise<void> {
    if (this.isClosed || !this.host.mayAct()) return;
    await this.sendRenewal(0);
  }

  /** Renews the lease and applies the inventory unless it is outdated. */
  private async sendRenewal(
    waitMs: number,
  ): Promise<Inventory | OrderReply | null> {
    const {executor, host} = this;
    this.resetAckOnRestart();
    const {ackedThrough, bornMs, isReached, missedRenewals} = executor;
    // Each acknowledgement is sent once: an executor whose restart is not yet
    // known numbers its ends from 1 again, and a repeated acknowledgement would
    // make it forget ends that this owner has not seen.
    const isAckNew =
      ackedThrough > this.sentAck && isReached && missedRenewals === 0;
    const sentMs = host.clock.monotonicMs();
    const leaseUntilMs = this.extendLease();
    const answerTimeoutMs =
      missedRenewals === 0 ? RENEWAL_TIMEOUT_MS : MISSED_RENEWAL_TIMEOUT_MS;
    const reply = await this.client.renewLease({
      token: host.token,
      ackedThrough: isAckNew ? ackedThrough : 0,
      waitMs,
      timeoutMs: waitMs + answerTimeoutMs,
      ...(Number.isNaN(leaseUntilMs) ? {} : {leaseUntilMs}),
      ...(isReached
        ? {bornMs, leastClockMs: leastClockMs(executor, sentMs)}
        : {}),
    });
    if (this.isClosed || !isInventory(reply)) return reply;
    // Answers may arrive out of order: an older inventory would list runs that
    // have ended since.
    if (sentMs < this.inventorySentMs) return null;
    this.inventorySentMs = sentMs;
    this.isReplaced = false;
    const hasChanges = this.reader.apply(reply, sentMs);
    if (isAckNew && executor.bornMs === bornMs) this.sentAck = ackedThrough;
    await host.clock.sleep(renewalPauseMs(hasChanges, this.dueInMs()));
    return reply;
  }

  /**
   * Returns the end of the lease for the next order; NaN for none. The lease is
   * extended only while the executor answers: a delayed order must not keep runs
   * alive on an executor that counts as lost.
   */
  private extendLease(): number {
    const {executor, host} = this;
    if (host.isHeld(executor.info.id)) return Number.NaN;
    if (Number.isNaN(executor.clockMs)) return Number.NaN;
    if (executor.missedRenewals > 0) {
      return executor.leaseUntilMs > 0 ? executor.leaseUntilMs : Number.NaN;
    }
    const nowMs = host.clock.monotonicMs();
    const untilMs = Math.round(
      earliestClockMs(executor, nowMs) + EXECUTOR_LEASE_MS,
    );
    executor.leaseUntilMs = Math.max(executor.leaseUntilMs, untilMs);
    return executor.leaseUntilMs;
  }

  private handleStarted(task: TaskState): void {
    this.executor.missedRenewals = 0;
    this.host.state.recordTaskStarted(task, this.host.clock.monotonicMs());
  }

  private handleStartFailure(
    task: TaskState,
    reply: OrderReply,
    obstacle: StartObstacle | null,
  ): void {
    const {state, clock, writeLog, onStartFailed} = this.host;
    const {failure} = reply;
    const executorId = this.executor.info.id;
    onStartFailed(failure, obstacle);
    writeLog('startFailed', {
      task: taskName(task),
      run: task.run,
      executorId,
      failure,
      ...(obstacle === null ? {} : {obstacle}),
    });
    if (failure === 'unknown' || failure === 'oldRun') {
      // Only a later inventory shows whether the executor runs the task.
      task.isStartUnconfirmed = true;
      if (task.phase === 'starting') task.answeredMs = clock.monotonicMs();
      return;
    }
    this.handleFailure(reply, `start ${taskName(task)}`);
    if (failure === 'badTicket') task.step.tickets.delete(executorId);
    const pauseMs = REFUSAL_BACKOFF_MS.get(failure ?? 'badOrder') ?? 0;
    const {executor} = this;
    const untilMs = clock.monotonicMs() + pauseMs;
    executor.avoidUntilMs = Math.max(executor.avoidUntilMs, untilMs);
    state.requeue(task);
    this.host.onChange(this.executor);
  }

  private handleFailure(reply: OrderReply, what: string): void {
    const {executor, host} = this;
    if (reply.failure === 'fenced') host.onFenced();
    // A late answer to a replaced loop says nothing of the new address.
    if (reply.failure !== 'otherLife' || this.isClosed) return;
    if (!this.isReplaced) {
      const executorId = executor.info.id;
      host.writeLog('executorReplaced', {executorId, what});
    }
    this.isReplaced = true;
    const {expired, hasDrained, bornMs} = executor;
    const current = hasDrained ? [] : runsLostBy(executor, Infinity);
    const lost = [...(expired?.runs ?? []), ...current];
    executor.expired = null;
    host.state.recordRestart(executor, bornMs, Infinity);
    host.state.requeueAll(executor);
    host.state.recordCrash(executor, lost, host.clock.monotonicMs());
    executor.isListed = false;
    host.onChange(executor);
  }

  private handleMissedRenewal(reply: OrderReply, sentMs: number): void {
    const {executor, host} = this;
    if (reply.failure === 'otherLife') this.recordReplaced(sentMs);
    if (reply.failure === 'otherLife' || reply.failure === 'fenced') {
      return this.handleFailure(reply, 'hold');
    }
    executor.missedRenewals += 1;
    executor.hasRefused ||= reply.isRefused === true;
    if (executor.missedRenewals === 1) {
      host.writeLog('executorSilent', {
        executorId: executor.info.id,
        failure: reply.failure,
      });
    }
    if (!haveLeasesExpired(executor, host.clock.monotonicMs())) return;
    if (executor.tasks.size > 0 || executor.orphans.size > 0) {
      host.writeLog('executorLeaseExpired', {
        executorId: executor.info.id,
        tasks: executor.tasks.size,
      });
      this.keepExpiredRuns();
      host.state.requeueAll(executor);
      host.onChange(executor);
    }
    if (executor.missedRenewals > MAX_MISSED_RENEWALS && !executor.isListed) {
      host.onChange(executor);
    }
  }

  private recordReplaced(sentMs: number): void {
    const {executor, host} = this;
    if (!host.formerOwnerRuns.recordReplaced(executor, sentMs)) return;
    const executorId = executor.info.id;
    host.writeLog('formerRunsEnded', {executorId, by: 'replaced'});
  }

  /**
   * Keeps what was lost in case the executor turns out to have crashed. Runs on
   * one that was only cut off ended with their leases.
   */
  private keepExpiredRuns(): void {
    const {executor} = this;
    if (executor.hasDrained || !executor.hasRefused) return;
    const {bornMs, expired} = executor;
    const runs = [...(expired?.runs ?? []), ...runsLostBy(executor, Infinity)];
    executor.expired = {bornMs, runs};
  }
}
