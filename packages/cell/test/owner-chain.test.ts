/** How long tasks wait while the cell changes its owner several times. */
import {
  acceptOwnership,
  InheritedOrders,
  ordersNotice,
  UNCONNECTED_LEASE_MS,
} from '@dragonflyward/cell';
import {ManualClock} from '@dragonflyward/common';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {MemoryStore, StoreClient} from './memory-store.js';
import {CONFIG, Rig, STEP, type CellNode} from './rig.js';

const LONG_RUN_MS = 600_000;
/** By then, no executor counts as having just started, in ms. */
const START_AGE_MS = 21_000;
const SETTLE_MS = 3000;
/** Time from the death of an owner to the claim of the next one, in ms. */
const CLAIM_DELAY_MS = 900;
/** How long an owner acts after another VM has claimed the cell, in ms. */
const SUPERSEDED_MS = 3100;
/** The lease that an owner gives, with the margin for clocks, in ms. */
const LEASE_MS = 6500;
/** Long enough to start a task that need not wait any more, in ms. */
const START_MS = 1000;
const LASTING = {...STEP, isService: true};
const SPREAD = {...LASTING, count: 3, maxPerExecutor: 1};

interface Chain {
  readonly rig: Rig;
  readonly owner: CellNode;
  /** The task whose executor is lost. */
  readonly task: string;
}

/** An owner under which a task runs on x1, and none on x3. */
async function startOwner(config = CONFIG): Promise<Chain> {
  const rig = new Rig(4, () => ({ms: LONG_RUN_MS, how: 'failed'}), config);
  const owner = rig.newNode('v0');
  void rig.claim(owner);
  await rig.run(START_AGE_MS);
  rig.submit('early', [SPREAD], [owner]);
  await rig.run(SETTLE_MS);
  const [task = ''] = rig.executor('x1').runs.keys();
  assert.is.not(task, '');
  return {rig, owner, task};
}

/** Hands the cell over to one VM after the other. */
async function handOverAlong(
  rig: Rig,
  from: CellNode,
  vms: readonly string[],
  intervalMs: number,
): Promise<CellNode> {
  let owner = from;
  for (const vm of vms) {
    const next = rig.newNode(vm);
    void rig.handOver(owner, next);
    await rig.run(intervalMs);
    owner = next;
  }
  return owner;
}

function countRuns(rig: Rig, task: string): number {
  return rig.executors.filter(({runs}) => runs.has(task)).length;
}

/** Runs the clock to a time after a start; fails if the task runs late. */
async function expectRunBy(
  {rig, task}: Chain,
  startMs: number,
  boundMs: number,
): Promise<void> {
  await rig.run(startMs + boundMs - rig.clock.monotonicMs());
  assert.equal(rig.checker.violations, []);
  assert.is(countRuns(rig, task), 1, `${task} has no run`);
}

const chain = suite('chains of owners');

// The executor leaves for good, and each owner is a VM that is shut down next.
chain('restarts a lasting task once its lease has ended', async () => {
  const started = await startOwner();
  const {rig, owner} = started;
  rig.executor('x1').crash();
  await rig.run(300);
  const handoverMs = rig.clock.monotonicMs();
  await handOverAlong(rig, owner, ['v1', 'v2', 'v3'], 2000);
  await expectRunBy(started, handoverMs, LEASE_MS + START_MS);
});

chain(
  'restarts a lasting task after a killed owner and handovers',
  async () => {
    const started = await startOwner();
    const {rig, owner} = started;
    rig.executor('x1').crash();
    await rig.run(300);
    rig.kill(owner);
    await rig.run(CLAIM_DELAY_MS);
    const claimMs = rig.clock.monotonicMs();
    const second = rig.newNode('v1');
    void rig.claim(second);
    await rig.run(2000);
    await handOverAlong(rig, second, ['v2', 'v3', 'v4'], 2500);
    await expectRunBy(started, claimMs, SUPERSEDED_MS + LEASE_MS + START_MS);
  },
);

chain('restarts a lasting task after releases of the cell', async () => {
  const started = await startOwner();
  const {rig} = started;
  rig.executor('x1').crash();
  await rig.run(300);
  const releaseMs = rig.clock.monotonicMs();
  let owner = started.owner;
  for (const vm of ['v1', 'v2', 'v3']) {
    void rig.release(owner);
    await rig.run(100);
    owner = rig.newNode(vm);
    void rig.claim(owner);
    await rig.run(1900);
  }
  await expectRunBy(started, releaseMs, LEASE_MS + START_MS);
});

