/** How an owner with a narrow link or a faulty store loads the stored state. */
import {
  encodeJob,
  jobKey,
  JOBS_TOPICS,
  PROGRESS_TOPIC,
  type Owner,
} from '@dragonflyward/cell';
import {encode} from 'cbor-x';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {pageWireBytes} from './narrow-link.js';
import {CONFIG, ignoringStore, QUEUE, Rig, STEP, type CellNode} from './rig.js';

/** Executors list themselves by then, in ms. */
const LISTED_MS = 100;
/** Delay before a failed load is retried, in ms. */
const RETRY_DELAY_MS = 100;
/** A load that has not ended by then never ends, in ms. */
const NEVER_MS = 60_000;
/** What a load takes besides the transfer, in ms. */
const MARGIN_MS = 1000;
const STEP_MS = 100;
/** Longer than the executors' records and the jobs take to be read, in ms. */
const SETTLE_MS = 4000;
/** How long a load waits until the progress topic is open, with a margin. */
const OPEN_BOUND_MS = 4000;
/** Between regions, in ms. */
const ROUND_TRIP_MS = 34;
const PAYLOAD = 'x'.repeat(900);
const REPETITION = {times: 1, firstMs: 0, intervalMs: 0};

function storeJob(rig: Rig, index: number): void {
  const id = `job-${index}`;
  const spec = {payload: PAYLOAD, steps: [STEP], repetition: REPETITION};
  const job = {id, queue: QUEUE, organisation: '', spec, acceptedMs: 0};
  const topic = JOBS_TOPICS[index % JOBS_TOPICS.length] ?? '';
  rig.memory.append(topic, [{key: jobKey(id), value: encodeJob(job)}], {});
}

/** A cell with many jobs, of which each second one has ended. */
async function storedCell(jobs: number): Promise<Rig> {
  const rig = new Rig(3, () => ({ms: 400, how: 'done'}));
  await rig.run(LISTED_MS);
  const value = encode({phase: 'completed', steps: []});
  for (let i = 0; i < jobs; i += 1) {
    storeJob(rig, i);
    if (i % 2 === 1) continue;
    rig.memory.append(PROGRESS_TOPIC, [{key: `p/job-${i}`, value}], {});
  }
  return rig;
}

function storedBytes({memory}: Rig): number {
  const topics = [...JOBS_TOPICS, PROGRESS_TOPIC];
  const sizes = topics.map(topic =>
    pageWireBytes([...memory.topic(topic).newest.values()]),
  );
  return sizes.reduce((sum, size) => sum + size, 0);
}

function ownerOf({owner}: CellNode): Owner {
  if (owner === null) throw new Error('not claimed');
  return owner;
}

/** Claims the cell, and loads until that succeeds as a VM does. */
async function claimAndLoad(rig: Rig, node: CellNode): Promise<void> {
  let isStarted = await ignoringStore(rig.claim(node));
  while (isStarted === null && !node.isKilled) {
    await rig.clock.sleep(RETRY_DELAY_MS);
    isStarted = await ignoringStore(ownerOf(node).start(CONFIG));
  }
}

/** Returns when the owner was active, from its claim on; Infinity if never. */
async function loadTimeMs(
  rig: Rig,
  node: CellNode,
  boundMs: number,
): Promise<number> {
  const startMs = rig.clock.monotonicMs();
  let activeMs = Infinity;
  rig.onLog = event => {
    if (event === 'ownerActive') activeMs = rig.clock.monotonicMs() - startMs;
  };
  void claimAndLoad(rig, node);
  const hasEnded = (): boolean =>
    activeMs < Infinity || rig.clock.monotonicMs() - startMs >= boundMs;
  while (!hasEnded()) await rig.run(STEP_MS);
  return activeMs;
}

/** The fields of the line that says that the owner is active. */
function activeFields(rig: Rig): Readonly<Record<string, number>> {
  const line = rig.logLines.find(each => each.includes(' ownerActive ')) ?? '';
  const fields: unknown = JSON.parse(line.slice(line.indexOf('{')));
  return fields as Readonly<Record<string, number>>;
}

const load = suite('load of a new owner');

// Parallel pages that share a link of 10 Mbit/s took longer than the timeout
// of a call, so that a small VM owned the cell without ever acting.
for (const mbitPerS of [10, 7]) {
  load(`ends over a link of ${mbitPerS} Mbit/s`, async () => {
    const rig = await storedCell(2400);
    const node = rig.newNode('small');
    node.store.faults.linkBytesPerS = (mbitPerS * 1e6) / 8;
    const linkMs = (storedBytes(rig) / node.store.faults.linkBytesPerS) * 1000;
    assert.ok(linkMs > 3000, `${linkMs} ms on the link`);
    const tookMs = await loadTimeMs(rig, node, NEVER_MS);
    assert.ok(
      tookMs < linkMs + MARGIN_MS,
      `active after ${tookMs} ms, ${linkMs} ms on the link`,
    );
  });
}

// All topics were read anew if one of them failed.
load('keeps what it has read while each third call fails', async () => {
  const rig = await storedCell(2400);
  const node = rig.newNode('v0');
  node.store.faults.refusedEvery = 3;
  const tookMs = await loadTimeMs(rig, node, NEVER_MS);
  assert.ok(tookMs < NEVER_MS, `active after ${tookMs} ms`);
  const {records, pages, failures} = activeFields(rig);
  // Jobs in pages of 500 records, progress in three, executors in one.
  assert.is(records, 2400 + 1200 + rig.executors.length);
  assert.equal([pages, (failures ?? 0) > 0], [4 * 2 + 3 + 1, true]);
});

