/** How long lease renewals wait, and the pauses between them. */
import {
  newExecutorState,
  renewalPauseMs,
  renewalWaitMs,
} from '@dragonflyward/cell';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Rig} from './rig.js';

const timing = suite('timing of lease renewals');

// An executor that runs tasks would answer up to 0.7 s after the start lease.
timing('ends a wait by the time at which an inventory is due', () => {
  const rig = new Rig(1, () => ({ms: 100, how: 'done'}));
  const executor = newExecutorState(rig.executor('x0').info);
  assert.is(renewalWaitMs(executor, Infinity), 0);
  executor.isReached = true;
  assert.is(renewalWaitMs(executor, Infinity), 700);
  assert.is(renewalWaitMs(executor, 300.7), 300);
  assert.is(renewalWaitMs(executor, -5), 0);
});

timing('ends a pause by the time at which an inventory is due', () => {
  assert.is(renewalPauseMs(false, Infinity), 60);
  assert.is(renewalPauseMs(false, 40), 40);
  assert.is(renewalPauseMs(false, -5), 15);
  assert.is(renewalPauseMs(true, Infinity), 15);
});

timing.run();
