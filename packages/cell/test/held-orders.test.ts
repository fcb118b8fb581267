/** What the heartbeats of an owner tell, in case that it is killed. */
import {
  chooseHeld,
  claimCell,
  OrderHolds,
  OWNER_TOPIC,
  PROGRESS_TOPIC,
  readOwner,
  type HeldOrders,
  type NamedOrders,
} from '@dragonflyward/cell';
import {ManualClock} from '@dragonflyward/common';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {MemoryStore, StoreClient} from './memory-store.js';
import {Rig, STEP, type CellNode} from './rig.js';

const LONG_RUN_MS = 600_000;
/** By then, no executor counts as having just started, in ms. */
const START_AGE_MS = 21_000;
const SETTLE_MS = 3000;
/** CELL_SEED and CELL_RUNS set another seed and more runs for a long search. */
const SEED = Number(process.env['CELL_SEED'] ?? 20261205);
const RUNS = Number(process.env['CELL_RUNS'] ?? 30);
/** Silent for that long, an executor is named in a heartbeat, in ms. */
const NAMED_AFTER_MS = 2600;
/** Within this time, an owner hears of the claim of a connected VM, in ms. */
const TOLD_MS = 700;
/** How long a killed owner counts, with the margin for clocks, in ms. */
const KILLED_MS = 3100;
const OWNER_HEARTBEAT_MS = 500;
/** Time from the death of an owner to the claim of the next one, in ms. */
const CLAIM_DELAY_MS = 900;
/** The lease that an owner gives, with the margin for clocks, in ms. */
const LEASE_MS = 6500;
/** The start lease of a killed owner, and time to start a task, in ms. */
const START_MS = 2000;
const LASTING = {...STEP, isService: true};
const SPREAD = {...LASTING, count: 3, maxPerExecutor: 1};

interface Started {
  readonly rig: Rig;
  readonly owner: CellNode;
  /** The task that runs on x1. */
  readonly task: string;
}

/** An owner under which a task runs on x1, and none on x3. */
async function startOwner(): Promise<Started> {
  const rig = new Rig(4, () => ({ms: LONG_RUN_MS, how: 'failed'}));
  const owner = rig.newNode('v0');
  void rig.claim(owner);
  await rig.run(START_AGE_MS);
  rig.submit('early', [SPREAD], [owner]);
  await rig.run(SETTLE_MS);
  const [task = ''] = rig.executor('x1').runs.keys();
  assert.is.not(task, '');
  return {rig, owner, task};
}

function countRuns(rig: Rig, task: string): number {
  return rig.executors.filter(({runs}) => runs.has(task)).length;
}

/** Runs the clock to a time after a start; fails if the task runs late. */
async function expectRunBy(
  {rig, task}: Started,
  startMs: number,
  boundMs: number,
): Promise<void> {
  await rig.run(startMs + boundMs - rig.clock.monotonicMs());
  assert.equal(rig.checker.violations, []);
  assert.is(countRuns(rig, task), 1, `${task} has no run`);
}

/** Kills the owner; a new process claims the cell some time later. */
async function replaceKilled(
  rig: Rig,
  killed: CellNode,
  vm: string,
  claimDelayMs = CLAIM_DELAY_MS,
): Promise<CellNode> {
  rig.kill(killed);
  await rig.run(claimDelayMs);
  const next = rig.newNode(vm);
  void rig.claim(next);
  return next;
}

const held = suite('orders that are held');

// Its executor leaves for good, 5 s before the owner is killed.
held('restarts a lasting task soon after its owner is killed', async () => {
  const started = await startOwner();
  const {rig, owner} = started;
  rig.executor('x1').crash();
  await rig.run(5000);
  const killMs = rig.clock.monotonicMs();
  await replaceKilled(rig, owner, 'v1');
  await expectRunBy(started, killMs, CLAIM_DELAY_MS + START_MS);
});

