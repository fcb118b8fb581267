import {
  addResources,
  fitsIn,
  NO_RESOURCES,
  raise,
  type ManualClock,
  type Resources,
} from '@dragonflyward/common';
import {
  WorkerClient,
  type Inventory,
  type RenewReply,
  type TaskEnd,
  type TaskReport,
  type TaskStart,
  type TaskUsage,
} from '@dragonflyward/target';

const CALL_TIMEOUT_MS = 2_000;
const WATCH_STEP_MS = 50;

interface FakeTask {
  readonly start: TaskStart;
  readonly endMs: number;
  leaseEndMs: number;
  end: TaskEnd | null;
}

interface FakePayload {
  readonly runMs: number;
}

/** A worker on a manual clock, with injected faults. */
export class FakeWorker {
  readonly tasks = new Map<string, FakeTask>();
  isFencing = true;
  isSilent = false;
  isReplyLost = false;
  delayMs = 0;
  starts = 0;
  sequence = 0;
  private term = 0;

  constructor(
    readonly workerId: string,
    readonly capacity: Resources,
    readonly clock: ManualClock,
  ) {}

  /** The tasks that run now, without those whose lease or run time ended. */
  running(): readonly FakeTask[] {
    for (const task of this.tasks.values()) this.settle(task);
    return [...this.tasks.values()].filter(task => task.end === null);
  }

  get isOvercommitted(): boolean {
    const sizes = this.running().map(task => task.start.size);
    return !fitsIn(sizes.reduce(addResources, NO_RESOURCES), this.capacity);
  }

  start(start: TaskStart, sentMs: number): void {
    this.fence(start.term);
    const lateMs = this.clock.monotonicMs() - sentMs;
    if (lateMs > start.startWithinMs) raise('targetRefused', 'too late');
    if (this.tasks.has(start.taskId)) return;
    const nowMs = this.clock.monotonicMs();
    const {runMs} = start.payload as FakePayload;
    const times = {endMs: nowMs + runMs, leaseEndMs: nowMs + start.leaseMs};
    this.tasks.set(start.taskId, {start, ...times, end: null});
    this.starts += 1;
    this.sequence += 1;
  }

  renew(term: number, taskIds: readonly string[], leaseMs: number): void {
    this.fence(term);
    for (const task of this.running()) {
      if (!taskIds.includes(task.start.taskId)) continue;
      task.leaseEndMs = this.clock.monotonicMs() + leaseMs;
    }
  }

  end(term: number, taskId: string, end: TaskEnd): void {
    this.fence(term);
    const task = this.tasks.get(taskId);
    if (task === undefined) return;
    this.settle(task);
    task.end ??= end;
    this.sequence += 1;
  }

  list(term: number): Inventory {
    if (term > 0) this.fence(term);
    this.running();
    const tasks = [...this.tasks.values()].map(toReport);
    const {workerId, capacity, sequence} = this;
    return {workerId, capacity, tasks, sequence};
  }

  private fence(term: number): void {
    if (this.isFencing && term < this.term) raise('staleTerm', `${term}`);
    this.term = Math.max(this.term, term);
  }

  private settle(task: FakeTask): void {
    const nowMs = this.clock.monotonicMs();
    if (task.end !== null) return;
    if (nowMs >= task.leaseEndMs) task.end = 'leaseLapsed';
    else if (nowMs >= task.endMs) task.end = 'succeeded';
    if (task.end !== null) this.sequence += 1;
  }
}

function toReport(task: FakeTask): TaskReport {
  const {taskId, jobId, shard, team, queue, size} = task.start;
  const state = task.end === null ? 'running' : 'ended';
  const common = {taskId, jobId, shard, team, queue, size, state} as const;
  const {end} = task;
  return {...common, end, result: 'ok', leaseLeftMs: 0, runMs: 0};
}

/** A client of a fake worker; calls may be delayed or lost. */
export class FakeWorkerClient extends WorkerClient {
  constructor(
    private readonly worker: FakeWorker,
    private readonly shard: string,
  ) {
    super();
  }

  override async start(task: TaskStart): Promise<void> {
    const sentMs = this.worker.clock.monotonicMs();
    await this.call(() => {
      this.worker.start(task, sentMs);
    });
  }

  override async renew(
    term: number,
    taskIds: readonly string[],
    leaseMs: number,
  ): Promise<RenewReply> {
    await this.call(() => {
      this.worker.renew(term, taskIds, leaseMs);
    });
    return {unknown: []};
  }

  override async stop(term: number, taskId: string): Promise<void> {
    await this.call(() => {
      this.worker.end(term, taskId, 'stopped');
    });
  }

  override async checkpoint(term: number, taskId: string): Promise<void> {
    await this.call(() => {
      this.worker.end(term, taskId, 'checkpointed');
    });
  }

  override throttle(): Promise<void> {
    return Promise.resolve();
  }

  override inventory(shard: string, term: number): Promise<Inventory> {
    if (shard !== this.shard) return raise('badRequest', shard);
    return this.call(() => this.worker.list(term));
  }

  override async watch(sequence: number, waitMs: number): Promise<Inventory> {
    const {clock} = this.worker;
    const untilMs = clock.monotonicMs() + waitMs;
    for (;;) {
      const list = await this.call(() => this.worker.list(0));
      const isDue = clock.monotonicMs() >= untilMs;
      if (list.sequence !== sequence || isDue) return list;
      await clock.sleep(WATCH_STEP_MS);
    }
  }

  override usage(): Promise<readonly TaskUsage[]> {
    return Promise.resolve([]);
  }

  /** Delivers the call after the delay; then may lose its reply. */
  private async call<T>(body: () => T): Promise<T> {
    const {worker} = this;
    if (worker.isSilent) {
      await worker.clock.sleep(CALL_TIMEOUT_MS);
      return raise('targetLost', worker.workerId);
    }
    const {isReplyLost} = worker;
    await worker.clock.sleep(worker.delayMs);
    const value = body();
    if (!isReplyLost) return value;
    await worker.clock.sleep(CALL_TIMEOUT_MS);
    return raise('targetLost', worker.workerId);
  }
}
