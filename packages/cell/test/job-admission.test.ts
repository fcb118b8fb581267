/** Which jobs a VM accepts, by the memory that they need. */
import {ManualClock, Metrics} from '@dragonflyward/common';
import {
  CLASS_BYTES,
  isAdmissionRequest,
  JobAdmission,
  JobFrontend,
  JobTable,
  UNCONFIRMED_BYTES,
  type Admission,
  type AdmissionRequest,
  type JobAdmissionDeps,
  type SourcedLookup,
  type Submission,
  type WriteAnswer,
} from '@dragonflyward/cell';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {MemoryStore, StoreClient} from './memory-store.js';
import {ONCE, QUEUE, STEP} from './rig.js';

const MB = 1024 * 1024;
const LARGE_BYTES = 4 * MB;
const SMALL_BYTES = 10_000;
const ADMITTED: Admission = {kind: 'admitted'};

const admissions = suite('admission of jobs');

interface Fixture {
  readonly clock: ManualClock;
  readonly table: JobTable;
  readonly admission: JobAdmission;
}

function newFixture(change: Partial<JobAdmissionDeps> = {}): Fixture {
  const clock = new ManualClock(1000);
  const table = new JobTable(clock);
  const admission = new JobAdmission({
    table,
    clock,
    vmCount: () => 9,
    isOwner: () => true,
    askOwner: () => Promise.resolve(null),
    ...change,
  });
  return {clock, table, admission};
}

let lastId = 0;
function newRequest(bytes: number, organisation = 'a'): AdmissionRequest {
  lastId += 1;
  return {id: `job${lastId}`, organisation, bytes};
}

/** Stores what is admitted, until a job is refused; returns how many were. */
function fill({admission, table}: Fixture, newJob: () => AdmissionRequest) {
  for (let count = 0; ; count += 1) {
    const req = newJob();
    if (admission.decide(req)?.kind !== 'admitted') return count;
    table.set({...req, phase: 'queued', queue: 'q'});
  }
}

// Any number of jobs was accepted, and each owner ran out of memory.
admissions('ends where the memory of the owner ends', () => {
  const fixture = newFixture();
  let number = 0;
  const count = fill(fixture, () => newRequest(LARGE_BYTES, `o${number++}`));
  assert.ok(count * LARGE_BYTES <= CLASS_BYTES.large);
  assert.ok((count + 2) * LARGE_BYTES > CLASS_BYTES.large);
  const answer = fixture.admission.decide(newRequest(LARGE_BYTES));
  assert.is(answer?.kind, 'full');
});

admissions('leaves room for small jobs beside large ones', () => {
  const fixture = newFixture();
  fill(fixture, () => newRequest(LARGE_BYTES));
  const small = newRequest(SMALL_BYTES);
  assert.equal(fixture.admission.decide(small), ADMITTED);
});

admissions('leaves room for the jobs of other organisations', () => {
  const fixture = newFixture();
  fill(fixture, () => newRequest(SMALL_BYTES, 'greedy'));
  const other = newRequest(SMALL_BYTES, 'other');
  assert.equal(fixture.admission.decide(other), ADMITTED);
});

admissions('counts jobs that are being stored', () => {
  const {admission, table, clock} = newFixture();
  const jobs = [...Array(12)].map(() => newRequest(LARGE_BYTES));
  const kinds = jobs.map(each => admission.decide(each)?.kind);
  const count = kinds.filter(kind => kind === 'admitted').length;
  assert.ok(count > 0 && count * LARGE_BYTES <= CLASS_BYTES.large);
  const [first] = jobs;
  assert.ok(first !== undefined);
  // Another attempt of the same caller does not count twice.
  assert.equal(admission.decide(first), ADMITTED);
  assert.is(admission.decide(newRequest(LARGE_BYTES))?.kind, 'full');
  admission.release(first.id);
  assert.equal(admission.decide(newRequest(LARGE_BYTES)), ADMITTED);
  assert.is(table.size, 0);
  void clock.advance(11_000);
  assert.equal(admission.decide(newRequest(LARGE_BYTES)), ADMITTED);
});

admissions('refuses for good what never fits', () => {
  const {admission} = newFixture();
  const answer = admission.decide(newRequest(CLASS_BYTES.large));
  assert.equal(answer, {kind: 'never'});
});

admissions('tells when there will be memory', async () => {
  const fixture = newFixture();
  const {admission, table, clock} = fixture;
  const ids: string[] = [];
  fill(fixture, () => {
    const req = newRequest(LARGE_BYTES);
    ids.push(req.id);
    return req;
  });
  const retryAfterS = (): number => {
    const answer = admission.decide(newRequest(LARGE_BYTES));
    return answer?.kind === 'full' ? answer.retryAfterS : 0;
  };
  assert.is(retryAfterS(), 60);
  // A quarter of the memory becomes free in a second.
  for (const id of ids.slice(0, 2)) {
    await clock.advance(500);
    const row = {id, queue: 'q', organisation: 'a'};
    table.set({...row, phase: 'completed', bytes: 1000});
  }
  assert.equal(admission.decide(newRequest(LARGE_BYTES)), ADMITTED);
  fill(fixture, () => newRequest(LARGE_BYTES));
  const soon = retryAfterS();
  assert.ok(soon > 1 && soon < 30, `${soon}`);
});

