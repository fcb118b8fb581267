/** A store client that calls through peers when direct calls fail. */
import type {Clock} from '@dragonflyward/common';
import type {AskOptions} from '@dragonflyward/peer';
import {setRecent} from './recent-entries.js';
import {
  firstSuccess,
  isAnswered,
  isDefinitive,
  pageOf,
  pageSize,
  type Settled,
} from './settled-call.js';
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
import {isStoreReply} from './store-checks.js';
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
/** Interval at which it is checked whether direct calls fail, in ms. */
const DIRECT_CHECK_INTERVAL_MS = 250;
/** Maximum number of peers that are tried for one call. */
const MAX_PEERS_PER_CALL = 3;
/** Other peers are called first for this time after a failed call, in ms. */
const PEER_AVOID_MS = 10_000;
/** After this time without an answer, the next peer makes the call too, in ms. */
const NEXT_PEER_MS = 250;

/** From this time of a call on, plain appends of all VMs are joined, in ms. */
const SLOW_STORE_MS = 60;
/** Timeout of an append that is joined with those of other VMs, in ms. */
const SHARED_APPEND_TIMEOUT_MS = 2300;

/** The owner, which joins appends of all VMs while the store is slow. */
export interface OwnerStore {
  readonly peer: StorePeer;
  /** How long the owner's calls to the store take, in ms. */
  readonly callMs: number;
}

/** A peer that can call the store. */
export interface StorePeer {
  readonly vm: string;
  readonly callStore: (
    call: StoreCall,
    timeoutMs: number,
    options?: AskOptions,
  ) => Promise<StoreReply>;
}

/** The response to a call, of which several copies may be under way. */
class CallProgress {
  /** Whether one of them has begun to arrive. */
  hasBegun = false;
  private readonly aborter = new AbortController();

  constructor(
    private readonly onData: (bytes: number) => void = () => undefined,
  ) {}

  readonly record = (bytes: number): void => {
    // A slower copy is no sign that what the caller waits for arrives.
    if (this.signal.aborted) return;
    this.hasBegun = true;
    this.onData(bytes);
  };

  /** Ends the copies that peers send. */
  readonly signal = this.aborter.signal;

  /** Records that one is complete: the others would go on to use the link. */
  end(): void {
    this.aborter.abort();
  }
}

/** Whether records are appended without an offset and a producer. */
export function isPlainAppend(call: StoreCall): boolean {
  return call.op === 'append' && call.at < 0 && call.producer === null;
}

/**
 * Returns the longest time for which a VM waits for a call through a peer, in
 * ms.
 *
 * @example
 * const endMs = clock.monotonicMs() + maxRelayMs(call);
 */
export function maxRelayMs(call: StoreCall): number {
  if (isPlainAppend(call)) return SHARED_APPEND_TIMEOUT_MS;
  const isPage = call.op === 'newest' && call.after !== undefined;
  return isPage ? BULK_RELAY_TIMEOUT_MS : RELAY_TIMEOUT_MS;
}

/** Makes each call directly, through a peer, or both. */
export class RelayedStore extends Store {
  private directFailedMs = -Infinity;
  /** Average latency of direct calls that do not wait for records. */
  private latencyMs = 0;
  /** When a call through a peer last failed, by VM. */
  private readonly peerFailedMs = new Map<string, number>();

  constructor(
    private readonly direct: Store,
    private readonly peers: () => readonly StorePeer[],
    private readonly clock: Clock,
    private readonly ownerStore: () => OwnerStore | null = () => null,
  ) {
    super();
  }

  /** How long direct calls take that do not wait for records, in ms. */
  get callMs(): number {
    return this.latencyMs;
  }

  override get limits(): StoreLimits {
    return this.direct.limits;
  }

  /** Whether the newest direct call succeeded; true before the first. */
  get isReachable(): boolean {
    return this.directFailedMs === -Infinity;
  }

  /** Whether no direct call has failed recently without a later success. */
  private get isDirectAvailable(): boolean {
    return this.clock.monotonicMs() - this.directFailedMs > PEER_PREFERENCE_MS;
  }

  override async append(
    topic: string,
    records: readonly KeyedRecord[],
    options: AppendOptions = {},
  ): Promise<number> {
    const {at = -1, producer = null} = options;
    const call = {op: 'append', topic, records, at, producer} as const;
    const owner = this.ownerStore();
    const isPlain = at < 0 && producer === null;
    if (isPlain && owner !== null && owner.callMs >= SLOW_STORE_MS) {
      const peers = [owner.peer];
      const shared = await this.settle(
        this.callThroughPeers(call, peers, SHARED_APPEND_TIMEOUT_MS),
      );
      if ('page' in shared) return shared.page.endOffset;
      if (shared.err.failure !== 'refused') throw shared.err;
    }
    const page = await this.execute(call, async () => ({
      endOffset: await this.direct.append(topic, records, options),
      records: [],
    }));
    return page.endOffset;
  }

