/** The configuration and the closed failure domains that a VM knows. */
import type {Clock} from '@dragonflyward/common';
import {keepRunning, skipInvalid} from './background.js';
import {ClosedDomains, type DomainClosure} from './evacuation/index.js';
import {Follower} from './follower.js';
import {ConfigLag} from './following/index.js';
import type {Members} from './members.js';
import type {OwnerAddress} from './ownership.js';
import type {LogFunction, Platform} from './platform.js';
import type {StoredRecord, Store} from './store.js';
import type {CellConfig} from './types.js';

/** How long a read waits in the store for a new configuration, in ms. */
const CONFIG_READ_WAIT_MS = 1000;
/** Timeout of a request to a peer for its configuration, in ms. */
const CONFIG_ASK_TIMEOUT_MS = 800;
/** A peer is asked for what the store has not begun to send by then, in ms. */
const CONFIG_ASK_DELAY_MS = 400;
/** A newer version that is not applied within this time is logged, in ms. */
const LAG_REPORT_MS = 2000;

/** Where a configuration came from. */
type ConfigSource = 'store' | 'peer';

/** Dependencies of the feed. */
export interface ConfigFeedDeps {
  readonly platform: Platform;
  readonly store: Store;
  readonly members: Members;
  readonly clock: Clock;
  readonly log: LogFunction;
  /** Called when a newer configuration takes effect. */
  readonly onConfig: (config: CellConfig) => void;
  /**
   * Called when a failure domain was closed or opened, with the offset of the
   * record; -1 if a full read of the topic no longer showed one.
   */
  readonly onClosure: (closure: DomainClosure, offset: number) => void;
}

/**
 * Applies the newest configuration, and ignores older ones, and the closures of
 * failure domains.
 */
export class ConfigFeed {
  private config: CellConfig | null = null;
  private value: Uint8Array = new Uint8Array(0);
  /** The failure domains in which no task may start. */
  readonly closedDomains = new ClosedDomains();
  private readonly follower: Follower;
  /** Ends the request to a peer; null while there is none. */
  private request: AbortController | null = null;
  private readonly lag: ConfigLag;
  private lagReportedMs = -Infinity;

  constructor(private readonly deps: ConfigFeedDeps) {
    const {platform, store, clock, log} = deps;
    this.lag = new ConfigLag(clock);
    this.follower = new Follower(
      store,
      clock,
      {
        topic: platform.operatorTopic,
        pauseMs: 0,
        waitMs: CONFIG_READ_WAIT_MS,
        log,
      },
      skipInvalid(log, record => this.applyStored(record)),
      keys => this.openDeleted(keys),
    );
  }

  /** Starts to follow the store. */
  start(): void {
    void keepRunning('configReads', () => this.follower.run(), this.deps);
  }

  /** Stops following the store. */
  stop(): void {
    this.follower.stop();
  }

  /** Whether the operator's topic was read completely at least once. */
  get isLoaded(): boolean {
    return this.follower.freshMs > -Infinity;
  }

  /** The configuration in force, or null before the first. */
  get current(): CellConfig | null {
    return this.config;
  }

  /** The version in force, or -1 before the first. */
  get version(): number {
    return this.config?.version ?? -1;
  }

  /** The encoded configuration from the operator; empty before the first. */
  get stored(): Uint8Array {
    return this.value;
  }

  /** How long a newer version has been known, in ms; 0 if none is. */
  get lagMs(): number {
    return this.lag.lagMs;
  }

  /**
   * Time since the operator's topic was known to be read to its end, in ms; -1
   * before that.
   */
  get readAgeMs(): number {
    const {freshMs} = this.follower;
    if (freshMs === -Infinity) return -1;
    return Math.round(this.deps.clock.monotonicMs() - freshMs);
  }

  /**
   * Learns the version of a peer, and requests it if it is newer and the store
   * does not send it: two copies would share the link.
   */
  async recordPeerVersion(
    address: OwnerAddress,
    version: number,
  ): Promise<void> {
    if (version <= this.version) return;
    this.lag.recordPeer(version);
    this.reportLag(address, version);
    if (this.follower.isReceiving || this.isJustKnown) return;
    await this.requestFromPeer(address);
  }

  /** Requests the configuration of a peer that has a newer one. */
  async requestFromPeer(address: OwnerAddress): Promise<void> {
    const connection = this.deps.members.connectionTo(address);
    if (connection === undefined || this.request !== null) return;
    const request = new AbortController();
    const {signal} = request;
    this.request = request;
    try {
      const ask = {type: 'configAsk'} as const;
      const reply = await connection.ask(ask, CONFIG_ASK_TIMEOUT_MS, {signal});
      if (reply.type !== 'config' || reply.value.length === 0) return;
      const record = {key: 'config', value: reply.value, offset: -1};
      this.applyRecord(record, 'peer');
    } catch (err) {
      if (signal.aborted) return;
      const {version} = this;
      const fields = {peer: address.vm, version, err: String(err)};
      this.deps.log('configAskFailed', fields);
    } finally {
      this.request = null;
    }
  }

  /** The read that waits in the store may be about to return. */
  private get isJustKnown(): boolean {
    return this.config !== null && this.lag.lagMs < CONFIG_ASK_DELAY_MS;
  }

  private reportLag({vm: peer}: OwnerAddress, peerVersion: number): void {
    const {version, lagMs, readAgeMs} = this;
    const nowMs = this.deps.clock.monotonicMs();
    if (lagMs < LAG_REPORT_MS || nowMs - this.lagReportedMs < LAG_REPORT_MS) {
      return;
    }
    this.lagReportedMs = nowMs;
    const {offset} = this.follower.position;
    this.deps.log('configBehind', {
      version,
      peer,
      peerVersion,
      lagMs: Math.round(lagMs),
      readAgeMs,
      offset,
    });
  }

  private applyStored(record: StoredRecord): void {
    const closure = this.deps.platform.decodeDomainClosure(record);
    if (closure === null) {
      this.applyRecord(record, 'store');
      if (this.lagMs === 0) this.request?.abort();
      return;
    }
    if (!this.closedDomains.apply(closure, record)) return;
    this.deps.onClosure(closure, record.offset);
  }

  /** Opens the domains whose records a full read of the topic did not show. */
  private openDeleted(keys: ReadonlySet<string>): void {
    for (const {domain} of this.closedDomains.openMissing(keys)) {
      this.deps.onClosure({domain, isClosed: false}, -1);
    }
  }

  private applyRecord(record: StoredRecord, source: ConfigSource): void {
    const config = this.deps.platform.decodeConfig(record);
    if (config === null || config.version <= this.version) return;
    this.config = config;
    this.value = record.value;
    const lagMs = Math.round(this.lag.lagMs);
    this.lag.recordApplied(config.version);
    this.deps.log('configApplied', {
      version: config.version,
      source,
      lagMs,
      bytes: record.value.length,
      queues: config.queues.length,
      keys: config.keys.size,
    });
    this.deps.onConfig(config);
  }
}
