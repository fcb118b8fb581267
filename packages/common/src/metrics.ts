/** Counters, gauges and histograms, exported in the Prometheus text format. */
import * as hdr from 'hdr-histogram-js';

const HIGHEST_TRACKED_US = 600_000_000;
const SIGNIFICANT_DIGITS = 3;
const QUANTILES = [50, 90, 99, 99.9] as const;

/** All metrics of one process. */
export class Metrics {
  private readonly counters = new Map<string, number>();
  private readonly gauges = new Map<string, () => number>();
  private readonly histograms = new Map<string, hdr.Histogram>();

  /**
   * Increments a counter; the name may include labels, as in the example.
   *
   * @example
   * metrics.count('requests_total{outcome="done"}');
   */
  count(name: string, delta = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + delta);
  }

  /** Registers a gauge, whose value is read when the metrics are exported. */
  gauge(name: string, read: () => number): void {
    this.gauges.set(name, read);
  }

  /**
   * Records a duration in the named histogram.
   *
   * @example
   * metrics.record('decision_us', 184);
   */
  record(name: string, valueUs: number): void {
    let histogram = this.histograms.get(name);
    if (histogram === undefined) {
      histogram = hdr.build({
        highestTrackableValue: HIGHEST_TRACKED_US,
        numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
      });
      this.histograms.set(name, histogram);
    }
    const clampedUs = Math.min(HIGHEST_TRACKED_US, Math.max(0, valueUs));
    histogram.recordValue(Math.round(clampedUs));
  }

  /** Returns a counter's value; 0 if it was never incremented. */
  read(name: string): number {
    return this.counters.get(name) ?? 0;
  }

  /** Returns a percentile of a histogram; 0 if nothing was recorded. */
  quantile(name: string, percent: number): number {
    return this.histograms.get(name)?.getValueAtPercentile(percent) ?? 0;
  }

  /** Returns all counters by name, for the periodic log line. */
  snapshot(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.counters);
  }

  /** Returns all metrics in the Prometheus text format. */
  toText(): string {
    return [...this.lines()].join('\n') + '\n';
  }

  private *lines(): Generator<string> {
    for (const [name, value] of this.counters) yield `${name} ${value}`;
    for (const [name, read] of this.gauges) yield `${name} ${read()}`;
    for (const [name, histogram] of this.histograms) {
      for (const percent of QUANTILES) {
        const value = histogram.getValueAtPercentile(percent);
        yield `${name}{quantile="${percent / 100}"} ${value}`;
      }
      yield `${name}_count ${histogram.totalCount}`;
    }
  }
}