  override read(
    topic: string,
    from: number,
    waitMs: number,
    onData: (bytes: number) => void = () => undefined,
  ): Promise<LogPage> {
    const call = {op: 'read', topic, from} as const;
    const progress = new CallProgress(onData);
    const direct = () => this.direct.read(topic, from, waitMs, progress.record);
    return this.execute(call, direct, waitMs, progress);
  }

  override newest(topic: string): Promise<LogPage> {
    const call = {op: 'newest', topic} as const;
    return this.execute(call, () => this.direct.newest(topic));
  }

  /**
   * Goes through a peer only after a failed direct call, or if it has no data
   * yet and direct calls fail: a copy of a large response would take its share
   * of the same link.
   */
  override async newestPage(
    topic: string,
    after: string,
    onData: (bytes: number) => void = () => undefined,
    signal?: AbortSignal,
  ): Promise<NewestPage> {
    const peers = this.usablePeers();
    const call = {op: 'newest', topic, after} as const;
    const relay = (): Promise<Settled<NewestPage>> =>
      this.relayPage(call, peers, onData);
    if (peers.length > 0 && !this.isDirectAvailable) {
      const relayed = await relay();
      if (isAnswered(relayed)) return pageOf(relayed);
    }
    let hasBegun = false;
    const onDirectData = (bytes: number): void => {
      hasBegun = true;
      onData(bytes);
    };
    const direct = this.settle(
      this.trackDirect(
        () => this.direct.newestPage(topic, after, onDirectData, signal),
        signal,
      ),
    );
    if (peers.length === 0) return pageOf(await direct);
    const result = await this.settleUnlessCut(direct, () => hasBegun);
    if (result !== null && isAnswered(result)) return pageOf(result);
    if (signal?.aborted === true) return pageOf(await direct);
    return pageOf(await firstSuccess(direct, relay()));
  }

  private async relayPage(
    call: StoreCall,
    peers: readonly StorePeer[],
    onData: (bytes: number) => void,
  ): Promise<Settled<NewestPage>> {
    const progress = new CallProgress(onData);
    const options = {onData: progress.record};
    const relayed = await this.settle(
      this.callThroughPeers(call, peers, BULK_RELAY_TIMEOUT_MS, options),
    );
    // A short reply arrives in one piece.
    if ('page' in relayed && !progress.hasBegun) onData(pageSize(relayed.page));
    return relayed;
  }

  /** Resolves to null if a direct call has no data yet and others fail. */
  private async settleUnlessCut<P extends LogPage>(
    direct: Promise<Settled<P>>,
    hasBegun: () => boolean,
  ): Promise<Settled<P> | null> {
    for (;;) {
      const check = this.clock.sleep(DIRECT_CHECK_INTERVAL_MS);
      const result = await Promise.race([direct, check.then(() => null)]);
      if (result !== null) return result;
      if (!hasBegun() && !this.isDirectAvailable) return null;
    }
  }

  private async execute(
    call: StoreCall,
    direct: () => Promise<LogPage>,
    waitMs = 0,
    progress = new CallProgress(),
  ): Promise<LogPage> {
    const peers = this.usablePeers();
    if (peers.length === 0) return this.callDirect(direct, waitMs);
    if (!this.isDirectAvailable) {
      const relayed = await this.settle(this.callPeers(call, peers, progress));
      if ('page' in relayed) return relayed.page;
      if (relayed.err.failure !== 'refused') throw relayed.err;
      return this.callDirect(direct, waitMs);
    }
    return this.callHedged(call, peers, direct, waitMs, progress);
  }

