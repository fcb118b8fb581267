/** Bounds how long an idempotent request waits for a silent executor. */

const MIN_BOUND_MS = 1_000;
const MIN_SAMPLES = 50;
/** Part of the time left that a service of unknown latency may take. */
const UNKNOWN_PART = 0.5;
const SMOOTHING = 0.05;
/** Deviations above the mean after which an executor counts as silent. */
const DEVIATIONS = 8;

interface Latency {
  readonly meanMs: number;
  readonly deviationMs: number;
  readonly samples: number;
}

/** What executors of each service usually take to answer. */
export class SilenceBound {
  private readonly latencies = new Map<string, Latency>();

  /** Takes in how long an answer's head took. */
  add(service: string, tookMs: number): void {
    const before = this.latencies.get(service);
    const meanBefore = before?.meanMs ?? tookMs;
    const deviationBefore = before?.deviationMs ?? tookMs / 2;
    const error = tookMs - meanBefore;
    this.latencies.set(service, {
      meanMs: meanBefore + SMOOTHING * error,
      deviationMs:
        deviationBefore + SMOOTHING * (Math.abs(error) - deviationBefore),
      samples: (before?.samples ?? 0) + 1,
    });
  }

  /**
   * How long to wait before another executor is tried, of the time that is
   * left; while too little is known of the service, a part of that time.
   *
   * @example
   * const boundMs = bound.boundMs('quote', lifetime.leftMs());
   */
  boundMs(service: string, leftMs: number): number {
    const latency = this.latencies.get(service);
    if (latency === undefined || latency.samples < MIN_SAMPLES) {
      return leftMs * UNKNOWN_PART;
    }
    const {meanMs, deviationMs} = latency;
    return Math.max(MIN_BOUND_MS, meanMs + DEVIATIONS * deviationMs);
  }
}
