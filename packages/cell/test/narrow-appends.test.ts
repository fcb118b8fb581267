/** Appends that a narrow link cannot carry within the timeout of a call. */
import {ManualClock, Metrics} from '@dragonflyward/common';
import {
  JobAdmission,
  JobFrontend,
  JobTable,
  JOBS_TOPICS,
  ProgressWriter,
  splitIntoAppends,
  type KeyedRecord,
} from '@dragonflyward/cell';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {MemoryStore, StoreClient} from './memory-store.js';
import {ONCE, QUEUE, STEP} from './rig.js';

/** The narrowest link of the platform's VMs: 7 Mbit/s. */
const LINK_BYTES_PER_S = 875_000;
const JOBS = 12;
/** Just below the limit of the store. */
const LARGE_BYTES = 240_000;
const SMALL_BYTES = 50_000;
/** The platform's `ack-timeout-ms`. */
const ACK_TIMEOUT_MS = 5000;
const CALLER_TIMEOUT_MS = 3000;

function newClient(): readonly [ManualClock, StoreClient] {
  const clock = new ManualClock(1000);
  const client = new StoreClient(new MemoryStore(), clock);
  client.faults.linkBytesPerS = LINK_BYTES_PER_S;
  return [clock, client];
}

function newRecords(count: number, bytes: number): readonly KeyedRecord[] {
  return Array.from({length: count}, (_, i) => ({
    key: `p/${i}`,
    value: new Uint8Array(bytes),
  }));
}

const narrow = suite('appends on a narrow link');

// They were sent in one append, which timed out and was repeated for ever.
narrow('store the progress of several jobs', async () => {
  const [clock, client] = newClient();
  const writer = new ProgressWriter(
    client,
    clock,
    1,
    () => true,
    () => undefined,
  );
  let isStored = false;
  const written = writer.write(newRecords(JOBS, LARGE_BYTES));
  void written.then(result => (isStored = result));
  await clock.advance(ACK_TIMEOUT_MS);
  assert.ok(isStored);
});

// Callers of all were told nothing, and had to ask again.
narrow('leave no submitted job in doubt', async () => {
  const [clock, client] = newClient();
  const table = new JobTable(clock);
  const frontend = new JobFrontend({
    store: client,
    jobsTopic: JOBS_TOPICS[0] ?? '',
    clock,
    metrics: new Metrics(),
    log: () => undefined,
    table,
    admission: new JobAdmission({
      table,
      clock,
      vmCount: () => 1,
      isOwner: () => true,
      askOwner: () => Promise.resolve(null),
    }),
    lookup: () =>
      Promise.resolve({row: null, isSure: true, source: 'store', term: 1}),
    notifyJob: () => undefined,
    notifyCancel: () => undefined,
    storeMs: () => 0,
    isTableFresh: () => true,
  });
  const spec = {
    payload: 'p'.repeat(SMALL_BYTES),
    steps: [STEP],
    repetition: ONCE,
  };
  const answers = Array.from({length: 60}, (_, i) =>
    frontend.submit({
      id: `job-${i}`,
      queue: QUEUE,
      organisation: '',
      spec,
      timeoutMs: CALLER_TIMEOUT_MS,
    }),
  );
  await clock.advance(2 * CALLER_TIMEOUT_MS);
  const kinds = (await Promise.all(answers)).map(({kind}) => kind);
  assert.not.ok(kinds.includes('unknown'));
  assert.ok(kinds.includes('done'));
});

narrow('take several calls only where they are large', () => {
  const [, {limits}] = newClient();
  const counts = [0, 1, 100].map(
    count => [...splitIntoAppends(newRecords(count, 1000), limits)].length,
  );
  assert.equal(counts, [1, 1, 1]);
  const large = [...splitIntoAppends(newRecords(3, LARGE_BYTES), limits)];
  assert.equal(
    large.map(batch => batch.length),
    [1, 1, 1],
  );
});

narrow.run();
