/** How long tasks wait for executors that are lost just before a handover. */
import {describeAnswering, ordersNotice} from '@dragonflyward/cell';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Rig, STEP, type CellNode} from './rig.js';

const LONG_RUN_MS = 600_000;
/** By then, no executor counts as having just started, in ms. */
const START_AGE_MS = 21_000;
const SETTLE_MS = 3000;
/** The lease that an owner gives, with the margin for clocks, in ms. */
const LEASE_MS = 6500;
/** Long enough to load the state and to start a task, in ms. */
const START_MS = 300;
/** An order without an answer counts as lost after that, in ms. */
const UNNOTICED_MS = 600;
const LASTING = {...STEP, isService: true};
const SPREAD = {...LASTING, count: 3, maxPerExecutor: 1};
/** Needs an executor that runs nothing. */
const WHOLE = {...LASTING, size: {...STEP.size, cpuMilli: 3000}};

interface Started {
  readonly rig: Rig;
  readonly owner: CellNode;
  /** The task that runs on x1. */
  readonly task: string;
}

/** An owner under which a task runs on x0, x1 and x2, and none on x3. */
async function startOwner(): Promise<Started> {
  const rig = new Rig(4, () => ({ms: LONG_RUN_MS, how: 'failed'}));
  const owner = rig.newNode('v0');
  void rig.claim(owner);
  await rig.run(START_AGE_MS);
  rig.submit('early', [SPREAD], [owner]);
  await rig.run(SETTLE_MS);
  const [task = ''] = rig.executor('x1').runs.keys();
  assert.is.not(task, '');
  assert.is(rig.executor('x3').runs.size, 0);
  return {rig, owner, task};
}

function countRuns(rig: Rig, task: string): number {
  return rig.executors.filter(({runs}) => runs.has(task)).length;
}

const handover = suite('executors lost before a handover');

// Nothing runs there, and an idle executor gets no renewals that would fail.
handover('starts a task though an idle executor is lost', async () => {
  const {rig, owner} = await startOwner();
  rig.executor('x3').crash();
  await rig.run(UNNOTICED_MS);
  rig.submit('late', [STEP], []);
  void rig.handOver(owner, rig.newNode('v1'));
  await rig.run(START_MS);
  assert.is(countRuns(rig, 'late.0.0.0'), 1);
  assert.equal(rig.checker.violations, []);
});

// The owner has not noticed it; its last order there was 0.6 s ago.
handover('restarts a lasting task once its lease has ended', async () => {
  const {rig, owner, task} = await startOwner();
  rig.executor('x1').crash();
  await rig.run(UNNOTICED_MS);
  void rig.handOver(owner, rig.newNode('v1'));
  await rig.run(LEASE_MS - UNNOTICED_MS + START_MS);
  assert.is(countRuns(rig, task), 1);
  assert.equal(rig.checker.violations, []);
});

// The run goes on until the end of the lease that the last order gave.
for (const silentMs of [0, 30, 300, UNNOTICED_MS]) {
  handover(`starts no second run, silent for ${silentMs} ms`, async () => {
    const {rig, owner, task} = await startOwner();
    rig.executor('x1').isDisconnected = true;
    await rig.run(silentMs);
    void rig.handOver(owner, rig.newNode('v1'));
    await rig.run(2 * LEASE_MS);
    assert.equal(rig.checker.violations, []);
    assert.is(rig.executor('x1').runs.has(task), false);
    assert.is(countRuns(rig, task), 1);
  });
}

// The start arrives late on an executor that had been idle.
handover('starts no second run of a start in flight', async () => {
  const {rig, owner} = await startOwner();
  rig.executor('x3').orderDelayMs = 1000;
  rig.executor('x3').delayedOrders = 1;
  rig.submit('late', [WHOLE], [owner]);
  await rig.run(30);
  const next = rig.newNode('v1');
  next.unreachable.add('x3');
  void rig.handOver(owner, next);
  rig.cancel('early', [next]);
  await rig.run(1500);
  assert.is(rig.executor('x3').runs.size, 1);
  await rig.run(2 * LEASE_MS);
  assert.equal(rig.checker.violations, []);
  assert.is(rig.executor('x3').runs.size, 0);
  assert.is(countRuns(rig, 'late.0.0.0'), 1);
});

handover('names executors that answer up to the cap', async () => {
  const {owner} = await startOwner();
  const state = owner.owner?.state;
  assert.ok(state);
  const [x3] = [...state.executors.values()].filter(
    ({tasks}) => tasks.size === 0,
  );
  assert.ok(x3);
  const nowMs = 1e9;
  const answering = Array.from({length: 600}, () => x3);
  const named = describeAnswering(answering, nowMs);
  assert.is(named.length, 600);
  assert.is(ordersNotice([], named).executors.length, 500);
  assert.is(ordersNotice([], named).others.wasReached, true);
  assert.is(ordersNotice([], named).others.agoMs, 0);
  x3.missedRenewals = 1;
  assert.is(describeAnswering([x3], nowMs).length, 0);
});

handover.run();
