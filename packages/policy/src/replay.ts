/** Simulates a trace on an engine with a virtual clock. */
import {DecisionAudit} from './decision-audit.js';
import type {
  Decision,
  PlacedTask,
  PlacedTaskEnd,
  PlacementEngine,
  PolicyJob,
  UsageSample,
} from './engine.js';
import {Heap} from './heap.js';
import {ReplayRecord} from './replay-record.js';
import {
  workersOf,
  type Trace,
  type TraceFault,
  type TraceJobGroup,
} from './trace.js';

/** How often the engine decides, and how often use is reported. */
const TICK_MS = 100;
const USAGE_INTERVAL_MS = 2_000;
/** How long a checkpoint takes, and how soon a failing task ends. */
const CHECKPOINT_DURATION_MS = 500;
const FAIL_AFTER_MS = 300;
/** Failures of a task after which it is not retried. */
const MAX_FAILURES = 20;

interface ScheduledEvent {
  readonly atMs: number;
  readonly sequence: number;
  readonly run: () => void;
}

interface RunningEntry {
  readonly task: PlacedTask;
  readonly source: TraceJobGroup;
  readonly startedMs: number;
}

/** A replay of one trace on one engine. */
export class Replay {
  readonly audit = new DecisionAudit();
  readonly record: ReplayRecord;
  private readonly events = new Heap<ScheduledEvent>(
    (a, b) => a.atMs - b.atMs || a.sequence - b.sequence,
  );
  private readonly sources = new Map<string, TraceJobGroup>();
  private readonly jobs = new Map<string, PolicyJob>();
  private readonly running = new Map<string, RunningEntry>();
  private readonly remainingMs = new Map<string, number>();
  private readonly failureCounts = new Map<string, number>();
  /** Workers on which every task fails. */
  private readonly broken = new Set<string>();
  private readonly cancelled = new Set<string>();
  private nextSequence = 0;
  private nowMs = 0;

  constructor(
    private readonly engine: PlacementEngine,
    private readonly trace: Trace,
  ) {
    this.record = new ReplayRecord(trace, this.audit);
  }

  /** Replays the trace to its end. */
  run(): ReplayRecord {
    this.prepare();
    for (
      this.nowMs = 0;
      this.nowMs <= this.trace.endMs;
      this.nowMs += TICK_MS
    ) {
      this.runEvents();
      if (this.nowMs % USAGE_INTERVAL_MS === 0) this.reportUsage();
      for (const decision of this.engine.decide(this.nowMs)) {
        this.applyDecision(decision);
      }
      this.record.sample(this.nowMs, this.engine);
    }
    return this.record;
  }

  private prepare(): void {
    this.engine.setQueues(this.trace.queues);
    this.engine.setTeams(this.trace.teams);
    this.audit.setTeams(this.trace.teams);
    for (const worker of workersOf(this.trace)) {
      this.engine.setWorker(worker);
      this.audit.setWorker(worker);
    }
    for (const source of this.trace.jobs) this.scheduleJobs(source);
    for (const fault of this.trace.faults) {
      this.schedule(fault.atMs, () => this.injectFault(fault));
    }
  }

  private scheduleJobs(source: TraceJobGroup): void {
    for (let i = 0; i < source.count; i += 1) {
      const atMs = source.firstMs + i * source.everyMs;
      this.schedule(atMs, () => this.submit(source, i, atMs));
    }
  }

  private schedule(atMs: number, run: () => void): void {
    this.events.push({atMs, sequence: this.nextSequence, run});
    this.nextSequence += 1;
  }

  private runEvents(): void {
    for (;;) {
      const first = this.events.first();
      if (first === undefined || first.atMs > this.nowMs) return;
      this.events.pop();
      first.run();
    }
  }

  private submit(
    source: TraceJobGroup,
    index: number,
    acceptedMs: number,
  ): void {
    const job: PolicyJob = {
      jobId: `${source.name}-${index}`,
      team: source.team,
      queue: source.queue,
      taskIndexes: Array.from({length: source.tasks}, (_, i) => i),
      isGang: source.isGang ?? false,
      isService: source.isService ?? false,
      isIdempotent: source.isIdempotent ?? true,
      size: source.size,
      runMs: source.runMs,
      acceptedMs,
    };
    this.sources.set(job.jobId, source);
    this.jobs.set(job.jobId, job);
    this.audit.setJob(job.jobId, job.team);
    this.record.recordSubmit(source, job);
    if (this.engine.findUnplaceableReason(job) === '') this.engine.submit(job);
    else this.record.recordSetAside(job.jobId);
  }

  private applyDecision(decision: Decision): void {
    this.audit.recordDecision(decision);
    this.record.recordDecision(decision, this.nowMs);
    if (decision.kind === 'start') this.start(decision.task);
    if (decision.kind === 'preempt') this.checkpoint(decision.taskId);
  }

