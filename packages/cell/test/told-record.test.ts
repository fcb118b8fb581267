/** What a VM concludes from the records of which an owner told it. */
import {
  claimCell,
  readOwner,
  ToldRecord,
  type OwnerRecord,
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
const OWNER_HEARTBEAT_MS = 500;
/** Time from a loss of power to the claim of the next owner, in ms. */
const CLAIM_DELAY_MS = 2140;
/** Time from a loss of power until the connections count as lost, in ms. */
const SILENCE_MS = 1400;
/** The lease that an owner gives, with the margin for clocks, in ms. */
const LEASE_MS = 6500;
/** The start lease of a killed owner, and time to start a task, in ms. */
const START_MS = 2000;
/** For that long, an owner counts a heartbeat of a claimant, in ms. */
const HEARD_MS = 1200;
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

/** A VM that owners tell of their records. */
function newToldNode(rig: Rig, vm: string): CellNode {
  const node = rig.newNode(vm);
  node.isTold = true;
  return node;
}

/** The owner's VM loses its power; another one claims the cell. */
async function replaceKilled(
  rig: Rig,
  killed: CellNode,
  vm: string,
): Promise<CellNode> {
  rig.kill(killed);
  const next = newToldNode(rig, vm);
  next.connectedMs = rig.clock.monotonicMs() + SILENCE_MS;
  await rig.run(CLAIM_DELAY_MS);
  void rig.claim(next);
  return next;
}

/** Runs the clock to a time; fails if the task runs later. */
async function expectRunBy({rig, task}: Started, ms: number): Promise<void> {
  await rig.run(ms - rig.clock.monotonicMs());
  assert.equal(rig.checker.violations, []);
  assert.is(countRuns(rig, task), 1, `${task} has no run`);
}

const told = suite('records that were told of');

// Each kill adds what passed between two heartbeats, not the time to its claim.
told('restart a lasting task though owner after owner is killed', async () => {
  const started = await startOwner();
  const {rig} = started;
  rig.executor('x1').crash();
  const crashMs = rig.clock.monotonicMs();
  let {owner} = started;
  const aliveMs = [3000, 800, 800];
  for (const [i, ms] of aliveMs.entries()) {
    await rig.run(ms);
    owner = await replaceKilled(rig, owner, `v${i + 1}`);
  }
  const claimedMs = rig.clock.monotonicMs();
  const unknownMs = aliveMs.length * OWNER_HEARTBEAT_MS;
  const boundMs = Math.max(claimedMs, crashMs + LEASE_MS + unknownMs);
  await expectRunBy(started, boundMs + START_MS);
});

// The killed owner has not named x1; the wait counts from its last connection.
told('end the wait for a killed owner before its lease', async () => {
  const started = await startOwner();
  const {rig, owner} = started;
  rig.executor('x1').isDisconnected = true;
  await rig.run(300);
  const killMs = rig.clock.monotonicMs();
  await replaceKilled(rig, owner, 'v1');
  const boundMs = SILENCE_MS + 3100 + LEASE_MS + 300;
  await expectRunBy(started, killMs + boundMs);
});

/** Runs a step that calls the store. */
async function settle<T>(clock: ManualClock, step: Promise<T>): Promise<T> {
  await clock.advance(20);
  return step;
}

// The first owner was superseded, and the second one told of its record.
told('count the times of earlier owners', async () => {
  const clock = new ManualClock(100_000);
  const client = new StoreClient(new MemoryStore(), clock);
  const record = new ToldRecord();
  const claim = async (vm: string) => {
    const snapshot = await readOwner(client, clock);
    const toldMs = record.sinceMs(snapshot);
    const self = {vm, ip: '', port: 0, incarnation: 1};
    const claimed = await claimCell(client, clock, self, {...snapshot, toldMs});
    await claimed?.beginOrders();
    return claimed;
  };
  await settle(clock, claim('a'));
  const second = await settle(clock, claim('b'));
  const sender = {vm: 'b', ip: '', port: 0, incarnation: 1};
  assert.ok(second);
  const endOffset = second.storedEndOffset;
  record.record(sender, {term: 2, endOffset}, clock.monotonicMs());
  const toldMs = clock.monotonicMs();
  await clock.advance(2000);
  const third = await settle(clock, claim('c'));
  // What the third owner passes on names both.
  const notice = third?.handoverNotice(0, third.describeFormerOrders());
  const acts = notice?.formerOwners?.map(({actMs}) => actMs) ?? [];
  const sinceToldMs = clock.monotonicMs() - toldMs;
  assert.is(acts.length, 2);
  // The second owner has written them again: 3 s lengthened twice for clocks.
  assert.ok((acts[0] ?? Infinity) <= 3190 - sinceToldMs, `${acts[0]} ms`);
  assert.ok((acts[1] ?? 0) > 2900, `${acts[1]} ms`);
});

/** The owner lives on without the store, and reaches only x1 again. */
const survivor = fc.record({
  // Its heartbeats do not name an executor that is silent for a short time.
  silentMs: fc.oneof(
    fc.integer({min: 0, max: 900}),
    fc.integer({min: 0, max: 5500}),
  ),
  reachedAfterMs: fc.integer({min: 0, max: 1500}),
  claimAfterMs: fc.integer({min: 0, max: 1000}),
  waitMs: fc.constantFrom(0, 100, 800),
  tellMs: fc.integer({min: 0, max: 600}),
  /** How long before the claim the connection to it was lost. */
  lostAgoMs: fc.oneof(
    fc.integer({min: 0, max: 300}),
    fc.integer({min: 0, max: 2000}),
  ),
  /** How late the claimant's last heartbeat arrived there. */
  lateMs: fc.oneof(fc.constant(1000), fc.integer({min: 0, max: 1000})),
  isConnectedToAll: fc.boolean(),
});

told('start no second run beside an owner that lives on', async () => {
  const property = fc.asyncProperty(survivor, async times => {
    const {rig, owner, task} = await startOwner();
    rig.tellMs = times.tellMs;
    rig.executor('x1').isDisconnected = true;
    await rig.run(times.silentMs);
    owner.store.faults.isRefusing = true;
    owner.isConnectedToAll = times.isConnectedToAll;
    for (const id of ['x0', 'x2', 'x3']) owner.unreachable.add(id);
    const next = newToldNode(rig, 'v1');
    next.unreachable.add('x1');
    await rig.run(times.reachedAfterMs);
    rig.executor('x1').isDisconnected = false;
    await rig.run(times.claimAfterMs);
    const claimMs = rig.clock.monotonicMs() + times.waitMs;
    next.connectedMs = claimMs - times.lostAgoMs;
    void rig.claim(next, times.waitMs);
    const heardMs = next.connectedMs + times.lateMs + HEARD_MS;
    await rig.run(Math.max(0, heardMs - rig.clock.monotonicMs()));
    owner.isConnectedToAll = false;
    await rig.run(times.waitMs + 3 * LEASE_MS);
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

// The claimant's last heartbeat counts there, however long ago its own is.
told('start no second run of an owner that was connected', async () => {
  const {rig, owner, task} = await startOwner();
  owner.store.faults.isRefusing = true;
  owner.isConnectedToAll = true;
  for (const id of ['x0', 'x2', 'x3']) owner.unreachable.add(id);
  const next = newToldNode(rig, 'v1');
  next.unreachable.add('x1');
  await rig.run(3000);
  next.connectedMs = rig.clock.monotonicMs();
  void rig.claim(next);
  await rig.run(1000 + HEARD_MS);
  owner.isConnectedToAll = false;
  await rig.run(3 * LEASE_MS);
  assert.is(next.ownership?.term, 2);
  assert.equal(rig.checker.violations, []);
  assert.is(countRuns(rig, task), 1);
});

/** The owner lives on as above; the one that superseded it is killed. */
const survivorOfTwo = fc.record({
  silentMs: fc.integer({min: 0, max: 5500}),
  claimAfterMs: fc.integer({min: 600, max: 1500}),
  aliveMs: fc.integer({min: 50, max: 1500}),
  claimDelayMs: fc.integer({min: 400, max: 2500}),
  tellMs: fc.integer({min: 0, max: 300}),
  isConnectedToAll: fc.boolean(),
});

told('start no second run beside the first of two owners', async () => {
  const property = fc.asyncProperty(survivorOfTwo, async times => {
    const {rig, owner, task} = await startOwner();
    rig.tellMs = times.tellMs;
    rig.executor('x1').isDisconnected = true;
    await rig.run(times.silentMs);
    owner.store.faults.isRefusing = true;
    owner.isConnectedToAll = times.isConnectedToAll;
    for (const id of ['x0', 'x2', 'x3']) owner.unreachable.add(id);
    rig.executor('x1').isDisconnected = false;
    await rig.run(times.claimAfterMs);
    const second = newToldNode(rig, 'v1');
    second.unreachable.add('x1');
    second.connectedMs = rig.clock.monotonicMs();
    void rig.claim(second);
    await rig.run(times.aliveMs);
    rig.kill(second);
    const third = newToldNode(rig, 'v2');
    third.unreachable.add('x1');
    // It hears neither of them, but heartbeats of the time before may count.
    await rig.run(Math.max(0, HEARD_MS + 300 - times.aliveMs));
    owner.isConnectedToAll = false;
    await rig.run(times.claimDelayMs);
    void rig.claim(third);
    await rig.run(3 * LEASE_MS);
    assert.is(third.ownership?.term, 3);
    assert.equal(rig.checker.violations, []);
    assert.is(countRuns(rig, task), 1);
  });
  await fc.assert(property, {
    seed: SEED,
    numRuns: RUNS,
    includeErrorInReport: true,
  });
});

// The record is stored, but the owner does not know it, and cannot tell.
told('count from the reading if the answer was lost', async () => {
  const {rig, owner, task} = await startOwner();
  rig.executor('x1').isDisconnected = true;
  owner.store.faults.lostAnswers = 9;
  await rig.run(2000);
  for (const id of ['x0', 'x2', 'x3']) owner.unreachable.add(id);
  owner.isConnectedToAll = true;
  owner.store.faults.isRefusing = true;
  const next = newToldNode(rig, 'v1');
  next.connectedMs = rig.clock.monotonicMs() + 500;
  next.unreachable.add('x1');
  rig.executor('x1').isDisconnected = false;
  await rig.run(900);
  void rig.claim(next);
  await rig.run(3 * LEASE_MS);
  assert.is(next.ownership?.term, 2);
  assert.equal(rig.checker.violations, []);
  assert.is(countRuns(rig, task), 1);
});

const RECORD: OwnerRecord = {
  vm: 'a',
  ip: '',
  port: 0,
  incarnation: 7,
  term: 3,
  isReleased: false,
};

told('count from the first message, in any order', () => {
  const record = new ToldRecord();
  record.record(RECORD, {term: 3, endOffset: 20}, 1000);
  record.record(RECORD, {term: 3, endOffset: 21}, 1500);
  record.record(RECORD, {term: 3, endOffset: 21}, 2000);
  record.record(RECORD, {term: 3, endOffset: 20}, 2500);
  record.record({...RECORD, incarnation: 6}, {term: 2, endOffset: 22}, 3000);
  assert.is(record.sinceMs({record: RECORD, endOffset: 21}), 1500);
});

told('count for the same process, term and end only', () => {
  const record = new ToldRecord();
  assert.is(record.sinceMs({record: RECORD, endOffset: 21}), Infinity);
  record.record(RECORD, {term: 3, endOffset: 21}, 1500);
  const others: readonly (readonly [OwnerRecord | null, number])[] = [
    [null, 21],
    [RECORD, 20],
    [RECORD, 22],
    [{...RECORD, incarnation: 8}, 21],
    [{...RECORD, vm: 'b'}, 21],
    // A handover, which its predecessor has written.
    [{...RECORD, term: 4}, 21],
  ];
  for (const [other, endOffset] of others) {
    assert.is(record.sinceMs({record: other, endOffset}), Infinity);
  }
});

told.run();
