/** Measurements of a replay: waits, packing, shares, jobs set aside. */
import {
  NO_RESOURCES,
  RESOURCE_NAMES,
  addResources,
  type Resources,
} from '@dragonflyward/common';
import * as hdr from 'hdr-histogram-js';
import {dominantShare} from './resource-math.js';
import type {DecisionAudit} from './decision-audit.js';
import type {
  Decision,
  PlacedTask,
  PlacedTaskEnd,
  PlacementEngine,
  PolicyJob,
} from './engine.js';
import {computeFairShares} from './fair-shares.js';
import {workersOf, type Trace, type TraceJobGroup} from './trace.js';

const MAX_RECORDED_WAIT_MS = 86_400_000;
const SAMPLE_INTERVAL_MS = 1_000;

/** The progress of the tasks of one job group. */
interface Progress {
  readonly source: TraceJobGroup;
  readonly waits: hdr.Histogram;
  tasks: number;
  started: number;
  succeeded: number;
}

/** A team's fair share and the share it had, summed over all samples. */
interface Attainment {
  due: number;
  had: number;
}

/** Collects the measurements of a replay. */
export class ReplayRecord {
  readonly setAsideJobs = new Set<string>();
  readonly setAsideWorkers = new Set<string>();
  starts = 0;
  preemptions = 0;
  resizes = 0;
  /** The largest fraction of a worker's memory that its tasks used. */
  maxMemoryUse = 0;
  private readonly progress = new Map<string, Progress>();
  private readonly jobsById = new Map<string, PolicyJob>();
  private readonly sourceNames = new Map<string, string>();
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

  recordSubmit(source: TraceJobGroup, job: PolicyJob): void {
    const progress = this.progress.get(source.name) ?? newProgress(source);
    progress.tasks += job.taskIndexes.length;
    this.progress.set(source.name, progress);
    this.sourceNames.set(job.jobId, source.name);
    this.jobsById.set(job.jobId, job);
  }

  recordSetAside(jobId: string): void {
    this.setAsideJobs.add(this.sourceNames.get(jobId) ?? jobId);
  }

  recordDecision(decision: Decision, nowMs: number): void {
    if (decision.kind === 'start') this.recordStart(decision.task, nowMs);
    if (decision.kind === 'preempt') this.preemptions += 1;
    if (decision.kind === 'resize') this.resizes += 1;
    if (decision.kind === 'setAside') this.recordSetAside(decision.jobId);
    if (decision.kind === 'worker' && decision.isQuarantined) {
      this.setAsideWorkers.add(decision.workerId);
    }
  }

  recordEnd(task: PlacedTask, end: PlacedTaskEnd): void {
    if (end !== 'succeeded') return;
    const progress = this.progressOf(task.jobId);
    if (progress !== undefined) progress.succeeded += 1;
  }

  /** Samples packing and shares while work waits. */
  sample(nowMs: number, engine: PlacementEngine): void {
    if (nowMs < this.trace.measureFromMs || nowMs % SAMPLE_INTERVAL_MS !== 0) {
      return;
    }
    const demand = engine.getDemand();
    let waiting = NO_RESOURCES;
    for (const team of demand) waiting = addResources(waiting, team.waiting);
    if (dominantShare(waiting, this.total) === 0) return;
    this.samplePacking();
    const fairShares = computeFairShares(this.trace.teams, demand, this.total);
    for (const {team, running} of demand) {
      const share = fairShares.get(team) ?? 0;
      if (share === 0) continue;
      const sum = this.attainment.get(team) ?? {due: 0, had: 0};
      sum.due += share;
      sum.had += dominantShare(running, this.total);
      this.attainment.set(team, sum);
    }
  }

  /** A percentile of the time that a group's tasks waited to first start. */
  waitMs(name: string, percent: number): number {
    return this.progress.get(name)?.waits.getValueAtPercentile(percent) ?? 0;
  }

  /** Records tasks that never started as having waited until now. */
  recordUnstartedWaits(nowMs: number): void {
    for (const job of this.jobsById.values()) {
      const progress = this.progressOf(job.jobId);
      for (const index of job.taskIndexes) {
        if (this.firstStarts.has(`${job.jobId}.${index}`)) continue;
        progress?.waits.recordValue(Math.max(0, nowMs - job.acceptedMs));
      }
    }
  }

  /** Counts the tasks of a job group that never started. */
  countNeverStarted(name: string): number {
    const progress = this.progress.get(name);
    return progress === undefined ? 0 : progress.tasks - progress.started;
  }

  /** Counts the tasks of a job group that have not succeeded. */
  countUnfinished(name: string): number {
    const progress = this.progress.get(name);
    return progress === undefined ? 0 : progress.tasks - progress.succeeded;
  }

  /** Mean fraction of the scarcest resource reserved while work waited. */
  get packing(): number {
    return this.packingCount === 0 ? 1 : this.packingSum / this.packingCount;
  }

  /** Each team's share as a fraction of its fair share while work waited. */
  attainments(): ReadonlyMap<string, number> {
    const ratios = new Map<string, number>();
    for (const [team, {due, had}] of this.attainment) {
      ratios.set(team, had / due);
    }
    return ratios;
  }

  private samplePacking(): void {
    let used = NO_RESOURCES;
    for (const {workerId} of workersOf(this.trace)) {
      used = addResources(used, this.audit.usageOfWorker(workerId));
    }
    let scarcest = 0;
    for (const name of RESOURCE_NAMES) {
      if (this.total[name] > 0) {
        scarcest = Math.max(scarcest, used[name] / this.total[name]);
      }
    }
    this.packingSum += scarcest;
    this.packingCount += 1;
  }

  private recordStart(task: PlacedTask, nowMs: number): void {
    this.starts += 1;
    const key = `${task.jobId}.${task.taskIndex}`;
    if (this.firstStarts.has(key)) return;
    this.firstStarts.add(key);
    const progress = this.progressOf(task.jobId);
    const job = this.jobsById.get(task.jobId);
    if (progress === undefined || job === undefined) return;
    progress.started += 1;
    progress.waits.recordValue(Math.max(0, nowMs - job.acceptedMs));
  }

  private progressOf(jobId: string): Progress | undefined {
    return this.progress.get(this.sourceNames.get(jobId) ?? '');
  }
}

function newProgress(source: TraceJobGroup): Progress {
  const waits = hdr.build({
    highestTrackableValue: MAX_RECORDED_WAIT_MS,
    numberOfSignificantValueDigits: 3,
  });
  return {source, waits, tasks: 0, started: 0, succeeded: 0};
}
