/** What a replay measured: waits, packing, shares, and who was set aside. */
import {
  NO_RESOURCES,
  RESOURCE_NAMES,
  addResources,
  type Resources,
} from '@dragonflyward/common';
import * as hdr from 'hdr-histogram-js';
import {dominantShare} from './amounts.js';
import type {DecisionAudit} from './audit.js';
import type {
  Decision,
  PlacedTask,
  PlacedTaskEnd,
  PlacementEngine,
  PolicyJob,
} from './engine.js';
import {fairSharesOf} from './fair-shares.js';
import {workersOf, type Trace, type TraceJobs} from './trace.js';

const HIGHEST_WAIT_MS = 86_400_000;
const SHARE_EVERY_MS = 1_000;

/** The tasks of alike jobs, as far as they have come. */
interface Progress {
  readonly source: TraceJobs;
  readonly waits: hdr.Histogram;
  tasks: number;
  started: number;
  succeeded: number;
}

interface Attainment {
  due: number;
  had: number;
}

/** Collects what is stated of a replay. */
export class ReplayRecord {
  readonly setAsideJobs = new Set<string>();
  readonly setAsideWorkers = new Set<string>();
  starts = 0;
  preemptions = 0;
  resizes = 0;
  /** The largest part of a worker's memory that tasks were seen to use. */
  worstUse = 0;
  private readonly progress = new Map<string, Progress>();
  private readonly submitted = new Map<string, PolicyJob>();
  private readonly names = new Map<string, string>();
  private readonly firstStarts = new Set<string>();
  private readonly attainment = new Map<string, Attainment>();
  private readonly total: Resources;
  private packingSum = 0;
  private packingCount = 0;

  constructor(
    private readonly trace: Trace,
    private readonly audit: DecisionAudit,
  ) {
    let total = NO_RESOURCES;
    for (const {capacity} of workersOf(trace)) {
      total = addResources(total, capacity);
    }
    this.total = total;
  }

  noteSubmit(source: TraceJobs, job: PolicyJob): void {
    const progress = this.progress.get(source.name) ?? newProgress(source);
    progress.tasks += job.taskIndexes.length;
    this.progress.set(source.name, progress);
    this.names.set(job.jobId, source.name);
    this.submitted.set(job.jobId, job);
  }

  noteSetAside(jobId: string): void {
    this.setAsideJobs.add(this.names.get(jobId) ?? jobId);
  }

  noteDecision(decision: Decision, nowMs: number): void {
    if (decision.kind === 'start') this.noteStart(decision.task, nowMs);
    if (decision.kind === 'preempt') this.preemptions += 1;
    if (decision.kind === 'resize') this.resizes += 1;
    if (decision.kind === 'setAside') this.noteSetAside(decision.jobId);
    if (decision.kind === 'worker' && decision.isSetAside) {
      this.setAsideWorkers.add(decision.workerId);
    }
  }

  noteEnd(task: PlacedTask, end: PlacedTaskEnd): void {
    if (end !== 'succeeded') return;
    const progress = this.progressOf(task.jobId);
    if (progress !== undefined) progress.succeeded += 1;
  }

  /** Measures packing and shares at this moment. */
  sample(nowMs: number, engine: PlacementEngine): void {
    if (nowMs < this.trace.measureFromMs || nowMs % SHARE_EVERY_MS !== 0) {
      return;
    }
    const demand = engine.demand();
    let waiting = NO_RESOURCES;
    for (const team of demand) waiting = addResources(waiting, team.waiting);
    if (dominantShare(waiting, this.total) === 0) return;
    this.samplePacking();
    const due = fairSharesOf(this.trace.teams, demand, this.total);
    for (const {team, running} of demand) {
      const share = due.get(team) ?? 0;
      if (share === 0) continue;
      const sum = this.attainment.get(team) ?? {due: 0, had: 0};
      sum.due += share;
      sum.had += dominantShare(running, this.total);
      this.attainment.set(team, sum);
    }
  }

  /** How long tasks of these jobs waited for their first start. */
  waitMs(name: string, percent: number): number {
    return this.progress.get(name)?.waits.getValueAtPercentile(percent) ?? 0;
  }

  /** Counts tasks that never started as having waited until now. */
  closeWaits(nowMs: number): void {
    for (const job of this.submitted.values()) {
      const progress = this.progressOf(job.jobId);
      for (const index of job.taskIndexes) {
        if (this.firstStarts.has(`${job.jobId}.${index}`)) continue;
        progress?.waits.recordValue(Math.max(0, nowMs - job.acceptedMs));
      }
    }
  }

  /** How many tasks of these jobs never started. */
  neverStarted(name: string): number {
    const progress = this.progress.get(name);
    return progress === undefined ? 0 : progress.tasks - progress.started;
  }

  /** How many tasks of these jobs have not succeeded. */
  unfinished(name: string): number {
    const progress = this.progress.get(name);
    return progress === undefined ? 0 : progress.tasks - progress.succeeded;
  }

  /** The mean part of the scarcest resource in use while work waited. */
  get packing(): number {
    return this.packingCount === 0 ? 1 : this.packingSum / this.packingCount;
  }

  /** Each team's mean part of what it was due while work waited. */
  attainments(): ReadonlyMap<string, number> {
    const parts = new Map<string, number>();
    for (const [team, {due, had}] of this.attainment) {
      parts.set(team, had / due);
    }
    return parts;
  }

  private samplePacking(): void {
    let used = NO_RESOURCES;
    for (const {workerId} of workersOf(this.trace)) {
      used = addResources(used, this.audit.useOn(workerId));
    }
    let most = 0;
    for (const name of RESOURCE_NAMES) {
      if (this.total[name] > 0) {
        most = Math.max(most, used[name] / this.total[name]);
      }
    }
    this.packingSum += most;
    this.packingCount += 1;
  }

  private noteStart(task: PlacedTask, nowMs: number): void {
    this.starts += 1;
    const key = `${task.jobId}.${task.taskIndex}`;
    if (this.firstStarts.has(key)) return;
    this.firstStarts.add(key);
    const progress = this.progressOf(task.jobId);
    const job = this.submitted.get(task.jobId);
    if (progress === undefined || job === undefined) return;
    progress.started += 1;
    progress.waits.recordValue(Math.max(0, nowMs - job.acceptedMs));
  }

  private progressOf(jobId: string): Progress | undefined {
    return this.progress.get(this.names.get(jobId) ?? '');
  }
}

function newProgress(source: TraceJobs): Progress {
  const waits = hdr.build({
    highestTrackableValue: HIGHEST_WAIT_MS,
    numberOfSignificantValueDigits: 3,
  });
  return {source, waits, tasks: 0, started: 0, succeeded: 0};
}
