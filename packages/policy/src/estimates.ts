/** What tasks really use and how long they really run, against what is declared. */
import type {Resources} from '@dragonflyward/common';
import * as hdr from 'hdr-histogram-js';

/** Ratios are kept in thousandths; declared sizes are off by 0.1 to 10. */
const PERMILLE = 1_000;
const HIGHEST_RATIO_PERMILLE = 32_000;
/** Samples that a histogram needs before it is believed. */
const MIN_SAMPLES = 16;
/** Samples after which a histogram starts anew. */
const WINDOW_SAMPLES = 512;
/** The part of the samples that a reservation has to cover. */
const SIZE_PERCENTILE = 95;
const RUN_PERCENTILE = 75;
/** What is reserved beyond the percentile. */
const CPU_MARGIN = 1.05;
const MEM_MARGIN = 1.15;
/** Between these, the declared size is taken as it is. */
const LOWEST_TRUE_RATIO = 0.85;
const HIGHEST_TRUE_RATIO = 1.05;
/** Steps of a reservation in each doubling, so that few sizes differ. */
const STEPS_PER_DOUBLING = 8;

/** One ratio as it is learnt over time. */
class LearntRatio {
  private histogram: hdr.Histogram | undefined;
  private former = 0;

  constructor(private readonly percentile: number) {}

  /** Adds a measured value over a declared one. */
  record(ratio: number): void {
    this.histogram ??= newHistogram();
    if (this.histogram.totalCount >= WINDOW_SAMPLES) {
      this.former = this.read();
      this.histogram.reset();
    }
    const permille = Math.round(ratio * PERMILLE);
    const bounded = Math.min(HIGHEST_RATIO_PERMILLE, Math.max(1, permille));
    this.histogram.recordValue(bounded);
  }

  /** The ratio at the percentile; 0 where too little is known. */
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
    highestTrackableValue: HIGHEST_RATIO_PERMILLE,
    numberOfSignificantValueDigits: 1,
    bitBucketSize: 16,
  });
}

interface Estimate {
  readonly cpu: LearntRatio;
  readonly mem: LearntRatio;
  readonly run: LearntRatio;
  version: number;
  /** The factors that are in use, by the last state of the ratios. */
  cpuFactor: number;
  memFactor: number;
  runFactor: number;
}

/** What was measured of one task, and what was declared for it. */
export interface MeasuredUse {
  readonly queue: string;
  readonly team: string;
  readonly declared: Resources;
  readonly cpuMilli: number;
  readonly memMb: number;
}

/** Estimates for each queue and team. */
export class Estimates {
  private readonly byKind = new Map<string, Estimate>();
  /** Grows whenever any size changes. */
  version = 0;

  /** Learns from one measurement of a running task. */
  noteUse(use: MeasuredUse): void {
    const estimate = this.get(use.queue, use.team);
    const {cpuMilli, memMb} = use.declared;
    if (cpuMilli > 0) estimate.cpu.record(use.cpuMilli / cpuMilli);
    if (memMb > 0) estimate.mem.record(use.memMb / memMb);
  }

  /** Learns how long a task ran. */
  noteRun(
    queue: string,
    team: string,
    declaredMs: number,
    ranMs: number,
  ): void {
    if (declaredMs <= 0) return;
    this.get(queue, team).run.record(ranMs / declaredMs);
  }

  /** Takes what was learnt into use; call it once for each batch of samples. */
  refresh(): void {
    for (const estimate of this.byKind.values()) {
      if (refreshFactors(estimate)) this.version += 1;
    }
  }

  /** Grows whenever the sizes of this queue and team change. */
  versionOf(queue: string, team: string): number {
    return this.byKind.get(kindKey(queue, team))?.version ?? 0;
  }

  /** What a task should reserve. */
  sizeOf(queue: string, team: string, declared: Resources): Resources {
    const estimate = this.byKind.get(kindKey(queue, team));
    if (estimate === undefined) return declared;
    return {
      ...declared,
      cpuMilli: Math.ceil(declared.cpuMilli * estimate.cpuFactor),
      memMb: Math.ceil(declared.memMb * estimate.memFactor),
    };
  }

  /** How long a task is expected to run; infinite where nothing is known. */
  runMsOf(queue: string, team: string, declaredMs: number): number {
    if (declaredMs <= 0) return Infinity;
    const estimate = this.byKind.get(kindKey(queue, team));
    return declaredMs * (estimate?.runFactor ?? 1);
  }

  private get(queue: string, team: string): Estimate {
    const key = kindKey(queue, team);
    const known = this.byKind.get(key);
    if (known !== undefined) return known;
    const estimate: Estimate = {
      cpu: new LearntRatio(SIZE_PERCENTILE),
      mem: new LearntRatio(SIZE_PERCENTILE),
      run: new LearntRatio(RUN_PERCENTILE),
      version: 0,
      cpuFactor: 1,
      memFactor: 1,
      runFactor: 1,
    };
    this.byKind.set(key, estimate);
    return estimate;
  }
}

function kindKey(queue: string, team: string): string {
  return `${queue} ${team}`;
}

/** Returns whether the sizes have changed. */
function refreshFactors(estimate: Estimate): boolean {
  estimate.runFactor = estimate.run.read() || 1;
  const cpuFactor = factorOf(estimate.cpu.read(), CPU_MARGIN);
  const memFactor = factorOf(estimate.mem.read(), MEM_MARGIN);
  const isSame =
    cpuFactor === estimate.cpuFactor && memFactor === estimate.memFactor;
  if (isSame) return false;
  estimate.cpuFactor = cpuFactor;
  estimate.memFactor = memFactor;
  estimate.version += 1;
  return true;
}

/** The factor on the declared size, rounded up to the next step. */
function factorOf(ratio: number, margin: number): number {
  if (ratio === 0) return 1;
  if (ratio >= LOWEST_TRUE_RATIO && ratio <= HIGHEST_TRUE_RATIO) return 1;
  const steps = Math.log2(ratio * margin) * STEPS_PER_DOUBLING;
  return 2 ** (Math.ceil(steps) / STEPS_PER_DOUBLING);
}
