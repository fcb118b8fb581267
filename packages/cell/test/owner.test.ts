/** Single faults of an owner, each with its outcome. */
import {
  EXECUTOR_PREFIX,
  jobKey,
  jobsTopicOf,
  PROGRESS_TOPIC,
} from '@dragonflyward/cell';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Rig, STEP, type Seat} from './rig.js';

const WAY_MS = 30;
const SETTLE_MS = 3000;

/** A rig with one owner that has reached all executors. */
async function started(
  executors: number,
  runMs = 400,
): Promise<{readonly rig: Rig; readonly seat: Seat}> {
  const rig = new Rig(executors, () => ({ms: runMs, how: 'done'}));
  const seat = rig.newSeat('v0');
  void rig.own(seat);
  await rig.run(SETTLE_MS);
  return {rig, seat};
}

const owner = suite('owner');

owner('starts nothing of a job cancelled while a start is sent', async () => {
  const {rig, seat} = await started(1);
  rig.executor('x0').wayMs = WAY_MS;
  rig.submit('job', [STEP], [seat]);
  await rig.run(WAY_MS / 2);
  rig.cancel('job', [seat]);
  await rig.run(SETTLE_MS);
  assert.equal(rig.watch.starts, 1);
  assert.is(rig.rows.get('job')?.phase, 'cancelled');
});

owner('acknowledges ends only once they are stored', async () => {
  const {rig, seat} = await started(1);
  rig.submit('job', [STEP], [seat]);
  await rig.run(100);
  seat.store.mood.isRefusing = true;
  await rig.run(SETTLE_MS);
  assert.is(rig.watch.doneTasks.size, 1);
  assert.is(rig.watch.isAcked('job.0.0.0'), false);
  assert.is(rig.rows.get('job')?.phase, 'running');
  seat.store.mood.isRefusing = false;
  await rig.run(SETTLE_MS);
  assert.is(rig.watch.isAcked('job.0.0.0'), true);
  assert.is(rig.rows.get('job')?.phase, 'completed');
});

owner('counts failed runs that are listed in any order', async () => {
  const rig = new Rig(2, () => ({ms: 100, how: 'failed'}));
  const first = rig.newSeat('v0');
  void rig.own(first);
  await rig.run(SETTLE_MS);
  rig.submit('job', [STEP], [first]);
  await rig.run(50);
  first.store.mood.isRefusing = true;
  await rig.run(SETTLE_MS);
  rig.kill(first);
  const second = rig.newSeat('v1');
  void rig.own(second);
  rig.executor('x0').wayMs = 80;
  await rig.run(SETTLE_MS);
  assert.equal(rig.watch.broken, []);
  assert.is(rig.rows.get('job')?.phase, 'failed');
});

owner('stops acting when an executor has seen a higher token', async () => {
  const {rig, seat} = await started(1, 60_000);
  rig.submit('job', [STEP], [seat]);
  await rig.run(200);
  seat.store.mood.isRefusing = true;
  const other = rig.newSeat('v1');
  void rig.own(other);
  await rig.run(SETTLE_MS);
  assert.is(seat.ownership?.isSuperseded, true);
  assert.is(other.ownership?.mayAct(), true);
});

owner('waits for leases of executors that it cannot reach', async () => {
  const {rig, seat} = await started(3, 30_000);
  rig.submit('job', [{...STEP, count: 2, maxPerExecutor: 1}], [seat]);
  await rig.run(500);
  rig.executor('x1').isCut = true;
  rig.kill(seat);
  const other = rig.newSeat('v1');
  void rig.own(other);
  await rig.run(25_000);
  assert.equal(rig.watch.broken, []);
  assert.is(rig.watch.starts > 2, true);
});