// Nobody knows how long ago a heartbeat was stored: each kill adds that time.
held('restarts a lasting task though owner after owner is killed', async () => {
  const started = await startOwner();
  const {rig} = started;
  rig.executor('x1').crash();
  const crashMs = rig.clock.monotonicMs();
  let {owner} = started;
  const aliveMs = [3000, 300, 700, 100];
  for (const [i, ms] of aliveMs.entries()) {
    await rig.run(ms);
    owner = await replaceKilled(rig, owner, `v${i + 1}`);
  }
  const unknownMs = aliveMs.length * (CLAIM_DELAY_MS + OWNER_HEARTBEAT_MS);
  await expectRunBy(started, crashMs, LEASE_MS + unknownMs + START_MS);
});

/** How owners of a chain are killed, and how the executor is lost. */
const chainOfKills = fc.record({
  silentMs: fc.integer({min: 0, max: 6000}),
  isCrashed: fc.boolean(),
  kills: fc.array(
    fc.record({
      aliveMs: fc.integer({min: 60, max: 3500}),
      claimDelayMs: fc.integer({min: 100, max: 2500}),
    }),
    {minLength: 1, maxLength: 5},
  ),
});

type ChainOfKills =
  typeof chainOfKills extends fc.Arbitrary<infer T> ? T : never;

/** By when a task of the lost executor runs again, after that was lost. */
function boundMs({silentMs, kills}: ChainOfKills): number {
  let passedMs = silentMs;
  let unknownMs = 0;
  for (const [i, {aliveMs, claimDelayMs}] of kills.entries()) {
    passedMs += (i === 0 ? 0 : aliveMs) + claimDelayMs;
    unknownMs += claimDelayMs + OWNER_HEARTBEAT_MS;
  }
  const first = kills[0]?.claimDelayMs ?? 0;
  const fromFirstClaim = silentMs + first + KILLED_MS;
  const fromOrdersMs = silentMs < NAMED_AFTER_MS ? fromFirstClaim : 0;
  return Math.max(passedMs, fromOrdersMs + LEASE_MS + unknownMs) + START_MS;
}

held('runs a lasting task once, and soon, in chains of kills', async () => {
  const property = fc.asyncProperty(chainOfKills, async kills => {
    const started = await startOwner();
    const {rig} = started;
    if (kills.isCrashed) rig.executor('x1').crash();
    else rig.executor('x1').isDisconnected = true;
    const lostMs = rig.clock.monotonicMs();
    let {owner} = started;
    await rig.run(kills.silentMs);
    for (const [i, {aliveMs, claimDelayMs}] of kills.kills.entries()) {
      if (i > 0) await rig.run(aliveMs);
      owner = await replaceKilled(rig, owner, `v${i + 1}`, claimDelayMs);
    }
    await expectRunBy(started, lostMs, boundMs(kills));
  });
  await fc.assert(property, {
    seed: SEED,
    numRuns: RUNS,
    includeErrorInReport: true,
  });
});

// The store names it to the next owner, which cannot reach it either.
held('restarts a task though a dropped executor is still stored', async () => {
  const {rig, owner} = await startOwner();
  owner.store.faults.refusedTopics = PROGRESS_TOPIC;
  rig.executor('x1').crash();
  const isGone = (): boolean =>
    rig.logLines.some(line => line.includes(' v0 executorGone '));
  for (let ms = 0; ms < 2 * LEASE_MS && !isGone(); ms += 100) {
    await rig.run(100);
  }
  assert.is(isGone(), true);
  await rig.run(700);
  const [run] = rig.executor('x0').runs.values();
  assert.ok(run);
  run.endsMs = rig.clock.monotonicMs();
  await replaceKilled(rig, owner, 'v1');
  await rig.run(START_MS);
  assert.equal(rig.checker.violations, []);
  assert.is(countRuns(rig, run.task), 1);
});

