/** Exchanges the newest records of the configuration stream between peers. */
import {newId, type Clock} from '@dragonflyward/common';
import type {LogRecord, StreamTail} from '@dragonflyward/log';
import type {ConfigFreshness, ListedPeer} from './config-freshness.js';
import type {ConfigState} from './config-state.js';
import type {SnapshotRecord} from './records.js';

const DEFAULT_MAX_RECENT_RECORDS = 1_000;
const PEER_POLL_INTERVAL_MS = 500;
/**
 * Peers are polled once the newest read is older than this fraction of its
 * maximum age.
 */
const PEER_POLL_AGE_FRACTION = 0.4;

/** A peer's answer: records, and how recent they are. */
export interface ConfigTail {
  /** The records from the requested offset on, or the parts of a snapshot. */
  readonly records: readonly unknown[];
  readonly ageMs: number;
  readonly end: number;
}

/** Access to peers that may have newer records of the configuration. */
export abstract class ConfigPeers {
  /**
   * The entry VMs of the list of VMs without this one; undefined until the
   * first list was read.
   */
  abstract listedPeers(): readonly ListedPeer[] | undefined;
  /**
   * Requests the records of the peer from the offset on.
   *
   * @throws peerDown, peerLost
   */
  abstract requestTail(vm: string, from: number): Promise<ConfigTail>;
}

/** Options of the exchange. */
export interface ConfigExchangeOptions {
  readonly state: ConfigState;
  readonly tail: StreamTail;
  readonly clock: Clock;
  readonly freshness: ConfigFreshness;
  readonly peers: ConfigPeers;
  readonly maxAgeMs: number;
  /**
   * How many records are kept for peers. A peer that lacks more gets a
   * snapshot.
   */
  readonly maxRecentRecords?: number;
}

/** Answers requests of peers, and polls them while the log cannot be read. */
export class ConfigExchange {
  private recentRecords: readonly LogRecord[] = [];

  constructor(private readonly options: ConfigExchangeOptions) {
    const {tail, maxRecentRecords = DEFAULT_MAX_RECENT_RECORDS} = options;
    tail.listen(record => {
      this.recentRecords = [...this.recentRecords, record].slice(
        -maxRecentRecords,
      );
    });
  }

  /**
   * Answers a peer that has applied all records before the offset.
   *
   * @example
   * return {type: 'configTail', ...exchange.answer(request.from)};
   */
  answer(from: number): ConfigTail {
    const {state, freshness} = this.options;
    this.recordOwnRead();
    const ageMs = freshness.ageMs();
    const end = state.nextOffset;
    if (!state.isComplete) return {records: [], ageMs: Infinity, end: 0};
    return {records: this.recordsFrom(from), ageMs, end};
  }

  /** Keeps the freshness up to date until told to stop. */
  async run(shouldRun: () => boolean): Promise<void> {
    const {clock, peers, freshness} = this.options;
    while (shouldRun()) {
      this.recordOwnRead();
      const listed = peers.listedPeers();
      if (listed !== undefined) freshness.setListed(listed);
      if (this.isPollDue()) await this.pollPeers(listed ?? []);
      await clock.sleep(PEER_POLL_INTERVAL_MS);
    }
  }

  private recordOwnRead(): void {
    const {state, tail, freshness} = this.options;
    if (state.isComplete) freshness.recordLogRead(tail.lastCaughtUpMs);
  }

  private isPollDue(): boolean {
    const {freshness, maxAgeMs} = this.options;
    return freshness.ageMs() > maxAgeMs * PEER_POLL_AGE_FRACTION;
  }

  private async pollPeers(listed: readonly ListedPeer[]): Promise<void> {
    await Promise.all(listed.map(({vm}) => this.pollPeer(vm)));
  }

  private async pollPeer(vm: string): Promise<void> {
    const {clock, state, freshness, peers} = this.options;
    const requestedMs = clock.monotonicMs();
    try {
      const from = state.isComplete ? state.nextOffset : 0;
      const {records, ageMs, end} = await peers.requestTail(vm, from);
      this.applyPeerRecords(records);
      freshness.recordPeerTail({vm, ageMs, end, requestedMs});
    } catch {
      // A failed request counts as no answer of this peer.
    }
  }

  private applyPeerRecords(records: readonly unknown[]): void {
    const {state, tail} = this.options;
    const [first] = records;
    if (first === undefined) return;
    if (isSnapshotPart(first)) state.adopt(records as SnapshotRecord[]);
    else tail.applyFromPeer(records as LogRecord[]);
  }

  private recordsFrom(from: number): readonly unknown[] {
    const {state} = this.options;
    const missingCount = state.nextOffset - from;
    if (missingCount <= 0) return [];
    const records = this.recentRecords.filter(({offset}) => offset >= from);
    const areAllRecent = records.length === missingCount;
    return areAllRecent ? records : state.snapshot(newId('snapshot'));
  }
}

function isSnapshotPart(record: unknown): boolean {
  return typeof record === 'object' && record !== null && 'covers' in record;
}
