/**
 * A simulated worker. It records overcommits and doesn't prevent them, so that
 * tests can find them in its records.
 */
import {
  addResources,
  fitsIn,
  NO_RESOURCES,
  type Resources,
} from '@dragonflyward/common';
import type {Inventory, TaskStart, TaskUsage} from '@dragonflyward/target';
import {
  jsonReply,
  numberParam,
  Service,
  SILENT_REPLY,
  type Call,
  type Reply,
} from './service.js';
import {Waiters} from './waiters.js';
import {WorkerTask} from './worker-task.js';

const ENDED_TASK_RETENTION_MS = 300_000;
const STALE_TERM_REPLY = jsonReply({error: 'staleTerm'}, 409);
const TOO_LATE_REPLY = jsonReply({error: 'tooLate'}, 409);

/** Faults that can be injected into a worker. */
export interface WorkerFaults {
  /** Whether calls with an older term than the highest seen are refused. */
  readonly fencing: boolean;
  readonly failAll: boolean;
  /** Accepts calls, but neither executes nor answers them. */
  readonly silent: boolean;
  readonly refuseStarts: boolean;
  readonly usageLagMs: number;
}

/** The state in which a worker starts: no faults. */
export const NO_WORKER_FAULTS: WorkerFaults = {
  fencing: true,
  failAll: false,
  silent: false,
  refuseStarts: false,
  usageLagMs: 2_000,
};

interface ShardTerm {
  readonly shard: string;
  readonly term: number;
}

interface LeaseRenewal extends ShardTerm {
  readonly taskIds: readonly string[];
  readonly leaseMs: number;
}

interface TimedStart extends TaskStart {
  readonly sentAtMs: number;
}

/**
 * Run time that checkpoints saved, by job and task index. All workers of the
 * process share it.
 */
const savedRunMsByTask = new Map<string, number>();

function logicalTaskId(taskId: string): string {
  return taskId.slice(0, taskId.lastIndexOf('.'));
}

/** A simulated worker whose tasks are timers. */
export class WorkerService extends Service {
  private readonly tasks = new Map<string, WorkerTask>();
  private readonly highestTerms = new Map<string, number>();
  private readonly waiters = new Waiters();
  private sequence = 0;
  private readonly overcommits: string[] = [];
  private faults = NO_WORKER_FAULTS;

  constructor(
    private readonly id: string,
    private readonly capacity: Resources,
  ) {
    super();
  }

  override async handle(call: Call): Promise<Reply> {
    if (call.path === '/admin') return this.handleAdmin(call);
    if (this.faults.silent) return SILENT_REPLY;
    if (call.path === '/watch') return this.watch(call);
    if (call.path === '/usage') return jsonReply({tasks: [...this.usage()]});
    if (this.hasStaleTerm(call.body as ShardTerm)) return STALE_TERM_REPLY;
    if (call.path === '/tasks') return this.startTask(call.body as TimedStart);
    if (call.path === '/renew') return this.renew(call.body as LeaseRenewal);
    if (call.path === '/inventory') return jsonReply(this.inventory());
    const [, taskId = '', action] = call.parts;
    return this.applyAction(taskId, action, call.body);
  }

  private hasStaleTerm({shard, term}: ShardTerm): boolean {
    const highestTerm = this.highestTerms.get(shard) ?? 0;
    this.highestTerms.set(shard, Math.max(highestTerm, term));
    return this.faults.fencing && term < highestTerm;
  }

  private startTask(start: TimedStart): Reply {
    if (this.tasks.has(start.taskId)) return jsonReply({});
    if (this.faults.refuseStarts) return jsonReply({error: 'refused'}, 503);
    const ageMs = Date.now() - start.sentAtMs;
    if (ageMs > start.startWithinMs) return TOO_LATE_REPLY;
    const savedMs = savedRunMsByTask.get(logicalTaskId(start.taskId)) ?? 0;
    const willFail = this.faults.failAll;
    const task = new WorkerTask(start, savedMs, willFail, () => {
      this.notifyWatchers();
      this.scheduleRemoval(start.taskId);
    });
    this.tasks.set(start.taskId, task);
    this.recordOvercommit();
    this.notifyWatchers();
    return jsonReply({});
  }

  private renew({taskIds, leaseMs}: LeaseRenewal): Reply {
    const unknown = taskIds.filter(id => !this.tasks.get(id)?.isRunning);
    for (const id of taskIds) {
      const task = this.tasks.get(id);
      if (task?.isRunning) task.renew(leaseMs);
    }
    return jsonReply({unknown});
  }

  private applyAction(
    taskId: string,
    action: string | undefined,
    body: unknown,
  ): Reply {
    const task = this.tasks.get(taskId);
    if (action === 'stop') task?.finish('stopped');
    if (action === 'checkpoint') this.checkpoint(task);
    if (action === 'throttle' && task !== undefined) {
      task.throttle((body as {readonly size: Resources}).size);
      this.recordOvercommit();
      this.notifyWatchers();
    }
    return jsonReply({});
  }

  private checkpoint(task: WorkerTask | undefined): void {
    if (!task?.isRunning) return;
    const taskKey = logicalTaskId(task.start.taskId);
    const ranMs = Date.now() - task.startMs;
    savedRunMsByTask.set(taskKey, (savedRunMsByTask.get(taskKey) ?? 0) + ranMs);
    task.finish('checkpointed');
  }

  private recordOvercommit(): void {
    const running = this.runningTasks();
    const used = running
      .map(task => task.size)
      .reduce(addResources, NO_RESOURCES);
    if (fitsIn(used, this.capacity)) return;
    const names = running.map(task => task.describe()).join(', ');
    this.overcommits.push(`${this.id} at ${Date.now()}: ${names}`);
  }

  private runningTasks(): readonly WorkerTask[] {
    return [...this.tasks.values()].filter(task => task.isRunning);
  }

  private notifyWatchers(): void {
    this.sequence += 1;
    this.waiters.wake();
  }

  private scheduleRemoval(taskId: string): void {
    setTimeout(
      () => this.tasks.delete(taskId),
      ENDED_TASK_RETENTION_MS,
    ).unref();
  }

  private async watch(call: Call): Promise<Reply> {
    const knownSequence = numberParam(call.query, 'sequence', 0);
    const waitMs = numberParam(call.query, 'waitMs', 0);
    if (knownSequence >= this.sequence) await this.waiters.wait(waitMs);
    return this.faults.silent ? SILENT_REPLY : jsonReply(this.inventory());
  }

  private inventory(): Inventory {
    const tasks = [...this.tasks.values()].map(task => task.toReport());
    const {id: workerId, capacity, sequence} = this;
    return {workerId, capacity, sequence, tasks};
  }

  private *usage(): Generator<TaskUsage> {
    const ageMs = this.faults.usageLagMs;
    for (const task of this.runningTasks()) {
      if (Date.now() - task.startMs < ageMs) continue;
      const {cpuMilli, memMb} = task.payload.usage ?? task.size;
      yield {taskId: task.start.taskId, cpuMilli, memMb, ageMs};
    }
  }

  private handleAdmin(call: Call): Reply {
    if (call.method === 'POST') {
      const change = call.body as Partial<WorkerFaults>;
      this.faults = {...this.faults, ...change};
      this.waiters.wake();
    }
    const {overcommits} = this;
    const runs = [...this.tasks.values()].map(task => task.toRun(this.id));
    return jsonReply({overcommits, started: runs.length, runs});
  }
}
