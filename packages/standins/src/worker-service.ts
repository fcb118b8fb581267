/** The stand-in of a worker: it records breaches and prevents none. */
import {
  addResources,
  fitsIn,
  NO_RESOURCES,
  type Resources,
} from '@dragonflyward/common';
import type {Inventory, TaskStart, TaskUsage} from '@dragonflyward/target';
import {
  json,
  numberOf,
  Service,
  SILENT,
  type Call,
  type Reply,
} from './service.js';
import {Waiters} from './waiters.js';
import {WorkerTask} from './worker-task.js';

const KEEP_ENDED_MS = 300_000;
const STALE_TERM = json({error: 'staleTerm'}, 409);
const TOO_LATE = json({error: 'tooLate'}, 409);

/** The fault switches of a worker. */
export interface WorkerSwitches {
  readonly fencing: boolean;
  readonly failAll: boolean;
  /** Takes calls and carries out none. */
  readonly silent: boolean;
  readonly refuseStarts: boolean;
  readonly usageLagMs: number;
}

/** How a worker starts. */
export const NO_WORKER_FAULTS: WorkerSwitches = {
  fencing: true,
  failAll: false,
  silent: false,
  refuseStarts: false,
  usageLagMs: 2_000,
};

interface Owned {
  readonly shard: string;
  readonly term: number;
}

interface Renewal extends Owned {
  readonly taskIds: readonly string[];
  readonly leaseMs: number;
}

interface TimedStart extends TaskStart {
  readonly sentAtMs: number;
}

/** Run time that checkpoints saved, by job and task index. */
const savedRunMs = new Map<string, number>();

function slotOf(taskId: string): string {
  return taskId.slice(0, taskId.lastIndexOf('.'));
}

/** A worker that runs tasks as timers. */
export class WorkerService extends Service {
  private readonly tasks = new Map<string, WorkerTask>();
  private readonly terms = new Map<string, number>();
  private readonly waiters = new Waiters();
  private sequence = 0;
  private readonly overcommits: string[] = [];
  private switches = NO_WORKER_FAULTS;

  constructor(
    private readonly id: string,
    private readonly capacity: Resources,
  ) {
    super();
  }

  override async handle(call: Call): Promise<Reply> {
    if (call.path === '/admin') return this.admin(call);
    if (this.switches.silent) return SILENT;
    if (call.path === '/watch') return this.watch(call);
    if (call.path === '/usage') return json({tasks: [...this.usage()]});
    if (this.isStale(call.body as Owned)) return STALE_TERM;
    if (call.path === '/tasks') return this.start(call.body as TimedStart);
    if (call.path === '/renew') return this.renew(call.body as Renewal);
    if (call.path === '/inventory') return json(this.inventory());
    const [, taskId = '', action] = call.parts;
    return this.change(taskId, action, call.body);
  }

  private isStale({shard, term}: Owned): boolean {
    const known = this.terms.get(shard) ?? 0;
    this.terms.set(shard, Math.max(known, term));
    return this.switches.fencing && term < known;
  }

  private start(start: TimedStart): Reply {
    if (this.tasks.has(start.taskId)) return json({});
    if (this.switches.refuseStarts) return json({error: 'refused'}, 503);
    const ageMs = Date.now() - start.sentAtMs;
    if (ageMs > start.startWithinMs) return TOO_LATE;
    const savedMs = savedRunMs.get(slotOf(start.taskId)) ?? 0;
    const willFail = this.switches.failAll;
    const task = new WorkerTask(start, savedMs, willFail, () => {
      this.changed();
      this.forgetLater(start.taskId);
    });
    this.tasks.set(start.taskId, task);
    this.checkCapacity();
    this.changed();
    return json({});
  }

  private renew({taskIds, leaseMs}: Renewal): Reply {
    const unknown = taskIds.filter(id => !this.tasks.get(id)?.isRunning);
    for (const id of taskIds) {
      const task = this.tasks.get(id);
      if (task?.isRunning) task.renew(leaseMs);
    }
    return json({unknown});
  }

  private change(
    taskId: string,
    action: string | undefined,
    body: unknown,
  ): Reply {
    const task = this.tasks.get(taskId);
    if (action === 'stop') task?.finish('stopped');
    if (action === 'checkpoint') this.checkpoint(task);
    if (action === 'throttle' && task !== undefined) {
      task.throttle((body as {readonly size: Resources}).size);
      this.checkCapacity();
      this.changed();
    }
    return json({});
  }

  private checkpoint(task: WorkerTask | undefined): void {
    if (!task?.isRunning) return;
    const slot = slotOf(task.start.taskId);
    const ranMs = Date.now() - task.startMs;
    savedRunMs.set(slot, (savedRunMs.get(slot) ?? 0) + ranMs);
    task.finish('checkpointed');
  }

  private checkCapacity(): void {
    const running = this.running();
    const used = running
      .map(task => task.size)
      .reduce(addResources, NO_RESOURCES);
    if (fitsIn(used, this.capacity)) return;
    const names = running.map(task => task.describe()).join(', ');
    this.overcommits.push(`${this.id} at ${Date.now()}: ${names}`);
  }

  private running(): readonly WorkerTask[] {
    return [...this.tasks.values()].filter(task => task.isRunning);
  }

  private changed(): void {
    this.sequence += 1;
    this.waiters.wake();
  }

  private forgetLater(taskId: string): void {
    setTimeout(() => this.tasks.delete(taskId), KEEP_ENDED_MS).unref();
  }

  private async watch(call: Call): Promise<Reply> {
    const seen = numberOf(call.query, 'sequence', 0);
    const waitMs = numberOf(call.query, 'waitMs', 0);
    if (seen >= this.sequence) await this.waiters.wait(waitMs);
    return this.switches.silent ? SILENT : json(this.inventory());
  }

  private inventory(): Inventory {
    const tasks = [...this.tasks.values()].map(task => task.report());
    const {id: workerId, capacity, sequence} = this;
    return {workerId, capacity, sequence, tasks};
  }

  private *usage(): Generator<TaskUsage> {
    const ageMs = this.switches.usageLagMs;
    for (const task of this.running()) {
      if (Date.now() - task.startMs < ageMs) continue;
      const {cpuMilli, memMb} = task.payload.usage ?? task.size;
      yield {taskId: task.start.taskId, cpuMilli, memMb, ageMs};
    }
  }

  private admin(call: Call): Reply {
    if (call.method === 'POST') {
      const change = call.body as Partial<WorkerSwitches>;
      this.switches = {...this.switches, ...change};
      this.waiters.wake();
    }
    const {overcommits} = this;
    const runs = [...this.tasks.values()].map(task => task.run(this.id));
    return json({overcommits, started: runs.length, runs});
  }
}
