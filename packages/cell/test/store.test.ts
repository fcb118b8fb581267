/** Claims, heartbeats, progress and relayed calls against a faulty store. */
import {ManualClock, Metrics} from '@dragonflyward/common';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  claimCell,
  JobFrontend,
  JobTable,
  JOBS_TOPICS,
  executeStoreCall,
  SharedAppends,
  ProgressWriter,
  PROGRESS_TOPIC,
  readOwner,
  RelayedStore,
  StoreError,
  type LogPage,
  type NewestPage,
  type Ownership,
  type StorePeer,
  type StoreReply,
} from '@dragonflyward/cell';
import {ownAdmission} from './admissions.js';
import {MemoryStore, StoreClient} from './memory-store.js';
import {QUEUE, STEP} from './rig.js';

const LONG_MS = 5000;

interface StoreFixture {
  readonly clock: ManualClock;
  readonly memory: MemoryStore;
  readonly client: () => StoreClient;
  readonly events: (readonly [string, Readonly<object>])[];
}

function newFixture(): StoreFixture {
  const clock = new ManualClock(1000);
  const memory = new MemoryStore();
  const client = (): StoreClient => new StoreClient(memory, clock);
  return {clock, memory, client, events: []};
}

/** Advances the clock until a promise has settled. */
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

const ignoreLog = (): void => undefined;

const store = suite('store');

store('gives a term to one of two claimants only', async () => {
  const {clock, client} = newFixture();
  const [a, b] = [client(), client()];
  const both = Promise.all([readOwner(a, clock), readOwner(b, clock)]).then(
    ([ra, rb]) =>
      Promise.all([
        claimCell(a, clock, self('a'), ra),
        claimCell(b, clock, self('b'), rb),
      ]),
  );
  const claims = (await settle(clock, both)) as (Ownership | null)[];
  assert.is(claims.filter(claim => claim !== null).length, 1);
});

store('revokes the ownership of an owner that was superseded', async () => {
  const {clock, client} = newFixture();
  const [a, b] = [client(), client()];
  const claim = async (
    each: StoreClient,
    vm: string,
  ): Promise<Ownership | null> =>
    claimCell(each, clock, self(vm), await readOwner(each, clock));
  const first = (await settle(clock, claim(a, 'a'))) as Ownership;
  const second = (await settle(clock, claim(b, 'b'))) as Ownership;
  await settle(clock, first.renew());
  assert.is(first.isRevoked, true);
  assert.is(second.term, first.term + 1);
  await settle(clock, second.renew());
  assert.is(second.mayAct(), true);
});

store('keeps the ownership if the answer to a heartbeat is lost', async () => {
  const {clock, client} = newFixture();
  const a = client();
  const claim = readOwner(a, clock).then(r =>
    claimCell(a, clock, self('a'), r),
  );
  const owner = (await settle(clock, claim)) as Ownership;
  a.faults.lostAnswers = 1;
  await settle(clock, owner.renew());
  await settle(clock, owner.renew());
  await settle(clock, owner.renew());
  assert.is(owner.isRevoked, false);
  assert.is(owner.mayAct(), true);
});

store('stops an owner whose heartbeats are not answered', async () => {
  const {clock, client} = newFixture();
  const a = client();
  const claim = readOwner(a, clock).then(r =>
    claimCell(a, clock, self('a'), r),
  );
  const owner = (await settle(clock, claim)) as Ownership;
  a.faults.isSilent = true;
  await settle(clock, owner.renew());
  await settle(clock, owner.renew());
  assert.is(owner.mayAct(), false);
  assert.is(owner.isRevoked, false);
});

store('writes progress once though answers are lost', async () => {
  const {clock, memory, client} = newFixture();
  const a = client();
  const writer = new ProgressWriter(a, clock, 1, () => true, ignoreLog);
  await settle(clock, writer.open());
  a.faults.lostAnswers = 2;
  const value = Uint8Array.of(1);
  const isStored = await settle(clock, writer.write([{key: 'p/1', value}]));
  assert.is(isStored, true);
  assert.is(memory.topic(PROGRESS_TOPIC).log.length, 1);
});

