/** One task for each executor: holds its lease, reads what runs and ended. */
import type {Clock} from '@dragonflyward/common';
import type {CellState} from './cell-state.js';
import {
  isInventory,
  type ExecutorClient,
  type Inventory,
  type OrderFailure,
  type OrderReply,
} from './executor-client.js';
import {
  clockNow,
  hasLapsed,
  noteClock,
  type ExecutorState,
} from './executor-state.js';
import {InventoryReader} from './inventory-reader.js';
import {taskName, type TaskState} from './job-state.js';
import {Signal} from './signal.js';

/** Time for which runs go on when their owner is lost, in ms. */
export const LEASE_MS = 6000;
/** How long an executor may wait for an end before it answers, in ms. */
const HOLD_WAIT_MS = 700;
/** How long the answer may take on top of that, in ms. */
const HOLD_SLACK_MS = 300;
/** The same after a hold that was not answered, in ms. */
const MISSED_SLACK_MS = 900;
/** The same where tail latencies have to be watched, in ms. */
const WATCH_WAIT_MS = 400;
/** The same while a start has no answer yet, in ms. */
const SOON_WAIT_MS = 100;
/** Least pause between two holds, in ms. */
const HOLD_GAP_MS = 15;
/** Pause where an answer brought nothing new, in ms. */
const NO_NEWS_GAP_MS = 60;
/** Pause after an order that was not answered, in ms. */
const MISSED_GAP_MS = 150;
/** Pause after the first hold that was not answered, in ms. */
const FIRST_MISSED_GAP_MS = 10;
/** An executor that answers no hold in a row this often counts as gone. */
const GONE_AFTER_MISSED = 8;

/** How long an executor that refused a start gets no new work, in ms. */
const REFUSAL_PAUSES_MS: ReadonlyMap<OrderFailure, number> = new Map([
  ['unhealthy', 1000],
  ['noRoom', 200],
  ['late', 100],
  ['badOrder', 500],
]);

/** What the task needs of its owner. */
export interface ExecutorHost {
  readonly state: CellState;
  readonly clock: Clock;
  readonly token: number;
  readonly mayAct: () => boolean;
  /** A higher token was seen there. */
  readonly onFenced: () => void;
  /** An inventory changed something. */
  readonly onChange: (executor: ExecutorState) => void;
  readonly onLine: (event: string, fields: Readonly<object>) => void;
}

/** Talks to one executor. */
export class ExecutorTask {
  private isClosed = false;
  private sentAck = 0;
  /** The life of the executor whose ends `sentAck` counts. */
  private ackedLifeMs = 0;
  /** When the newest list that was taken in was asked for. */
  private listedMs = -Infinity;
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

  /** Holds the executor until it is closed. */
  async run(): Promise<void> {
    while (!this.isClosed) {
      if (!this.host.mayAct() || !this.hasReason()) {
        await this.signal.wait(HOLD_WAIT_MS);
        continue;
      }
      await this.holdOnce();
    }
  }

  /** Ends the task. */
  close(): void {
    this.isClosed = true;
    this.client.close();
    this.poke();
  }

  /** Lets a waiting task look again whether it has a reason to hold. */
  poke(): void {
    this.signal.raise();
  }

  /** Sends the start of a task that is counted on this executor. */
  async start(task: TaskState, ticket: string): Promise<void> {
    const {executor} = this;
    const {clock, token} = this.host;
    const {run} = task;
    const leaseUntilMs = this.extendLease();
    const {payload} = task.step.occurrence.job.spec;
    const order = {
      task: taskName(task),
      run,
      payload,
      leaseUntilMs,
      token,
      checkpoint: task.checkpoint,
      ticket,
    };
    const reply = await this.client.start(order);
    noteClock(executor, reply.clockMs, clock.monotonicMs());
    if (task.executor !== executor || task.run !== run) return;
    if (reply.failure === null) this.noteStarted(task);
    else this.noteNotStarted(task, reply);
    if (task.isDoubtful) await this.look();
    this.poke();
  }

  /** Sends a stop until it is answered; the end comes with an inventory. */
  async stop(name: string, run: number, task: TaskState | null): Promise<void> {
    while (
      !this.isClosed &&
      this.host.mayAct() &&
      this.isThere(name, run, task)
    ) {
      const reply = await this.client.stop(name, run, this.host.token);
      if (reply.failure === null) {
        const isSame = task !== null && task.run === run;
        if (isSame) task.answeredMs = this.host.clock.monotonicMs();
        if (isSame && task.isDoubtful) await this.look();
        break;
      }
      this.noteFailure(reply, `stop ${name}`);
      await this.host.clock.sleep(MISSED_GAP_MS);
    }
    this.poke();
  }

  /** Sets how much of the processor a run may use. */
  async pace(task: TaskState, percent: number): Promise<void> {
    const reply = await this.client.pace(
      taskName(task),
      task.run,
      percent,
      this.host.token,
    );
    if (reply.failure === null) task.percent = percent;
    else this.noteFailure(reply, `pace ${taskName(task)}`);
  }

  private isThere(name: string, run: number, task: TaskState | null): boolean {
    if (this.executor.strays.has(`${name}#${run}`)) return true;
    return task?.executor === this.executor && task.run === run;
  }

  private hasReason(): boolean {
    this.noteLife();
    const {tasks, strays, isReached, missed, ackedThrough} = this.executor;
    if (tasks.size > 0 || strays.size > 0 || missed > 0) return true;
    return !isReached || this.sentAck < ackedThrough;
  }

  /** A new life of the executor, by its list or its entry, counts from 1. */
  private noteLife(): void {
    const {bornMs} = this.executor;
    if (bornMs === this.ackedLifeMs) return;
    this.ackedLifeMs = bornMs;
    this.sentAck = 0;
  }