// An owner that has not loaded the state yet knows only what it was told.
chain('restarts a lasting task if an owner stops while it loads', async () => {
  const started = await startOwner();
  const {rig, owner} = started;
  rig.executor('x1').crash();
  await rig.run(1000);
  const handoverMs = rig.clock.monotonicMs();
  const second = rig.newNode('v1');
  second.store.faults.delayMs = 1200;
  void rig.handOver(owner, second);
  await rig.run(500);
  const isLoaded = rig.logLines.some(l => l.includes(' v1 ownerActive '));
  assert.is(isLoaded, false);
  second.store.faults.delayMs = 10;
  await handOverAlong(rig, second, ['v2', 'v3'], 2000);
  await expectRunBy(started, handoverMs, LEASE_MS + START_MS);
});

// Its VM runs a new process, which connects to the third owner.
chain('waits less once a killed owner before the last one ended', async () => {
  const started = await startOwner();
  const {rig, owner} = started;
  rig.executor('x1').crash();
  await rig.run(300);
  rig.kill(owner);
  await rig.run(CLAIM_DELAY_MS);
  const claimMs = rig.clock.monotonicMs();
  const second = rig.newNode('v1');
  void rig.claim(second);
  await rig.run(300);
  const third = await handOverAlong(rig, second, ['v2'], 200);
  const process = {vm: 'v0', ip: '', port: 0, incarnation: 9};
  assert.is(third.ownership?.recordProcess(process), true);
  assert.is(third.ownership?.recordProcess(process), false);
  await expectRunBy(started, claimMs, 500 + LEASE_MS + START_MS);
});

// The run goes on where no owner of the chain looks, until its lease ends.
for (const silentMs of [200, 1500]) {
  for (const intervalMs of [150, 700, 2500]) {
    const when = `${silentMs} ms before handovers each ${intervalMs} ms`;
    chain(`starts no second run, silent ${when}`, async () => {
      const started = await startOwner();
      const {rig, owner, task} = started;
      rig.executor('x1').isDisconnected = true;
      await rig.run(silentMs);
      await handOverAlong(rig, owner, ['v1', 'v2', 'v3'], intervalMs);
      await rig.run(2 * LEASE_MS);
      assert.equal(rig.checker.violations, []);
      assert.is(rig.executor('x1').runs.has(task), false);
      assert.is(countRuns(rig, task), 1);
    });
  }
}

// The killed owner's run goes on, and so may the owner itself.
chain('starts no second run after a kill and handovers', async () => {
  const started = await startOwner();
  const {rig, owner, task} = started;
  // From now on, only the first owner reaches x1, and nothing else.
  owner.store.faults.isRefusing = true;
  for (const id of ['x0', 'x2', 'x3']) owner.unreachable.add(id);
  await rig.run(CLAIM_DELAY_MS);
  let last = rig.newNode('v1');
  last.unreachable.add('x1');
  void rig.claim(last);
  await rig.run(300);
  for (const vm of ['v2', 'v3', 'v4']) {
    const next = rig.newNode(vm);
    next.unreachable.add('x1');
    void rig.handOver(last, next);
    await rig.run(1000);
    last = next;
  }
  await rig.run(2 * LEASE_MS);
  assert.equal(rig.checker.violations, []);
  assert.is(countRuns(rig, task), 1);
});

// The first owner acts on after it was superseded; then its process ends.
chain('starts no second run after a handover back to a VM', async () => {
  const started = await startOwner();
  const {rig, owner, task} = started;
  owner.store.faults.isRefusing = true;
  for (const id of ['x0', 'x2', 'x3']) owner.unreachable.add(id);
  await rig.run(CLAIM_DELAY_MS);
  const second = rig.newNode('v1');
  second.unreachable.add('x1');
  void rig.claim(second);
  await rig.run(2000);
  rig.kill(owner);
  await rig.run(100);
  const third = rig.newNode('v0');
  third.unreachable.add('x1');
  void rig.handOver(second, third);
  await rig.run(2 * LEASE_MS);
  assert.equal(rig.checker.violations, []);
  assert.is(countRuns(rig, task), 1);
});

// The next process of the owner's VM, which knows that the former one ended.
chain('starts no second run if a claimant stops while it loads', async () => {
  const started = await startOwner();
  const {rig, owner, task} = started;
  rig.executor('x1').isDisconnected = true;
  rig.kill(owner);
  const second = rig.newNode('v0');
  second.store.faults.delayMs = 500;
  void rig.claim(second);
  await rig.run(1100);
  assert.is(second.ownership?.term, 2);
  assert.is(second.owner?.describeOrders(), null);
  const third = rig.newNode('v1');
  void rig.handOver(second, third);
  await rig.run(2 * LEASE_MS);
  assert.is(third.ownership?.term, 3);
  assert.equal(rig.checker.violations, []);
  assert.is(countRuns(rig, task), 1);
});

