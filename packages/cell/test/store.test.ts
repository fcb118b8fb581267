/** Claims, heartbeats, progress and relayed calls against an unkind store. */
import {ManualClock, Metrics} from '@dragonflyward/common';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  claimCell,
  Front,
  JobTable,
  JOBS_TOPICS,
  makeStoreCall,
  ProgressWriter,
  PROGRESS_TOPIC,
  readOwner,
  RelayedStore,
  StoreError,
  type Ownership,
  type StorePeer,
} from '@dragonflyward/cell';
import {MemoryStore, StoreClient} from './memory-store.js';
import {QUEUE, STEP} from './rig.js';

const LONG_MS = 5000;

interface Bench {
  readonly clock: ManualClock;
  readonly memory: MemoryStore;
  readonly client: () => StoreClient;
}

function newBench(): Bench {
  const clock = new ManualClock(1000);
  const memory = new MemoryStore();
  return {clock, memory, client: () => new StoreClient(memory, clock)};
}

/** Lets a promise settle while the time moves on. */
async function settle<T>(
  clock: ManualClock,
  promise: Promise<T>,
): Promise<T | StoreError> {
  const settled = promise.catch((err: unknown) => {
    if (err instanceof StoreError) return err;
    throw err;
  });
  await clock.advance(LONG_MS);
  return settled;
}

function self(vm: string): Parameters<typeof claimCell>[2] {
  return {vm, ip: '', port: 0, incarnation: 1};
}

const VALUE = Uint8Array.of(1);

const store = suite('store');

store('gives a term to one of two claimants only', async () => {
  const {clock, client} = newBench();
  const [a, b] = [client(), client()];
  const both = Promise.all([readOwner(a), readOwner(b)]).then(([ra, rb]) =>
    Promise.all([
      claimCell(a, clock, self('a'), ra),
      claimCell(b, clock, self('b'), rb),
    ]),
  );
  const claims = (await settle(clock, both)) as (Ownership | null)[];
  assert.is(claims.filter(claim => claim !== null).length, 1);
});

store('ends the right of an owner that was superseded', async () => {
  const {clock, client} = newBench();
  const [a, b] = [client(), client()];
  const claim = async (
    each: StoreClient,
    vm: string,
  ): Promise<Ownership | null> =>
    claimCell(each, clock, self(vm), await readOwner(each));
  const first = (await settle(clock, claim(a, 'a'))) as Ownership;
  const second = (await settle(clock, claim(b, 'b'))) as Ownership;
  await settle(clock, first.beat());
  assert.is(first.isSuperseded, true);
  assert.is(second.term, first.term + 1);
  await settle(clock, second.beat());
  assert.is(second.mayAct(), true);
});

store('keeps the right where the answer to a heartbeat is lost', async () => {
  const {clock, client} = newBench();
  const a = client();
  const claim = readOwner(a).then(r => claimCell(a, clock, self('a'), r));
  const owner = (await settle(clock, claim)) as Ownership;
  a.mood.lostAnswers = 1;
  await settle(clock, owner.beat());
  await settle(clock, owner.beat());
  await settle(clock, owner.beat());
  assert.is(owner.isSuperseded, false);
  assert.is(owner.mayAct(), true);
});

store('ends the right of an owner that cannot prove it', async () => {
  const {clock, client} = newBench();
  const a = client();
  const claim = readOwner(a).then(r => claimCell(a, clock, self('a'), r));
  const owner = (await settle(clock, claim)) as Ownership;
  a.mood.isSilent = true;
  await settle(clock, owner.beat());
  await settle(clock, owner.beat());
  assert.is(owner.mayAct(), false);
  assert.is(owner.isSuperseded, false);
});

store('writes progress once though answers are lost', async () => {
  const {clock, memory, client} = newBench();
  const a = client();
  const writer = new ProgressWriter(a, clock, 1, () => true);
  await settle(clock, writer.open());
  a.mood.lostAnswers = 2;
  const value = Uint8Array.of(1);
  const isStored = await settle(clock, writer.write([{key: 'p/1', value}]));
  assert.is(isStored, true);
  assert.is(memory.topic(PROGRESS_TOPIC).log.length, 1);
});

// Found by the soak, seed 301: loading was tried again while the first try
// still waited for the store, and the store took a commit for its repeat.
store('stores all that is written at the same time', async () => {
  const {clock, memory, client} = newBench();
  const writer = new ProgressWriter(client(), clock, 1, () => true);
  const value = Uint8Array.of(1);
  const written = Promise.all([
    writer.open(),
    writer.open(),
    writer.write([{key: 'p/1', value}]),
    writer.write([{key: 'p/2', value}]),
  ]);
  assert.equal(await settle(clock, written), [true, true, true, true]);
  const {newest} = memory.topic(PROGRESS_TOPIC);
  assert.equal([...newest.keys()].sort(), ['p/1', 'p/2']);
});

store('refuses progress of an owner that was superseded', async () => {
  const {clock, memory, client} = newBench();
  const old = new ProgressWriter(client(), clock, 1, () => true);
  await settle(clock, old.open());
  const young = new ProgressWriter(client(), clock, 2, () => true);
  await settle(clock, young.open());
  const value = Uint8Array.of(1);
  const isStored = await settle(clock, old.write([{key: 'p/1', value}]));
  assert.is(isStored, false);
  assert.is(memory.topic(PROGRESS_TOPIC).log.length, 0);
});

function peerOf(client: StoreClient): StorePeer {
  return {callStore: call => makeStoreCall(client, call)};
}

