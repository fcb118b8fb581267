/** The store calls that this VM makes for its peers, within bounds. */
import {raise, type Clock, type Metrics} from '@dragonflyward/common';
import type {StoreCall, StoreReply} from '../messages.js';
import {OWNER_TOPIC} from '../records.js';
import {isPlainAppend, maxRelayMs} from '../relayed-store.js';
import {SharedAppends} from '../shared-appends.js';
import {executeStoreCall} from '../store-call.js';
import {isStoreCall} from '../store-checks.js';
import {StoreError, type Store} from '../store.js';
import {CallTurns, type CallLimits} from './call-turns.js';

/** Calls by VM, of which each follower and writer has one open at a time. */
const CALLS: CallLimits = {perKey: 16, total: 512};
/**
 * Calls for the owner's records by VM. An owner whose heartbeats wait for 1 s
 * loses the cell, so other calls do not delay them.
 */
const OWNER_CALLS: CallLimits = {perKey: 16, total: 256};
/** Appends by VM that wait for one that joins them; they take no connection. */
const PLAIN_APPENDS: CallLimits = {perKey: 16, total: 1024};
/** Appends that join others, by topic. */
const JOINED_APPENDS: CallLimits = {perKey: 1, total: 16};

const REFUSED: StoreReply = {
  type: 'store',
  failure: 'refused',
  expectedSequence: -1,
  endOffset: -1,
  records: [],
};

/**
 * Makes store calls for peers. Each takes a connection to the store, so only
 * some are under way; this VM's own calls do not wait for them.
 */
export class PeerStoreCalls {
  private readonly ownerCalls = new CallTurns(OWNER_CALLS);
  private readonly calls = new CallTurns(CALLS);
  private readonly plainAppends = new CallTurns(PLAIN_APPENDS);
  private readonly joinedAppends = new CallTurns(JOINED_APPENDS);
  private readonly sharedAppends: SharedAppends;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {
    this.sharedAppends = new SharedAppends({
      get limits() {
        return store.limits;
      },
      append: (...args) => this.appendJoined(...args),
    });
  }

  /**
   * Makes a call for a VM. One for which the VM no longer waits is refused.
   *
   * @throws badRequest if it is not a store call
   * @example
   * return storeCalls.make(from.self.vm, ask.call);
   */
  async make(vm: string, call: StoreCall): Promise<StoreReply> {
    if (!isStoreCall(call)) return raise('badRequest', 'not a store call');
    const {store, clock, sharedAppends} = this;
    const endMs = clock.monotonicMs() + maxRelayMs(call);
    const reply = await this.turnsOf(call).run(vm, async () =>
      clock.monotonicMs() < endMs
        ? executeStoreCall(store, call, sharedAppends)
        : null,
    );
    if (reply !== null) return reply;
    this.metrics.count('peer_store_calls_refused_total');
    return REFUSED;
  }

  private turnsOf(call: StoreCall): CallTurns {
    if (call.topic === OWNER_TOPIC) return this.ownerCalls;
    return isPlainAppend(call) ? this.plainAppends : this.calls;
  }

  private async appendJoined(
    ...[topic, records, options]: Parameters<Store['append']>
  ): Promise<number> {
    const append = (): Promise<number> =>
      this.store.append(topic, records, options);
    const endOffset = await this.joinedAppends.run(topic, append);
    if (endOffset === null) throw new StoreError('refused', 'too many topics');
    return endOffset;
  }
}
