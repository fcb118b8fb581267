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

/** A grown cell. */
const VM_COUNT = 35;
const JOB_COUNT = 600;
/** From the time at which VMs notice that they have no owner to 3 s, in ms. */
const TAKEOVER_MS = 2000;
const LONG_MS = 6000;
const STEP_MS = 100;

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

interface StartedFixture extends Fixture {
  readonly table: JobTable;
}

async function startedFixture(): Promise<StartedFixture> {
  const clock = new ManualClock(1000);
  const memory = new MemoryStore();
  const client = new StoreClient(memory, clock);
  const table = new JobTable(clock);
  const jobs = new StoredJobs(client, clock, table, () => undefined);
  jobs.start();
  // It reads from the first lookup on.
  void jobs.lookup('first', LOOKUP_MS);
  await clock.advance(START_MS);
  return {clock, memory, client, jobs, table};
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

// A new owner tells of open jobs only; this one had ended when it loaded it.
stored('is not sure of a job whose row an owner has removed', async () => {
  const fixture = await startedFixture();
  const {clock, memory, jobs, table} = fixture;
  memory.append(TOPIC, [jobRecord('a')], {});
  await lookUp(fixture, 'a');
  table.replaceOpen([]);
  assert.equal(await lookUp(fixture, 'a'), {row: null, isSure: false});
  memory.append(TOPIC, [jobRecord('b')], {});
  const lookup = jobs.lookup('b', LOOKUP_MS);
  await clock.advance(START_MS);
  assert.is((await lookup).row?.phase, 'queued');
});

stored('is not sure of one that is removed during the lookup', async () => {
  const {clock, memory, jobs, table} = await startedFixture();
  memory.append(TOPIC, [jobRecord('a')], {});
  const lookup = jobs.lookup('a', LOOKUP_MS);
  while (table.get('a') === undefined) await clock.advance(1);
  table.replaceOpen([]);
  await clock.advance(LOOKUP_MS);
  assert.equal(await lookup, {row: null, isSure: false});
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
    () => undefined,
  );
  memory.append(TOPIC, ['done', 'cut', 'lost', 'other'].map(jobRecord), {});
  const cancel = {key: cancelKey('cut'), value: Uint8Array.of(1)};
  memory.append(JOBS_TOPICS[1] ?? '', [cancel], {});
  const value = encode({phase: 'completed', steps: []});
  // Its executor crashed, and may have done so before the start reached it.
  const lost = encode({phase: 'queued', steps: []});
  const progress = [
    {key: 'p/done', value},
    {key: 'p/lost', value: lost},
  ];
  memory.append(PROGRESS_TOPIC, progress, {});
  jobs.start();
  await clock.advance(START_MS);
  const fixture = {clock, memory, client: new StoreClient(memory, clock), jobs};
  const phases: (string | undefined)[] = [];
  for (const id of ['done', 'cut', 'lost', 'other']) {
    phases.push((await lookUp(fixture, id)).row?.phase);
  }
  assert.equal(phases, ['completed', 'cancelled', 'queued', 'queued']);
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

/** A cell whose owner is gone: each VM has noticed it at the same moment. */
function detachedVms(count: number): readonly Fixture[] {
  const clock = new ManualClock(1000);
  const memory = new MemoryStore();
  for (let i = 0; i < JOB_COUNT; i += 1) {
    const topic = JOBS_TOPICS[i % JOBS_TOPICS.length] ?? '';
    memory.append(topic, [jobRecord(`job-${i}`)], {});
  }
  return [...Array(count).keys()].map(index => {
    const client = new StoreClient(memory, clock);
    const table = new JobTable(clock);
    const random = (): number => index / count;
    const jobs = new StoredJobs(client, clock, table, () => undefined, random);
    jobs.start();
    return {clock, memory, client, jobs};
  });
}

function clockOf([vm]: readonly Fixture[]): ManualClock {
  if (vm === undefined) throw new Error('no VM');
  return vm.clock;
}

function readBytes(vms: readonly Fixture[]): number {
  return vms.reduce((sum, {client}) => sum + client.newestBytes, 0);
}

// All VMs read the whole state at the moment at which the next owner reads it.
stored('reads nothing during a takeover if no caller asks', async () => {
  const vms = detachedVms(VM_COUNT);
  await clockOf(vms).advance(TAKEOVER_MS);
  assert.is(readBytes(vms), 0);
});

stored('reads for the caller that asks, on its VM only', async () => {
  const [asked, ...others] = detachedVms(VM_COUNT);
  assert.ok(asked !== undefined);
  const {row} = await lookUp(asked, 'job-7');
  assert.is(row?.phase, 'queued');
  assert.ok(asked.client.newestBytes > 0);
  assert.is(readBytes(others), 0);
});

// A VM that is cut off from the owner for long would show old phases.
stored('reads after some time though no caller asks', async () => {
  const vms = detachedVms(VM_COUNT);
  const clock = clockOf(vms);
  const reading: number[] = [];
  for (let atMs = 0; atMs < LONG_MS; atMs += STEP_MS) {
    await clock.advance(STEP_MS);
    reading.push(vms.filter(({client}) => client.calls > 0).length);
  }
  assert.is(reading.at(-1), VM_COUNT);
  const starts = reading.map((count, i) => count - (reading[i - 1] ?? 0));
  assert.ok(Math.max(...starts) <= 3, `starts: ${starts.join(' ')}`);
});

stored('reads nothing more once it has an owner', async () => {
  const [vm] = detachedVms(1);
  assert.ok(vm !== undefined);
  vm.jobs.stop();
  await vm.clock.advance(LONG_MS);
  assert.is(vm.client.calls, 0);
  assert.equal(await vm.jobs.lookup('job-1', LOOKUP_MS), {
    row: null,
    isSure: false,
  });
  // The timer of the first time does not count for the second one.
  vm.jobs.start();
  vm.jobs.stop();
  vm.jobs.start();
  await vm.clock.advance(TAKEOVER_MS);
  assert.is(vm.client.calls, 0);
});

// Counts are asked for at each VM, and may not miss jobs.
stored(
  'counts once it has read all jobs, from the first count on',
  async () => {
    const [vm] = detachedVms(1);
    assert.ok(vm !== undefined);
    assert.is(vm.jobs.checkFresh(), false);
    await vm.clock.advance(START_MS);
    assert.is(vm.jobs.checkFresh(), true);
  },
);

/** A store whose progress topic is read after the jobs. */
class LateProgressClient extends StoreClient {
  constructor(
    memory: MemoryStore,
    private readonly testClock: ManualClock,
  ) {
    super(memory, testClock);
  }

  override async newestPage(topic: string, after: string): Promise<NewestPage> {
    if (topic === PROGRESS_TOPIC) await this.testClock.sleep(LATE_MS);
    return super.newestPage(topic, after);
  }
}

stored('shows no job as queued before its progress is read', async () => {
  const clock = new ManualClock(1000);
  const memory = new MemoryStore();
  const client = new LateProgressClient(memory, clock);
  const jobs = new StoredJobs(
    client,
    clock,
    new JobTable(clock),
    () => undefined,
  );
  memory.append(TOPIC, [jobRecord('done')], {});
  const value = encode({phase: 'completed', steps: []});
  memory.append(PROGRESS_TOPIC, [{key: 'p/done', value}], {});
  jobs.start();
  const {row} = await lookUp({clock, memory, client, jobs}, 'done');
  assert.is(row?.phase, 'completed');
});

stored.run();