// The second owner acted before it was killed; what it was told is outdated.
chain(
  'starts no second run of an owner that died after a handover',
  async () => {
    const started = await startOwner();
    const {rig, owner, task} = started;
    rig.executor('x1').crash();
    await rig.run(300);
    const second = rig.newNode('v1');
    void rig.handOver(owner, second);
    await rig.run(LEASE_MS + START_MS);
    assert.is(rig.executor('x3').runs.has(task), true);
    rig.executor('x3').isDisconnected = true;
    rig.executor('x1').recover();
    rig.kill(second);
    const third = rig.newNode('v1');
    void rig.claim(third);
    await rig.run(2 * LEASE_MS);
    assert.equal(rig.checker.violations, []);
    assert.is(countRuns(rig, task), 1);
  },
);

chain('starts no second run if the notice of a handover is lost', async () => {
  const started = await startOwner();
  const {rig, owner, task} = started;
  rig.executor('x1').isDisconnected = true;
  await rig.run(200);
  const second = rig.newNode('v1');
  void rig.handOver(owner, second, {isNoticeLost: true});
  await rig.run(CLAIM_DELAY_MS);
  void rig.claim(second);
  await rig.run(3 * LEASE_MS);
  assert.equal(rig.checker.violations, []);
  assert.is(countRuns(rig, task), 1);
});

chain('restarts a lasting task if the notice is lost', async () => {
  const started = await startOwner();
  const {rig, owner} = started;
  rig.executor('x1').crash();
  const crashMs = rig.clock.monotonicMs();
  await rig.run(5000);
  const second = rig.newNode('v1');
  void rig.handOver(owner, second, {isNoticeLost: true});
  await rig.run(CLAIM_DELAY_MS);
  void rig.claim(second);
  await expectRunBy(started, crashMs, LEASE_MS + CLAIM_DELAY_MS + START_MS);
});

// A task that may still run on x1 uses the limit until its lease has ended.
chain('counts a task that may run towards the limit', async () => {
  const started = await startOwner({
    ...CONFIG,
    organisations: [
      {
        name: '',
        weight: 1,
        limit: {cpuMilli: 3000, memMb: 0, accel: 0, slots: 0},
      },
    ],
  });
  const {rig, owner} = started;
  rig.executor('x1').isDisconnected = true;
  await rig.run(200);
  const last = await handOverAlong(rig, owner, ['v1', 'v2'], 1000);
  rig.submit('late', [LASTING], [last]);
  let most = 0;
  for (let passedMs = 0; passedMs < 2 * LEASE_MS; passedMs += 50) {
    await rig.run(50);
    const runs = rig.executors.map(each => each.runs.size);
    most = Math.max(
      most,
      runs.reduce((sum, each) => sum + each, 0),
    );
  }
  assert.is(most, 3);
  assert.equal(rig.checker.violations, []);
});

const notices = suite('notices of an owner that stops');

const NOTICE = {type: 'handover', term: 2, endOffset: 1} as const;
const SELF = {vm: 'v1', ip: '', port: 0, incarnation: 1};

notices('gives the longest bounds for one of an earlier version', () => {
  const clock = new ManualClock(0);
  const store = new StoreClient(new MemoryStore(), clock);
  const notice = {...NOTICE, areFormerStopped: false};
  const ownership = acceptOwnership(store, clock, SELF, notice);
  const {untilMs} = ownership.formerOrders('x0');
  assert.ok(untilMs >= UNCONNECTED_LEASE_MS, `${untilMs} ms`);
});

notices('gives longer bounds for executors beyond the cap', () => {
  const executors = Array.from({length: 600}, (_, i) => ({
    id: `x${i}`,
    agoMs: i - 50,
  }));
  const notice = ordersNotice(executors);
  assert.is(notice.executors.length, 500);
  assert.is(Math.max(...notice.executors.map(({agoMs}) => agoMs)), 549);
  assert.equal(notice.others, {agoMs: -50});
  const late = executors.map(each => ({...each, agoMs: each.agoMs + 100}));
  assert.is(ordersNotice(late).others.agoMs, 0);
  assert.is(ordersNotice(executors.slice(0, 9)).others.agoMs, 0);
});

notices('never gives a shorter bound than the time that was told', () => {
  const executors = [
    {id: 'a', agoMs: 4000},
    {id: 'b', agoMs: -2000},
  ];
  const inherited = new InheritedOrders(ordersNotice(executors), 10_000);
  assert.ok(inherited.find('a').untilMs >= 6000);
  assert.ok(inherited.find('b').untilMs >= 12_000);
  const next = new InheritedOrders(inherited.describe(11_000), 11_000);
  assert.ok(next.find('a').untilMs >= inherited.find('a').untilMs);
  assert.ok(next.find('b').untilMs >= inherited.find('b').untilMs);
});

chain.run();
notices.run();