// Found by soak seed 301: a load was retried while the first attempt still
// waited for the store, and the store took a commit for a retry of it.
store('stores all that is written at the same time', async () => {
  const {clock, memory, client} = newFixture();
  const writer = new ProgressWriter(client(), clock, 1, () => true, ignoreLog);
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
  const {clock, memory, client} = newFixture();
  const old = new ProgressWriter(client(), clock, 1, () => true, ignoreLog);
  await settle(clock, old.open());
  const successor = new ProgressWriter(
    client(),
    clock,
    2,
    () => true,
    ignoreLog,
  );
  await settle(clock, successor.open());
  const value = Uint8Array.of(1);
  const isStored = await settle(clock, old.write([{key: 'p/1', value}]));
  assert.is(isStored, false);
  assert.is(memory.topic(PROGRESS_TOPIC).log.length, 0);
});

let peerCount = 0;

function peerOf(client: StoreClient): StorePeer {
  const shared = new SharedAppends(client);
  peerCount += 1;
  return {
    vm: `peer ${peerCount}`,
    callStore: call => executeStoreCall(client, call, shared),
  };
}

store('calls through a peer if the store refuses the VM', async () => {
  const {clock, memory, client} = newFixture();
  const own = client();
  own.faults.isRefusing = true;
  const relayed = new RelayedStore(own, () => [peerOf(client())], clock);
  const value = Uint8Array.of(1);
  const done = await settle(
    clock,
    relayed.append('keyed.t', [{key: 'k', value}]),
  );
  assert.is(done, 1);
  assert.is(memory.topic('keyed.t').log.length, 1);
});

store('reports refused only if nothing can have been stored', async () => {
  const {clock, client} = newFixture();
  const [own, other] = [client(), client()];
  own.faults.isRefusing = true;
  other.faults.isRefusing = true;
  const relayed = new RelayedStore(own, () => [peerOf(other)], clock);
  const value = Uint8Array.of(1);
  const append = (): Promise<number> =>
    relayed.append('keyed.t', [{key: 'k', value}]);
  const refused = (await settle(clock, append())) as StoreError;
  assert.is(refused.failure, 'refused');
  other.faults.isRefusing = false;
  other.faults.lostAnswers = 1;
  const unknown = (await settle(clock, append())) as StoreError;
  assert.is(unknown.failure, 'unknown');
});

// A peer that gives no answer may have made the call.
store('reports unknown if a peer gives no answer', async () => {
  const {clock, client} = newFixture();
  const own = client();
  own.faults.isRefusing = true;
  const lost: StorePeer = {
    vm: 'lost',
    callStore: () => Promise.reject(new Error('cut')),
  };
  const relayed = new RelayedStore(own, () => [lost], clock);
  const append = relayed.append('keyed.t', [{key: 'k', value: VALUE}]);
  const err = (await settle(clock, append)) as StoreError;
  assert.is(err.failure, 'unknown');
});

// The copies shared the link with the response, and none arrived in time.
store('sends no copy of a read whose response arrives', async () => {
  const {clock, memory, client} = newFixture();
  const own = client();
  own.faults.linkBytesPerS = 2000;
  const value = new Uint8Array(1500);
  memory.append('keyed.t', [{key: 'k', value}], {});
  const peer = peerOf(client());
  let calls = 0;
  const counted: StorePeer = {
    ...peer,
    callStore: (call, timeoutMs) => {
      calls += 1;
      return peer.callStore(call, timeoutMs);
    },
  };
  const relayed = new RelayedStore(own, () => [counted], clock);
  const page = await settle(clock, relayed.read('keyed.t', 0, 0));
  assert.is((page as LogPage).records.length, 1);
  assert.is(calls, 0);
});

