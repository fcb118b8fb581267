/** Starts that wait for a connection to their executor. */
import {START_LEASE_MS} from '@dragonflyward/cell';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Rig, STEP, type CellNode} from './rig.js';

const LONG_RUN_MS = 600_000;
const SETTLE_MS = 3000;
/** A round and the order itself, in ms. */
const ORDER_MS = 100;
/** Long enough for a heartbeat of the owner, in ms. */
const HEARTBEAT_MS = 500;

interface Ordered {
  readonly rig: Rig;
  readonly owner: CellNode;
}

/** An owner that has ordered a start, which waits for a connection. */
async function orderStart(connectMs: number): Promise<Ordered> {
  const rig = new Rig(1, () => ({ms: LONG_RUN_MS, how: 'done'}));
  const owner = rig.newNode('v0');
  void rig.claim(owner);
  await rig.run(SETTLE_MS);
  rig.executor('x0').connectMs = connectMs;
  rig.submit('job', [STEP], [owner]);
  await rig.run(ORDER_MS);
  return {rig, owner};
}

const unsentStarts = suite('starts that wait for a connection');

unsentStarts('are sent while the owner may start tasks', async () => {
  const connectMs = 2 * START_LEASE_MS;
  const {rig} = await orderStart(connectMs);
  await rig.run(connectMs);
  assert.is(rig.executor('x0').runs.size, 1);
  assert.is(rig.checker.starts, 1);
  assert.equal(rig.checker.violations, []);
});

unsentStarts('are not sent without a lease for starts', async () => {
  const connectMs = START_LEASE_MS + HEARTBEAT_MS;
  const {rig, owner} = await orderStart(connectMs);
  owner.store.faults.isRefusing = true;
  await rig.run(connectMs);
  assert.is(rig.checker.starts, 0);
  owner.store.faults.isRefusing = false;
  await rig.run(SETTLE_MS);
  assert.is(rig.executor('x0').runs.size, 1);
  assert.is(rig.checker.starts, 1);
});

// A task that is placed anew takes new tickets and another run number.
unsentStarts('wait for the next lease instead of a new place', async () => {
  const connectMs = START_LEASE_MS + HEARTBEAT_MS;
  const {rig, owner} = await orderStart(connectMs);
  owner.store.faults.isRefusing = true;
  await rig.run(connectMs);
  rig.executor('x0').connectMs = 0;
  owner.store.faults.isRefusing = false;
  await rig.run(SETTLE_MS);
  const [run] = rig.executor('x0').runs.values();
  assert.is(run?.run, 1);
  assert.equal(rig.checker.violations, []);
});

unsentStarts('are not sent by an owner that was closed', async () => {
  const {rig, owner} = await orderStart(ORDER_MS);
  owner.owner?.close();
  await rig.run(SETTLE_MS);
  assert.is(rig.checker.starts, 0);
});

unsentStarts(
  'are sent once where the executor starts again meanwhile',
  async () => {
    const {rig} = await orderStart(ORDER_MS);
    rig.executor('x0').restart();
    rig.listNow('x0');
    await rig.run(SETTLE_MS);
    assert.is(rig.checker.starts, 1);
    assert.equal(rig.checker.violations, []);
  },
);

unsentStarts.run();
