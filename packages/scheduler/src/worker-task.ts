/** One worker of a shard: its inventory, renewals, starts and stops. */
import {
  toFailure,
  type Clock,
  type ErrorKind,
  type EventRing,
  type Metrics,
  type Resources,
  type TimingSettings,
} from '@dragonflyward/common';
import type {PlacedTask, WorkerCondition} from '@dragonflyward/policy';
import type {
  Inventory,
  TaskReport,
  TaskStart,
  TaskUsage,
  WorkerClient,
} from '@dragonflyward/target';
import type {VmEntry} from '@dragonflyward/vms';
import PQueue from 'p-queue';
import {LeaseBook, WORKER_CALL_TIMEOUT_MS} from './lease-book.js';

const INVENTORY_RETRY_MS = 500;
const WATCH_WAIT_MS = 2_000;
const USAGE_PERIOD_MS = 5_000;
const CALLS_AT_ONCE = 4;
const FAILURES_TO_SILENCE = 2;
/** A start is void on the worker when it arrives later than this. */
export const START_WITHIN_MS = WORKER_CALL_TIMEOUT_MS;

/** How a start went. */
export type StartOutcome = 'started' | 'notRun' | 'unknown';

/** What the owner of a worker task is told. */
export abstract class WorkerObserver {
  /** Whether this process may act for the shard at this instant. */
  abstract mayAct(): boolean;
  /** The term under which this process acts. */
  abstract term(): number;
  /** The first inventory under this term; returns the tasks to keep. */
  abstract adopt(
    vm: VmEntry,
    reports: readonly TaskReport[],
  ): readonly PlacedTask[];
  /** A task ended, as the worker reports it. */
  abstract taskEnded(task: PlacedTask, report: TaskReport): void;
  /** A task surely does not run, and nothing is known of its outcome. */
  abstract taskLost(task: PlacedTask): void;
  /** The worker's condition or capacity changed. */
  abstract workerChanged(worker: WorkerTask): void;
  /** Usage came in. */
  abstract usage(samples: readonly TaskUsage[]): void;
}

/** The parts that a worker task needs. */
export interface WorkerTaskParts {
  readonly vm: VmEntry;
  readonly client: WorkerClient;
  readonly shard: string;
  readonly clock: Clock;
  readonly timing: TimingSettings;
  readonly events: EventRing;
  readonly metrics: Metrics;
  readonly observer: WorkerObserver;
}

/** Everything that goes to one worker; runs until it is stopped. */
export class WorkerTask {
  readonly leases: LeaseBook;
  /** Whether the worker answered an inventory under this term. */
  hasAnswered = false;
  private vm: VmEntry;
  private isListed = true;
  private isStopped = false;
  private isSilent = true;
  private failures = 0;
  private sequence = 0;
  private readonly calls = new PQueue({concurrency: CALLS_AT_ONCE});

  constructor(private readonly parts: WorkerTaskParts) {
    this.vm = parts.vm;
    this.leases = new LeaseBook(parts.timing.taskLeaseMs);
  }

  get workerId(): string {
    return this.vm.id;
  }

  get rack(): string {
    return this.vm.rack;
  }

  get capacity(): Resources {
    return this.vm.capacity;
  }

  /** Whether the worker may get new tasks. */
  get condition(): WorkerCondition {
    if (this.isSilent) return 'silent';
    if (!this.isListed || this.vm.state === 'leaving') return 'leaving';
    return 'ready';
  }

  /** Takes in what the list of VMs says; undefined where it was dropped. */
  setVm(vm: VmEntry | undefined): void {
    const before = this.condition;
    this.isListed = vm !== undefined;
    if (vm !== undefined) this.vm = vm;
    if (this.condition !== before) this.parts.observer.workerChanged(this);
  }

  /** Whether the worker was dropped from the list and nothing is left. */
  get isGone(): boolean {
    return !this.isListed && this.isSilent && this.leases.size === 0;
  }

  /** Ends all loops; calls under way end by themselves. */
  stop(): void {
    this.isStopped = true;
    this.calls.clear();
  }

  /** Runs until it is stopped: inventory first, then renewals and watching. */
  async run(): Promise<void> {
    await this.takeInventory();
    await Promise.all([
      this.renewLoop(),
      this.watchLoop(),
      this.usageLoop(),
      this.lapseLoop(),
    ]);
  }

  /**
   * Starts a task.
   *
   * @example
   * if ((await worker.start(task, start)) === 'notRun') engine.ended(id);
   */
  async start(task: PlacedTask, start: TaskStart): Promise<StartOutcome> {
    return this.calls.add(() => this.startNow(task, start));
  }

  /** Stops a task; true once it surely does not run. */
  async stopTask(taskId: string): Promise<boolean> {
    return this.calls.add(() =>
      this.callTask(taskId, term => this.parts.client.stop(term, taskId)),
    );
  }

  /** Saves a task's progress and stops it; true once it does not run. */
  async checkpoint(taskId: string): Promise<boolean> {
    return this.calls.add(() =>
      this.callTask(taskId, term => this.parts.client.checkpoint(term, taskId)),
    );
  }

  /** Changes a task's cap. */
  async throttle(taskId: string, size: Resources): Promise<boolean> {
    const {client} = this.parts;
    return this.calls.add(async () => {
      if (!this.mayAct()) return false;
      try {
        await client.throttle(this.parts.observer.term(), taskId, size);
        return true;
      } catch {
        this.parts.metrics.count('worker_calls_failed_total');
        return false;
      }
    });
  }