owner('keeps progress of a job that it reads only later', async () => {
  const {rig, seat} = await started(1);
  rig.submit('job', [STEP], [seat]);
  await rig.run(SETTLE_MS);
  assert.is(rig.rows.get('job')?.phase, 'completed');
  const {newest} = rig.memory.topic(jobsTopicOf('job'));
  const record = newest.get(jobKey('job'));
  newest.clear();
  rig.kill(seat);
  const other = rig.newSeat('v1');
  void rig.own(other);
  await rig.run(SETTLE_MS);
  other.owner?.addStoredJob(record?.value ?? new Uint8Array(0));
  await rig.run(SETTLE_MS);
  assert.is(rig.watch.starts, 1);
});

// Found by the soak, seed 201: the executor's name was stored and dropped in
// one append, so the next owner did not wait for its runs.
owner('keeps the name of an executor that left and came back', async () => {
  const {rig, seat} = await started(2, 50);
  const {newest} = rig.memory.topic(PROGRESS_TOPIC);
  assert.ok(newest.has(`${EXECUTOR_PREFIX}x0`));
  rig.submit('job', [STEP], [seat]);
  seat.store.mood.lostAnswers = 8;
  await rig.run(500);
  rig.executor('x0').isDown = true;
  rig.executor('x1').isDown = true;
  await rig.run(SETTLE_MS);
  assert.is(seat.owner?.state.executors.has('x0'), false);
  rig.executor('x0').isDown = false;
  await rig.run(5 * SETTLE_MS);
  assert.ok(seat.owner?.state.executors.get('x0')?.isReached);
  assert.ok(newest.has(`${EXECUTOR_PREFIX}x0`));
});

// Found by the soak, seed 1007: a VM that had been paused stored a job and told
// nobody; a caller who asked another VM right after was told that it is unknown.
owner('knows a job that was stored and not told of', async () => {
  const {rig, seat} = await started(1);
  rig.submit('job', [STEP], []);
  const known = seat.owner?.lookup('job');
  const unknown = seat.owner?.lookup('other');
  await rig.run(500);
  assert.is((await known)?.row?.id, 'job');
  assert.equal(await unknown, {row: null, isSure: true});
});

owner('says why steps wait', async () => {
  const {rig, seat} = await started(1, 60_000);
  const whole = {...STEP, size: {...STEP.size, cpuMilli: 3000}};
  const tooLarge = {...STEP, size: {...STEP.size, cpuMilli: 90_000}};
  for (const [id, step] of [
    ['runs', whole],
    ['full', whole],
    ['never', tooLarge],
  ] as const) {
    rig.submit(id, [step], [seat]);
  }
  await rig.run(6000);
  const lines = rig.lines.filter(line => line.includes(' queueState '));
  const reasons = {room: 1, unsuited: 1};
  assert.ok(lines.at(-1)?.includes(JSON.stringify(reasons)), lines.at(-1));
});

// Each life of an executor numbers its ends from 1.
owner(
  'acknowledges ends of an executor that restarted while idle',
  async () => {
    const {rig, seat} = await started(1);
    for (const id of ['a', 'b', 'c']) {
      rig.submit(id, [STEP], [seat]);
      await rig.run(SETTLE_MS);
    }
    rig.executor('x0').restart();
    await rig.run(SETTLE_MS);
    rig.submit('job', [STEP], [seat]);
    await rig.run(SETTLE_MS);
    assert.is(rig.rows.get('job')?.phase, 'completed');
    assert.is(rig.watch.isAcked('job.0.0.0'), true);
  },
);

// The new life of the executor has seen no token.
owner('keeps a superseded owner from an executor that restarts', async () => {
  const {rig, seat} = await started(2, 2000);
  seat.store.mood.isRefusing = true;
  const other = rig.newSeat('v1');
  void rig.own(other);
  await rig.run(1000);
  // Only the new owner hears that x0 leaves, and goes elsewhere.
  rig.executor('x0').isDraining = true;
  await rig.run(SETTLE_MS);
  rig.executor('x0').restart();
  rig.submit('job', [STEP], [seat, other]);
  await rig.run(SETTLE_MS);
  assert.equal(rig.watch.broken, []);
});

owner.run();
