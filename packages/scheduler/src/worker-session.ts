/** The session with one worker: inventory, renewals, starts and stops. */
import type {
  Clock,
  EventRing,
  Metrics,
  Resources,
  TimingSettings,
} from '@dragonflyward/common';
import type {PlacedTask, WorkerCondition} from '@dragonflyward/policy';
import type {
  Inventory,
  TaskReport,
  TaskUsage,
  WorkerClient,
} from '@dragonflyward/target';
import type {VmEntry} from '@dragonflyward/vms';
import {LeaseTable} from './lease-table.js';
import {WorkerCalls} from './worker-calls.js';

const INVENTORY_RETRY_MS = 500;
const WATCH_WAIT_MS = 2_000;
const USAGE_PERIOD_MS = 5_000;
const FAILURES_UNTIL_SILENT = 2;

/** Receives what worker sessions report. */
export abstract class WorkerObserver {
  /** Whether this process may act for the shard at this instant. */
  abstract mayAct(): boolean;
  /** The term under which this process acts. */
  abstract term(): number;
  /** Handles the first inventory in this term; returns the tasks to keep. */
  abstract adopt(
    vm: VmEntry,
    reports: readonly TaskReport[],
  ): readonly PlacedTask[];
  /** Handles the worker's report that a task ended. */
  abstract taskEnded(task: PlacedTask, report: TaskReport): void;
  /** Handles a task that no longer runs and whose outcome is unknown. */
  abstract taskLost(task: PlacedTask): void;
  /** Handles a change of the worker's condition or capacity. */
  abstract workerChanged(worker: WorkerSession): void;
  /** Handles samples of resource usage. */
  abstract usage(samples: readonly TaskUsage[]): void;
}

/** Dependencies of a worker session. */
export interface WorkerSessionParts {
  readonly vm: VmEntry;
  readonly client: WorkerClient;
  readonly shard: string;
  readonly clock: Clock;
  readonly timing: TimingSettings;
  readonly events: EventRing;
  readonly metrics: Metrics;
  readonly observer: WorkerObserver;
  /** Whether the worker's failure domain is closed at this instant. */
  readonly isDomainClosed: () => boolean;
}

/** Communicates with one worker until it is stopped. */
export class WorkerSession {
  readonly leases: LeaseTable;
  /** Whether the worker answered an inventory request in this term. */
  hasAnswered = false;
  private vm: VmEntry;
  private isListed = true;
  private isStopped = false;
  private isSilent = true;
  private failures = 0;
  private sequence = 0;
  /** Sends the calls for single tasks. */
  readonly calls: WorkerCalls;

  constructor(private readonly parts: WorkerSessionParts) {
    this.vm = parts.vm;
    this.leases = new LeaseTable(parts.timing.taskLeaseMs);
    const {client, clock, metrics, observer} = parts;
    this.calls = new WorkerCalls({
      ...{client, clock, metrics, leases: this.leases},
      term: () => observer.term(),
      mayAct: () => this.mayAct(),
      mayStart: () => this.condition === 'ready',
    });
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

  /** Only a ready worker gets new tasks. */
  get condition(): WorkerCondition {
    if (this.isSilent) return 'silent';
    if (!this.isListed || this.vm.state === 'leaving') return 'leaving';
    return this.parts.isDomainClosed() ? 'closed' : 'ready';
  }

  /** Sets the worker's entry in the list of VMs; undefined if removed. */
  setVm(vm: VmEntry | undefined): void {
    const before = this.condition;
    this.isListed = vm !== undefined;
    if (vm !== undefined) this.vm = vm;
    if (this.condition !== before) this.parts.observer.workerChanged(this);
  }

  /** Whether the worker is unlisted, silent and has no leases left. */
  get isRemovable(): boolean {
    return !this.isListed && this.isSilent && this.leases.size === 0;
  }

  /** Ends all loops; calls in progress are not aborted. */
  stop(): void {
    this.isStopped = true;
    this.calls.stop();
  }

  /** Runs until it is stopped: first the inventory, then all other loops. */
  async run(): Promise<void> {
    await this.takeInventory();
    await Promise.all([
      this.renewLoop(),
      this.watchLoop(),
      this.usageLoop(),
      this.expiryLoop(),
    ]);
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
    for (const task of kept) this.leases.recordAdopted(task, nowMs);
    this.hasAnswered = true;
    this.sequence = list.sequence;
    this.recordAnswer();
    this.parts.observer.workerChanged(this);
  }

  /** Skips silent workers, so that their leases expire. */
  private async renewLoop(): Promise<void> {
    const {clock, timing, client, observer} = this.parts;
    while (!this.isStopped) {
      await clock.sleep(timing.renewPeriodMs);
      if (this.isSilent || !this.mayAct()) continue;
      const taskIds = this.leases.recordRenewal(clock.monotonicMs());
      try {
        await client.renew(observer.term(), taskIds, timing.taskLeaseMs);
        this.recordAnswer();
      } catch {
        this.recordFailure();
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
        this.recordFailure();
        await clock.sleep(INVENTORY_RETRY_MS);
      }
    }
  }

  private applyWatch(list: Inventory, askedMs: number): void {
    if (this.isStopped || !this.mayAct()) return;
    this.sequence = list.sequence;
    this.recordAnswer();
    const nowMs = this.parts.clock.monotonicMs();
    const listed = new Set<string>();
    for (const report of list.tasks) {
      listed.add(report.taskId);
      if (report.state === 'ended') this.reportEnd(report);
      else this.leases.recordConfirmed(report.taskId, nowMs);
    }
    for (const task of [...this.leases.absent(listed, askedMs)]) {
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

  private async expiryLoop(): Promise<void> {
    const {clock} = this.parts;
    while (!this.isStopped) {
      await clock.sleep(INVENTORY_RETRY_MS);
      if (this.isStopped || !this.mayAct()) continue;
      const nowMs = clock.monotonicMs();
      for (const task of [...this.leases.expired(nowMs)]) this.reportLost(task);
    }
  }

  private recordAnswer(): void {
    this.failures = 0;
    if (!this.isSilent) return;
    this.isSilent = false;
    this.parts.events.add('workerUp', {worker: this.workerId});
    this.parts.observer.workerChanged(this);
  }

  private recordFailure(): void {
    this.failures += 1;
    if (this.isSilent || this.failures < FAILURES_UNTIL_SILENT) return;
    this.isSilent = true;
    this.parts.events.add('workerLost', {worker: this.workerId});
    this.parts.observer.workerChanged(this);
  }

  private mayAct(): boolean {
    return !this.isStopped && this.parts.observer.mayAct();
  }
}
