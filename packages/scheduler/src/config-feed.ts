/** The configuration stream: followed, passed on to peers, carried forward. */
import type {Clock, EventRing, Metrics} from '@dragonflyward/common';
import {StreamTail, StreamWriter, type LogClient} from '@dragonflyward/log';
import {
  askConfigTail,
  type ConfigTailReply,
  type PeerMesh,
} from '@dragonflyward/peer';
import {
  CONFIG_STREAM,
  ConfigExchange,
  ConfigFreshness,
  ConfigPeers,
  ConfigState,
  SnapshotTask,
  type ConfigTail,
  type ListedPeer,
} from '@dragonflyward/state';
import type {Membership} from './membership.js';

const TAIL_WAIT_MS = 500;

/** What the feed works with. */
export interface ConfigFeedParts {
  readonly log: LogClient;
  readonly clock: Clock;
  readonly events: EventRing;
  readonly metrics: Metrics;
  readonly membership: Membership;
  readonly mesh: PeerMesh;
  readonly ownVm: string;
  readonly domain: string;
  readonly maxAgeMs: number;
  /** Whether this process writes the snapshots of the stream now. */
  readonly isSnapshotAllowed: () => boolean;
}

class SchedulerConfigPeers extends ConfigPeers {
  constructor(private readonly parts: ConfigFeedParts) {
    super();
  }

  override listed(): readonly ListedPeer[] | undefined {
    const {membership, ownVm} = this.parts;
    if (membership.listSentMs === undefined) return undefined;
    const others = [...membership.entryVms()].filter(vm => vm.id !== ownVm);
    return others.map(({id, domain}) => ({vm: id, domain}));
  }

  override askTail(vm: string, from: number): Promise<ConfigTail> {
    return askConfigTail(this.parts.mesh, vm, from);
  }
}

/** Follows the configuration stream and passes it on. */
export class ConfigFeed {
  readonly state = new ConfigState();
  readonly tail: StreamTail;
  private readonly exchange: ConfigExchange;
  private isRunning = false;

  constructor(private readonly parts: ConfigFeedParts) {
    const {log, clock, events, metrics, domain, maxAgeMs} = parts;
    const fold = this.state;
    this.tail = new StreamTail({
      client: log,
      stream: CONFIG_STREAM,
      fold,
      clock,
      waitMs: TAIL_WAIT_MS,
      onApplied: (record, result) => {
        metrics.count(`config_records_total{result="${result}"}`);
        const revision = record.offset;
        if (result === 'skipped') events.add('recordSkipped', {revision});
        if (result === 'applied') events.add('configApplied', {revision});
      },
    });
    const {tail} = this;
    const freshness = new ConfigFreshness({clock, maxAgeMs, domain, fold});
    const peers = new SchedulerConfigPeers(parts);
    const common = {fold, tail, clock, freshness, peers, maxAgeMs};
    this.exchange = new ConfigExchange(common);
  }

  /** Starts to follow. */
  start(): void {
    const isWanted = (): boolean => this.isRunning;
    this.isRunning = true;
    this.tail.start();
    void this.exchange.run(isWanted);
    void this.snapshotTask().run(isWanted);
  }

  /** Ends all loops. */
  stop(): void {
    this.isRunning = false;
    this.tail.stop();
  }

  /** How long ago the end of the stream was read from the log itself. */
  readAgeMs(): number {
    return this.parts.clock.monotonicMs() - this.tail.lastProofMs;
  }

  /** Answers a peer that has applied all records before the offset. */
  tailFrom(from: number): ConfigTailReply {
    return {type: 'configTail', ...this.exchange.answer(from)};
  }

  private snapshotTask(): SnapshotTask {
    const {log, clock, events, isSnapshotAllowed: isAllowed} = this.parts;
    const {state: fold, tail} = this;
    const stream = CONFIG_STREAM;
    const writer = new StreamWriter({client: log, stream, tail, clock});
    return new SnapshotTask({fold, tail, writer, clock, events, isAllowed});
  }
}
