/** Executors that end before a new owner has asked them for their runs. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Rig} from './rig.js';

const SETTLE_MS = 3000;
const CLAIM_DELAY_MS = 900;

const ending = suite('ending executors');

// All at once take a busy owner longer than the notice of a shutdown.
ending('are the first that a new owner asks for their runs', async () => {
  const rig = new Rig(4, () => ({ms: 1000, how: 'done'}));
  const former = rig.newNode('v0');
  void rig.claim(former);
  await rig.run(SETTLE_MS);
  rig.executor('x2').isDraining = true;
  for (const {id} of rig.executors) rig.listNow(id);
  await rig.run(SETTLE_MS);
  rig.kill(former);
  await rig.run(CLAIM_DELAY_MS);
  const asked: string[] = [];
  for (const executor of rig.executors) {
    const renewLease = executor.renewLease.bind(executor);
    executor.renewLease = order => {
      asked.push(executor.id);
      return renewLease(order);
    };
  }
  void rig.claim(rig.newNode('v1'));
  await rig.run(SETTLE_MS);
  assert.is(asked[0], 'x2');
  assert.is(new Set(asked).size, rig.executors.length);
});

ending.run();