// A successor passes on what a killed owner told.
held('restarts a lasting task after a kill and a handover', async () => {
  const started = await startOwner();
  const {rig, owner} = started;
  rig.executor('x1').crash();
  await rig.run(4000);
  const killMs = rig.clock.monotonicMs();
  const second = await replaceKilled(rig, owner, 'v1');
  await rig.run(300);
  void rig.handOver(second, rig.newNode('v2'));
  const leftMs = LEASE_MS - 4000;
  await expectRunBy(started, killMs, leftMs + START_MS);
});

// Only the first owner reaches x1 again, after it has told that it does not.
for (const isConnectedToAll of [false, true]) {
  const connected = isConnectedToAll ? 'connected' : 'unconnected';
  held(`extends no lease that it gave up, ${connected}`, async () => {
    const {rig, owner, task} = await startOwner();
    rig.executor('x1').isDisconnected = true;
    await rig.run(2000);
    owner.store.faults.isRefusing = true;
    owner.isConnectedToAll = isConnectedToAll;
    for (const id of ['x0', 'x2', 'x3']) owner.unreachable.add(id);
    const next = rig.newNode('v1');
    next.unreachable.add('x1');
    await rig.run(CLAIM_DELAY_MS);
    rig.executor('x1').isDisconnected = false;
    void rig.claim(next);
    await rig.run(3 * LEASE_MS);
    assert.is(next.ownership?.term, 2);
    assert.equal(rig.checker.violations, []);
    assert.is(countRuns(rig, task), 1);
  });
}

/** The owner lives on without the store, and reaches only x1 again. */
const survivor = fc.record({
  silentMs: fc.integer({min: 500, max: 5500}),
  reachedAfterMs: fc.integer({min: 0, max: 1500}),
  claimAfterMs: fc.integer({min: 0, max: 1000}),
  waitMs: fc.constantFrom(0, 800, 1250),
  isConnectedToAll: fc.boolean(),
});

held('starts no second run beside an owner that lives on', async () => {
  const property = fc.asyncProperty(survivor, async times => {
    const {rig, owner, task} = await startOwner();
    rig.executor('x1').isDisconnected = true;
    await rig.run(times.silentMs);
    owner.store.faults.isRefusing = true;
    owner.isConnectedToAll = times.isConnectedToAll;
    for (const id of ['x0', 'x2', 'x3']) owner.unreachable.add(id);
    const next = rig.newNode('v1');
    next.unreachable.add('x1');
    await rig.run(times.reachedAfterMs);
    rig.executor('x1').isDisconnected = false;
    await rig.run(times.claimAfterMs);
    void rig.claim(next, times.waitMs);
    // By then, a VM that claims the cell has told an owner that hears it.
    await rig.run(times.waitMs + TOLD_MS);
    owner.isConnectedToAll = false;
    await rig.run(3 * LEASE_MS);
    assert.is(next.ownership?.term, 2);
    assert.equal(rig.checker.violations, []);
    assert.is(countRuns(rig, task), 1);
  });
  await fc.assert(property, {
    seed: SEED,
    numRuns: RUNS,
    includeErrorInReport: true,
  });
});

// x3 is idle and silent; then only the first owner reaches it, and it alone.
held('starts nothing where it has given up', async () => {
  const {rig, owner} = await startOwner();
  rig.executor('x3').isDisconnected = true;
  rig.submit('probe', [{...SPREAD, count: 4}], [owner]);
  await rig.run(LEASE_MS + SETTLE_MS);
  const lines = rig.logLines.length;
  owner.store.faults.isRefusing = true;
  owner.isConnectedToAll = true;
  for (const id of ['x0', 'x1', 'x2']) owner.unreachable.add(id);
  rig.executor('x3').isDisconnected = false;
  await rig.run(SETTLE_MS);
  assert.is(rig.executor('x3').runs.size, 0);
  const starts = rig.logLines
    .slice(lines)
    .filter(line => line.includes(' startsDecided '));
  assert.equal(starts, []);
  owner.store.faults.isRefusing = false;
  await rig.run(SETTLE_MS);
  assert.is(rig.executor('x3').runs.size, 1);
  assert.equal(rig.checker.violations, []);
});