load('shows what has changed while it was read', async () => {
  const rig = await storedCell(2400);
  const node = rig.newNode('small');
  node.store.faults.linkBytesPerS = 10e6 / 8;
  const loading = loadTimeMs(rig, node, NEVER_MS);
  await rig.clock.sleep(1000);
  rig.executor('x0').isUnlisted = true;
  rig.cancel('job-1', []);
  for (let i = 2400; i < 2440; i += 1) storeJob(rig, i);
  assert.ok((await loading) < NEVER_MS);
  await rig.run(SETTLE_MS);
  const {jobs, executors} = ownerOf(node).state;
  assert.is(jobs.size, 2440);
  assert.is(jobs.get('job-1')?.phase, 'cancelled');
  assert.is(executors.get('x0')?.isListed ?? false, false);
});

// The load waited for the first append without a bound and without a word.
load('fails while the progress topic refuses appends', async () => {
  const rig = await storedCell(10);
  const node = rig.newNode('v0');
  node.store.faults.refusedTopics = PROGRESS_TOPIC;
  let outcome = 'pending';
  void ignoringStore(rig.claim(node)).then(isStarted => {
    outcome = isStarted === null ? 'failed' : 'started';
  });
  await rig.run(OPEN_BOUND_MS);
  assert.is(outcome, 'failed');
  const owner = ownerOf(node);
  const {failed} = owner.describeLoad();
  assert.equal(
    failed.map(({topic, err}) => `${topic}: ${err}`),
    [`${PROGRESS_TOPIC}: not open for writing`],
  );
  const ageMs = rig.clock.monotonicMs() - owner.loadProgressMs;
  assert.ok(ageMs > OPEN_BOUND_MS / 2, `progress ${ageMs} ms ago`);
  node.store.faults.refusedTopics = '';
  const retried = owner.start(CONFIG);
  await rig.run(SETTLE_MS);
  assert.is(await retried, true);
});

// A later owner has opened the topic: this one may not decide any more.
load('does not act once a later owner has opened the topic', async () => {
  const rig = await storedCell(10);
  const node = rig.newNode('v0');
  const producer = {name: 'progress', epoch: 99, sequence: 0};
  rig.memory.append(PROGRESS_TOPIC, [], {producer});
  const claim = rig.claim(node);
  await rig.run(SETTLE_MS);
  assert.is(await claim, false);
  assert.is(rig.checker.starts, 0);
  assert.not.match(rig.logLines.join(' '), 'ownerActive');
});

load('reports its progress with the data that arrives', async () => {
  const rig = await storedCell(2400);
  const node = rig.newNode('small');
  node.store.faults.linkBytesPerS = 10e6 / 8;
  void claimAndLoad(rig, node);
  await rig.run(1000);
  const owner = ownerOf(node);
  assert.ok(rig.clock.monotonicMs() - owner.loadProgressMs < 200);
  node.store.faults.isRefusing = true;
  node.store.faults.linkBytesPerS = 1;
  await rig.run(3000);
  const ageMs = rig.clock.monotonicMs() - owner.loadProgressMs;
  assert.ok(ageMs > 2500, `progress ${ageMs} ms ago`);
  rig.kill(node);
});

// The rest of the load kept the link full, so that the handover that ended it
// took too long to be confirmed.
load('leaves the link to other calls once the owner is closed', async () => {
  const rig = await storedCell(2400);
  const node = rig.newNode('small');
  node.store.faults.linkBytesPerS = 10e6 / 8;
  void ignoringStore(rig.claim(node));
  await rig.run(1000);
  ownerOf(node).close();
  await rig.run(STEP_MS);
  const closedMs = rig.clock.monotonicMs();
  const reading = node.store.newestPage(JOBS_TOPICS[0] ?? '', '');
  let tookMs = Infinity;
  void reading.then(() => (tookMs = rig.clock.monotonicMs() - closedMs));
  await rig.run(NEVER_MS);
  const aloneMs = (storedBytes(rig) / node.store.faults.linkBytesPerS) * 1000;
  assert.ok(tookMs < aloneMs / 4, `${tookMs} ms for a page, ${aloneMs} ms all`);
  rig.kill(node);
});

// What was stored during the load was read in one page under a total timeout.
load('ends though many jobs are stored at once meanwhile', async () => {
  const rig = await storedCell(2400);
  const node = rig.newNode('small');
  node.store.faults.linkBytesPerS = 10e6 / 8;
  const loading = loadTimeMs(rig, node, NEVER_MS);
  await rig.clock.sleep(1000);
  for (let i = 2400; i < 4800; i += 1) storeJob(rig, i);
  const linkMs = (storedBytes(rig) / node.store.faults.linkBytesPerS) * 1000;
  const tookMs = await loading;
  assert.ok(tookMs < 2 * linkMs + MARGIN_MS, `active after ${tookMs} ms`);
});

// Each call in turn costs a round trip: the claim and the read before it, the
// first append to the progress topic, and then one page of each topic at once.
load('takes four round trips if each topic is one page', async () => {
  const rig = await storedCell(600);
  const node = rig.newNode('v0');
  node.store.faults.delayMs = ROUND_TRIP_MS;
  const tookMs = await loadTimeMs(rig, node, NEVER_MS);
  assert.is(tookMs, 4 * ROUND_TRIP_MS);
});

load.run();
