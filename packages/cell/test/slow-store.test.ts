/**
 * Replays the load of 97 VMs on a store whose calls take 300 ms, as in a
 * disturbance: half a job a second for each VM. Each partition takes one append
 * at a time, so that appends of single VMs wait until the store refuses them.
 */
import {ManualClock} from '@dragonflyward/common';
import {
  DEFAULT_STORE_LIMITS,
  executeStoreCall,
  jobsTopicFor,
  RelayedStore,
  SharedAppends,
  Store,
  StoreError,
  type KeyedRecord,
  type LogPage,
  type NewestPage,
  type OwnerStore,
  type StoreLimits,
} from '@dragonflyward/cell';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';

const VM_COUNT = 97;
const APPEND_MS = 150;
/** An append is refused if those before it take longer. */
const MAX_QUEUE_MS = 2000;
const JOB_INTERVAL_MS = 2000;
const RUN_MS = 10_000;
/** Half of what a caller waits for the answer. */
const MAX_ACCEPT_MS = 1500;

class SlowStore extends Store {
  override readonly limits: StoreLimits = DEFAULT_STORE_LIMITS;
  readonly records = new Set<string>();
  appends = 0;
  private readonly freeMs = new Map<string, number>();

  constructor(private readonly clock: ManualClock) {
    super();
  }

  override async append(
    topic: string,
    records: readonly KeyedRecord[],
  ): Promise<number> {
    const nowMs = this.clock.monotonicMs();
    const startMs = Math.max(nowMs, this.freeMs.get(topic) ?? 0);
    if (startMs - nowMs > MAX_QUEUE_MS) throw new StoreError('refused', 'full');
    this.appends += 1;
    this.freeMs.set(topic, startMs + APPEND_MS);
    await this.clock.sleep(startMs + 2 * APPEND_MS - nowMs);
    for (const {key} of records) this.records.add(key);
    return this.records.size;
  }

  override read(): Promise<LogPage> {
    throw new Error('not used');
  }

  override newest(): Promise<LogPage> {
    throw new Error('not used');
  }

  override newestPage(): Promise<NewestPage> {
    throw new Error('not used');
  }
}

interface Accepts {
  readonly tookMs: number[];
  refused: number;
  readonly store: SlowStore;
}

/** Appends jobs of all VMs; `callMs` is what the owner says of its calls. */
async function playJobs(callMs: number): Promise<Accepts> {
  const clock = new ManualClock();
  const store = new SlowStore(clock);
  const shared = new SharedAppends(store);
  const peer = {
    vm: 'owner',
    callStore: async (call: Parameters<typeof executeStoreCall>[1]) => {
      await clock.sleep(30);
      return executeStoreCall(store, call, shared);
    },
  };
  const owner: OwnerStore = {peer, callMs};
  const accepts: Accepts = {tookMs: [], refused: 0, store};
  for (let i = 0; i < VM_COUNT; i += 1) {
    const relayed = new RelayedStore(
      store,
      () => [],
      clock,
      () => owner,
    );
    void submitJobs(`vm-${i}`, i, relayed, clock, accepts);
  }
  await clock.advance(RUN_MS + 3000);
  return accepts;
}

async function submitJobs(
  vm: string,
  index: number,
  store: RelayedStore,
  clock: ManualClock,
  accepts: Accepts,
): Promise<void> {
  await clock.sleep((index * JOB_INTERVAL_MS) / VM_COUNT);
  while (clock.monotonicMs() < RUN_MS) {
    const sentMs = clock.monotonicMs();
    const record = {key: `${vm}/${sentMs}`, value: Uint8Array.of(1)};
    store.append(jobsTopicFor(vm), [record]).then(
      () => accepts.tookMs.push(clock.monotonicMs() - sentMs),
      () => (accepts.refused += 1),
    );
    await clock.sleep(JOB_INTERVAL_MS);
  }
}

const slow = suite('slow store');

slow(
  'takes the jobs of many VMs if the owner joins their appends',
  async () => {
    const {tookMs, refused, store} = await playJobs(300);
    assert.is(refused, 0);
    assert.is(tookMs.length, store.records.size);
    assert.ok(tookMs.length > 4 * VM_COUNT, `${tookMs.length} jobs`);
    const longestMs = Math.max(...tookMs);
    assert.ok(longestMs < MAX_ACCEPT_MS, `${longestMs} ms`);
  },
);

slow('takes few of them one VM at a time', async () => {
  const {tookMs, refused} = await playJobs(0);
  assert.ok(refused > tookMs.length / 10, `${refused} refused`);
});

slow('goes on with appends that arrive during one that fails', async () => {
  const clock = new ManualClock();
  const store = new SlowStore(clock);
  let isFailing = true;
  const append = store.append.bind(store);
  store.append = async (topic, records) => {
    if (!isFailing) return append(topic, records);
    isFailing = false;
    throw new StoreError('refused', 'once');
  };
  const shared = new SharedAppends(store);
  const outcomes: string[] = [];
  for (const key of ['a', 'b']) {
    shared.append('t', [{key, value: Uint8Array.of(1)}]).then(
      () => outcomes.push(`${key} stored`),
      () => outcomes.push(`${key} refused`),
    );
  }
  // The second append begins once the first has failed.
  await clock.advance(0);
  await clock.advance(1000);
  assert.equal(outcomes, ['a refused', 'b stored']);
});

slow.run();
