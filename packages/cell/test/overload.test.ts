/**
 * Replays a short overload of urgent work on a service in which every step
 * needs tickets, and a backlog as after a restart. A ticket that serves a step
 * that is already late makes the next one late too, and calls that wait for the
 * answer to the one before leave the advice service idle.
 */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {STEP} from './rig.js';
import {ADVICE_VM_COUNT, newSharedLoad, PROOF} from './shared-load.js';
import type {LoadSimulation} from './load-simulation.js';

const BURST = {fromMs: 4000, untilMs: 12_000, proofs: 2.6, all: 2};
const END_MS = 30_000;
/** The load is over for this long when what arrives is in time again. */
const RECOVERY_MS = 5000;
/** All jobs have ended, or run, this long after the last one came. */
const FINISH_MS = 14_000;
/** Share of the room, or of the advice service's time, that has to be used. */
const MIN_USE = 0.9;

/** The share of the proofs of a span that were completed in time. */
function inTime(rig: LoadSimulation, fromMs: number, untilMs: number): number {
  const proofs = [...rig.timings(fromMs, untilMs)].filter(
    ({queue}) => queue === PROOF.name,
  );
  const good = proofs.filter(
    each => each.completedMs - each.acceptedMs <= each.objectiveMs,
  );
  return good.length / proofs.length;
}

const overload = suite('overload');

for (const seed of [1, 2]) {
  overload(`work is in time again after a burst, seed ${seed}`, async () => {
    const rig = newSharedLoad({seed, burst: BURST, endMs: END_MS});
    rig.trafficEndMs = END_MS + FINISH_MS;
    await rig.runUntil(rig.trafficEndMs + 4000);
    const duringBurst = inTime(rig, BURST.fromMs, BURST.untilMs);
    assert.ok(duringBurst >= 0.7, `${duringBurst} of the burst`);
    const afterwards = inTime(rig, BURST.untilMs + RECOVERY_MS, END_MS);
    assert.ok(afterwards >= 0.9, `${afterwards} afterwards`);
    assert.equal(rig.stalled, []);
  });
}

// With 8 cores each, executors have room for three quarters of the burst.
overload(
  'a burst without room for all is in time as far as it fits',
  async () => {
    const options = {seed: 1, burst: BURST, endMs: END_MS, executorCores: 8};
    const rig = newSharedLoad(options);
    await rig.runUntil(END_MS);
    const duringBurst = inTime(rig, BURST.fromMs, BURST.untilMs);
    assert.ok(duringBurst >= 0.75 * MIN_USE, `${duringBurst} of the burst`);
    const afterwards = inTime(rig, BURST.untilMs + RECOVERY_MS, END_MS - 5000);
    assert.ok(afterwards >= 0.9, `${afterwards} afterwards`);
  },
);

overload('a backlog keeps the advice service busy', async () => {
  const burst = {fromMs: 0, untilMs: 0, proofs: 1, all: 1};
  const rig = newSharedLoad({seed: 1, burst, endMs: 0, executorCores: 1000});
  for (let i = 0; i < 4000; i += 1) rig.addJob(`proof${i}`, PROOF, [STEP]);
  await rig.runUntil(2000);
  const {workMs} = rig.advice;
  await rig.runUntil(5000);
  const use = (rig.advice.workMs - workMs) / (3000 * ADVICE_VM_COUNT);
  assert.ok(use >= MIN_USE, `${use} of its time`);
});

overload.run();
