/** Follows the configuration stream through the log or through peers. */
import type {Clock, EventRing, Metrics} from '@dragonflyward/common';
import {
  StreamTail,
  type ApplyResult,
  type LogClient,
  type LogRecord,
} from '@dragonflyward/log';
import {
  ConfigExchange,
  type ConfigPeers,
  type ConfigTail,
} from './config-exchange.js';
import {ConfigFreshness} from './config-freshness.js';
import {ConfigState} from './config-state.js';
import {CONFIG_STREAM} from './records.js';

const TAIL_READ_WAIT_MS = 500;

/** Options of a follower. */
export interface ConfigFollowerOptions {
  readonly log: LogClient;
  readonly clock: Clock;
  readonly events: EventRing;
  readonly metrics: Metrics;
  readonly peers: ConfigPeers;
  /** The failure domain of this process's VM. */
  readonly domain: string;
  /** Maximum age of the newest read for the configuration to be fresh. */
  readonly maxAgeMs: number;
}

/** Keeps the configuration in force and tracks how recent it is. */
export class ConfigFollower {
  readonly state = new ConfigState();
  readonly tail: StreamTail;
  private readonly freshness: ConfigFreshness;
  private readonly exchange: ConfigExchange;
  private isRunning = false;

  constructor(private readonly options: ConfigFollowerOptions) {
    const {log, clock, maxAgeMs, domain, peers} = options;
    const state = this.state;
    this.tail = new StreamTail({
      client: log,
      stream: CONFIG_STREAM,
      state,
      clock,
      waitMs: TAIL_READ_WAIT_MS,
      onApplied: (record, result) => {
        this.reportResult(record, result);
      },
    });
    this.freshness = new ConfigFreshness({clock, maxAgeMs, domain, state});
    const {tail, freshness} = this;
    const exchangeOptions = {state, tail, clock, freshness, peers, maxAgeMs};
    this.exchange = new ConfigExchange(exchangeOptions);
  }

  /** Starts following the stream. */
  start(): void {
    this.isRunning = true;
    this.tail.start();
    void this.exchange.run(() => this.isRunning);
  }

  /** Stops following the stream. */
  stop(): void {
    this.isRunning = false;
    this.tail.stop();
  }

  /** Whether the configuration is recent enough to act on. */
  isFresh(): boolean {
    this.recordOwnRead();
    return this.freshness.isFresh();
  }

  /**
   * Age of the newest read of the log, by this process or a peer, that covers
   * the applied records.
   */
  ageMs(): number {
    this.recordOwnRead();
    return this.freshness.ageMs();
  }

  /** Time since this process itself last read the end of the stream. */
  readAgeMs(): number {
    return this.options.clock.monotonicMs() - this.tail.lastCaughtUpMs;
  }

  /**
   * Answers a peer that has applied all records before the offset.
   *
   * @example
   * return {type: 'configTail', ...follower.answer(request.from)};
   */
  answer(from: number): ConfigTail {
    return this.exchange.answer(from);
  }

  private recordOwnRead(): void {
    if (!this.state.isComplete) return;
    this.freshness.recordLogRead(this.tail.lastCaughtUpMs);
  }

  private reportResult(record: LogRecord, result: ApplyResult): void {
    const {metrics, events} = this.options;
    const revision = record.offset;
    metrics.count(`config_records_total{result="${result}"}`);
    if (result === 'skipped') events.add('recordSkipped', {revision});
    if (result === 'applied') events.add('configApplied', {revision});
  }
}