// Several VMs that accept at the same moment do not know of each other.
admissions('asks the owner beyond the share of a VM', async () => {
  const asked: AdmissionRequest[] = [];
  const {admission, table} = newFixture({
    isOwner: () => false,
    askOwner: req => {
      asked.push(req);
      return Promise.resolve(ADMITTED);
    },
  });
  const large = newRequest(LARGE_BYTES);
  assert.is(admission.decide(large), null);
  assert.equal(await admission.ask(large, 3000), ADMITTED);
  assert.equal(asked, [large]);
  admission.release(large.id);
  let ownBytes = 0;
  for (;;) {
    const req = newRequest(SMALL_BYTES);
    if (admission.decide(req) === null) break;
    table.addStored({...req, phase: 'queued', queue: 'q'});
    ownBytes += req.bytes;
  }
  assert.ok(ownBytes <= UNCONFIRMED_BYTES / 9);
  table.confirmAll();
  assert.equal(admission.decide(newRequest(SMALL_BYTES)), ADMITTED);
});

// A job that was counted for ever kept a VM from accepting others by itself.
admissions('counts a job once, whatever is stored or sent of it', () => {
  const {table} = newFixture();
  const row = {
    ...newRequest(SMALL_BYTES),
    phase: 'queued',
    queue: 'q',
  } as const;
  table.addStored(row);
  table.addStored(row);
  assert.is(table.unconfirmedBytes, SMALL_BYTES);
  assert.is(table.load.total('small'), SMALL_BYTES);
  table.confirm(row.id);
  assert.is(table.unconfirmedBytes, 0);
  table.set({...row, phase: 'completed', bytes: 1000});
  table.addStored(row);
  assert.is(table.unconfirmedBytes, 0);
  assert.is(table.load.total('small'), 1000);
  for (const bytes of [Number.NaN, Infinity, -1]) {
    table.set({...newRequest(0), phase: 'queued', queue: 'q', bytes});
  }
  assert.is(table.load.total('small'), 1000);
});

admissions('takes no other message for a request', () => {
  const req = newRequest(SMALL_BYTES);
  assert.is(isAdmissionRequest(req), true);
  for (const bytes of [Number.NaN, -1, '1', undefined]) {
    assert.is(isAdmissionRequest({...req, bytes}), false);
  }
  assert.is(isAdmissionRequest(null), false);
});

admissions('refuses large jobs for a moment without an owner', async () => {
  const {admission} = newFixture({isOwner: () => false});
  const answer = await admission.ask(newRequest(LARGE_BYTES), 3000);
  assert.equal(answer, {kind: 'full', retryAfterS: 2});
});

const SUBMISSION: Submission = {
  id: 'job',
  queue: QUEUE,
  organisation: 'a',
  timeoutMs: 3000,
  spec: {payload: '', steps: [STEP], repetition: ONCE},
};

function submitToFullCell(lookup: SourcedLookup): Promise<WriteAnswer> {
  const fixture = newFixture();
  const {clock, table, admission} = fixture;
  fill(fixture, () => newRequest(1000));
  const frontend = new JobFrontend({
    store: new StoreClient(new MemoryStore(), clock),
    jobsTopic: 'keyed.jobs-0',
    clock,
    metrics: new Metrics(),
    log: () => undefined,
    table,
    admission,
    lookup: () => Promise.resolve(lookup),
    notifyJob: () => undefined,
    notifyCancel: () => undefined,
    storeMs: () => 0,
    isTableFresh: () => true,
  });
  return frontend.submit(SUBMISSION);
}

admissions('refuses at once, and says when to try again', async () => {
  const lookup = {row: null, isSure: true, source: 'store', term: 1} as const;
  const answer = await submitToFullCell(lookup);
  assert.equal(answer, {kind: 'full', retryAfterS: 60});
});

// A refusal says that the job never runs.
admissions('refuses no job that was accepted before', async () => {
  const row = {
    id: 'job',
    phase: 'queued',
    queue: 'q',
    organisation: 'a',
  } as const;
  const known = {row, isSure: true, source: 'owner', term: 1} as const;
  assert.equal(await submitToFullCell(known), {kind: 'done'});
  const unsure = {row: null, isSure: false, source: 'store', term: 1} as const;
  assert.equal(await submitToFullCell(unsure), {kind: 'unknown'});
});

admissions.run();
