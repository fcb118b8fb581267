/** The configuration in force on a VM: from the store, else from a peer. */
import type {Clock} from '@dragonflyward/common';
import {Follower} from './follower.js';
import type {Members} from './members.js';
import type {OwnerAddress} from './ownership.js';
import type {LogLine, Platform} from './platform.js';
import type {PlacedRecord, Store} from './store.js';
import type {CellConfig} from './types.js';

/** How long the store may wait for a configuration, in ms. */
const CONFIG_WAIT_MS = 1000;
/** How long a peer may take to send its configuration, in ms. */
const CONFIG_ASK_TIMEOUT_MS = 800;

/** Where a configuration came from. */
type ConfigSource = 'store' | 'peer';

/** What a feed needs of its VM. */
export interface ConfigFeedDeps {
  readonly platform: Platform;
  readonly store: Store;
  readonly members: Members;
  readonly clock: Clock;
  readonly log: LogLine;
  /** A newer configuration is in force. */
  readonly onConfig: (config: CellConfig) => void;
}

/** Takes over the newest configuration; an older one changes nothing. */
export class ConfigFeed {
  private config: CellConfig | null = null;
  private value: Uint8Array = new Uint8Array(0);
  private readonly follower: Follower;
  private isAsking = false;

  constructor(private readonly deps: ConfigFeedDeps) {
    const {platform, store, clock} = deps;
    this.follower = new Follower(
      store,
      clock,
      {topic: platform.operatorTopic, pauseMs: 0, waitMs: CONFIG_WAIT_MS},
      record => this.takeRecord(record, 'store'),
    );
  }

  /** Starts to follow the store. */
  start(): void {
    void this.follower.run();
  }

  /** Stops to follow the store. */
  stop(): void {
    this.follower.stop();
  }

  /** The configuration in force; null before the first. */
  get current(): CellConfig | null {
    return this.config;
  }

  /** Its version; -1 before the first. */
  get version(): number {
    return this.config?.version ?? -1;
  }

  /** The configuration as the operator wrote it; empty before the first. */
  get stored(): Uint8Array {
    return this.value;
  }

  /** Gets the configuration of a peer that has a newer one. */
  async askPeer(address: OwnerAddress): Promise<void> {
    const connection = this.deps.members.connectionTo(address);
    if (connection === undefined || this.isAsking) return;
    this.isAsking = true;
    try {
      const timeoutMs = CONFIG_ASK_TIMEOUT_MS;
      const reply = await connection.ask({type: 'configAsk'}, timeoutMs);
      if (reply.type !== 'config' || reply.value.length === 0) return;
      const record = {key: 'config', value: reply.value, offset: -1};
      this.takeRecord(record, 'peer');
    } catch (err) {
      this.deps.log('configAskFailed', {peer: address.vm, err: String(err)});
    } finally {
      this.isAsking = false;
    }
  }

  private takeRecord(record: PlacedRecord, source: ConfigSource): void {
    const config = this.deps.platform.decodeConfig(record);
    if (config === null || config.version <= this.version) return;
    this.config = config;
    this.value = record.value;
    this.deps.log('configApplied', {
      version: config.version,
      source,
      queues: config.queues.length,
      keys: config.keys.size,
    });
    this.deps.onConfig(config);
  }
}
