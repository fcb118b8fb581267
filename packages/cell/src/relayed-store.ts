/** A store client that calls through peers when direct calls fail. */
import type {Clock} from '@dragonflyward/common';
import {
  StoreError,
  Store,
  type AppendOptions,
  type KeyedRecord,
  type LogPage,
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
    try {
      const page = await direct();
      const tookMs = this.clock.monotonicMs() - sentMs;
      if (waitMs === 0) {
        this.latencyMs += (tookMs - this.latencyMs) * LATENCY_WEIGHT;
      }
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
): Promise<LogPage> {
  let failure: StoreFailure = 'refused';
  for (const peer of peers) {
    const reply = await requestFromPeer(peer, call);
    if (reply === null) {
      if (call.op === 'append') failure = 'unknown';
      continue;
    }
    const {endOffset, records, expectedSequence} = reply;
    if (reply.failure === null) return {endOffset, records};
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
): Promise<StoreReply | null> {
  try {
    return await peer.callStore(call, RELAY_TIMEOUT_MS);
  } catch {
    // The end of the connection is logged elsewhere; the outcome is unknown.
    return null;
  }
}

/**
 * Executes a store call on behalf of a peer.
 *
 * @example
 * return executeStoreCall(directStore, ask.call);
 */
export async function executeStoreCall(
  store: Store,
  call: StoreCall,
): Promise<StoreReply> {
  const reply = {type: 'store', failure: null, expectedSequence: -1} as const;
  try {
    if (call.op === 'append') {
      const {topic, records, at, producer} = call;
      const options = {
        ...(at < 0 ? {} : {at}),
        ...(producer === null ? {} : {producer}),
      };
      const endOffset = await store.append(topic, records, options);
      return {...reply, endOffset, records: []};
    }
    const page =
      call.op === 'read'
        ? await store.read(call.topic, call.from, 0)
        : await store.newest(call.topic);
    return {...reply, ...page};
  } catch (err) {
    if (!(err instanceof StoreError)) throw err;
    const {failure, expectedSequence} = err;
    return {...reply, failure, expectedSequence, endOffset: -1, records: []};
  }
}
