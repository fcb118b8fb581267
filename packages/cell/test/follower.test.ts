/** How a follower loads a topic of many pages, and follows it from there. */
import {ManualClock} from '@dragonflyward/common';
import {
  Follower,
  StoreError,
  TopicLoad,
  type NewestPage,
} from '@dragonflyward/cell';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {MemoryStore, StoreClient} from './memory-store.js';

const TOPIC = 'keyed.t';
/** Four pages of 500 records. */
const KEYS = 2000;
const LONG_MS = 60_000;
const STEP_MS = 100;

interface Fixture {
  readonly clock: ManualClock;
  readonly memory: MemoryStore;
  readonly client: StoreClient;
  readonly follower: Follower;
  /** What the follower has shown: the newest value of each key. */
  readonly shown: Map<string, number>;
  /** Each record in the order in which it was shown. */
  readonly order: string[];
  readonly reloads: ReadonlySet<string>[];
}

function keyOf(index: number): string {
  return `k${String(index).padStart(5, '0')}`;
}

function put(memory: MemoryStore, index: number, value: number): void {
  const bytes = value === 0 ? new Uint8Array(0) : Uint8Array.of(value);
  memory.append(TOPIC, [{key: keyOf(index), value: bytes}], {});
}

function newFixture(): Fixture {
  const clock = new ManualClock(1000);
  const memory = new MemoryStore();
  for (let i = 0; i < KEYS; i += 1) put(memory, i, 1);
  const client = new StoreClient(memory, clock);
  const shown = new Map<string, number>();
  const order: string[] = [];
  const reloads: ReadonlySet<string>[] = [];
  const follower = new Follower(
    client,
    clock,
    {topic: TOPIC, pauseMs: 200, waitMs: 0},
    ({key, value}) => {
      order.push(key);
      if (value.length === 0) shown.delete(key);
      else shown.set(key, value[0] ?? 0);
    },
    keys => reloads.push(keys),
  );
  return {clock, memory, client, follower, shown, order, reloads};
}

/** Loads until that succeeds; returns the number of failed calls. */
async function loadWithRetries(fixture: Fixture): Promise<number> {
  const {clock, follower} = fixture;
  for (let failures = 0; ; failures += 1) {
    try {
      await follower.load();
      return failures;
    } catch (err) {
      if (!(err instanceof StoreError)) throw err;
      await clock.sleep(STEP_MS);
    }
  }
}

/** A link on which each page takes that long. */
function pageTakes({client}: Fixture, ms: number): void {
  // A key of 6 bytes, a value of 1 in base64, and the overhead of a record.
  client.faults.linkBytesPerS = (500 * (6 + 4 / 3 + 40) * 1000) / ms;
}

const followers = suite('follower');

followers('goes on with the page that failed', async () => {
  const fixture = newFixture();
  fixture.client.faults.refusedEvery = 3;
  const loading = loadWithRetries(fixture);
  await fixture.clock.advance(LONG_MS);
  assert.is(await loading, 1);
  assert.is(fixture.client.newestPages, 4);
  assert.is(fixture.order.length, KEYS);
});

// What is missing in a part of the pages was not deleted.
followers('names the listed keys only after the last page', async () => {
  const fixture = newFixture();
  const {client, clock, follower, reloads} = fixture;
  client.faults.refusedEvery = 3;
  const first = follower.load().catch((err: unknown) => err);
  await clock.advance(STEP_MS);
  assert.instance(await first, StoreError);
  assert.is(reloads.length, 0);
  const second = follower.load();
  await clock.advance(STEP_MS);
  await second;
  assert.equal(
    reloads.map(({size}) => size),
    [KEYS],
  );
});

// The load of another topic has failed: all are called again.
followers('reads the tail only when it is loaded again', async () => {
  const fixture = newFixture();
  const {clock, memory, client, follower, shown, reloads} = fixture;
  for (let i = 0; i < 2; i += 1) {
    const loading = follower.load();
    await clock.advance(0);
    await clock.advance(STEP_MS);
    await loading;
    put(memory, i, 2);
    await clock.advance(2000);
  }
  assert.is(client.newestPages, 4);
  assert.is(shown.get(keyOf(0)), 2);
  assert.equal(
    reloads.map(({size}) => size),
    [KEYS],
  );
});

