/**
 * Estimates the usage and run time of tasks: the declared values times the
 * ratios that were measured for earlier tasks of the same queue and team.
 */
import type {Resources} from '@dragonflyward/common';
import * as hdr from 'hdr-histogram-js';

/**
 * Ratios of actual to declared values are kept in thousandths. Declared sizes
 * are off by a factor of 0.1 to 10.
 */
const PERMILLE = 1_000;
const MAX_RATIO_PERMILLE = 32_000;
/** Samples that a histogram needs before it is used. */
const MIN_SAMPLES = 16;
/** Samples after which a histogram is reset. */
const WINDOW_SAMPLES = 512;
/** The percentage of the samples that a reservation has to cover. */
const SIZE_PERCENTILE = 95;
const RUN_TIME_PERCENTILE = 75;
/** The factors by which reservations exceed the percentile. */
const CPU_MARGIN_FACTOR = 1.05;
const MEM_MARGIN_FACTOR = 1.15;
/** Between these ratios, the declared size is used as it is. */
const MIN_ACCURATE_RATIO = 0.85;
const MAX_ACCURATE_RATIO = 1.05;
/** Steps of the factor in each doubling, so that there are few sizes. */
const STEPS_PER_DOUBLING = 8;

/** Estimates a percentile of the ratio of measured to declared values. */
class RatioEstimator {
  private histogram: hdr.Histogram | undefined;
  private former = 0;

  constructor(private readonly percentile: number) {}

  /** Adds the ratio of a measured to a declared value. */
  record(ratio: number): void {
    this.histogram ??= newHistogram();
    if (this.histogram.totalCount >= WINDOW_SAMPLES) {
      this.former = this.read();
      this.histogram.reset();
    }
    const permille = Math.round(ratio * PERMILLE);
    const bounded = Math.min(MAX_RATIO_PERMILLE, Math.max(1, permille));
    this.histogram.recordValue(bounded);
  }

  /** The ratio at the percentile; 0 with too few samples. */
  read(): number {
    const {histogram} = this;
    if (histogram === undefined) return 0;
    if (histogram.totalCount < MIN_SAMPLES) return this.former;
    return histogram.getValueAtPercentile(this.percentile) / PERMILLE;
  }
}

function newHistogram(): hdr.Histogram {
  return hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_RATIO_PERMILLE,
    numberOfSignificantValueDigits: 1,
    bitBucketSize: 16,
  });
}

interface UsageEstimate {
  readonly cpu: RatioEstimator;
  readonly mem: RatioEstimator;
  readonly run: RatioEstimator;
  version: number;
  /** The factors on the declared values, as of the last refresh. */
  cpuFactor: number;
  memFactor: number;
  runFactor: number;
}

/** A measurement of a task, with its declared size. */
export interface MeasuredUsage {
  readonly queue: string;
  readonly team: string;
  readonly declared: Resources;
  readonly cpuMilli: number;
  readonly memMb: number;
}

/** The estimates of each queue and team. */
export class Estimates {
  private readonly byQueueAndTeam = new Map<string, UsageEstimate>();
  /** Grows whenever an estimated size changes. */
  version = 0;

  /** Records a measurement of a running task. */
  recordUsage(use: MeasuredUsage): void {
    const estimate = this.getOrAdd(use.queue, use.team);
    const {cpuMilli, memMb} = use.declared;
    if (cpuMilli > 0) estimate.cpu.record(use.cpuMilli / cpuMilli);
    if (memMb > 0) estimate.mem.record(use.memMb / memMb);
  }

  /** Records the run time of a task. */
  recordRunTime(
    queue: string,
    team: string,
    declaredMs: number,
    ranMs: number,
  ): void {
    if (declaredMs <= 0) return;
    this.getOrAdd(queue, team).run.record(ranMs / declaredMs);
  }

  /** Updates the factors; call it once for each batch of samples. */
  refresh(): void {
    for (const estimate of this.byQueueAndTeam.values()) {
      if (updateFactors(estimate)) this.version += 1;
    }
  }

  /** A version that grows when the sizes of this queue and team change. */
  getVersion(queue: string, team: string): number {
    return this.byQueueAndTeam.get(estimateKey(queue, team))?.version ?? 0;
  }

  /** Returns the resources that a task should reserve. */
  estimateSize(queue: string, team: string, declared: Resources): Resources {
    const estimate = this.byQueueAndTeam.get(estimateKey(queue, team));
    if (estimate === undefined) return declared;
    return {
      ...declared,
      cpuMilli: Math.ceil(declared.cpuMilli * estimate.cpuFactor),
      memMb: Math.ceil(declared.memMb * estimate.memFactor),
    };
  }

  /** Returns the estimated run time; infinite if none was declared. */
  estimateRunMs(queue: string, team: string, declaredMs: number): number {
    if (declaredMs <= 0) return Infinity;
    const estimate = this.byQueueAndTeam.get(estimateKey(queue, team));
    return declaredMs * (estimate?.runFactor ?? 1);
  }

  private getOrAdd(queue: string, team: string): UsageEstimate {
    const key = estimateKey(queue, team);
    const known = this.byQueueAndTeam.get(key);
    if (known !== undefined) return known;
    const estimate: UsageEstimate = {
      cpu: new RatioEstimator(SIZE_PERCENTILE),
      mem: new RatioEstimator(SIZE_PERCENTILE),
      run: new RatioEstimator(RUN_TIME_PERCENTILE),
      version: 0,
      cpuFactor: 1,
      memFactor: 1,
      runFactor: 1,
    };
    this.byQueueAndTeam.set(key, estimate);
    return estimate;
  }
}

function estimateKey(queue: string, team: string): string {
  return `${queue} ${team}`;
}

/** Updates the factors of an estimate; returns whether sizes changed. */
function updateFactors(estimate: UsageEstimate): boolean {
  estimate.runFactor = estimate.run.read() || 1;
  const cpuFactor = computeFactor(estimate.cpu.read(), CPU_MARGIN_FACTOR);
  const memFactor = computeFactor(estimate.mem.read(), MEM_MARGIN_FACTOR);
  const isSame =
    cpuFactor === estimate.cpuFactor && memFactor === estimate.memFactor;
  if (isSame) return false;
  estimate.cpuFactor = cpuFactor;
  estimate.memFactor = memFactor;
  estimate.version += 1;
  return true;
}

/** Returns the factor on the declared size, rounded up to the next step. */
function computeFactor(ratio: number, margin: number): number {
  if (ratio === 0) return 1;
  if (ratio >= MIN_ACCURATE_RATIO && ratio <= MAX_ACCURATE_RATIO) return 1;
  const steps = Math.log2(ratio * margin) * STEPS_PER_DOUBLING;
  return 2 ** (Math.ceil(steps) / STEPS_PER_DOUBLING);
}
