/** The store, also for a VM that it turns away: peers make its calls then. */
import type {Clock} from '@dragonflyward/common';
import {
  StoreError,
  Store,
  type AppendOptions,
  type KeyedRecord,
  type LogPage,
  type StoreFailure,
} from './store.js';
import type {StoreCall, StoreReply} from './messages.js';

/** A direct call that takes this many times the usual is made by a peer too. */
const HEDGE_FACTOR = 4;
/** Bounds of the time after which that happens, in ms. */
const MIN_HEDGE_MS = 250;
const MAX_HEDGE_MS = 1500;
/** Weight of the newest call in the usual time. */
const LATENCY_WEIGHT = 0.3;
/** After a failed direct call, peers are asked first for that long, in ms. */
const PEERS_FIRST_MS = 1000;
/** How long a peer may take, in ms. */
const RELAY_TIMEOUT_MS = 900;
/** How many peers are tried for one call. */
const PEERS_PER_CALL = 2;

/** A peer that can make calls to the store. */
export interface StorePeer {
  readonly callStore: (
    call: StoreCall,
    timeoutMs: number,
  ) => Promise<StoreReply>;
}

/** Makes each call itself, through a peer, or both. */
export class RelayedStore extends Store {
  private directFailedMs = -Infinity;
  /** The usual time of a direct call, without its own waiting. */
  private latencyMs = 0;

  constructor(
    private readonly direct: Store,
    private readonly peers: () => readonly StorePeer[],
    private readonly clock: Clock,
  ) {
    super();
  }

  /** Whether the newest direct call succeeded. */
  get isDirectOk(): boolean {
    return this.clock.monotonicMs() - this.directFailedMs > PEERS_FIRST_MS;
  }

  override async append(
    topic: string,
    records: readonly KeyedRecord[],
    options: AppendOptions = {},
  ): Promise<number> {
    const {at = -1, producer = null} = options;
    const call = {op: 'append', topic, records, at, producer} as const;
    const page = await this.make(call, async () => ({
      endOffset: await this.direct.append(topic, records, options),
      records: [],
    }));
    return page.endOffset;
  }

  override read(topic: string, from: number, waitMs: number): Promise<LogPage> {
    const call = {op: 'read', topic, from} as const;
    const direct = () => this.direct.read(topic, from, waitMs);
    return this.make(call, direct, waitMs);
  }

  override newest(topic: string): Promise<LogPage> {
    const call = {op: 'newest', topic} as const;
    return this.make(call, () => this.direct.newest(topic));
  }

  private async make(
    call: StoreCall,
    direct: () => Promise<LogPage>,
    waitMs = 0,
  ): Promise<LogPage> {
    const peers = this.peers().slice(0, PEERS_PER_CALL);
    if (peers.length === 0) return this.callDirect(direct, waitMs);
    if (!this.isDirectOk) {
      const relayed = await this.settle(relay(call, peers));
      if ('page' in relayed) return relayed.page;
      if (relayed.err.failure !== 'refused') throw relayed.err;
      return this.callDirect(direct, waitMs);
    }
    return this.callHedged(call, peers, direct, waitMs);
  }

  /** Calls directly, and through a peer where that fails or takes long. */
  private async callHedged(
    call: StoreCall,
    peers: readonly StorePeer[],
    direct: () => Promise<LogPage>,
    waitMs: number,
  ): Promise<LogPage> {
    const first = this.settle(this.callDirect(direct, waitMs));
    const usualMs = HEDGE_FACTOR * this.latencyMs;
    const hedgeMs =
      waitMs + Math.max(MIN_HEDGE_MS, Math.min(MAX_HEDGE_MS, usualMs));
    const late = this.clock.sleep(hedgeMs).then(() => null);
    const early = await Promise.race([first, late]);
    if (early !== null) {
      if ('page' in early) return early.page;
      if (isAnswer(early.err.failure)) throw early.err;
    }
    const second = this.settle(relay(call, peers));
    const winner = await firstPage(first, second);
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
      if (err instanceof StoreError && !isAnswer(err.failure)) {
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

/** Whether the store itself has answered, so that no other path helps. */
function isAnswer(failure: StoreFailure): boolean {
  return failure === 'conflict' || failure === 'expired';
}

async function firstPage(
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
  return worse(first.settled, other);
}

/** Of two failures the one that says more, or leaves more open. */
function worse(
  a: {readonly err: StoreError},
  b: {readonly err: StoreError},
): Settled {
  if (isAnswer(a.err.failure)) return a;
  if (isAnswer(b.err.failure)) return b;
  return a.err.failure === 'unknown' ? a : b;
}

async function relay(
  call: StoreCall,
  peers: readonly StorePeer[],
): Promise<LogPage> {
  let failure: StoreFailure = 'refused';
  for (const peer of peers) {
    const reply = await askPeer(peer, call);
    if (reply === null) {
      if (call.op === 'append') failure = 'unknown';
      continue;
    }
    const {endOffset, records, expectedSequence} = reply;
    if (reply.failure === null) return {endOffset, records};
    if (isAnswer(reply.failure)) {
      throw new StoreError(reply.failure, 'by a peer', expectedSequence);
    }
    if (reply.failure === 'unknown') failure = 'unknown';
  }
  throw new StoreError(failure, 'no peer could make the call');
}

/** Null where the peer gave no answer: the call may have been made. */
async function askPeer(
  peer: StorePeer,
  call: StoreCall,
): Promise<StoreReply | null> {
  try {
    return await peer.callStore(call, RELAY_TIMEOUT_MS);
  } catch {
    // The connection is logged where it ends; the outcome counts as unknown.
    return null;
  }
}

/**
 * Makes a call for a peer.
 *
 * @example
 * return makeStoreCall(directStore, ask.call);
 */
export async function makeStoreCall(
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
