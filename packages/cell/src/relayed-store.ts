/** A store client that calls through peers when direct calls fail. */
import type {Clock} from '@dragonflyward/common';
import {recordSize} from './append-size.js';
import {
  StoreError,
  Store,
  type AppendOptions,
  type KeyedRecord,
  type LogPage,
  type NewestPage,
  type StoreFailure,
  type StoreLimits,
} from './store.js';
import type {StoreCall, StoreReply} from './messages.js';

/** A peer repeats a direct call that takes this multiple of the latency. */
const HEDGE_LATENCY_FACTOR = 4;
/** Bounds of the delay before such a hedged call, in ms. */
const MIN_HEDGE_MS = 250;
const MAX_HEDGE_MS = 1500;
/** Weight of the newest call in the moving average of the latency. */
const LATENCY_WEIGHT = 0.3;
/** How long peers are called first after a failed direct call, in ms. */
const PEER_PREFERENCE_MS = 1000;
/** Timeout of a call through a peer, in ms. */
const RELAY_TIMEOUT_MS = 900;
/** The same for a page of a bulk read, which may be 1 MB; in ms. */
const BULK_RELAY_TIMEOUT_MS = 5000;
/** Maximum number of peers that are tried for one call. */
const MAX_PEERS_PER_CALL = 2;

/** A peer that can call the store. */
export interface StorePeer {
  readonly callStore: (
    call: StoreCall,
    timeoutMs: number,
  ) => Promise<StoreReply>;
}

/** Makes each call directly, through a peer, or both. */
export class RelayedStore extends Store {
  private directFailedMs = -Infinity;
  /** Average latency of direct calls that do not wait for records. */
  private latencyMs = 0;

  constructor(
    private readonly direct: Store,
    private readonly peers: () => readonly StorePeer[],
    private readonly clock: Clock,
  ) {
    super();
  }

  override get limits(): StoreLimits {
    return this.direct.limits;
  }

  /** Whether no direct call has failed recently without a later success. */
  get isDirectAvailable(): boolean {
    return this.clock.monotonicMs() - this.directFailedMs > PEER_PREFERENCE_MS;
  }

  override async append(
    topic: string,
    records: readonly KeyedRecord[],
    options: AppendOptions = {},
  ): Promise<number> {
    const {at = -1, producer = null} = options;
    const call = {op: 'append', topic, records, at, producer} as const;
    const page = await this.execute(call, async () => ({
      endOffset: await this.direct.append(topic, records, options),
      records: [],
    }));
    return page.endOffset;
  }

  override read(topic: string, from: number, waitMs: number): Promise<LogPage> {
    const call = {op: 'read', topic, from} as const;
    const direct = () => this.direct.read(topic, from, waitMs);
    return this.execute(call, direct, waitMs);
  }

  override newest(topic: string): Promise<LogPage> {
    const call = {op: 'newest', topic} as const;
    return this.execute(call, () => this.direct.newest(topic));
  }

  /**
   * Goes through a peer only after a failed direct call: a copy of a large
   * response would take its share of the same link.
   */
  override async newestPage(
    topic: string,
    after: string,
    onData: (bytes: number) => void = () => undefined,
  ): Promise<NewestPage> {
    const call = {op: 'newest', topic, after} as const;
    const peers = this.peers().slice(0, MAX_PEERS_PER_CALL);
    const direct = (): Promise<NewestPage> =>
      this.trackDirect(() => this.direct.newestPage(topic, after, onData));
    const throughPeers = async (): Promise<NewestPage> => {
      const page = await callThroughPeers(call, peers, BULK_RELAY_TIMEOUT_MS);
      onData(page.records.reduce((sum, each) => sum + recordSize(each), 0));
      return page;
    };
    if (peers.length === 0) return direct();
    return this.isDirectAvailable
      ? firstToSucceed(direct, throughPeers)
      : firstToSucceed(throughPeers, direct);
  }

  private async execute(
    call: StoreCall,
    direct: () => Promise<LogPage>,
    waitMs = 0,
  ): Promise<LogPage> {
    const peers = this.peers().slice(0, MAX_PEERS_PER_CALL);
    if (peers.length === 0) return this.callDirect(direct, waitMs);
    if (!this.isDirectAvailable) {
      const relayed = await this.settle(callThroughPeers(call, peers));
      if ('page' in relayed) return relayed.page;
      if (relayed.err.failure !== 'refused') throw relayed.err;
      return this.callDirect(direct, waitMs);
    }
    return this.callHedged(call, peers, direct, waitMs);
  }

