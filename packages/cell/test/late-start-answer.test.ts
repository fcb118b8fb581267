/** Answers to starts that arrive after the list of the next process. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Rig, STEP, type CellNode} from './rig.js';

const LONG_RUN_MS = 600_000;
/** Longer than all leases, in ms. */
const ALL_LEASES_MS = 20_000;
const LASTING = {...STEP, isService: true};

interface Restarted {
  readonly rig: Rig;
  readonly owner: CellNode;
}

/** x0 restarts 1 ms after a start; the answer to that takes `answerMs`. */
async function restartAfterStart(answerMs: number): Promise<Restarted> {
  let isFirst = true;
  const rig: Rig = new Rig(2, () => {
    if (isFirst) {
      isFirst = false;
      void restart();
    }
    return {ms: LONG_RUN_MS, how: 'failed'};
  });
  const x0 = rig.executor('x0');
  const restart = async (): Promise<void> => {
    const {latencyMs} = x0;
    x0.latencyMs = answerMs;
    await rig.clock.sleep(1);
    x0.latencyMs = latencyMs;
    x0.restart();
  };
  const owner = rig.newNode('v0');
  void rig.claim(owner);
  await rig.run(90_000);
  rig.executor('x1').isDisconnected = true;
  await rig.run(1500);
  rig.submit('first', [LASTING], [owner]);
  await rig.run(25_000);
  rig.executor('x1').isDisconnected = false;
  await rig.run(2000);
  assert.is(x0.runs.size, 1);
  return {rig, owner};
}

const late = suite('answers of a former process');

// By then, the list of the new process has been read.
const LATE_ANSWER_MS = 300;

late('to a start set no clock', async () => {
  const {rig, owner} = await restartAfterStart(LATE_ANSWER_MS);
  const x0 = rig.executor('x0');
  const known = owner.owner?.state.executors.get('x0')?.clockMs ?? 0;
  assert.ok(known <= x0.clockMs(), `${known} at ${x0.clockMs()}`);
});

late('to a start make no task run twice', async () => {
  const {rig} = await restartAfterStart(LATE_ANSWER_MS);
  rig.executor('x0').isDisconnected = true;
  await rig.run(ALL_LEASES_MS);
  assert.equal(rig.checker.violations, []);
});

late.run();