  private start(task: PlacedTask): void {
    const source = this.sources.get(task.jobId);
    if (source === undefined) return;
    this.running.set(task.taskId, {task, source, startedMs: this.nowMs});
    const willFail = source.isBroken === true || this.broken.has(task.workerId);
    const endMs =
      this.nowMs + (willFail ? FAIL_AFTER_MS : this.remainingMsOf(task));
    if (!Number.isFinite(endMs)) return;
    const end: PlacedTaskEnd = willFail ? 'failed' : 'succeeded';
    this.schedule(endMs, () => this.end(task.taskId, end));
  }

  private remainingMsOf(task: PlacedTask): number {
    const source = this.sources.get(task.jobId);
    if (source === undefined || source.isService === true) return Infinity;
    const runMs = source.runMs * (source.runFactor ?? 1);
    return this.remainingMs.get(`${task.jobId}.${task.taskIndex}`) ?? runMs;
  }

  private checkpoint(taskId: string): void {
    this.schedule(this.nowMs + CHECKPOINT_DURATION_MS, () => {
      const running = this.running.get(taskId);
      if (running === undefined) return;
      const {task, startedMs} = running;
      const remainingMs = this.remainingMsOf(task) - (this.nowMs - startedMs);
      const key = `${task.jobId}.${task.taskIndex}`;
      this.remainingMs.set(key, Math.max(0, remainingMs));
      this.end(taskId, 'notRunning');
    });
  }

  private end(taskId: string, end: PlacedTaskEnd): void {
    const running = this.running.get(taskId);
    if (running === undefined) return;
    this.running.delete(taskId);
    this.audit.recordEnd(taskId);
    this.engine.ended(taskId, end, this.nowMs);
    this.record.recordEnd(running.task, end);
    if (end !== 'succeeded') this.retry(running.task, end);
  }

  private retry(task: PlacedTask, end: PlacedTaskEnd): void {
    const {jobId, taskIndex} = task;
    const job = this.jobs.get(jobId);
    if (job === undefined || this.cancelled.has(jobId)) return;
    const key = `${jobId}.${taskIndex}`;
    const failures =
      (this.failureCounts.get(key) ?? 0) + (end === 'failed' ? 1 : 0);
    this.failureCounts.set(key, failures);
    if (failures >= MAX_FAILURES) return;
    this.engine.submit({...job, taskIndexes: [taskIndex]});
  }

  private injectFault(fault: TraceFault): void {
    switch (fault.kind) {
      case 'cancel':
        this.cancelJobs(fault.jobs);
        return;
      case 'workerFails':
        this.broken.add(fault.workerId);
        return;
      case 'workerRecovers':
        this.broken.delete(fault.workerId);
        return;
      case 'workerLeaves':
        this.markLeaving(fault.workerId);
        return;
      case 'workerGone':
        this.removeWorker(fault.workerId);
    }
  }

  private cancelJobs(name: string): void {
    for (const [jobId, source] of this.sources) {
      if (source.name !== name) continue;
      this.cancelled.add(jobId);
      const placed = this.engine.cancel(jobId);
      for (const task of placed) this.end(task.taskId, 'notRunning');
    }
  }

  private markLeaving(workerId: string): void {
    for (const worker of workersOf(this.trace)) {
      if (worker.workerId !== workerId) continue;
      const leaving = {...worker, condition: 'leaving'} as const;
      this.engine.setWorker(leaving);
      this.audit.setWorker(leaving);
    }
  }

  private removeWorker(workerId: string): void {
    const lost = [...this.running.values()].filter(
      ({task}) => task.workerId === workerId,
    );
    for (const {task} of lost) this.end(task.taskId, 'notRunning');
    this.engine.removeWorker(workerId);
    this.audit.removeWorker(workerId);
  }

  private reportUsage(): void {
    const samples: UsageSample[] = [];
    for (const {task, source, startedMs} of this.running.values()) {
      if (startedMs > this.nowMs - USAGE_INTERVAL_MS) continue;
      const factor = source.useFactor ?? 1;
      const cap = this.audit.running.get(task.taskId)?.size ?? task.size;
      const cpuMilli = Math.min(cap.cpuMilli, source.size.cpuMilli * factor);
      const memMb = source.size.memMb * factor;
      samples.push({taskId: task.taskId, cpuMilli, memMb});
    }
    this.recordMemoryUse();
    this.engine.recordUsage(samples, this.nowMs);
  }

  /** Records the largest fraction of a worker's memory in actual use. */
  private recordMemoryUse(): void {
    const memMb = new Map<string, number>();
    for (const {task, source} of this.running.values()) {
      const used = source.size.memMb * (source.useFactor ?? 1);
      memMb.set(task.workerId, (memMb.get(task.workerId) ?? 0) + used);
    }
    for (const {workerId, capacity} of workersOf(this.trace)) {
      const fraction = (memMb.get(workerId) ?? 0) / capacity.memMb;
      this.record.maxMemoryUse = Math.max(this.record.maxMemoryUse, fraction);
    }
  }
}
