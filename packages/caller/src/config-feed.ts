/** Follows the configuration stream, over the log or over peers. */
import type {Clock, EventRing, Metrics} from '@dragonflyward/common';
import {
  StreamTail,
  type ApplyResult,
  type LogClient,
  type LogRecord,
} from '@dragonflyward/log';
import {askConfigTail, type PeerMesh} from '@dragonflyward/peer';
import {
  CONFIG_STREAM,
  ConfigExchange,
  ConfigFreshness,
  ConfigPeers,
  ConfigState,
  type ConfigTail,
  type ListedPeer,
  type QueueConfig,
} from '@dragonflyward/state';
import {ConfigView} from './config-view.js';
import type {VmView} from './vm-view.js';

const TAIL_WAIT_MS = 500;

/** What the feed works with. */
export interface ConfigFeedParts {
  readonly log: LogClient;
  readonly clock: Clock;
  readonly events: EventRing;
  readonly metrics: Metrics;
  readonly peers: ConfigPeers;
  readonly domain: string;
  readonly maxAgeMs: number;
}

/** The schedulers on the listed entry VMs. */
export class MeshConfigPeers extends ConfigPeers {
  constructor(
    private readonly mesh: PeerMesh,
    private readonly vms: VmView,
    private readonly ownVm: string,
  ) {
    super();
  }

  override listed(): readonly ListedPeer[] | undefined {
    if (!this.vms.isKnown) return undefined;
    const others = this.vms.entryVms().filter(({id}) => id !== this.ownVm);
    return others.map(({id, domain}) => ({vm: id, domain}));
  }

  override askTail(vm: string, from: number): Promise<ConfigTail> {
    return askConfigTail(this.mesh, vm, from);
  }
}

/** The configuration in force and how recent it is known to be. */
export class ConfigFeed extends ConfigView {
  readonly state = new ConfigState();
  private readonly tail: StreamTail;
  private readonly freshness: ConfigFreshness;
  private readonly exchange: ConfigExchange;
  private isRunning = false;

  constructor(private readonly parts: ConfigFeedParts) {
    super();
    const {log, clock, maxAgeMs, domain, peers} = parts;
    const fold = this.state;
    this.tail = new StreamTail({
      client: log,
      stream: CONFIG_STREAM,
      fold,
      clock,
      waitMs: TAIL_WAIT_MS,
      onApplied: (record, result) => {
        this.noteApplied(record, result);
      },
    });
    this.freshness = new ConfigFreshness({clock, maxAgeMs, domain, fold});
    const {tail, freshness} = this;
    const options = {fold, tail, clock, freshness, peers, maxAgeMs};
    this.exchange = new ConfigExchange(options);
  }

  /** Starts to follow. */
  start(): void {
    this.isRunning = true;
    this.tail.start();
    void this.exchange.run(() => this.isRunning);
  }

  /** Stops. */
  stop(): void {
    this.isRunning = false;
    this.tail.stop();
  }

  override queue(name: string): QueueConfig | undefined {
    return this.state.queue(name);
  }

  override teamOfKey(key: string): string | undefined {
    return this.state.teamOfKey(key);
  }

  override isFresh(): boolean {
    this.noteOwnRead();
    return this.freshness.isFresh();
  }

  override isApplied(): boolean {
    return this.state.revision >= 0;
  }

  /** How old the newest read is that covers what is applied. */
  ageMs(): number {
    this.noteOwnRead();
    return this.freshness.ageMs();
  }

  private noteOwnRead(): void {
    if (!this.state.isComplete) return;
    this.freshness.noteLogRead(this.tail.lastProofMs);
  }

  private noteApplied(record: LogRecord, result: ApplyResult): void {
    const {metrics, events} = this.parts;
    const revision = record.offset;
    metrics.count(`config_records_total{result="${result}"}`);
    if (result === 'skipped') events.add('recordSkipped', {revision});
    if (result === 'applied') events.add('configApplied', {revision});
  }
}