// A VM that the store turned away read the same record through three peers.
store('asks one peer for a response that arrives', async () => {
  const {clock, memory, client} = newFixture();
  const own = client();
  own.faults.isRefusing = true;
  memory.append('keyed.t', [{key: 'k', value: VALUE}], {});
  let calls = 0;
  const slow = (): StorePeer => {
    const peer = peerOf(client());
    return {
      ...peer,
      callStore: async (call, timeoutMs, options) => {
        calls += 1;
        options?.onData?.(1);
        await clock.sleep(timeoutMs - 1);
        return peer.callStore(call, timeoutMs);
      },
    };
  };
  const peers = [slow(), slow(), slow()];
  const relayed = new RelayedStore(own, () => peers, clock);
  const page = await settle(clock, relayed.read('keyed.t', 0, 0));
  assert.is((page as LogPage).records.length, 1);
  assert.is(calls, 1);
});

// The first peer did not answer; its copy used the link beside the other.
store('ends the slower of two copies through peers', async () => {
  const {clock, memory, client} = newFixture();
  const own = client();
  own.faults.isRefusing = true;
  memory.append('keyed.t', [{key: 'k', value: VALUE}], {});
  let isEnded = false;
  const silent: StorePeer = {
    vm: 'silent',
    callStore: (_call, _timeoutMs, options) =>
      new Promise((_resolve, reject) => {
        options?.signal?.addEventListener('abort', () => {
          isEnded = true;
          reject(new Error('ended'));
        });
      }),
  };
  const peers = [silent, peerOf(client())];
  const relayed = new RelayedStore(own, () => peers, clock);
  const page = await settle(clock, relayed.read('keyed.t', 0, 0));
  assert.is((page as LogPage).records.length, 1);
  assert.is(isEnded, true);
});

// The first peer was cut off as well, which its connection did not show yet.
store('asks the next peer before the first one has timed out', async () => {
  const {clock, memory, client} = newFixture();
  const own = client();
  own.faults.isRefusing = true;
  const silent: StorePeer = {
    vm: 'silent',
    callStore: (_call, timeoutMs) =>
      clock.sleep(timeoutMs).then(() => Promise.reject(new Error('cut'))),
  };
  const peers = [silent, peerOf(client())];
  const relayed = new RelayedStore(own, () => peers, clock);
  const append = (key: string): Promise<number> =>
    relayed.append('keyed.t', [{key, value: VALUE}]);
  await settle(clock, append('a'));
  const sentMs = clock.monotonicMs();
  const stored = append('b').then(() => clock.monotonicMs() - sentMs);
  const tookMs = await settle(clock, stored);
  assert.ok(Number(tookMs) < 500, `${String(tookMs)} ms`);
  assert.is(memory.topic('keyed.t').newest.size, 2);
});

// An owner that was cut off called the same two VMs, cut off as well, for 6 s.
store('passes over peers through which calls have failed', async () => {
  const {clock, memory, client} = newFixture();
  const own = client();
  own.faults.isRefusing = true;
  const silent = (vm: string): StorePeer => ({
    vm,
    callStore: (_call, timeoutMs) =>
      clock.sleep(timeoutMs).then(() => Promise.reject(new Error('cut'))),
  });
  const peers = [...'abcdefg'].map(silent);
  const relayed = new RelayedStore(
    own,
    () => [...peers, peerOf(client())],
    clock,
  );
  const writer = new ProgressWriter(
    relayed,
    clock,
    1,
    () => true,
    () => undefined,
  );
  const write = async (key: string): Promise<number> => {
    const sentMs = clock.monotonicMs();
    let tookMs = Infinity;
    void writer.write([{key, value: VALUE}]).then(() => {
      tookMs = clock.monotonicMs() - sentMs;
    });
    await clock.advance(7000);
    return tookMs;
  };
  assert.ok((await write('p/1')) < 6000);
  assert.ok((await write('p/2')) < 500);
  assert.is(memory.topic(PROGRESS_TOPIC).newest.size, 2);
});

// Its second copy would fail, and the owner would take that for a claim.
store('asks one peer at a time for an append with a condition', async () => {
  const {clock, client} = newFixture();
  const own = client();
  own.faults.isRefusing = true;
  let calls = 0;
  const slow: StorePeer = {
    vm: 'slow',
    callStore: async call => {
      calls += 1;
      await clock.sleep(600);
      return peerOf(client()).callStore(call, 900);
    },
  };
  const relayed = new RelayedStore(own, () => [slow, slow], clock);
  const append = relayed.append('keyed.t', [{key: 'k', value: VALUE}], {at: 0});
  assert.is(await settle(clock, append), 1);
  assert.is(calls, 1);
});

