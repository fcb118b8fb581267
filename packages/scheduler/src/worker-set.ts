/** The worker sessions of one shard, kept in sync with the list of VMs. */
import type {
  Clock,
  EventRing,
  Metrics,
  TimingSettings,
} from '@dragonflyward/common';
import type {ConfigState} from '@dragonflyward/state';
import type {WorkerClient} from '@dragonflyward/target';
import type {VmEntry} from '@dragonflyward/vms';
import type {Membership} from './membership.js';
import {WorkerSession, type WorkerObserver} from './worker-session.js';

/** Dependencies of a set of workers. */
export interface WorkerSetParts {
  readonly shard: string;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly timing: TimingSettings;
  readonly events: EventRing;
  readonly metrics: Metrics;
  /** Tells which failure domains are closed. */
  readonly config: Pick<ConfigState, 'isDomainClosed'>;
  readonly makeWorkerClient: (vm: VmEntry, shard: string) => WorkerClient;
}

/** Counts over the workers of a shard. */
export interface WorkerCounts {
  readonly workers: number;
  readonly workersReady: number;
  readonly tasksRunning: number;
}

/** One session for each worker of the shard. */
export class WorkerSet {
  private readonly workers = new Map<string, WorkerSession>();
  /** Whether the domain was closed when the observer was last told. */
  private wasClosed = false;

  constructor(
    private readonly parts: WorkerSetParts,
    private readonly observer: WorkerObserver,
  ) {}

  /**
   * Starts and ends worker sessions according to the list of VMs.
   *
   * @returns the workers that were removed
   * @example
   * for (const id of workers.sync()) engine.removeWorker(id);
   */
  sync(): readonly string[] {
    const {membership, shard} = this.parts;
    const listed = new Map<string, VmEntry>();
    for (const vm of membership.vmsIn(shard, 'worker')) listed.set(vm.id, vm);
    for (const [id, vm] of listed) {
      if (!this.workers.has(id)) this.add(vm);
    }
    for (const [id, worker] of this.workers) worker.setVm(listed.get(id));
    return this.removeFinished();
  }

  /**
   * Reports the workers' conditions if the domain was closed or opened since
   * the last call. A shard's workers are all in the domain of its name.
   */
  updateClosure(): void {
    const isClosed = this.isDomainClosed();
    if (isClosed === this.wasClosed) return;
    this.wasClosed = isClosed;
    const {events, shard} = this.parts;
    const kind = isClosed ? 'domainClosed' : 'domainOpened';
    events.add(kind, {shard}, `${this.counts().tasksRunning} tasks run`);
    for (const worker of this.list()) this.observer.workerChanged(worker);
  }

  /** The session of one worker. */
  get(workerId: string): WorkerSession | undefined {
    return this.workers.get(workerId);
  }

  /** All worker sessions. */
  list(): readonly WorkerSession[] {
    return [...this.workers.values()];
  }

  /** Counts for the status page. */
  counts(): WorkerCounts {
    const workers = this.list();
    const ready = workers.filter(worker => worker.condition === 'ready');
    const running = workers.reduce((sum, w) => sum + w.leases.size, 0);
    return {
      workers: workers.length,
      workersReady: ready.length,
      tasksRunning: running,
    };
  }

  /** Ends all worker sessions. */
  stop(): void {
    for (const worker of this.workers.values()) worker.stop();
  }

  private add(vm: VmEntry): void {
    const {shard, clock, timing, events, metrics} = this.parts;
    const {observer} = this;
    const client = this.parts.makeWorkerClient(vm, shard);
    const isDomainClosed = (): boolean => this.isDomainClosed();
    const common = {shard, clock, timing, events, metrics, isDomainClosed};
    const worker = new WorkerSession({vm, client, observer, ...common});
    this.workers.set(vm.id, worker);
    observer.workerChanged(worker);
    void worker.run();
  }

  private isDomainClosed(): boolean {
    return this.parts.config.isDomainClosed(this.parts.shard);
  }

  private removeFinished(): readonly string[] {
    const removed: string[] = [];
    for (const [id, worker] of this.workers) {
      if (!worker.isRemovable) continue;
      worker.stop();
      this.workers.delete(id);
      removed.push(id);
    }
    return removed;
  }
}