// The heartbeats that name the executor have no answer, and are stored.
held('keeps its word if the answer to the heartbeat is lost', async () => {
  const {rig, owner, task} = await startOwner();
  rig.executor('x1').isDisconnected = true;
  owner.store.faults.lostAnswers = 9;
  await rig.run(2000);
  for (const id of ['x0', 'x2', 'x3']) owner.unreachable.add(id);
  owner.isConnectedToAll = true;
  owner.store.faults.isRefusing = true;
  const next = rig.newNode('v1');
  next.unreachable.add('x1');
  rig.executor('x1').isDisconnected = false;
  await rig.run(CLAIM_DELAY_MS);
  void rig.claim(next);
  await rig.run(3 * LEASE_MS);
  assert.is(next.ownership?.term, 2);
  assert.equal(rig.checker.violations, []);
  assert.is(countRuns(rig, task), 1);
});

// It may get orders once a heartbeat is stored that does not name it.
held('goes on with an executor that answers again', async () => {
  const {rig, task} = await startOwner();
  const {runs} = rig.executor('x1');
  rig.executor('x1').isDisconnected = true;
  await rig.run(4500);
  rig.executor('x1').isDisconnected = false;
  await rig.run(2 * LEASE_MS);
  assert.is(runs.has(task), true);
  assert.is(rig.checker.startCount(task), 1);
});

// An executor is dropped and comes back before the next heartbeat.
held('holds orders by id', () => {
  const named = {agoMs: 2000};
  const hold = (id: string): HeldOrders => ({
    executors: [{...named, id}],
    isAll: false,
  });
  const holds = new OrderHolds(hold('a'));
  holds.recordSent(hold('b'));
  assert.equal(
    ['a', 'b', 'c'].map(each => holds.isHeld(each)),
    [true, true, false],
  );
  holds.recordConfirmed(hold('c'));
  assert.equal(
    ['a', 'b', 'c'].map(each => holds.isHeld(each)),
    [false, false, true],
  );
});

held('tells executors that a record names from all others', () => {
  const executors = [
    {id: 'a', agoMs: 0, unlistedForMs: 0, bornMs: 0, wasReached: true},
  ];
  const holds = new OrderHolds({executors: [], isAll: true});
  assert.is(holds.isHeld('a'), true);
  assert.is(holds.isNamed('a'), false);
  holds.recordSent({executors, isAll: false});
  assert.equal(
    ['a', 'b'].map(each => holds.isHeld(each)),
    [true, true],
  );
  assert.equal(
    ['a', 'b'].map(each => holds.isNamed(each)),
    [true, false],
  );
});

held('names few executors, those first that waited for longest', () => {
  const executors = Array.from({length: 1000}, (_, i) => ({
    id: `x${i}`,
    agoMs: i * 100 - 500,
  }));
  const chosen = chooseHeld(executors);
  assert.is(chosen.length, 400);
  assert.is(chosen[0]?.id, 'x999');
  assert.is(chosen.at(-1)?.id, 'x600');
  assert.is(chooseHeld(executors.slice(0, 16)).length, 1);
});

// It answers the next owner once, while that may not renew its lease yet.
held('counts the lease of a killed owner after an answer', async () => {
  const {rig, owner, task} = await startOwner();
  rig.executor('x1').isDisconnected = true;
  await rig.run(NAMED_AFTER_MS);
  rig.executor('x1').isDisconnected = false;
  rig.onLog = event => {
    const isOfX1 = rig.logLines.at(-1)?.includes('"x1"') ?? false;
    if (event !== 'runAdopted' || !isOfX1) return;
    rig.executor('x1').isDisconnected = true;
  };
  await replaceKilled(rig, owner, 'v1');
  await rig.run(3 * LEASE_MS);
  assert.is(rig.executor('x1').isDisconnected, true);
  assert.equal(rig.checker.violations, []);
  assert.is(countRuns(rig, task), 1);
});