// Pages are not a snapshot.
followers('shows what has changed behind the pages it has read', async () => {
  const fixture = newFixture();
  const {clock, memory, follower, shown, reloads} = fixture;
  pageTakes(fixture, 700);
  void follower.run();
  await clock.advance(1000);
  put(memory, 3, 2);
  put(memory, 4, 0);
  put(memory, KEYS + 1, 1);
  put(memory, KEYS - 1, 0);
  await clock.advance(600);
  put(memory, 5, 0);
  put(memory, KEYS - 2, 2);
  put(memory, KEYS + 1, 0);
  put(memory, KEYS + 2, 1);
  await clock.advance(LONG_MS);
  const newest = [...memory.topic(TOPIC).newest.values()];
  assert.equal(
    new Map([...shown].sort()),
    new Map(newest.map(({key, value}) => [key, value[0]] as const).sort()),
  );
  assert.is(reloads.length, 1);
});

// A listed executor would count as gone until its record is read again.
followers('counts a key as listed that was added meanwhile', async () => {
  const fixture = newFixture();
  const {clock, memory, follower, reloads} = fixture;
  pageTakes(fixture, 700);
  const loading = follower.load();
  await clock.advance(900);
  const early = {key: 'a', value: Uint8Array.of(1)};
  memory.append(TOPIC, [early], {});
  put(memory, 2, 0);
  await clock.advance(LONG_MS);
  await loading;
  assert.is(reloads[0]?.has('a'), true);
  assert.is(reloads[0]?.has(keyOf(2)), false);
});

// An executor that has moved would seem to be back at its former address.
followers('shows no record that is older than one it has shown', async () => {
  const fixture = newFixture();
  const {clock, memory, follower, order, shown} = fixture;
  pageTakes(fixture, 700);
  void follower.run();
  // Between a read of the tail and the request for the last page.
  await clock.advance(1800);
  put(memory, KEYS - 1, 2);
  put(memory, KEYS - 1, 3);
  await clock.advance(LONG_MS);
  assert.is(order.filter(key => key === keyOf(KEYS - 1)).length, 1);
  assert.is(shown.get(keyOf(KEYS - 1)), 3);
});

// A load that takes longer than the store keeps its history began anew.
followers('ends a load that takes longer than the history', async () => {
  const fixture = newFixture();
  const {clock, memory, client, follower, shown, reloads} = fixture;
  pageTakes(fixture, 1500);
  const ends: number[] = [];
  void follower.run();
  for (let atMs = 0; atMs < 20_000; atMs += STEP_MS) {
    put(memory, atMs % KEYS, 2 + (atMs % 7));
    ends.push(memory.endOffset(memory.topic(TOPIC)));
    // The history of three seconds.
    memory.expire(TOPIC, ends.at(-30) ?? 0);
    await clock.advance(STEP_MS);
  }
  assert.is(client.newestPages, 4);
  assert.is(reloads.length, 1);
  assert.ok(clock.monotonicMs() - follower.freshMs < 1000);
  await clock.advance(1000);
  for (const {key, value} of memory.topic(TOPIC).newest.values()) {
    assert.is(shown.get(key), value[0], key);
  }
});

// A page may have expired while the process was frozen.
followers('loads anew after the history has expired', async () => {
  const fixture = newFixture();
  const {clock, memory, client, follower, shown, reloads} = fixture;
  void follower.run();
  await clock.advance(1000);
  client.faults.isRefusing = true;
  put(memory, 3, 0);
  put(memory, 4, 2);
  memory.compact(TOPIC);
  await clock.advance(1000);
  client.faults.isRefusing = false;
  await clock.advance(1000);
  assert.is(shown.get(keyOf(4)), 2);
  assert.equal(
    reloads.map(({size}) => size),
    [KEYS, KEYS - 1],
  );
});

/** A store from which each page stops at the same place. */
class StallingClient extends StoreClient {
  override newestPage(
    _topic: string,
    _after: string,
    onData: (bytes: number) => void = () => undefined,
  ): Promise<NewestPage> {
    onData(0);
    onData(1000);
    return Promise.reject(new StoreError('unknown', 'no data'));
  }
}

// An owner whose load does not advance would keep the cell.
followers('counts a part of a page that arrives again as none', async () => {
  const {clock, memory} = newFixture();
  let progress = 0;
  const load = new TopicLoad(
    new StallingClient(memory, clock),
    clock,
    TOPIC,
    () => (progress += 1),
  );
  for (let i = 0; i < 3; i += 1) {
    const failure = await load.readPages().next().catch(String);
    assert.match(String(failure), 'no data');
  }
  assert.is(progress, 1);
  const {bytes, failures, err} = load.report;
  assert.equal([bytes, failures], [3000, 3]);
  assert.match(err, 'no data');
});

followers.run();
