/** Counts the connections to peers that a limit has closed. */
import type {Clock, Metrics} from '@dragonflyward/common';
import type {PeerLimit} from '@dragonflyward/peer';
import type {LogFunction} from './platform.js';

/** Connections closed in this time are in one log line, in ms. */
const LOG_PERIOD_MS = 1000;

/** Dependencies of the counts. */
export interface PeerClosuresDeps {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: LogFunction;
}

/** Counts closed connections by limit, and logs them once a second at most. */
export class PeerClosures {
  private counts = new Map<PeerLimit, number>();

  constructor(private readonly deps: PeerClosuresDeps) {}

  /**
   * Records that a limit has closed a connection.
   *
   * @example
   * handler.onLimitExceeded = limit => closures.record(limit);
   */
  record(limit: PeerLimit): void {
    this.deps.metrics.count(`peers_closed_total{reason="${limit}"}`);
    if (this.counts.size === 0) void this.logLater();
    this.counts.set(limit, (this.counts.get(limit) ?? 0) + 1);
  }

  private async logLater(): Promise<void> {
    await this.deps.clock.sleep(LOG_PERIOD_MS);
    const reasons = Object.fromEntries(this.counts);
    this.counts = new Map();
    this.deps.log('peersClosed', {reasons});
  }
}