// The store refuses the record that says to which executors it gives orders.
held('gives no orders before that is stored', async () => {
  const {rig, owner} = await startOwner();
  const {runs} = rig.executor('x1');
  const next = await replaceKilled(rig, owner, 'v1');
  rig.onLog = event => {
    if (event === 'ownerActive') next.store.faults.refusedTopics = OWNER_TOPIC;
  };
  next.isConnectedToAll = true;
  rig.submit('late', [LASTING], [next]);
  await rig.run(SETTLE_MS);
  assert.is(next.owner?.state.jobs.has('late'), true);
  rig.submit('later', [LASTING], [next]);
  await rig.run(SETTLE_MS);
  assert.is(runs.size, 0);
  const starts = rig.logLines.filter(l => l.includes(' v1 startsDecided '));
  assert.equal(starts, []);
  const last = rig.newNode('v2');
  void rig.claim(last);
  await rig.run(2 * LEASE_MS);
  assert.is(last.ownership?.term, 3);
  assert.equal(rig.checker.violations, []);
  assert.is(countRuns(rig, 'later.0.0.0'), 1);
});

// It has given no orders, so those of the first owner are the last ones.
held('passes on the bounds of an owner that gave no orders', async () => {
  const clock = new ManualClock(100_000);
  const client = new StoreClient(new MemoryStore(), clock);
  const claim = async (vm: string) =>
    claimCell(
      client,
      clock,
      {vm, ip: '', port: 0, incarnation: 1},
      await readOwner(client, clock),
    );
  const first = await settle(clock, claim('a'));
  await settle(clock, first?.beginOrders() ?? Promise.resolve());
  const second = await settle(clock, claim('b'));
  const untilMs = second?.formerOrders('x1').untilMs ?? 0;
  await clock.advance(3000);
  await settle(clock, second?.renew() ?? Promise.resolve());
  const third = await settle(clock, claim('c'));
  const passedOnMs = third?.formerOrders('x1').untilMs ?? 0;
  assert.ok(passedOnMs >= untilMs);
  assert.ok(passedOnMs <= untilMs + 200, `${passedOnMs - untilMs} ms`);
  await settle(clock, second?.beginOrders() ?? Promise.resolve());
  assert.is(second?.isRevoked, true);
});

/** Runs a step that calls the store. */
async function settle<T>(clock: ManualClock, step: Promise<T>): Promise<T> {
  await clock.advance(20);
  return step;
}

// An owner of an earlier version promises nothing.
held('counts from the claim for executors that are not named', async () => {
  const clock = new ManualClock(100_000);
  const client = new StoreClient(new MemoryStore(), clock);
  const claim = async (vm: string) =>
    claimCell(
      client,
      clock,
      {vm, ip: '', port: 0, incarnation: 1},
      await readOwner(client, clock),
    );
  const first = await settle(clock, claim('a'));
  const named: readonly NamedOrders[] = [{id: 'x1', agoMs: 4000}];
  const isHolding = first?.isHoldingAll;
  first?.setHeldExecutors(() => named);
  await settle(clock, first?.beginOrders() ?? Promise.resolve());
  assert.equal([isHolding, first?.isHoldingAll], [true, false]);
  assert.is(first?.isHeld('x1'), true);
  const second = await settle(clock, claim('b'));
  const nowMs = clock.monotonicMs();
  const x1 = second?.formerOrders('x1');
  assert.ok((x1?.untilMs ?? Infinity) < nowMs - 3800);
  const x2 = second?.formerOrders('x2');
  assert.ok((x2?.untilMs ?? 0) > nowMs + 2900);
  assert.is(second?.isHeld('x1'), true);
});

held.run();
