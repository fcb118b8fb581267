/**
 * The time from the crash of an executor that does not come back to the next
 * run of its lasting task, with one owner lost besides.
 */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {EXECUTORS_TOPIC, Rig, STEP} from './rig.js';

const LONG_RUN_MS = 600_000;
const START_AGE_MS = 21_000;
const SETTLE_MS = 3000;
/** The platform's bound from the end of a lasting run to the next one, in ms. */
const LOST_AFTER_RUN_MS = 9000;
/** The same bound from the last fault on, in ms. */
const CALM_MS = 7000;
/** The store drops an executor that is silent for this long, in ms. */
const LISTED_MS = 4500;
/** Time from the loss of an owner to the claim of the next one, in ms. */
const CLAIM_DELAY_MS = 2300;
const SPREAD = {...STEP, isService: true, count: 3, maxPerExecutor: 1};

type Crash = 'silent' | 'refusing' | 'restartedAndCutOff' | 'listedAndCutOff';

const budget = suite('time to the next run after a crash');

async function expireRecord(rig: Rig, id: string) {
  await rig.clock.sleep(LISTED_MS);
  rig.executor(id).isUnlisted = true;
  const value = new Uint8Array(0);
  rig.memory.append(EXECUTORS_TOPIC, [{key: id, value}], {});
}

function crash(rig: Rig, how: Crash): void {
  const x1 = rig.executor('x1');
  if (how === 'silent' || how === 'refusing') {
    x1.crash();
    x1.isRefusing = how === 'refusing';
    return;
  }
  x1.restart();
  x1.isDisconnected = true;
  if (how === 'listedAndCutOff') rig.listNow('x1');
  void expireRecord(rig, 'x1');
}

/** Returns by how much the next run came too late, in ms. */
async function play(how: Crash, silentMs: number): Promise<number> {
  const rig = new Rig(4, () => ({ms: LONG_RUN_MS, how: 'failed'}));
  const former = rig.newNode('v0');
  void rig.claim(former);
  await rig.run(START_AGE_MS);
  rig.submit('early', [SPREAD], [former]);
  await rig.run(SETTLE_MS);
  const [task = ''] = rig.executor('x1').runs.keys();
  assert.is.not(task, '');
  const lostMs = rig.clock.monotonicMs();
  crash(rig, how);
  await rig.run(silentMs);
  const killedMs = rig.clock.monotonicMs();
  rig.kill(former);
  await rig.run(CLAIM_DELAY_MS);
  const next = rig.newNode('v1');
  next.connectedMs = killedMs;
  next.isTold = true;
  void rig.claim(next);
  const boundMs = Math.max(lostMs + LOST_AFTER_RUN_MS, killedMs + CALM_MS);
  const isRunning = (): boolean =>
    rig.executors.some(({id, runs}) => id !== 'x1' && runs.has(task));
  while (!isRunning() && rig.clock.monotonicMs() < boundMs + 20_000) {
    await rig.run(20);
  }
  assert.equal(rig.checker.violations, []);
  return rig.clock.monotonicMs() - boundMs;
}

const CRASHES: readonly Crash[] = [
  'silent',
  'refusing',
  'restartedAndCutOff',
  'listedAndCutOff',
];
for (const how of CRASHES) {
  for (const silentMs of [100, 900, 2000]) {
    budget(`is kept, ${how}, ${silentMs} ms before the loss`, async () => {
      const lateMs = await play(how, silentMs);
      assert.ok(lateMs <= 0, `${lateMs} ms late`);
    });
  }
}

budget.run();
