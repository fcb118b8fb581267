/** Executors at whose address another process answers. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Rig, STEP, type CellNode} from './rig.js';

/** For how long a former owner may start tasks after a claim, in ms. */
const START_LEASE_MS = 800;
const LONG_RUN_MS = 600_000;
/** By then, no executor counts as having just started, in ms. */
const START_AGE_MS = 21_000;
const SETTLE_MS = 3000;
/** The platform's bound from the end of a lasting run to the next one, in ms. */
const LOST_AFTER_RUN_MS = 9000;
/** The same bound from the last fault on, in ms. */
const CALM_MS = 7000;
/** Time from the loss of an owner to the claim of the next one, in ms. */
const CLAIM_DELAY_MS = 2300;
/** How long an owner lives after its claim, in ms. */
const ALIVE_MS = 700;
const SPREAD = {...STEP, isService: true, count: 3, maxPerExecutor: 1};

const replaced = suite('executors at whose address another process answers');

async function newCell() {
  const rig = new Rig(4, () => ({ms: LONG_RUN_MS, how: 'failed'}));
  const former = rig.newNode('v0');
  void rig.claim(former);
  await rig.run(START_AGE_MS);
  rig.submit('early', [SPREAD], [former]);
  await rig.run(SETTLE_MS);
  const [task = ''] = rig.executor('x1').runs.keys();
  assert.is.not(task, '');
  return {rig, former, task};
}

/** Another process takes the address of x1, which the store still lists. */
function replace(rig: Rig) {
  const x1 = rig.executor('x1');
  x1.restartAt('x1', 2);
  x1.isDisconnected = true;
  x1.formerAddressAnswerMs = x1.latencyMs;
  x1.isUnlisted = true;
}

async function claimFrom(rig: Rig, killed: CellNode, vm: string) {
  rig.kill(killed);
  const killedMs = rig.clock.monotonicMs();
  await rig.run(CLAIM_DELAY_MS);
  const next = rig.newNode(vm);
  next.connectedMs = killedMs;
  next.isTold = true;
  void rig.claim(next);
  await rig.run(ALIVE_MS);
  return next;
}

/** Returns how long after `sinceMs` the task runs elsewhere than on x1. */
async function nextRunAfterMs(rig: Rig, task: string, sinceMs: number) {
  const isRunning = (): boolean =>
    rig.executors.some(({id, runs}) => id !== 'x1' && runs.has(task));
  while (!isRunning() && rig.clock.monotonicMs() < sinceMs + 30_000) {
    await rig.run(20);
  }
  assert.equal(rig.checker.violations, []);
  return rig.clock.monotonicMs() - sinceMs;
}

for (const owners of [1, 2, 3]) {
  replaced(`are not waited for by the last of ${owners} owners`, async () => {
    const {rig, former, task} = await newCell();
    const lostMs = rig.clock.monotonicMs();
    replace(rig);
    let owner = former;
    for (let i = 1; i <= owners; i += 1) {
      owner = await claimFrom(rig, owner, `v${i}`);
    }
    const takenMs = await nextRunAfterMs(rig, task, lostMs);
    const lastFaultMs = (owners - 1) * (CLAIM_DELAY_MS + ALIVE_MS);
    const boundMs = Math.max(LOST_AFTER_RUN_MS, lastFaultMs + CALM_MS);
    assert.ok(takenMs <= boundMs, `${takenMs} ms`);
  });
}

// It may take the address back, and get a start of the former owner there.
replaced('count while the former owner may start tasks there', async () => {
  const {rig, former, task} = await newCell();
  const claimedMs = rig.clock.monotonicMs() + CLAIM_DELAY_MS;
  let endedMs = 0;
  rig.onLog = event => {
    if (event === 'formerRunsEnded') endedMs = rig.clock.monotonicMs();
  };
  replace(rig);
  await claimFrom(rig, former, 'v1');
  await nextRunAfterMs(rig, task, claimedMs);
  assert.ok(endedMs >= claimedMs + START_LEASE_MS, `${endedMs - claimedMs} ms`);
});

replaced.run();
