/** What a new owner starts while a former one may still start tasks. */
import {
  CLOCK_RATE_FACTOR,
  OWNER_TOPIC,
  START_LEASE_MS,
} from '@dragonflyward/cell';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {Behaviour} from './fake-executor.js';
import {Rig, STEP, type CellNode} from './rig.js';

const SETTLE_MS = 3000;
const LONG_RUN_MS = 600_000;
/** Long enough for calls and a scheduling round, in ms. */
const CALLS_MS = 50;
/** The start lease of a former owner on the clock of the next one, in ms. */
const LOCAL_START_LEASE_MS = START_LEASE_MS * CLOCK_RATE_FACTOR;
/** An inventory, a pause before it and a round, in ms. */
const CHECK_MS = 150;
/** By then, a read shows each executor that restarted before, in ms. */
const LISTED_MS = 1400;
/** By then, all leases have expired that a former owner gave, in ms. */
const LEASES_MS = 20_000;
const MANY_EXECUTORS = 24;

/**
 * Two owners that have reached both executors. The former one is cut from the
 * store and thinks that x0 is leaving; the new one thinks that x1 is.
 */
async function supersede(
  rig: Rig,
): Promise<{readonly former: CellNode; readonly next: CellNode}> {
  const former = rig.newNode('v0');
  void rig.claim(former);
  rig.executor('x0').isDraining = true;
  await rig.run(SETTLE_MS);
  former.store.faults.isRefusing = true;
  rig.executor('x0').isDraining = false;
  rig.executor('x1').isDraining = true;
  for (const {id} of rig.executors) rig.listNow(id);
  const next = rig.newNode('v1');
  void rig.claim(next);
  await rig.run(CALLS_MS);
  return {former, next};
}

const startLease = suite('start lease of a former owner');

// The new process knows no token, so that the former owner can start tasks.
startLease(
  'keeps a task from a second run after an executor restarted',
  async () => {
    const rig = new Rig(2, () => ({ms: LONG_RUN_MS, how: 'done'}));
    const {former, next} = await supersede(rig);
    rig.executor('x1').restart();
    rig.listNow('x1');
    rig.submit('job', [STEP], [former, next]);
    await rig.startAfterRestart(former, 'x1');
    assert.is(rig.executor('x1').runs.size, 1);
    await rig.run(SETTLE_MS);
    assert.equal(rig.checker.violations, []);
    assert.is(rig.checker.starts, 1);
  },
);

// Until it is listed, the new owner takes the executor for an idle one.
startLease(
  'keeps a task from a second run if a restart is listed late',
  async () => {
    const rig = new Rig(2, () => ({ms: LONG_RUN_MS, how: 'done'}));
    const {former, next} = await supersede(rig);
    await rig.run(150);
    rig.executor('x1').restart();
    rig.submit('job', [STEP], [former, next]);
    await rig.startAfterRestart(former, 'x1');
    assert.is(rig.executor('x1').runs.size, 1);
    await rig.run(SETTLE_MS);
    assert.equal(rig.checker.violations, []);
  },
);

// It answers the former owner, and the new one no more.
startLease(
  'keeps a task from a second run if a restart is followed by silence',
  async () => {
    const rig = new Rig(2, () => ({ms: LONG_RUN_MS, how: 'done'}));
    const {former, next} = await supersede(rig);
    await rig.run(150);
    rig.executor('x1').restart();
    next.unreachable.add('x1');
    rig.submit('job', [STEP], [former, next]);
    await rig.startAfterRestart(former, 'x1');
    assert.is(rig.executor('x1').runs.size, 1);
    await rig.run(LEASES_MS);
    assert.equal(rig.checker.violations, []);
    assert.is(rig.executor('x0').runs.size, 1);
  },
);

// The run that was lost was listed before; another one follows it there.
startLease(
  'keeps a task from a second run if its executor restarts',
  async () => {
    const rig = new Rig(2, () => ({ms: LONG_RUN_MS, how: 'done'}));
    const former = rig.newNode('v0');
    void rig.claim(former);
    rig.executor('x0').isDraining = true;
    await rig.run(SETTLE_MS);
    rig.submit('job', [{...STEP, isService: true}], [former]);
    await rig.run(SETTLE_MS);
    assert.is(rig.executor('x1').runs.size, 1);
    former.store.faults.refusedTopics = OWNER_TOPIC;
    rig.executor('x0').isDraining = false;
    const next = rig.newNode('v1');
    void rig.claim(next);
    await rig.run(CALLS_MS);
    rig.executor('x1').restart();
    next.unreachable.add('x1');
    rig.listNow('x1');
    await rig.run(600);
    assert.is(rig.executor('x1').runs.size, 1);
    await rig.run(LEASES_MS);
    assert.equal(rig.checker.violations, []);
    assert.is(rig.executor('x0').runs.size, 1);
  },
);

const waits = suite('waits after the start lease');

/** How long it takes until the first task starts, in ms. */
async function startDelayMs(rig: Rig): Promise<number> {
  const sinceMs = rig.clock.monotonicMs();
  while (rig.checker.starts === 0) {
    await rig.run(10);
    const passedMs = rig.clock.monotonicMs() - sinceMs;
    if (passedMs > LEASES_MS) throw new Error('no task was started');
  }
  return rig.clock.monotonicMs() - sinceMs;
}

interface Change {
  readonly rig: Rig;
  readonly next: CellNode;
}

function behave(): ReturnType<Behaviour> {
  return {ms: 100, how: 'done'};
}

/** A change of the owner; a job is stored before it that nobody has started. */
async function changeOwner(isHandover: boolean): Promise<Change> {
  const rig = new Rig(MANY_EXECUTORS, behave);
  const former = rig.newNode('v0');
  void rig.claim(former);
  await rig.run(SETTLE_MS);
  rig.submit('job', [STEP], []);
  for (const each of rig.executors) each.inventories = 0;
  const next = rig.newNode('v1');
  if (isHandover) void rig.handOver(former, next);
  else {
    rig.kill(former);
    void rig.claim(next);
  }
  return {rig, next};
}

waits('starts a task with the first answers after the lease', async () => {
  const {rig} = await changeOwner(false);
  const delayMs = await startDelayMs(rig);
  assert.ok(delayMs >= LOCAL_START_LEASE_MS, `${delayMs} ms`);
  assert.ok(delayMs <= LOCAL_START_LEASE_MS + CHECK_MS, `${delayMs} ms`);
});

waits('asks each executor once more', async () => {
  const {rig} = await changeOwner(false);
  await rig.run(SETTLE_MS);
  const idle = rig.executors.filter(({inventories}) => inventories === 2);
  assert.ok(idle.length >= MANY_EXECUTORS - 1, `${idle.length} executors`);
});

waits('starts a task at once after a handover', async () => {
  const {rig} = await changeOwner(true);
  const delayMs = await startDelayMs(rig);
  assert.ok(delayMs <= CHECK_MS, `${delayMs} ms`);
  await rig.run(SETTLE_MS);
  const idle = rig.executors.filter(({inventories}) => inventories === 1);
  assert.ok(idle.length >= MANY_EXECUTORS - 1, `${idle.length} executors`);
});

// The list shows that it has not restarted within the start lease.
waits('starts a task if an executor falls silent in the lease', async () => {
  const {rig, next} = await changeOwner(false);
  await rig.run(200);
  next.unreachable.add('x1');
  const delayMs = 200 + (await startDelayMs(rig));
  const boundMs = LOCAL_START_LEASE_MS + LISTED_MS + CHECK_MS;
  assert.ok(delayMs <= boundMs, `${delayMs} ms`);
});

startLease.run();
waits.run();