  /** Calls directly, and through a peer if that fails or does not begin. */
  private async callHedged(
    call: StoreCall,
    peers: readonly StorePeer[],
    direct: () => Promise<LogPage>,
    waitMs: number,
    progress: CallProgress,
  ): Promise<LogPage> {
    const first = this.settle(this.callDirect(direct, waitMs));
    const scaledMs = HEDGE_LATENCY_FACTOR * this.latencyMs;
    const hedgeMs =
      waitMs + Math.max(MIN_HEDGE_MS, Math.min(MAX_HEDGE_MS, scaledMs));
    const timeout = this.clock.sleep(hedgeMs).then(() => null);
    let result = await Promise.race([first, timeout]);
    // A copy of a response that arrives would take its share of the link.
    if (result === null && progress.hasBegun) result = await first;
    if (result !== null) {
      if ('page' in result) return result.page;
      if (isDefinitive(result.err.failure)) throw result.err;
    }
    const second = this.settle(this.callPeers(call, peers, progress));
    const winner = await firstSuccess(first, second);
    progress.end();
    if ('page' in winner) return winner.page;
    throw winner.err;
  }

  /** The peers to call, those last through which a call has failed lately. */
  private usablePeers(): readonly StorePeer[] {
    const nowMs = this.clock.monotonicMs();
    const hasFailed = ({vm}: StorePeer): boolean =>
      nowMs - (this.peerFailedMs.get(vm) ?? -Infinity) < PEER_AVOID_MS;
    const peers = this.peers();
    const sound = peers.filter(each => !hasFailed(each));
    return [...sound, ...peers.filter(hasFailed)].slice(0, MAX_PEERS_PER_CALL);
  }

  /** A peer may be cut off too, which its connection shows only later. */
  private async callPeers(
    call: StoreCall,
    peers: readonly StorePeer[],
    progress: CallProgress,
  ): Promise<LogPage> {
    const [first, ...others] = peers;
    const options = {signal: progress.signal, onData: progress.record};
    const relay = (through: readonly StorePeer[]): Promise<Settled> =>
      this.settle(
        this.callThroughPeers(call, through, RELAY_TIMEOUT_MS, options),
      );
    if (first === undefined || others.length === 0 || !mayRepeat(call)) {
      return pageOf(await relay(peers));
    }
    const reply = relay([first]);
    const timeout = this.clock.sleep(NEXT_PEER_MS).then(() => null);
    let result = await Promise.race([reply, timeout]);
    if (result === null && progress.hasBegun) result = await reply;
    if (result !== null && isAnswered(result)) return pageOf(result);
    const answer = await firstSuccess(reply, relay(others));
    progress.end();
    return pageOf(answer);
  }

  private async callThroughPeers(
    call: StoreCall,
    peers: readonly StorePeer[],
    timeoutMs: number,
    options: AskOptions = {},
  ): Promise<NewestPage> {
    let failure: StoreFailure = 'refused';
    for (const peer of peers) {
      const reply = await requestFromPeer(peer, call, timeoutMs, options);
      if (options.signal?.aborted === true) {
        throw new StoreError('unknown', 'answered elsewhere');
      }
      this.recordPeer(peer, reply);
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

  private recordPeer({vm}: StorePeer, reply: StoreReply | null): void {
    const failure = reply === null ? 'unknown' : reply.failure;
    if (failure === null || isDefinitive(failure)) this.peerFailedMs.delete(vm);
    else setRecent(this.peerFailedMs, vm, this.clock.monotonicMs());
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

  /**
   * Records whether the store can be called directly. A call that this VM ends
   * itself does not show it.
   */
  private async trackDirect<T>(
    direct: () => Promise<T>,
    signal?: AbortSignal,
  ): Promise<T> {
    try {
      const page = await direct();
      this.directFailedMs = -Infinity;
      return page;
    } catch (err) {
      const isFailure = err instanceof StoreError && signal?.aborted !== true;
      if (isFailure && !isDefinitive(err.failure)) {
        this.directFailedMs = this.clock.monotonicMs();
      }
      throw err;
    }
  }

  private async settle<P extends LogPage>(
    page: Promise<P>,
  ): Promise<Settled<P>> {
    try {
      return {page: await page};
    } catch (err) {
      if (err instanceof StoreError) return {err};
      throw err;
    }
  }
}

/**
 * Whether a call may be made twice at the same time. A repeated append of a
 * producer gets the first answer again, but one with an offset a conflict.
 */
function mayRepeat(call: StoreCall): boolean {
  return call.op !== 'append' || call.at < 0;
}

/** Returns null if the peer gave no valid answer: the call may have been made. */
async function requestFromPeer(
  peer: StorePeer,
  call: StoreCall,
  timeoutMs: number,
  options: AskOptions,
): Promise<StoreReply | null> {
  try {
    const reply = await peer.callStore(call, timeoutMs, options);
    return isStoreReply(reply) ? reply : null;
  } catch {
    // The end of the connection is logged elsewhere; the outcome is unknown.
    return null;
  }
}