  private async holdOnce(): Promise<void> {
    const {executor, host} = this;
    const reply = await this.sendHold(this.waitMs());
    if (this.isClosed || reply === null) return;
    if (!isInventory(reply)) {
      this.noteMissed(reply);
      const isFirst = executor.missed === 1;
      return host.clock.sleep(isFirst ? FIRST_MISSED_GAP_MS : MISSED_GAP_MS);
    }
  }

  /** Reads the list at once, beside the hold that waits for an end. */
  private async look(): Promise<void> {
    if (this.isClosed || !this.host.mayAct()) return;
    await this.sendHold(0);
  }

  /** Sends a hold and takes in its list; null where a newer one is known. */
  private async sendHold(
    waitMs: number,
  ): Promise<Inventory | OrderReply | null> {
    const {executor, host} = this;
    this.noteLife();
    const {ackedThrough, bornMs} = executor;
    // Sent once only: a new life that is not noticed yet counts from 1 again.
    const isAckNew = ackedThrough > this.sentAck && executor.missed === 0;
    const sentMs = host.clock.monotonicMs();
    const leaseUntilMs = this.extendLease();
    const slackMs = executor.missed === 0 ? HOLD_SLACK_MS : MISSED_SLACK_MS;
    const reply = await this.client.hold({
      token: host.token,
      ackedThrough: isAckNew ? ackedThrough : 0,
      waitMs,
      timeoutMs: waitMs + slackMs,
      ...(Number.isNaN(leaseUntilMs) ? {} : {leaseUntilMs}),
    });
    if (this.isClosed || !isInventory(reply)) return reply;
    // Answers may overtake each other: an older list would bring runs back.
    if (sentMs < this.listedMs) return null;
    this.listedMs = sentMs;
    const hasNews = this.reader.take(reply, sentMs);
    if (isAckNew && executor.bornMs === bornMs) this.sentAck = ackedThrough;
    await host.clock.sleep(hasNews ? HOLD_GAP_MS : NO_NEWS_GAP_MS);
    return reply;
  }

  private waitMs(): number {
    const {tasks, isReached, missed} = this.executor;
    if (!isReached || missed > 0) return 0;
    let waitMs = HOLD_WAIT_MS;
    for (const {phase, step} of tasks) {
      if (phase === 'starting') return SOON_WAIT_MS;
      if (phase === 'stopping') return SOON_WAIT_MS;
      if (step.spec.targetMs > 0) waitMs = WATCH_WAIT_MS;
    }
    return waitMs;
  }

  /**
   * The end of the lease for the next order. It moves on only while the
   * executor answers: a late order must not keep runs of a lost executor.
   */
  private extendLease(): number {
    const {executor, host} = this;
    if (Number.isNaN(executor.clockMs)) return Number.NaN;
    if (executor.missed > 0 && executor.leaseUntilMs > 0) {
      return executor.leaseUntilMs;
    }
    const nowMs = host.clock.monotonicMs();
    const untilMs = Math.round(clockNow(executor, nowMs) + LEASE_MS);
    executor.leaseUntilMs = Math.max(executor.leaseUntilMs, untilMs);
    return executor.leaseUntilMs;
  }

  private noteStarted(task: TaskState): void {
    this.executor.missed = 0;
    task.answeredMs = this.host.clock.monotonicMs();
    if (task.phase === 'starting') task.phase = 'running';
  }

  private noteNotStarted(task: TaskState, reply: OrderReply): void {
    const {state, clock, onLine} = this.host;
    const {failure} = reply;
    const executorId = this.executor.info.id;
    onLine('startFailed', {
      task: taskName(task),
      run: task.run,
      executorId,
      failure,
    });
    if (failure === 'unknown' || failure === 'oldRun') {
      // Only a later inventory tells whether a run of the task exists there.
      task.answeredMs = clock.monotonicMs();
      task.isDoubtful = true;
      return;
    }
    this.noteFailure(reply, `start ${taskName(task)}`);
    if (failure === 'badTicket') task.step.tickets.delete(executorId);
    const pauseMs = REFUSAL_PAUSES_MS.get(failure ?? 'badOrder') ?? 0;
    const {executor} = this;
    const untilMs = clock.monotonicMs() + pauseMs;
    executor.avoidUntilMs = Math.max(executor.avoidUntilMs, untilMs);
    state.requeue(task);
    this.host.onChange(this.executor);
  }

  private noteFailure(reply: OrderReply, what: string): void {
    if (reply.failure === 'fenced') this.host.onFenced();
    if (reply.failure !== 'otherLife') return;
    this.host.onLine('executorReplaced', {
      executorId: this.executor.info.id,
      what,
    });
    const {executor, host} = this;
    host.state.startNewLife(executor, executor.bornMs, Infinity);
    host.state.loseRuns(executor);
    this.executor.isListed = false;
    this.host.onChange(this.executor);
  }

  private noteMissed(reply: OrderReply): void {
    const {executor, host} = this;
    if (reply.failure === 'otherLife' || reply.failure === 'fenced') {
      return this.noteFailure(reply, 'hold');
    }
    executor.missed += 1;
    if (executor.missed === 1) {
      host.onLine('executorSilent', {
        executorId: executor.info.id,
        failure: reply.failure,
      });
    }
    if (!hasLapsed(executor, host.clock.monotonicMs())) return;
    if (executor.tasks.size > 0 || executor.strays.size > 0) {
      host.onLine('executorLapsed', {
        executorId: executor.info.id,
        tasks: executor.tasks.size,
      });
      host.state.loseRuns(executor);
      host.onChange(executor);
    }
    if (executor.missed > GONE_AFTER_MISSED && !executor.isListed) {
      host.onChange(executor);
    }
  }
}
