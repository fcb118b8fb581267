/** Store calls that a VM makes for a peer that the store refuses. */
import {raise} from '@dragonflyward/common';
import type {StoreCall, StoreReply} from './messages.js';
import type {SharedAppends} from './shared-appends.js';
import {isStoreCall} from './store-checks.js';
import {
  StoreError,
  type LogPage,
  type NewestPage,
  type Store,
} from './store.js';

/**
 * Executes a store call on behalf of a peer.
 *
 * @throws badRequest if it is not one
 * @example
 * return executeStoreCall(directStore, ask.call, sharedAppends);
 */
export async function executeStoreCall(
  store: Store,
  call: StoreCall,
  sharedAppends: SharedAppends,
): Promise<StoreReply> {
  // A call that cannot be sent would fail the appends that are joined with it.
  if (!isStoreCall(call)) return raise('badRequest', 'not a store call');
  const reply = {type: 'store', failure: null, expectedSequence: -1} as const;
  try {
    if (call.op === 'append') {
      const endOffset = await append(store, call, sharedAppends);
      return {...reply, endOffset, records: []};
    }
    const page =
      call.op === 'read'
        ? await store.read(call.topic, call.from, 0)
        : await readNewest(store, call);
    return {...reply, ...page};
  } catch (err) {
    if (!(err instanceof StoreError)) throw err;
    const {failure, expectedSequence} = err;
    return {...reply, failure, expectedSequence, endOffset: -1, records: []};
  }
}

/** Plain appends are joined with those of other VMs. */
function append(
  store: Store,
  {topic, records, at, producer}: StoreCall & {readonly op: 'append'},
  sharedAppends: SharedAppends,
): Promise<number> {
  if (at < 0 && producer === null) return sharedAppends.append(topic, records);
  return store.append(topic, records, {
    ...(at < 0 ? {} : {at}),
    ...(producer === null ? {} : {producer}),
  });
}

function readNewest(
  store: Store,
  {topic, after}: StoreCall & {readonly op: 'newest'},
): Promise<LogPage | NewestPage> {
  if (after === undefined) return store.newest(topic);
  return store.newestPage(topic, after);
}