/** A page that takes three seconds on the link of one of two clients. */
function bulkFixture(): {
  readonly clock: ManualClock;
  readonly own: StoreClient;
  readonly other: StoreClient;
  readonly relayed: RelayedStore;
} {
  const {clock, memory, client} = newFixture();
  for (let i = 0; i < 100; i += 1) {
    const record = {key: `k${i}`, value: new Uint8Array(3000)};
    memory.append('keyed.t', [record], {});
  }
  const [own, other] = [client(), client()];
  own.faults.linkBytesPerS = 100_000;
  const relayed = new RelayedStore(own, () => [peerOf(other)], clock);
  return {clock, own, other, relayed};
}

// A copy through a peer made a read that filled the link slower still.
store('makes no second copy of a slow bulk read', async () => {
  const {clock, own, other, relayed} = bulkFixture();
  const page = (await settle(
    clock,
    relayed.newestPage('keyed.t', ''),
  )) as LogPage;
  assert.is(page.records.length, 100);
  assert.equal([own.calls, other.calls], [1, 0]);
});

store('reads pages through a peer while the store refuses', async () => {
  const {clock, own, other, relayed} = bulkFixture();
  own.faults.isRefusing = true;
  let bytes = 0;
  const call = relayed.newestPage('keyed.t', 'k98', part => (bytes += part));
  const {records, hasMore} = (await settle(clock, call)) as NewestPage;
  assert.equal(
    records.map(({key}) => key),
    ['k99'],
  );
  assert.is(hasMore, false);
  assert.ok(bytes > 3000, `${bytes} bytes`);
  assert.is(other.calls, 1);
});

// A silent connection ends a bulk read after seconds only.
store('reads pages through a peer once direct calls fail', async () => {
  const {clock, own, other, relayed} = bulkFixture();
  own.faults.isSilent = true;
  const startMs = clock.monotonicMs();
  const tookMs = relayed
    .newestPage('keyed.t', '')
    .then(() => clock.monotonicMs() - startMs);
  void settle(clock, relayed.newest('keyed.t'));
  const ms = (await settle(clock, tookMs)) as number;
  assert.ok(ms < 2000, `took ${ms} ms`);
  assert.is(other.calls, 2);
});

// A VM that gave up a load called peers first and reported an unusable store.
store('counts no transfer that it ends itself as a failed call', async () => {
  const {clock, other, relayed} = bulkFixture();
  const aborter = new AbortController();
  const onData = (bytes: number): void => {
    if (bytes > 0) aborter.abort();
  };
  const ended = relayed.newestPage('keyed.t', '', onData, aborter.signal);
  let isReachable = false;
  const next = ended.catch(() => {
    ({isReachable} = relayed);
    return relayed.newestPage('keyed.t', '');
  });
  const page = (await settle(clock, next)) as NewestPage;
  assert.is(aborter.signal.aborted, true);
  assert.is(isReachable, true);
  assert.is(page.records.length, 100);
  assert.is(other.calls, 0);
});

// Nothing is known of the store after a transfer that was ended.
store('still knows of failed calls after it ends a transfer', async () => {
  const {clock, own, relayed} = bulkFixture();
  own.faults.isRefusing = true;
  await settle(clock, relayed.newestPage('keyed.t', ''));
  assert.is(relayed.isReachable, false);
  own.faults.isRefusing = false;
  const aborter = new AbortController();
  const onData = (bytes: number): void => {
    if (bytes > 0) aborter.abort();
  };
  const ended = relayed.newestPage('keyed.t', '', onData, aborter.signal);
  assert.instance(await settle(clock, ended), StoreError);
  assert.is(relayed.isReachable, false);
});

// A VM of the version before knows no pages and returns all records.
store('reads all at once from a peer of an earlier version', async () => {
  const {clock, own, other} = bulkFixture();
  own.faults.isRefusing = true;
  const earlier: StorePeer = {
    vm: 'earlier',
    callStore: async ({topic}) => {
      const page = await other.newest(topic);
      const reply = {type: 'store', failure: null, expectedSequence: -1};
      return {...(reply as StoreReply), ...page};
    },
  };
  const relayed = new RelayedStore(own, () => [earlier], clock);
  const call = relayed.newestPage('keyed.t', 'k50');
  const page = (await settle(clock, call)) as NewestPage;
  assert.is(page.records.length, 100);
  assert.is(page.hasMore, false);
});

