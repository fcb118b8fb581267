/** Follows the configuration stream, over the log or over a peer's tail. */
import type {Clock, EventRing, Metrics} from '@dragonflyward/common';
import {
  StreamTail,
  type ApplyResult,
  type LogClient,
  type LogRecord,
} from '@dragonflyward/log';
import type {PeerConnection, PeerMesh} from '@dragonflyward/peer';
import {
  CONFIG_STREAM,
  ConfigFreshness,
  ConfigState,
  type QueueConfig,
} from '@dragonflyward/state';
import type {VmEntry} from '@dragonflyward/vms';
import {ConfigView} from './config-view.js';

const TAIL_WAIT_MS = 500;
const PEER_ASK_PERIOD_MS = 500;
const PEER_ASK_TIMEOUT_MS = 500;
/** Peers are asked once the own newest read is older than this. */
const OWN_READ_MAX_AGE_MS = 1_500;

/** What the feed works with. */
export interface ConfigFeedParts {
  readonly log: LogClient;
  readonly clock: Clock;
  readonly events: EventRing;
  readonly metrics: Metrics;
  readonly mesh: () => PeerMesh;
  readonly vm: {readonly id: string; readonly domain: string};
  readonly maxAgeMs: number;
}

/** The configuration in force and how recent it is known to be. */
export class ConfigFeed extends ConfigView {
  readonly state = new ConfigState();
  private readonly tail: StreamTail;
  private readonly freshness: ConfigFreshness;
  private isRunning = false;

  constructor(private readonly parts: ConfigFeedParts) {
    super();
    const {log, clock, maxAgeMs, vm} = parts;
    this.tail = new StreamTail({
      client: log,
      stream: CONFIG_STREAM,
      fold: this.state,
      clock,
      waitMs: TAIL_WAIT_MS,
      onApplied: (record, result) => {
        this.noteApplied(record, result);
      },
    });
    const fold = this.state;
    const {domain} = vm;
    this.freshness = new ConfigFreshness({clock, maxAgeMs, domain, fold});
  }

  /** Starts to follow. */
  start(): void {
    this.isRunning = true;
    this.tail.start();
    void this.askPeers();
  }

  /** Stops. */
  stop(): void {
    this.isRunning = false;
    this.tail.stop();
  }

  /** Sets the entry VMs whose word on the log counts. */
  setEntryVms(entries: readonly VmEntry[]): void {
    const others = entries.filter(({id}) => id !== this.parts.vm.id);
    this.freshness.setListed(others.map(({id, domain}) => ({vm: id, domain})));
  }

  override queue(name: string): QueueConfig | undefined {
    return this.state.queue(name);
  }

  override teamOfKey(key: string): string | undefined {
    return this.state.teamOfKey(key);
  }

  override isFresh(): boolean {
    this.freshness.noteLogRead(this.tail.lastProofMs);
    return this.freshness.isFresh();
  }

  override isApplied(): boolean {
    return this.state.revision >= 0;
  }

  /** How old the newest read is that covers what is applied. */
  ageMs(): number {
    this.freshness.noteLogRead(this.tail.lastProofMs);
    return this.freshness.ageMs();
  }

  private async askPeers(): Promise<void> {
    while (this.isRunning) {
      await this.parts.clock.sleep(PEER_ASK_PERIOD_MS);
      const ageMs = this.parts.clock.monotonicMs() - this.tail.lastProofMs;
      if (ageMs < OWN_READ_MAX_AGE_MS) continue;
      const connections = [...this.parts.mesh().connections()];
      await Promise.all(connections.map(peer => this.askPeer(peer)));
    }
  }

  private async askPeer(connection: PeerConnection): Promise<void> {
    const askedMs = this.parts.clock.monotonicMs();
    const ask = {type: 'configTailAsk', from: this.state.nextOffset} as const;
    const reply = await connection
      .ask(ask, PEER_ASK_TIMEOUT_MS)
      .catch(() => undefined);
    if (reply?.type !== 'configTail' || connection.info === undefined) return;
    for (const record of reply.records) this.apply(record as LogRecord);
    const vm = connection.info.process.vm;
    const {ageMs, end} = reply;
    this.freshness.notePeerTail({vm, ageMs, end, askedMs});
  }

  private apply(record: LogRecord): void {
    if (record.offset !== this.state.nextOffset) return;
    this.noteApplied(record, this.state.apply(record));
  }

  private noteApplied(record: LogRecord, result: ApplyResult): void {
    const {metrics, events} = this.parts;
    const revision = record.offset;
    metrics.count(`config_records_total{result="${result}"}`);
    if (result === 'skipped') events.add('recordSkipped', {revision});
    if (result === 'applied') events.add('configApplied', {revision});
  }
}
