/** How long a new owner waits for one that was killed or cut off. */
import {supersededLeases} from '@dragonflyward/cell';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Rig, STEP, type CellNode} from './rig.js';

const LONG_RUN_MS = 600_000;
/** By then, no executor counts as having just started, in ms. */
const START_AGE_MS = 21_000;
const SETTLE_MS = 3000;
/** How long a claimant waits for another heartbeat of the owner, in ms. */
const CLAIM_WAIT_MS = 1100;
/** How long an owner without the store acts, with the margin for clocks. */
const SUPERSEDED_MS = 3100;
/** The lease that an owner gives, with the margin for clocks, in ms. */
const LEASE_MS = 6500;
/** Long enough to start a task that need not wait any more, in ms. */
const START_MS = 600;
const OWNER_HEARTBEAT_MS = 500;
const LASTING = {...STEP, isService: true};
const SPREAD = {...LASTING, count: 3, maxPerExecutor: 1};

interface Started {
  readonly rig: Rig;
  readonly owner: CellNode;
  readonly claimant: CellNode;
  /** The task that runs on x1. */
  readonly task: string;
}

/** An owner under which a task runs on x1, and none on x3. */
async function startOwner(extraMs = 0): Promise<Started> {
  const rig = new Rig(4, () => ({ms: LONG_RUN_MS, how: 'failed'}));
  const owner = rig.newNode('v0');
  void rig.claim(owner);
  await rig.run(START_AGE_MS);
  rig.submit('early', [SPREAD], [owner]);
  await rig.run(SETTLE_MS + extraMs);
  const [task = ''] = rig.executor('x1').runs.keys();
  assert.is.not(task, '');
  return {rig, owner, claimant: rig.newNode('v1'), task};
}

/** Cuts the owner from the store, from the claimant and from all but x1. */
function cutOff({rig, owner, claimant}: Started): void {
  owner.store.faults.isRefusing = true;
  for (const id of ['x0', 'x2', 'x3']) owner.unreachable.add(id);
  claimant.unreachable.add('x1');
  claimant.connectedMs = rig.clock.monotonicMs();
}

function countRuns(rig: Rig, task: string): number {
  return rig.executors.filter(({runs}) => runs.has(task)).length;
}

/** Runs until the task has been started elsewhere; fails on a second run. */
async function expectOneRun({rig, claimant, task}: Started): Promise<void> {
  await rig.run(3 * LEASE_MS);
  assert.is(claimant.ownership?.term, 2);
  assert.equal(rig.checker.violations, []);
  assert.is(rig.executor('x1').runs.has(task), false);
  assert.is(countRuns(rig, task), 1);
}

const claims = suite('waits of a claimant');

// The claim took effect: no heartbeat was stored since the reading before it.
claims('restarts a lasting task by the owner read before a claim', async () => {
  const {rig, owner, claimant, task} = await startOwner();
  rig.executor('x1').crash();
  await rig.run(300);
  rig.kill(owner);
  claimant.connectedMs = rig.clock.monotonicMs();
  const readMs = rig.clock.monotonicMs();
  void rig.claim(claimant, CLAIM_WAIT_MS);
  const boundMs = readMs + SUPERSEDED_MS + LEASE_MS + START_MS;
  await rig.run(boundMs - rig.clock.monotonicMs());
  assert.equal(rig.checker.violations, []);
  assert.is(countRuns(rig, task), 1, `${task} has no run`);
});

// The owner renews the lease of x1 until its own lease on the cell has ended.
for (let agoMs = 0; agoMs < OWNER_HEARTBEAT_MS; agoMs += 100) {
  claims(`starts no second run, cut off at ${agoMs} ms`, async () => {
    const started = await startOwner(agoMs);
    cutOff(started);
    void started.rig.claim(started.claimant, CLAIM_WAIT_MS);
    await expectOneRun(started);
  });
}

claims('starts no second run by orders that arrive late', async () => {
  const started = await startOwner();
  const {rig, claimant} = started;
  cutOff(started);
  void rig.claim(claimant, CLAIM_WAIT_MS);
  await rig.run(SUPERSEDED_MS - 800);
  rig.executor('x1').delayedOrders = 3;
  await expectOneRun(started);
});

claims('starts no second run after a freeze before the claim', async () => {
  const started = await startOwner();
  const {rig, claimant} = started;
  cutOff(started);
  void rig.claim(claimant, CLAIM_WAIT_MS);
  await rig.run(500);
  rig.clock.freeze(2000);
  await expectOneRun(started);
});

// The claimant's last heartbeat to the owner counts there, and arrives late.
claims('starts no second run of an owner it was connected to', async () => {
  const started = await startOwner();
  const {rig, owner, claimant} = started;
  cutOff(started);
  owner.isConnectedToAll = true;
  void rig.claim(claimant, CLAIM_WAIT_MS);
  await rig.run(CLAIM_WAIT_MS - 50);
  claimant.connectedMs = rig.clock.monotonicMs();
  await rig.run(2900);
  owner.isConnectedToAll = false;
  await expectOneRun(started);
});

