/** Lookups of jobs in the store by a VM without an owner. */
import {ManualClock} from '@dragonflyward/common';
import {
  cancelKey,
  encodeJob,
  jobKey,
  JOBS_TOPICS,
  JobTable,
  PROGRESS_TOPIC,
  StoredJobs,
  type KeyedRecord,
  type Lookup,
  type NewestPage,
} from '@dragonflyward/cell';
import {encode} from 'cbor-x';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {MemoryStore, StoreClient} from './memory-store.js';
import {QUEUE, STEP} from './rig.js';

const TOPIC = JOBS_TOPICS[0] ?? '';
/** Longer than the loads and the first reads of all topics. */
const START_MS = 450;
/** Longer than a lookup waits for the store. */
const LOOKUP_MS = 1000;

/** Longer than a read of a topic takes, in ms. */
const LATE_MS = 50;
/** How long an impatient caller waits, in ms. */
const CALLER_MS = 100;

const REPETITION = {times: 1, firstMs: 0, intervalMs: 0};
const SPEC = {payload: '', steps: [STEP], repetition: REPETITION};

function jobRecord(id: string): KeyedRecord {
  const job = {id, queue: QUEUE, organisation: 'o', spec: SPEC, acceptedMs: 0};
  return {key: jobKey(id), value: encodeJob(job)};
}

interface Fixture {
  readonly clock: ManualClock;
  readonly memory: MemoryStore;
  readonly client: StoreClient;
  readonly jobs: StoredJobs;
}

async function startedFixture(): Promise<Fixture> {
  const clock = new ManualClock(1000);
  const memory = new MemoryStore();
  const client = new StoreClient(memory, clock);
  const jobs = new StoredJobs(client, clock, new JobTable(clock));
  jobs.start();
  await clock.advance(START_MS);
  return {clock, memory, client, jobs};
}

async function lookUp({clock, jobs}: Fixture, id: string): Promise<Lookup> {
  const lookup = jobs.lookup(id, LOOKUP_MS);
  await clock.advance(LOOKUP_MS);
  return lookup;
}

const stored = suite('stored jobs');

stored('finds a job that was stored just before the lookup', async () => {
  const fixture = await startedFixture();
  fixture.memory.append(TOPIC, [jobRecord('a')], {});
  const {row} = await lookUp(fixture, 'a');
  assert.is(row?.phase, 'queued');
});

stored('is sure that a job is missing once all topics are read', async () => {
  const fixture = await startedFixture();
  const lookup = await lookUp(fixture, 'a');
  assert.equal(lookup, {row: null, isSure: true});
});

// The store ends a page at a size limit, and names the end of the partition.
stored('finds a job behind the end of a page', async () => {
  const fixture = await startedFixture();
  fixture.client.faults.maxPageRecords = 1;
  const records = ['a', 'b', 'c'].map(jobRecord);
  fixture.memory.append(TOPIC, records, {});
  const {row, isSure} = await lookUp(fixture, 'c');
  assert.equal({phase: row?.phase, isSure}, {phase: 'queued', isSure: true});
});

stored('is not sure while the store gives no answer', async () => {
  const fixture = await startedFixture();
  fixture.client.faults.isSilent = true;
  const lookup = await lookUp(fixture, 'a');
  assert.equal(lookup, {row: null, isSure: false});
});

/** A store whose first jobs topic is read after all others. */
class LateJobsClient extends StoreClient {
  constructor(
    memory: MemoryStore,
    private readonly testClock: ManualClock,
  ) {
    super(memory, testClock);
  }

  override async newestPage(topic: string, after: string): Promise<NewestPage> {
    if (topic === TOPIC) await this.testClock.sleep(LATE_MS);
    return super.newestPage(topic, after);
  }
}

// Topics are read at the same time, so a job may come last.
stored('shows a phase that was read before the job', async () => {
  const clock = new ManualClock(1000);
  const memory = new MemoryStore();
  const jobs = new StoredJobs(
    new LateJobsClient(memory, clock),
    clock,
    new JobTable(clock),
  );
  memory.append(TOPIC, ['done', 'cut', 'other'].map(jobRecord), {});
  const cancel = {key: cancelKey('cut'), value: Uint8Array.of(1)};
  memory.append(JOBS_TOPICS[1] ?? '', [cancel], {});
  const value = encode({phase: 'completed', steps: []});
  memory.append(PROGRESS_TOPIC, [{key: 'p/done', value}], {});
  jobs.start();
  await clock.advance(START_MS);
  const fixture = {clock, memory, client: new StoreClient(memory, clock), jobs};
  const phases: (string | undefined)[] = [];
  for (const id of ['done', 'cut', 'other']) {
    phases.push((await lookUp(fixture, id)).row?.phase);
  }
  assert.equal(phases, ['completed', 'cancelled', 'queued']);
});

stored('answers within the time of the caller', async () => {
  const fixture = await startedFixture();
  fixture.client.faults.isSilent = true;
  const {clock, jobs} = fixture;
  const startMs = clock.monotonicMs();
  const tookMs = jobs
    .lookup('a', CALLER_MS)
    .then(() => clock.monotonicMs() - startMs);
  await clock.advance(LOOKUP_MS);
  assert.ok((await tookMs) <= CALLER_MS, `took ${await tookMs} ms`);
});

stored.run();
