/** Carries out the policy's decisions. */
import {
  type Clock,
  type EventRing,
  type Metrics,
  type Resources,
  type TimingSettings,
} from '@dragonflyward/common';
import type {
  Decision,
  PlacedTask,
  PlacementEngine,
} from '@dragonflyward/policy';
import type {ShardState} from '@dragonflyward/state';
import type {TaskStart} from '@dragonflyward/target';
import type {JobTracker} from './job-tracker.js';
import type {JobRecords} from './job-records.js';
import type {TaskOutcomes} from './task-outcomes.js';
import type {WorkerSet} from './worker-set.js';
import {START_WITHIN_MS, type StartOutcome} from './worker-calls.js';
import type {WorkerObserver} from './worker-session.js';

const IDLE_PERIOD_MS = 100;
const STOP_RETRY_MS = 500;
const MICROSECONDS_PER_MS = 1000;
/** Limits the decisions per turn, so that the event loop is not blocked. */
const MAX_DECISIONS_PER_TURN = 200;

/** Dependencies of a dispatcher. */
export interface DispatcherParts {
  readonly shard: string;
  readonly engine: PlacementEngine;
  readonly shardState: ShardState;
  readonly tracker: JobTracker;
  readonly records: JobRecords;
  readonly workers: WorkerSet;
  readonly clock: Clock;
  readonly timing: TimingSettings;
  readonly events: EventRing;
  readonly metrics: Metrics;
  readonly observer: WorkerObserver;
  readonly outcomes: TaskOutcomes;
}

/** Runs the decision loop of one term. */
export class Dispatcher {
  private isStopped = false;
  private wakeUp: () => void = () => undefined;

  constructor(private readonly parts: DispatcherParts) {}

  /** Makes the loop run without waiting for its next period. */
  wake(): void {
    this.wakeUp();
  }

  /** Ends the loop. */
  stop(): void {
    this.isStopped = true;
    this.wake();
  }

  /** Runs the policy whenever it is woken, and at a fixed period. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      const decided = this.parts.observer.mayAct() ? this.decideOnce() : 0;
      if (decided < MAX_DECISIONS_PER_TURN) await this.waitForWake();
      await yieldToEventLoop();
    }
  }

  /** Stops a placed task; retries until the worker confirms it. */
  stopTask(task: PlacedTask): void {
    void this.stopUntilConfirmed(task);
  }

  private waitForWake(): Promise<void> {
    const woken = new Promise<void>(resolve => {
      this.wakeUp = resolve;
    });
    return Promise.race([woken, this.parts.clock.sleep(IDLE_PERIOD_MS)]);
  }

  private decideOnce(): number {
    const {engine, clock, metrics, workers} = this.parts;
    // The policy would otherwise go on placing tasks whose starts are refused.
    workers.updateClosure();
    const startedMs = clock.monotonicMs();
    let count = 0;
    for (const decision of engine.decide(startedMs)) {
      this.perform(decision);
      count += 1;
      if (count >= MAX_DECISIONS_PER_TURN) break;
    }
    if (count === 0) return 0;
    const tookMs = clock.monotonicMs() - startedMs;
    metrics.count('decisions_total', count);
    metrics.record('decision_us', (tookMs * MICROSECONDS_PER_MS) / count);
    return count;
  }

  private perform(decision: Decision): void {
    switch (decision.kind) {
      case 'start':
        this.parts.tracker.recordPlaced(decision.task);
        return void this.start(decision.task);
      case 'preempt':
        return void this.preempt(decision.taskId, decision.workerId);
      case 'resize':
        return this.resize(decision.taskId, decision.workerId, decision.size);
      case 'setAside':
        this.parts.tracker.recordSetAside(decision.jobId, decision.reason);
        return this.event('jobSetAside', decision.jobId, decision.reason);
      case 'worker':
        return this.parts.events.add(
          'workerSetAside',
          {worker: decision.workerId},
          decision.reason,
        );
    }
  }

  private event(kind: 'jobSetAside', job: string, note: string): void {
    this.parts.events.add(kind, {job}, note);
  }

  private async start(task: PlacedTask): Promise<void> {
    const worker = this.parts.workers.get(task.workerId);
    const start = this.toStart(task);
    if (worker === undefined || start === undefined) {
      return this.notRun(task);
    }
    if (!(await this.recordStart(task))) return this.notRun(task);
    const outcome: StartOutcome = await worker.calls.start(task, start);
    if (outcome === 'notRun') return this.notRun(task);
    this.parts.metrics.count('tasks_started_total');
    const subject = {job: task.jobId, task: task.taskId};
    this.parts.events.add('taskStarted', {...subject, worker: task.workerId});
    if (this.isObsolete(task)) this.stopTask(task);
  }

  /**
   * Stores the start of a non-idempotent task in the log before it is sent. A
   * task that is placed again although its start is recorded did not run: all
   * others end with an unknown outcome. A second record would be void.
   */
  private async recordStart(task: PlacedTask): Promise<boolean> {
    const {shardState, records} = this.parts;
    const entry = shardState.jobs.get(task.jobId);
    if (entry === undefined || records.isEnding(entry)) return false;
    const {jobId, taskIndex, taskId, workerId} = task;
    if (entry.spec.isIdempotent || entry.starting.has(taskIndex)) return true;
    try {
      const ids = {jobId, taskIndex, taskId, workerId};
      await records.write({type: 'taskStarting', ...ids});
      return !this.isObsolete(task);
    } catch {
      return false;
    }
  }

  private isObsolete(task: PlacedTask): boolean {
    return this.parts.shardState.jobs.get(task.jobId)?.end !== null;
  }

  private notRun(task: PlacedTask): void {
    if (!this.isStopped) this.parts.outcomes.notRun(task);
  }

  private toStart(task: PlacedTask): TaskStart | undefined {
    const {shardState, shard, observer, timing} = this.parts;
    const spec = shardState.jobs.get(task.jobId)?.spec;
    if (spec === undefined) return undefined;
    return {
      taskId: task.taskId,
      jobId: task.jobId,
      team: spec.team,
      queue: spec.queue,
      shard,
      term: observer.term(),
      size: task.size,
      leaseMs: timing.taskLeaseMs,
      startWithinMs: START_WITHIN_MS,
      payload: spec.payload,
    };
  }

  private async preempt(taskId: string, workerId: string): Promise<void> {
    const worker = this.parts.workers.get(workerId);
    const task = worker?.leases.find(taskId);
    if (worker === undefined || task === undefined) return;
    const isStopped = await worker.calls.checkpoint(taskId);
    if (isStopped) this.afterStop(task, 'checkpointed');
  }

  private resize(taskId: string, workerId: string, size: Resources): void {
    const worker = this.parts.workers.get(workerId);
    void worker?.calls.throttle(taskId, size);
  }

  private async stopUntilConfirmed(task: PlacedTask): Promise<void> {
    while (!this.isStopped) {
      const worker = this.parts.workers.get(task.workerId);
      if (worker?.leases.find(task.taskId) === undefined) return;
      if (await worker.calls.stopTask(task.taskId)) {
        return this.afterStop(task, 'stopped');
      }
      await this.parts.clock.sleep(STOP_RETRY_MS);
    }
  }

  private afterStop(task: PlacedTask, reason: string): void {
    this.parts.outcomes.stopped(task, reason);
    this.wake();
  }
}

function yieldToEventLoop(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
