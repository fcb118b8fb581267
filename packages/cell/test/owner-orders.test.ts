/** Orders and requests that fail once are sent again by the same owner. */
import {type AdviceChannel, type Queue} from '@dragonflyward/cell';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {Behaviour} from './fake-executor.js';
import {QUEUE, Rig, STEP, type CellNode} from './rig.js';

const SETTLE_MS = 3000;
const ADVICE = {decisionMs: 20, perExecutorMs: 1, validityMs: 2000};
const ADVISED: Queue = {...QUEUE, name: 'advised', advice: ADVICE};

/** Starts a rig with one owner that has reached all executors. */
async function startRig(
  executors: number,
  behave: Behaviour,
): Promise<{readonly rig: Rig; readonly node: CellNode}> {
  const rig = new Rig(executors, behave);
  const node = rig.newNode('v0');
  void rig.claim(node);
  await rig.run(SETTLE_MS);
  return {rig, node};
}

/** All runs take that long and end `done`. */
function takes(ms: number): Behaviour {
  return () => ({ms, how: 'done'});
}

/** A VM whose calls to the advice service fail at first. */
function flakyChannel(rig: Rig, vm: string, failures: number): AdviceChannel {
  let left = failures;
  return {
    vm,
    isInOwnerDomain: vm === 'v0',
    ask: async (_step, ids) => {
      await rig.clock.sleep(20);
      left -= 1;
      if (left >= 0) return null;
      return ids.map(executorId => ({executorId, ticket: 't'}));
    },
  };
}

const owner = suite('owner orders');

owner('asks for tickets again after the calls of all VMs failed', async () => {
  const {rig, node} = await startRig(1, takes(400));
  rig.adviceChannels = ['v0', 'v1', 'v2'].map(vm => flakyChannel(rig, vm, 1));
  rig.submit('job', [STEP], [node], ADVISED);
  await rig.run(SETTLE_MS);
  assert.is(rig.rows.get('job')?.phase, 'completed');
});

owner('asks for slow decisions through the only VM', async () => {
  const {rig, node} = await startRig(1, takes(400));
  rig.adviceChannels = [flakyChannel(rig, 'v0', 0)];
  const advice = {...ADVICE, decisionMs: 300};
  rig.submit('job', [STEP], [node], {...ADVISED, advice});
  await rig.run(SETTLE_MS);
  assert.is(rig.rows.get('job')?.phase, 'completed');
});

owner.run();