// The owner starts a task where the claimant does not look, as x1 comes back.
claims('starts no task of an owner it was connected to', async () => {
  const rig = new Rig(4, () => ({ms: LONG_RUN_MS, how: 'failed'}));
  const owner = rig.newNode('v0');
  void rig.claim(owner);
  await rig.run(SETTLE_MS);
  owner.store.faults.isRefusing = true;
  owner.isConnectedToAll = true;
  rig.executor('x1').crash();
  const claimant = rig.newNode('v1');
  void rig.claim(claimant, CLAIM_WAIT_MS);
  await rig.run(CLAIM_WAIT_MS);
  claimant.connectedMs = rig.clock.monotonicMs();
  await rig.run(500);
  claimant.unreachable.add('x1');
  rig.executor('x1').recover();
  for (const id of ['x0', 'x2', 'x3']) owner.unreachable.add(id);
  await rig.run(50);
  const spread = {...SPREAD, count: 4};
  rig.submit('early', [spread], [owner, claimant]);
  await rig.startAfterRestart(owner, 'x1');
  owner.isConnectedToAll = false;
  assert.is(rig.executor('x1').runs.size, 1);
  await rig.run(30_000);
  assert.equal(rig.checker.violations, []);
});

// A heartbeat of the claimant that arrives late, or a connection that is up on
// the owner's side only, lets it start tasks after the claim.
for (const heardMs of [500, 1000]) {
  claims(`starts no task of an owner that hears it ${heardMs} ms`, async () => {
    const rig = new Rig(4, () => ({ms: LONG_RUN_MS, how: 'failed'}));
    const owner = rig.newNode('v0');
    void rig.claim(owner);
    await rig.run(SETTLE_MS);
    owner.store.faults.isRefusing = true;
    owner.isConnectedToAll = true;
    rig.executor('x1').crash();
    const claimant = rig.newNode('v1');
    claimant.connectedMs = rig.clock.monotonicMs() - 250;
    void rig.claim(claimant, 1100);
    await rig.run(1150);
    assert.is(claimant.ownership?.term, 2);
    claimant.unreachable.add('x1');
    rig.executor('x1').recover();
    await rig.run(heardMs - 150);
    for (const id of ['x0', 'x2', 'x3']) owner.unreachable.add(id);
    rig.submit('early', [{...SPREAD, count: 4}], [owner, claimant]);
    await rig.run(150);
    owner.isConnectedToAll = false;
    await rig.run(30_000);
    assert.equal(rig.checker.violations, []);
  });
}

const bounds = suite('leases of an owner that is superseded');

bounds('count from the reading', () => {
  const times = {readAgoMs: 1000, connectedAgoMs: 1300};
  const {startMs, actMs} = supersededLeases(times);
  assert.equal([startMs, Math.round(actMs)], [800, 2090]);
});

// An owner that does not know the claimant may be connected to all it knows.
bounds('count from the claim of a VM that was not connected', () => {
  for (const connectedAgoMs of [Infinity, 40_000]) {
    const times = {readAgoMs: 1000, connectedAgoMs};
    assert.equal(supersededLeases(times), {startMs: 800, actMs: 3000});
  }
});

bounds('count from the end of a connection after the reading', () => {
  const times = {readAgoMs: 1000, connectedAgoMs: 600};
  const {startMs, actMs} = supersededLeases(times);
  assert.equal([startMs, Math.round(actMs)], [800, 2490]);
  const late = supersededLeases({...times, connectedAgoMs: 0});
  assert.equal(late, {startMs: 800, actMs: 3000});
});

// The owner told of its newest heartbeat before the claimant read it.
bounds('count from when the owner told of its heartbeat', () => {
  const times = {readAgoMs: 100, toldAgoMs: 900, connectedAgoMs: 1300};
  const {startMs, actMs} = supersededLeases(times);
  assert.equal([startMs, Math.round(actMs)], [800, 2190]);
  const late = supersededLeases({...times, connectedAgoMs: 200});
  assert.is(Math.round(late.actMs), 2890);
});

// It may hear this VM on a connection that is up on its side only.
bounds('cover a late message before the claim, told long before', () => {
  const times = {readAgoMs: 100, toldAgoMs: 5000, connectedAgoMs: 5100};
  assert.is(Math.round(supersededLeases(times).actMs), 2090);
  const {actMs} = supersededLeases({...times, connectedAgoMs: Infinity});
  assert.is(actMs, 3000);
});

// A claim that took long: the owner may have heard this VM until then.
bounds('cover a connection that begins with the claim', () => {
  const times = {readAgoMs: 5000, connectedAgoMs: 5100};
  assert.is(supersededLeases(times).actMs, 1200);
});

claims.run();
bounds.run();
