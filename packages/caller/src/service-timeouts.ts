/**
 * Timeouts after which an idempotent request is retried at another executor,
 * derived from the latency of its service.
 */

const MIN_TIMEOUT_MS = 1_000;
const MIN_SAMPLES = 50;
/** Fraction of the remaining time to wait while the latency is unknown. */
const DEFAULT_TIMEOUT_FRACTION = 0.5;
const SMOOTHING_FACTOR = 0.05;
/** Mean deviations above the mean latency at which the timeout is set. */
const TIMEOUT_DEVIATIONS = 8;

interface Latency {
  readonly meanMs: number;
  readonly deviationMs: number;
  readonly samples: number;
}

/** Tracks the smoothed latency of each service and its deviation. */
export class ServiceTimeouts {
  private readonly latencies = new Map<string, Latency>();

  /** Records the time until the headers of an answer arrived. */
  recordLatency(service: string, tookMs: number): void {
    const old = this.latencies.get(service);
    const oldMeanMs = old?.meanMs ?? tookMs;
    const oldDeviationMs = old?.deviationMs ?? tookMs / 2;
    const errorMs = tookMs - oldMeanMs;
    this.latencies.set(service, {
      meanMs: oldMeanMs + SMOOTHING_FACTOR * errorMs,
      deviationMs:
        oldDeviationMs +
        SMOOTHING_FACTOR * (Math.abs(errorMs) - oldDeviationMs),
      samples: (old?.samples ?? 0) + 1,
    });
  }

  /**
   * Returns how long to wait before another executor is tried. With too few
   * samples of the service, this is a fraction of the remaining time.
   *
   * @example
   * const timeoutMs = timeouts.timeoutMs('quote', lifetime.remainingMs());
   */
  timeoutMs(service: string, remainingMs: number): number {
    const latency = this.latencies.get(service);
    if (latency === undefined || latency.samples < MIN_SAMPLES) {
      return remainingMs * DEFAULT_TIMEOUT_FRACTION;
    }
    const {meanMs, deviationMs} = latency;
    return Math.max(MIN_TIMEOUT_MS, meanMs + TIMEOUT_DEVIATIONS * deviationMs);
  }
}
