/** Store calls and replies of peers with any content. */
import {ManualClock} from '@dragonflyward/common';
import {
  RelayedStore,
  SharedAppends,
  executeStoreCall,
  StoreError,
  type StoreCall,
  type StorePeer,
  type StoreReply,
} from '@dragonflyward/cell';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {MemoryStore, StoreClient} from './memory-store.js';

const SEED = 20261205;
const RUNS = 300;
const LONG_MS = 5000;
const VALUE = Uint8Array.of(1);

const anyValue = fc.oneof(
  fc.constantFrom<unknown>(undefined, null, 'text', -1, NaN, true, [], {}),
  fc.constantFrom<unknown>([null], [{}], [[]], Infinity, 2 ** 53),
  fc.anything({maxDepth: 2}),
);

/** Replaces some fields of a value. */
function mutationsOf(value: object): fc.Arbitrary<object> {
  const names = fc.subarray(Object.keys(value), {minLength: 1});
  return names.chain(chosen =>
    fc.tuple(...chosen.map(() => anyValue)).map(wrong => ({
      ...value,
      ...Object.fromEntries(chosen.map((name, i) => [name, wrong[i]])),
    })),
  );
}

const messages = suite('malformed messages');

// A page without records ended the reads of the VM that had asked.
messages('in a reply to a store call fail it as a store may', async () => {
  const reply = {
    type: 'store',
    failure: null,
    expectedSequence: -1,
    endOffset: 3,
    records: [{key: 'k', value: VALUE, offset: 1}],
    hasMore: false,
  };
  const replies = fc.oneof(mutationsOf(reply), anyValue);
  const property = fc.asyncProperty(replies, async malformed => {
    const clock = new ManualClock(1000);
    const own = new StoreClient(new MemoryStore(), clock);
    own.faults.isRefusing = true;
    const peer: StorePeer = {
      vm: 'p',
      callStore: async () => malformed as StoreReply,
    };
    const relayed = new RelayedStore(own, () => [peer], clock);
    const calls = [
      relayed.append('keyed.t', [{key: 'k', value: VALUE}]),
      relayed.newest('keyed.t').then(({records}) => records.length),
      relayed.newestPage('keyed.t', '').then(({records}) => records.length),
      relayed.read('keyed.t', 0, 0).then(({endOffset}) => endOffset),
    ].map(call =>
      call.then(
        result => assert.ok(Number.isSafeInteger(result), String(result)),
        (err: unknown) => assert.instance(err, StoreError),
      ),
    );
    const all = Promise.all(calls);
    all.catch(() => undefined);
    await clock.advance(LONG_MS);
    await all;
  });
  await fc.assert(property, {seed: SEED, numRuns: RUNS});
});

// Appends of several VMs are joined: one must not fail the others.
messages('in a store call fail no append of another VM', async () => {
  const call = {
    op: 'append',
    topic: 'keyed.t',
    records: [{key: 'bad', value: VALUE}],
    at: -1,
    producer: null,
  };
  const property = fc.asyncProperty(mutationsOf(call), async malformed => {
    const clock = new ManualClock(1000);
    const memory = new MemoryStore();
    const store = new StoreClient(memory, clock);
    const shared = new SharedAppends(store);
    const good = (key: string): Promise<StoreReply> => {
      const records = [{key, value: VALUE}];
      const ask = {...call, records} as unknown as StoreCall;
      return executeStoreCall(store, ask, shared);
    };
    const replies = Promise.all([
      good('a'),
      executeStoreCall(store, malformed as StoreCall, shared).catch(
        () => undefined,
      ),
      good('b'),
    ]);
    replies.catch(() => undefined);
    await clock.advance(LONG_MS);
    const [a, , b] = await replies;
    assert.equal([a.failure, b.failure], [null, null]);
    const keys = [...memory.topic('keyed.t').newest.keys()];
    assert.ok(keys.includes('a') && keys.includes('b'), keys.join());
  });
  await fc.assert(property, {seed: SEED, numRuns: RUNS});
});

messages.run();