  /** Calls directly, and through a peer if that fails or takes long. */
  private async callHedged(
    call: StoreCall,
    peers: readonly StorePeer[],
    direct: () => Promise<LogPage>,
    waitMs: number,
  ): Promise<LogPage> {
    const first = this.settle(this.callDirect(direct, waitMs));
    const scaledMs = HEDGE_LATENCY_FACTOR * this.latencyMs;
    const hedgeMs =
      waitMs + Math.max(MIN_HEDGE_MS, Math.min(MAX_HEDGE_MS, scaledMs));
    const timeout = this.clock.sleep(hedgeMs).then(() => null);
    const result = await Promise.race([first, timeout]);
    if (result !== null) {
      if ('page' in result) return result.page;
      if (isDefinitive(result.err.failure)) throw result.err;
    }
    const second = this.settle(callThroughPeers(call, peers));
    const winner = await firstSuccess(first, second);
    if ('page' in winner) return winner.page;
    throw winner.err;
  }

  private async callDirect(
    direct: () => Promise<LogPage>,
    waitMs: number,
  ): Promise<LogPage> {
    const sentMs = this.clock.monotonicMs();
    const page = await this.trackDirect(direct);
    const tookMs = this.clock.monotonicMs() - sentMs;
    if (waitMs === 0) {
      this.latencyMs += (tookMs - this.latencyMs) * LATENCY_WEIGHT;
    }
    return page;
  }

  /** Records whether the store can be called directly. */
  private async trackDirect<T>(direct: () => Promise<T>): Promise<T> {
    try {
      const page = await direct();
      this.directFailedMs = -Infinity;
      return page;
    } catch (err) {
      if (err instanceof StoreError && !isDefinitive(err.failure)) {
        this.directFailedMs = this.clock.monotonicMs();
      }
      throw err;
    }
  }

  private async settle(page: Promise<LogPage>): Promise<Settled> {
    try {
      return {page: await page};
    } catch (err) {
      if (err instanceof StoreError) return {err};
      throw err;
    }
  }
}

type Settled = {readonly page: LogPage} | {readonly err: StoreError};

/** Whether the store itself answered, so that a retry elsewhere is useless. */
function isDefinitive(failure: StoreFailure): boolean {
  return failure === 'conflict' || failure === 'expired';
}

async function firstSuccess(
  a: Promise<Settled>,
  b: Promise<Settled>,
): Promise<Settled> {
  const first = await Promise.race([
    a.then(settled => ({settled, other: b})),
    b.then(settled => ({settled, other: a})),
  ]);
  if ('page' in first.settled) return first.settled;
  const other = await first.other;
  if ('page' in other) return other;
  return moreInformative(first.settled, other);
}

/** Makes one call after the other, unless the store itself answered. */
async function firstToSucceed(
  first: () => Promise<NewestPage>,
  second: () => Promise<NewestPage>,
): Promise<NewestPage> {
  try {
    return await first();
  } catch (err) {
    if (!(err instanceof StoreError) || isStoreAnswer(err)) throw err;
    return await second().catch((other: unknown) => {
      throw isStoreAnswer(other) ? other : err;
    });
  }
}

function isStoreAnswer(err: unknown): boolean {
  return err instanceof StoreError && isDefinitive(err.failure);
}

/** Prefers a definitive failure, then one with an unknown outcome. */
function moreInformative(
  a: {readonly err: StoreError},
  b: {readonly err: StoreError},
): Settled {
  if (isDefinitive(a.err.failure)) return a;
  if (isDefinitive(b.err.failure)) return b;
  return a.err.failure === 'unknown' ? a : b;
}

async function callThroughPeers(
  call: StoreCall,
  peers: readonly StorePeer[],
  timeoutMs = RELAY_TIMEOUT_MS,
): Promise<NewestPage> {
  let failure: StoreFailure = 'refused';
  for (const peer of peers) {
    const reply = await requestFromPeer(peer, call, timeoutMs);
    if (reply === null) {
      if (call.op === 'append') failure = 'unknown';
      continue;
    }
    const {endOffset, records, expectedSequence, hasMore = false} = reply;
    if (reply.failure === null) return {endOffset, records, hasMore};
    if (isDefinitive(reply.failure)) {
      throw new StoreError(
        reply.failure,
        'reported through a peer',
        expectedSequence,
      );
    }
    if (reply.failure === 'unknown') failure = 'unknown';
  }
  throw new StoreError(failure, 'no peer could make the call');
}

/** Returns null if the peer gave no answer: the call may have been made. */
async function requestFromPeer(
  peer: StorePeer,
  call: StoreCall,
  timeoutMs: number,
): Promise<StoreReply | null> {
  try {
    return await peer.callStore(call, timeoutMs);
  } catch {
    // The end of the connection is logged elsewhere; the outcome is unknown.
    return null;
  }
}