// Its calls name no key to read on after.
store('returns all to a peer of an earlier version', async () => {
  const {clock, memory, client} = newFixture();
  for (let i = 0; i < 600; i += 1) {
    memory.append('keyed.t', [{key: `k${i}`, value: VALUE}], {});
  }
  const call = {op: 'newest', topic: 'keyed.t'} as const;
  const all = (await settle(
    clock,
    executeStoreCall(client(), call, new SharedAppends(client())),
  )) as StoreReply;
  assert.is(all.records.length, 600);
  const page = (await settle(
    clock,
    executeStoreCall(
      client(),
      {...call, after: ''},
      new SharedAppends(client()),
    ),
  )) as StoreReply;
  assert.equal([page.records.length, page.hasMore], [500, true]);
});

function newFrontend(
  fixture: StoreFixture,
  client: StoreClient,
  notifyCancel: (id: string) => void = () => undefined,
): JobFrontend {
  const table = new JobTable(fixture.clock);
  return new JobFrontend({
    store: client,
    jobsTopic: JOBS_TOPICS[0] ?? '',
    clock: fixture.clock,
    metrics: new Metrics(),
    log: (event, fields) => void fixture.events.push([event, fields]),
    table,
    admission: ownAdmission(table, fixture.clock),
    lookup: () =>
      Promise.resolve({row: null, isSure: true, source: 'store', term: 3}),
    notifyJob: () => undefined,
    notifyCancel,
    storeMs: () => 0,
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
    const fixture = newFixture();
    const frontend = newFrontend(fixture, fixture.client());
    const both = Promise.all([
      frontend.submit(SUBMISSION),
      frontend.submit(SUBMISSION),
    ]);
    const answers = await settle(fixture.clock, both);
    assert.equal(answers, [{kind: 'done'}, {kind: 'done'}]);
    assert.is(fixture.memory.topic(JOBS_TOPICS[0] ?? '').log.length, 1);
  },
);

store('never reports refused for a job that may be stored', async () => {
  const fixture = newFixture();
  const client = fixture.client();
  client.faults.lostAnswers = 1;
  const frontend = newFrontend(fixture, client);
  const answer = await settle(fixture.clock, frontend.submit(SUBMISSION));
  assert.equal(answer, {kind: 'unknown'});
});

/** Room for two of the records of the tests below. */
const TIGHT_LIMITS = {recordBytes: 1500, appendBytes: 2500};

// Jobs that arrive during an append are stored by the next one.
store('stores jobs that are too many for one append', async () => {
  const fixture = newFixture();
  const client = fixture.client();
  client.faults.limits = TIGHT_LIMITS;
  const frontend = newFrontend(fixture, client);
  const spec = {...SUBMISSION.spec, payload: 'x'.repeat(400)};
  const ids = [...Array(10).keys()].map(i => `job${i}`);
  const answers = await settle(
    fixture.clock,
    Promise.all(ids.map(id => frontend.submit({...SUBMISSION, id, spec}))),
  );
  assert.equal(
    answers,
    ids.map(() => ({kind: 'done'})),
  );
  assert.is(fixture.memory.topic(JOBS_TOPICS[0] ?? '').log.length, 10);
});

store('refuses a job that is too large without refusing others', async () => {
  const fixture = newFixture();
  const client = fixture.client();
  client.faults.limits = TIGHT_LIMITS;
  const frontend = newFrontend(fixture, client);
  const spec = {...SUBMISSION.spec, payload: 'x'.repeat(2000)};
  const large = {...SUBMISSION, id: 'large', spec};
  const submissions = [
    {...SUBMISSION, id: 'a'},
    {...SUBMISSION, id: 'b'},
  ];
  const answers = (await settle(
    fixture.clock,
    Promise.all([...submissions, large].map(each => frontend.submit(each))),
  )) as readonly {kind: string}[];
  assert.equal(
    answers.map(({kind}) => kind),
    ['done', 'done', 'tooLarge'],
  );
});

store('writes progress that is too much for one append', async () => {
  const {clock, memory, client} = newFixture();
  const own = client();
  own.faults.limits = TIGHT_LIMITS;
  const writer = new ProgressWriter(own, clock, 1, () => true, ignoreLog);
  await settle(clock, writer.open());
  const value = new Uint8Array(800);
  const keys = [...Array(10).keys()].map(i => `p/${i}`);
  const isStored = await settle(
    clock,
    Promise.race([
      writer.write(keys.map(key => ({key, value}))),
      clock.sleep(LONG_MS / 2),
    ]),
  );
  assert.is(isStored, true);
  assert.equal([...memory.topic(PROGRESS_TOPIC).newest.keys()], keys);
});

// A silent store does not answer within the caller's timeout.
store('answers callers in time while the store is silent', async () => {
  const fixture = newFixture();
  const client = fixture.client();
  client.faults.isSilent = true;
  const frontend = newFrontend(fixture, client);
  const answers: string[] = [];
  const submit = async (id: string, part: number): Promise<void> => {
    const startMs = fixture.clock.monotonicMs();
    const {kind} = await frontend.submit({...SUBMISSION, id});
    const tookMs = fixture.clock.monotonicMs() - startMs;
    const boundMs = SUBMISSION.timeoutMs * part;
    assert.ok(tookMs <= boundMs, `${id} took ${tookMs} ms`);
    answers.push(`${id} ${kind}`);
  };
  const late = fixture.clock.sleep(800).then(() => submit('late', 0));
  const early = [submit('sent', 0.8), submit('behind', 0.4), late];
  await settle(fixture.clock, Promise.all(early));
  assert.equal(answers, ['late refused', 'behind refused', 'sent unknown']);
  client.faults.isSilent = false;
  await settle(fixture.clock, fixture.clock.sleep(5000));
  assert.is(fixture.memory.topic(JOBS_TOPICS[0] ?? '').log.length, 0);
});

store('answers cancels in time while the store is silent', async () => {
  const fixture = newFixture();
  const client = fixture.client();
  const frontend = newFrontend(fixture, client);
  await settle(fixture.clock, frontend.submit(SUBMISSION));
  client.faults.isSilent = true;
  const caller = {organisation: 'o', queue: QUEUE, timeoutMs: 1000};
  const answers: string[] = [];
  const cancel = async (name: string, part: number): Promise<void> => {
    const startMs = fixture.clock.monotonicMs();
    const {kind} = await frontend.cancel('job', caller);
    const tookMs = fixture.clock.monotonicMs() - startMs;
    const isInTime = tookMs <= caller.timeoutMs * part;
    answers.push(`${name} ${kind} ${isInTime ? 'in time' : 'late'}`);
  };
  const both = Promise.all([cancel('sent', 0.8), cancel('behind', 0.4)]);
  await fixture.clock.advance(0);
  await settle(fixture.clock, both);
  assert.equal(answers, ['behind refused in time', 'sent unknown in time']);
});

store('applies a cancel that is stored after its answer', async () => {
  const fixture = newFixture();
  const client = fixture.client();
  const cancelled: string[] = [];
  const frontend = newFrontend(fixture, client, id => cancelled.push(id));
  await settle(fixture.clock, frontend.submit(SUBMISSION));
  client.faults.delayMs = 1200;
  const caller = {organisation: 'o', queue: QUEUE, timeoutMs: 1000};
  const cancel = frontend.cancel('job', caller);
  await fixture.clock.advance(0);
  const answer = await settle(fixture.clock, cancel);
  assert.equal(answer, {kind: 'unknown'});
  assert.equal(cancelled, ['job']);
  const phase = await settle(fixture.clock, frontend.phase('job', caller));
  assert.equal(phase, {kind: 'phase', phase: 'cancelled'});
});

store('shows and cancels no job of another organisation', async () => {
  const fixture = newFixture();
  const frontend = newFrontend(fixture, fixture.client());
  await settle(fixture.clock, frontend.submit(SUBMISSION));
  const caller = {organisation: 'other', queue: QUEUE, timeoutMs: 100};
  const phase = await settle(fixture.clock, frontend.phase('job', caller));
  assert.equal(phase, {kind: 'noSuchJob'});
  const cancel = await settle(fixture.clock, frontend.cancel('job', caller));
  assert.equal(cancel, {kind: 'noSuchJob'});
  const own = {...caller, organisation: 'o'};
  const shown = await settle(fixture.clock, frontend.phase('job', own));
  assert.equal(shown, {kind: 'phase', phase: 'queued'});
});

store('logs by what a job counts as missing', async () => {
  const fixture = newFixture();
  const frontend = newFrontend(fixture, fixture.client());
  await settle(fixture.clock, frontend.submit(SUBMISSION));
  const caller = {organisation: 'other', queue: QUEUE, timeoutMs: 100};
  await frontend.phase('job', caller);
  await frontend.cancel('none', caller);
  const missing = fixture.events.filter(([event]) => event === 'jobNotFound');
  const shared = {tookMs: 0, organisation: 'other', queue: 'q'};
  assert.equal(
    missing.map(([, fields]) => JSON.parse(JSON.stringify(fields)) as object),
    [
      {
        ...shared,
        job: 'job',
        call: 'phase',
        reason: 'otherOrganisation',
        source: 'table',
        term: 0,
        jobOrganisation: 'o',
        jobQueue: 'q',
      },
      {
        ...shared,
        job: 'none',
        call: 'cancel',
        reason: 'notStored',
        source: 'store',
        term: 3,
      },
    ],
  );
});

// Otherwise anyone could cancel any job by the path of a public queue.
store('gives no access to other queues by a public one', async () => {
  const fixture = newFixture();
  const frontend = newFrontend(fixture, fixture.client());
  await settle(fixture.clock, frontend.submit(SUBMISSION));
  const caller = {
    organisation: '',
    queue: {...QUEUE, name: 'open', isPublic: true},
    timeoutMs: 100,
  };
  const phase = await settle(fixture.clock, frontend.phase('job', caller));
  assert.equal(phase, {kind: 'noSuchJob'});
  const cancel = frontend.cancel('job', caller);
  await fixture.clock.advance(0);
  assert.equal(await settle(fixture.clock, cancel), {kind: 'noSuchJob'});
});

store('shows the jobs of a queue that is public now to all', async () => {
  const fixture = newFixture();
  const frontend = newFrontend(fixture, fixture.client());
  await settle(fixture.clock, frontend.submit(SUBMISSION));
  const queue = {...QUEUE, isPublic: true};
  const caller = {organisation: '', queue, timeoutMs: 100};
  const phase = await settle(fixture.clock, frontend.phase('job', caller));
  assert.equal(phase, {kind: 'phase', phase: 'queued'});
});

// The configuration may make a public queue ask for keys.
store('shows a job without an organisation to callers with keys', async () => {
  const fixture = newFixture();
  const frontend = newFrontend(fixture, fixture.client());
  const submission = {...SUBMISSION, organisation: ''};
  await settle(fixture.clock, frontend.submit(submission));
  const caller = {organisation: 'o', queue: QUEUE, timeoutMs: 100};
  const phase = await settle(fixture.clock, frontend.phase('job', caller));
  assert.equal(phase, {kind: 'phase', phase: 'queued'});
  const cancel = frontend.cancel('job', caller);
  await fixture.clock.advance(0);
  assert.equal(await settle(fixture.clock, cancel), {kind: 'done'});
});

store(
  'tells callers to come back later the longer an outage lasts',
  async () => {
    const fixture = newFixture();
    const client = fixture.client();
    client.faults.isRefusing = true;
    const frontend = newFrontend(fixture, client);
    const first = await settle(fixture.clock, frontend.submit(SUBMISSION));
    assert.equal(first, {kind: 'refused', retryAfterS: 1});
    const later = await settle(fixture.clock, frontend.submit(SUBMISSION));
    assert.equal(later, {kind: 'refused', retryAfterS: 4});
  },
);

store.run();