  private async startNow(
    task: PlacedTask,
    start: TaskStart,
  ): Promise<StartOutcome> {
    if (!this.mayAct() || this.condition !== 'ready') return 'notRun';
    const nowMs = this.parts.clock.monotonicMs();
    this.leases.noteStart(task, nowMs, START_WITHIN_MS);
    try {
      await this.parts.client.start(start);
      const confirmedMs = this.parts.clock.monotonicMs();
      this.leases.noteConfirmed(task.taskId, confirmedMs);
      return 'started';
    } catch (err) {
      return this.startFailed(task, toFailure(err).kind);
    }
  }

  private startFailed(task: PlacedTask, kind: ErrorKind): StartOutcome {
    this.parts.metrics.count('task_starts_failed_total');
    if (kind === 'targetRefused' || kind === 'staleTerm') {
      this.leases.remove(task.taskId);
      return 'notRun';
    }
    return 'unknown';
  }

  private async callTask(
    taskId: string,
    call: (term: number) => Promise<void>,
  ): Promise<boolean> {
    if (!this.mayAct()) return false;
    try {
      await call(this.parts.observer.term());
      this.leases.remove(taskId);
      return true;
    } catch {
      this.parts.metrics.count('worker_calls_failed_total');
      return false;
    }
  }

  private async takeInventory(): Promise<void> {
    const {client, observer, shard, clock} = this.parts;
    while (!this.isStopped && !this.hasAnswered) {
      if (!this.mayAct()) {
        await clock.sleep(INVENTORY_RETRY_MS);
        continue;
      }
      try {
        const list = await client.inventory(shard, observer.term());
        this.applyInventory(list);
      } catch {
        this.parts.metrics.count('inventory_failures_total');
        await clock.sleep(INVENTORY_RETRY_MS);
      }
    }
  }

  private applyInventory(list: Inventory): void {
    if (this.isStopped) return;
    const nowMs = this.parts.clock.monotonicMs();
    const kept = this.parts.observer.adopt(this.vm, list.tasks);
    for (const task of kept) this.leases.noteFound(task, nowMs);
    this.hasAnswered = true;
    this.sequence = list.sequence;
    this.noteAnswer();
    this.parts.observer.workerChanged(this);
  }

  /** Renews nothing on a silent worker, so that its leases run out. */
  private async renewLoop(): Promise<void> {
    const {clock, timing, client, observer} = this.parts;
    while (!this.isStopped) {
      await clock.sleep(timing.renewPeriodMs);
      if (this.isSilent || !this.mayAct()) continue;
      const taskIds = this.leases.noteRenewal(clock.monotonicMs());
      try {
        await client.renew(observer.term(), taskIds, timing.taskLeaseMs);
        this.noteAnswer();
      } catch {
        this.noteFailure();
      }
    }
  }

  private async watchLoop(): Promise<void> {
    const {clock, client} = this.parts;
    while (!this.isStopped) {
      const askedMs = clock.monotonicMs();
      if (!this.mayAct()) {
        await clock.sleep(INVENTORY_RETRY_MS);
        continue;
      }
      try {
        const list = await client.watch(this.sequence, WATCH_WAIT_MS);
        this.applyWatch(list, askedMs);
      } catch {
        this.noteFailure();
        await clock.sleep(INVENTORY_RETRY_MS);
      }
    }
  }

  private applyWatch(list: Inventory, askedMs: number): void {
    if (this.isStopped || !this.mayAct()) return;
    this.sequence = list.sequence;
    this.noteAnswer();
    const nowMs = this.parts.clock.monotonicMs();
    const listed = new Set<string>();
    for (const report of list.tasks) {
      listed.add(report.taskId);
      if (report.state === 'ended') this.reportEnd(report);
      else this.leases.noteConfirmed(report.taskId, nowMs);
    }
    for (const task of [...this.leases.missing(listed, askedMs)]) {
      this.reportLost(task);
    }
  }

  private reportEnd(report: TaskReport): void {
    const task = this.leases.find(report.taskId);
    if (task === undefined) return;
    this.leases.remove(report.taskId);
    this.parts.observer.taskEnded(task, report);
  }

  private reportLost(task: PlacedTask): void {
    this.leases.remove(task.taskId);
    this.parts.observer.taskLost(task);
  }

  private async usageLoop(): Promise<void> {
    const {clock, client, observer} = this.parts;
    while (!this.isStopped) {
      await clock.sleep(USAGE_PERIOD_MS);
      if (this.isStopped || this.isSilent || this.leases.size === 0) continue;
      try {
        observer.usage(await client.usage());
      } catch {
        this.parts.metrics.count('usage_failures_total');
      }
    }
  }

  private async lapseLoop(): Promise<void> {
    const {clock} = this.parts;
    while (!this.isStopped) {
      await clock.sleep(INVENTORY_RETRY_MS);
      if (this.isStopped || !this.mayAct()) continue;
      const nowMs = clock.monotonicMs();
      for (const task of [...this.leases.lapsed(nowMs)]) this.reportLost(task);
    }
  }

  private noteAnswer(): void {
    this.failures = 0;
    if (!this.isSilent) return;
    this.isSilent = false;
    this.parts.events.add('workerUp', {worker: this.workerId});
    this.parts.observer.workerChanged(this);
  }

  private noteFailure(): void {
    this.failures += 1;
    if (this.isSilent || this.failures < FAILURES_TO_SILENCE) return;
    this.isSilent = true;
    this.parts.events.add('workerLost', {worker: this.workerId});
    this.parts.observer.workerChanged(this);
  }

  private mayAct(): boolean {
    return !this.isStopped && this.parts.observer.mayAct();
  }
}