store('works through a peer where the store turns the VM away', async () => {
  const {clock, memory, client} = newBench();
  const own = client();
  own.mood.isRefusing = true;
  const relayed = new RelayedStore(own, () => [peerOf(client())], clock);
  const value = Uint8Array.of(1);
  const done = await settle(
    clock,
    relayed.append('keyed.t', [{key: 'k', value}]),
  );
  assert.is(done, 1);
  assert.is(memory.topic('keyed.t').log.length, 1);
});

store('says refused only where no path can have stored anything', async () => {
  const {clock, client} = newBench();
  const [own, other] = [client(), client()];
  own.mood.isRefusing = true;
  other.mood.isRefusing = true;
  const relayed = new RelayedStore(own, () => [peerOf(other)], clock);
  const value = Uint8Array.of(1);
  const append = (): Promise<number> =>
    relayed.append('keyed.t', [{key: 'k', value}]);
  const refused = (await settle(clock, append())) as StoreError;
  assert.is(refused.failure, 'refused');
  other.mood.isRefusing = false;
  other.mood.lostAnswers = 1;
  const unknown = (await settle(clock, append())) as StoreError;
  assert.is(unknown.failure, 'unknown');
});

// A peer that gives no answer may have made the call.
store('says unknown where a peer gives no answer', async () => {
  const {clock, client} = newBench();
  const own = client();
  own.mood.isRefusing = true;
  const lost: StorePeer = {callStore: () => Promise.reject(new Error('cut'))};
  const relayed = new RelayedStore(own, () => [lost], clock);
  const append = relayed.append('keyed.t', [{key: 'k', value: VALUE}]);
  const err = (await settle(clock, append)) as StoreError;
  assert.is(err.failure, 'unknown');
});

function newFront(bench: Bench, client: StoreClient): Front {
  return new Front({
    store: client,
    jobsTopic: JOBS_TOPICS[0] ?? '',
    clock: bench.clock,
    metrics: new Metrics(),
    log: () => undefined,
    table: new JobTable(bench.clock),
    lookup: () => Promise.resolve({row: null, isSure: true}),
    tellJob: () => undefined,
    tellCancel: () => undefined,
    isTableFresh: () => true,
  });
}

const SUBMISSION = {
  id: 'job',
  queue: QUEUE,
  organisation: 'o',
  timeoutMs: 3000,
  spec: {
    payload: '',
    steps: [STEP],
    repetition: {times: 1, firstMs: 0, intervalMs: 0},
  },
};

store(
  'stores a job once that is submitted twice at the same time',
  async () => {
    const bench = newBench();
    const front = newFront(bench, bench.client());
    const both = Promise.all([
      front.submit(SUBMISSION),
      front.submit(SUBMISSION),
    ]);
    const answers = await settle(bench.clock, both);
    assert.equal(answers, [{kind: 'done'}, {kind: 'done'}]);
    assert.is(bench.memory.topic(JOBS_TOPICS[0] ?? '').log.length, 1);
  },
);

store('never says refused of a job that may be stored', async () => {
  const bench = newBench();
  const client = bench.client();
  client.mood.lostAnswers = 1;
  const front = newFront(bench, client);
  const answer = await settle(bench.clock, front.submit(SUBMISSION));
  assert.equal(answer, {kind: 'unknown'});
});

// A silent store answers nothing for the whole of a caller's time.
store('answers callers in time while the store is silent', async () => {
  const bench = newBench();
  const client = bench.client();
  client.mood.isSilent = true;
  const front = newFront(bench, client);
  const answers: string[] = [];
  const submit = async (id: string, part: number): Promise<void> => {
    const startMs = bench.clock.monotonicMs();
    const {kind} = await front.submit({...SUBMISSION, id});
    const tookMs = bench.clock.monotonicMs() - startMs;
    const boundMs = SUBMISSION.timeoutMs * part;
    assert.ok(tookMs <= boundMs, `${id} took ${tookMs} ms`);
    answers.push(`${id} ${kind}`);
  };
  const late = bench.clock.sleep(800).then(() => submit('late', 0));
  const early = [submit('sent', 0.8), submit('behind', 0.4), late];
  await settle(bench.clock, Promise.all(early));
  assert.equal(answers, ['late refused', 'behind refused', 'sent unknown']);
  client.mood.isSilent = false;
  await settle(bench.clock, bench.clock.sleep(5000));
  assert.is(bench.memory.topic(JOBS_TOPICS[0] ?? '').log.length, 0);
});

store('shows and cancels no job of another organisation', async () => {
  const bench = newBench();
  const front = newFront(bench, bench.client());
  await settle(bench.clock, front.submit(SUBMISSION));
  const caller = {organisation: 'other', isPublic: false, timeoutMs: 100};
  const phase = await settle(bench.clock, front.phase('job', caller));
  assert.equal(phase, {kind: 'noSuchJob'});
  const cancel = await settle(bench.clock, front.cancel('job', caller));
  assert.equal(cancel, {kind: 'noSuchJob'});
  const own = {...caller, organisation: 'o'};
  const shown = await settle(bench.clock, front.phase('job', own));
  assert.equal(shown, {kind: 'phase', phase: 'queued'});
});

store(
  'tells callers to come back later the longer an outage lasts',
  async () => {
    const bench = newBench();
    const client = bench.client();
    client.mood.isRefusing = true;
    const front = newFront(bench, client);
    const first = await settle(bench.clock, front.submit(SUBMISSION));
    assert.equal(first, {kind: 'refused', retryAfterS: 1});
    const later = await settle(bench.clock, front.submit(SUBMISSION));
    assert.equal(later, {kind: 'refused', retryAfterS: 4});
  },
);

store.run();
