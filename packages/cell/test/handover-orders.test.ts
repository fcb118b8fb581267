/** How long tasks wait for executors that are lost just before a handover. */
import {
  describeAnswering,
  ordersNotice,
  PROGRESS_TOPIC,
  taskName,
} from '@dragonflyward/cell';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {CONFIG, Rig, STEP, type CellNode} from './rig.js';

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
async function startOwner(config = CONFIG): Promise<Started> {
  const rig = new Rig(4, () => ({ms: LONG_RUN_MS, how: 'failed'}), config);
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
  const all = [...state.executors.values()];
  const x3 = all.find(({tasks}) => tasks.size === 0);
  const x1 = all.find(({tasks}) => tasks.size > 0);
  assert.ok(x1 && x3);
  const executors = new Map(
    Array.from({length: 600}, (_, i) => [`y${i}`, i < 9 ? x1 : x3] as const),
  );
  const runs = {
    describeRuns: ({tasks}: typeof x1) => [...tasks].map(taskName),
  };
  const nowMs = 1e9;
  const named = describeAnswering({executors}, runs, nowMs);
  assert.is(named.length, 600);
  const notice = ordersNotice([], named);
  assert.is(notice.executors.length, 500);
  assert.ok(notice.executors.every(each => each.runs?.length === 0));
  // A successor takes none of them for one that has been silent for long.
  assert.ok(notice.executors.every(({agoMs}) => agoMs === 0));
  assert.is(notice.others.agoMs, 0);
  x1.missedRenewals = 1;
  assert.is(describeAnswering({executors}, runs, nowMs).length, 591);
  const unknown = {describeRuns: () => null};
  assert.is(describeAnswering({executors}, unknown, nowMs).length, 0);
});

/** Calls of a silent executor fail by then, in ms. */
const SILENT_MS = 2000;

// The owner knows which tasks may run on the silent executor.
for (const vms of [['v1'], ['v1', 'v2']]) {
  handover(`starts other tasks at once in ${vms.join(', ')}`, async () => {
    const {rig, owner, task} = await startOwner();
    rig.executor('x1').isDisconnected = true;
    await rig.run(SILENT_MS);
    rig.submit('late', [STEP], []);
    let last = owner;
    for (const vm of vms) {
      const next = rig.newNode(vm);
      void rig.handOver(last, next);
      await rig.run(vm === vms.at(-1) ? START_MS : 20);
      last = next;
    }
    assert.is(countRuns(rig, 'late.0.0.0'), 1);
    assert.is(countRuns(rig, task), 1);
    await rig.run(2 * LEASE_MS);
    assert.equal(rig.checker.violations, []);
    assert.is(countRuns(rig, task), 1);
  });
}

// The second owner reaches x1 no more, the third one never does.
handover('starts other tasks at once after owners that act', async () => {
  const {rig, owner} = await startOwner();
  rig.executor('x1').isDisconnected = true;
  await rig.run(SILENT_MS);
  const second = rig.newNode('v1');
  void rig.handOver(owner, second);
  await rig.run(1000);
  rig.submit('late', [STEP], []);
  void rig.handOver(second, rig.newNode('v2'));
  await rig.run(START_MS);
  assert.is(countRuns(rig, 'late.0.0.0'), 1);
  await rig.run(2 * LEASE_MS);
  assert.equal(rig.checker.violations, []);
});

// The next owner must not take the run of a cancelled job for ended either.
handover('counts told runs towards the limit', async () => {
  const limit = {cpuMilli: 3000, memMb: 0, accel: 0, slots: 0};
  const {rig, owner} = await startOwner({
    ...CONFIG,
    organisations: [{name: '', weight: 1, limit}],
  });
  rig.executor('x1').isDisconnected = true;
  await rig.run(SILENT_MS);
  rig.submit('late', [STEP], []);
  void rig.handOver(owner, rig.newNode('v1'));
  await rig.run(1000);
  assert.is(countRuns(rig, 'late.0.0.0'), 0);
});

// The end is listed on x1 only; it is acknowledged once x1 answers again.
for (const others of [0, 1]) {
  const beside = `beside ${others} runs`;
  handover(`starts no task whose end is not stored, ${beside}`, async () => {
    const rig = new Rig(2, task => ({
      ms: task.startsWith('job') ? 1000 : LONG_RUN_MS,
      how: 'done',
    }));
    const owner = rig.newNode('v0');
    void rig.claim(owner);
    rig.executor('x0').isDraining = true;
    await rig.run(SETTLE_MS);
    if (others > 0) rig.submit('other', [LASTING], [owner]);
    rig.submit('job', [STEP], [owner]);
    await rig.run(500);
    assert.is(rig.executor('x1').runs.size, 1 + others);
    owner.store.faults.refusedTopics = PROGRESS_TOPIC;
    await rig.run(700);
    assert.is(rig.executor('x1').runs.size, others);
    assert.ok(rig.logLines.some(line => line.includes(' v0 runsEnded ')));
    rig.executor('x1').isDisconnected = true;
    rig.executor('x0').isDraining = false;
    await rig.run(SILENT_MS);
    void rig.handOver(owner, rig.newNode('v1'));
    await rig.run(1000);
    rig.executor('x1').isDisconnected = false;
    await rig.run(SETTLE_MS);
    assert.equal(rig.checker.violations, []);
    assert.is(rig.checker.starts, 1 + others);
  });
}

/**
 * The second owner has reached x1 before a former one started a task there; it
 * stops before it has asked again. The third owner can't reach x1.
 */
for (const afterMs of [100, 900, 1450]) {
  handover(
    `starts no second run, handed over after ${afterMs} ms`,
    async () => {
      const rig = new Rig(2, () => ({ms: LONG_RUN_MS, how: 'done'}));
      const former = rig.newNode('v0');
      void rig.claim(former);
      rig.executor('x0').isDraining = true;
      await rig.run(SETTLE_MS);
      former.store.faults.isRefusing = true;
      rig.executor('x0').isDraining = false;
      rig.listNow('x0');
      const second = rig.newNode('v1');
      void rig.claim(second);
      await rig.run(50);
      second.unreachable.add('x1');
      rig.executor('x1').restart();
      rig.submit('job', [STEP], [former, second]);
      const submittedMs = rig.clock.monotonicMs();
      await rig.startAfterRestart(former, 'x1');
      assert.is(rig.executor('x1').runs.size, 1);
      const passedMs = rig.clock.monotonicMs() - submittedMs;
      await rig.run(Math.max(0, 50 + afterMs - passedMs));
      const third = rig.newNode('v2');
      third.unreachable.add('x1');
      void rig.handOver(second, third);
      await rig.run(3 * LEASE_MS);
      assert.equal(rig.checker.violations, []);
      assert.is(countRuns(rig, 'job.0.0.0'), 1);
    },
  );
}

handover.run();
