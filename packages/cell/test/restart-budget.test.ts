/** The time from an executor's last lease to the next run of its tasks. */
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {EXECUTORS_TOPIC, Rig, STEP, type CellNode} from './rig.js';

const LONG_RUN_MS = 600_000;
/** By then, no executor counts as having just started, in ms. */
const START_AGE_MS = 21_000;
const SETTLE_MS = 3000;
/** The platform's bound from the last renewal to the next run, in ms. */
const LOST_AFTER_LEASE_MS = 15_000;
/** The same bound from the last fault on, in ms. */
const CALM_MS = 7000;
/** Time from the loss of an owner's VM to the claim of the next one, in ms. */
const CLAIM_DELAY_MS = 2100;
/** The store drops an executor that is silent for this long, in ms. */
const LISTED_MS = 4500;
/** Interval at which executors write their records, in ms. */
const LISTING_INTERVAL_MS = 1500;
/** CELL_SEED and CELL_RUNS set another seed and more runs for a long search. */
const SEED = Number(process.env['CELL_SEED'] ?? 34);
const RUNS = Number(process.env['CELL_RUNS'] ?? 30);
const SPREAD = {...STEP, isService: true, count: 3, maxPerExecutor: 1};

interface Losses {
  /** How long the executor is cut off when the first owner is killed. */
  readonly silentMs: number;
  /** How old its last record is when it is cut off. */
  readonly recordAgeMs: number;
  /** How long each owner lives after its claim, but for the first one. */
  readonly aliveMs: readonly number[];
}

/** Removes the executor's record once the store has not heard it for long. */
async function expireRecord(rig: Rig, id: string, afterMs: number) {
  await rig.clock.sleep(afterMs);
  rig.executor(id).isUnlisted = true;
  const value = new Uint8Array(0);
  rig.memory.append(EXECUTORS_TOPIC, [{key: id, value}], {});
}

async function replaceKilled(rig: Rig, killed: CellNode, vm: string) {
  rig.kill(killed);
  const killedMs = rig.clock.monotonicMs();
  await rig.run(CLAIM_DELAY_MS);
  const next = rig.newNode(vm);
  next.connectedMs = killedMs;
  next.isTold = true;
  void rig.claim(next);
  return next;
}

/** Plays the losses; returns by how much the next run came too late, in ms. */
async function playLosses({silentMs, recordAgeMs, aliveMs}: Losses) {
  const rig = new Rig(4, () => ({ms: LONG_RUN_MS, how: 'failed'}));
  let owner = rig.newNode('v0');
  void rig.claim(owner);
  await rig.run(START_AGE_MS);
  rig.submit('early', [SPREAD], [owner]);
  await rig.run(SETTLE_MS);
  const [task = ''] = rig.executor('x1').runs.keys();
  assert.is.not(task, '');
  rig.executor('x1').isDisconnected = true;
  const lostMs = rig.clock.monotonicMs();
  void expireRecord(rig, 'x1', LISTED_MS - recordAgeMs);
  await rig.run(silentMs);
  let killedMs = rig.clock.monotonicMs();
  owner = await replaceKilled(rig, owner, 'v1');
  for (const [i, ms] of aliveMs.entries()) {
    await rig.run(ms);
    killedMs = rig.clock.monotonicMs();
    owner = await replaceKilled(rig, owner, `v${i + 2}`);
  }
  const boundMs = Math.max(lostMs + LOST_AFTER_LEASE_MS, killedMs + CALM_MS);
  const isRunning = (): boolean =>
    rig.executors.some(({id, runs}) => id !== 'x1' && runs.has(task));
  while (!isRunning() && rig.clock.monotonicMs() < boundMs + 20_000) {
    await rig.run(50);
  }
  assert.equal(rig.checker.violations, []);
  return rig.clock.monotonicMs() - boundMs;
}

const budget = suite('time to the next run of a lasting task');

// The owner is killed before it tells that the executor is silent.
for (const silentMs of [300, 1200, 2000, 2900]) {
  budget(`is kept if the owner is lost ${silentMs} ms later`, async () => {
    const recordAgeMs = LISTING_INTERVAL_MS;
    const lateMs = await playLosses({silentMs, recordAgeMs, aliveMs: []});
    assert.ok(lateMs <= 0, `${lateMs} ms late`);
  });
}

// Each owner is killed before it has waited for the executor.
for (const aliveMs of [200, 1200, 2100]) {
  budget(`is kept if three owners live for ${aliveMs} ms`, async () => {
    const lateMs = await playLosses({
      silentMs: 1800,
      recordAgeMs: 0,
      aliveMs: [aliveMs, aliveMs],
    });
    assert.ok(lateMs <= 0, `${lateMs} ms late`);
  });
}

const losses = fc.record({
  silentMs: fc.integer({min: 0, max: 6000}),
  recordAgeMs: fc.integer({min: 0, max: LISTING_INTERVAL_MS}),
  aliveMs: fc.array(fc.integer({min: 60, max: 3500}), {maxLength: 2}),
});

budget('is kept in the worst order of losses', async () => {
  const property = fc.asyncProperty(losses, async each => {
    const lateMs = await playLosses(each);
    assert.ok(lateMs <= 0, `${lateMs} ms late`);
  });
  await fc.assert(property, {
    seed: SEED,
    numRuns: RUNS,
    includeErrorInReport: true,
  });
});

budget.run();
