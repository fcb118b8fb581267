/** What a new owner starts while a former one may still start tasks. */
import {encode} from 'cbor-x';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {EXECUTORS_TOPIC, Rig, STEP, type CellNode} from './rig.js';

const SETTLE_MS = 3000;
const LONG_RUN_MS = 600_000;
/** Long enough for calls and a scheduling round, in ms. */
const CALLS_MS = 50;

/** Writes what the store lists of an executor at once. */
function list(rig: Rig, id: string): void {
  const {info, bornMs, isDraining} = rig.executor(id);
  const value = encode({...info, bornMs, isDraining});
  rig.memory.append(EXECUTORS_TOPIC, [{key: id, value}], {});
}

/**
 * Two owners that have reached both executors. The former one is cut from the
 * store and thinks that x0 is leaving; the new one thinks that x1 is.
 */
async function supersede(
  rig: Rig,
): Promise<{readonly former: CellNode; readonly next: CellNode}> {
  const former = rig.newNode('v0');
  void rig.claim(former);
  rig.executor('x0').isDraining = true;
  await rig.run(SETTLE_MS);
  former.store.faults.isRefusing = true;
  rig.executor('x0').isDraining = false;
  rig.executor('x1').isDraining = true;
  for (const {id} of rig.executors) list(rig, id);
  const next = rig.newNode('v1');
  void rig.claim(next);
  await rig.run(CALLS_MS);
  return {former, next};
}

const startLease = suite('start lease of a former owner');

// The new process knows no token, so that the former owner can start tasks.
startLease(
  'keeps a task from a second run after an executor restarted',
  async () => {
    const rig = new Rig(2, () => ({ms: LONG_RUN_MS, how: 'done'}));
    const {former, next} = await supersede(rig);
    rig.executor('x1').restart();
    list(rig, 'x1');
    rig.submit('job', [STEP], [former, next]);
    await rig.run(CALLS_MS);
    assert.is(rig.executor('x1').runs.size, 1);
    await rig.run(SETTLE_MS);
    assert.equal(rig.checker.violations, []);
    assert.is(rig.checker.starts, 1);
  },
);

// Until it is listed, the new owner takes the executor for an idle one.
startLease(
  'keeps a task from a second run if a restart is listed late',
  async () => {
    const rig = new Rig(2, () => ({ms: LONG_RUN_MS, how: 'done'}));
    const {former, next} = await supersede(rig);
    await rig.run(150);
    rig.executor('x1').restart();
    rig.submit('job', [STEP], [former, next]);
    await rig.run(CALLS_MS);
    assert.is(rig.executor('x1').runs.size, 1);
    await rig.run(SETTLE_MS);
    assert.equal(rig.checker.violations, []);
  },
);

startLease.run();
