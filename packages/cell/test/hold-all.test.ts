/** Owners that have given no orders, or have only begun to. */
import {OWNER_TOPIC, readOwner, type OwnerRecord} from '@dragonflyward/cell';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Rig, STEP, type CellNode} from './rig.js';

const LONG_RUN_MS = 600_000;
/** By then, no executor counts as having just started, in ms. */
const START_AGE_MS = 21_000;
const SETTLE_MS = 3000;
/** Time from the death of an owner to the claim of the next one, in ms. */
const CLAIM_DELAY_MS = 900;
/** Longer than all leases, in ms. */
const ALL_LEASES_MS = 15_000;
const LASTING = {...STEP, isService: true};
const SPREAD = {...LASTING, count: 3, maxPerExecutor: 1};

interface Started {
  readonly rig: Rig;
  readonly owner: CellNode;
}

/** An owner under which tasks run on x0 to x2, and none on x3. */
async function startOwner(): Promise<Started> {
  const rig = new Rig(4, () => ({ms: LONG_RUN_MS, how: 'failed'}));
  const owner = rig.newNode('v0');
  void rig.claim(owner);
  await rig.run(START_AGE_MS);
  rig.submit('early', [SPREAD], [owner]);
  await rig.run(SETTLE_MS);
  assert.is(rig.executor('x1').runs.size, 1);
  return {rig, owner};
}

async function newestRecord(rig: Rig): Promise<OwnerRecord | null> {
  const reading = readOwner(rig.newNode('reader').store, rig.clock);
  await rig.run(50);
  return (await reading).record;
}

const holdAll = suite('owners that begin to give orders');

// It answers the successor, gets a lease, and is silent again.
for (const firstHeartbeatMs of [0, 100, 300, 490]) {
  const when = `${firstHeartbeatMs} ms after a handover`;
  holdAll(`name no executor that has an order, ${when}`, async () => {
    const {rig, owner} = await startOwner();
    rig.firstHeartbeatMs = firstHeartbeatMs;
    rig.executor('x1').isDisconnected = true;
    rig.executor('x2').isDisconnected = true;
    await rig.run(3500);
    rig.executor('x1').isDisconnected = false;
    const next = rig.newNode('v1');
    void rig.handOver(owner, next);
    await rig.run(650);
    rig.executor('x1').isDisconnected = true;
    rig.kill(next);
    await rig.run(CLAIM_DELAY_MS);
    void rig.claim(rig.newNode('v2'));
    await rig.run(ALL_LEASES_MS);
    assert.equal(rig.checker.violations, []);
  });
}

for (const afterMs of [100, 300, 500, 700, 900]) {
  holdAll(`release the cell for good ${afterMs} ms after a claim`, async () => {
    const {rig, owner} = await startOwner();
    rig.executor('x1').isDisconnected = true;
    rig.kill(owner);
    await rig.run(CLAIM_DELAY_MS);
    const next = rig.newNode('v1');
    void rig.claim(next);
    await rig.run(afterMs);
    void rig.release(next);
    await rig.run(1000);
    const record = await newestRecord(rig);
    assert.is(record?.isReleased, true);
    assert.ok(record?.orders);
  });
}

// The superseded owner starts a task there, with a time of the clock before.
for (const refusedMs of [0, 1000, 2000]) {
  const when = `orders begin ${refusedMs} ms late`;
  holdAll(`count the lease before a listed restart if ${when}`, async () => {
    const rig = new Rig(4, () => ({ms: LONG_RUN_MS, how: 'failed'}));
    const owner = rig.newNode('v0');
    void rig.claim(owner);
    await rig.run(START_AGE_MS + SETTLE_MS);
    const x1 = rig.executor('x1');
    const next = rig.newNode('v1');
    next.isConnectedToAll = true;
    const refuse = async (): Promise<void> => {
      next.store.faults.refusedTopics = OWNER_TOPIC;
      await rig.clock.sleep(refusedMs);
      next.store.faults.refusedTopics = '';
    };
    rig.onLog = event => {
      if (event === 'ownerActive' && refusedMs > 0) void refuse();
      const line = rig.logLines.at(-1) ?? '';
      const isOfX1 = line.includes(' v1 ') && line.includes('"x1"');
      if (event === 'runAdopted' && isOfX1) x1.isDisconnected = true;
    };
    owner.store.faults.isRefusing = true;
    void rig.claim(next);
    await rig.run(60);
    x1.restart();
    rig.listNow('x1');
    rig.submit('late', [{...SPREAD, count: 4}], [owner, next]);
    await rig.run(ALL_LEASES_MS);
    assert.equal(rig.checker.violations, []);
  });
}

// Its load takes longer than the start lease of the owner before.
for (const delayMs of [500, 800, 900]) {
  holdAll(`extend leases after calls of ${delayMs} ms`, async () => {
    const {rig, owner} = await startOwner();
    rig.executor('x3').isDisconnected = true;
    rig.kill(owner);
    await rig.run(2100);
    const next = rig.newNode('v1');
    next.store.faults.delayMs = delayMs;
    void rig.claim(next);
    await rig.run(ALL_LEASES_MS);
    assert.equal(rig.checker.violations, []);
    const lapsed = rig.logLines.filter(line => line.includes('"lapsed"'));
    assert.equal(lapsed, []);
  });
}

holdAll.run();
