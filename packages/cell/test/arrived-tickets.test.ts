/**
 * Tickets that arrive while the next round of a busy owner is far away. Those
 * that wait for it leave room idle, and may expire.
 */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {startWithTickets, type StepSpec} from '@dragonflyward/cell';
import {newAdvice, size} from './random-load.js';
import {LoadSimulation} from './load-simulation.js';
import {QUEUE, STEP} from './rig.js';

const ROUND_MS = 1000;
const CALL_MS = 40;
const ADVISED = {...QUEUE, priority: 0, advice: newAdvice(CALL_MS, 0)};
const FULL: StepSpec = {...STEP, size: size(4000, 100), estimatedMs: 60_000};

/** A cell whose first round has requested tickets for the step. */
async function newRig(step: StepSpec, executors = 2): Promise<LoadSimulation> {
  const rig = new LoadSimulation({
    queues: [ADVISED],
    vmCount: 1,
    roundMs: ROUND_MS,
    isPermitted: () => true,
  });
  rig.addExecutors(ADVISED.service, executors, () => size(4000, 1000));
  rig.addJob('a', ADVISED, [step]);
  await rig.runUntil(rig.nowMs + 20);
  assert.is(rig.running('a'), 0);
  return rig;
}

const arrived = suite('arrived tickets');

arrived('start a task before the next round', async () => {
  const rig = await newRig(FULL);
  await rig.runUntil(rig.nowMs + CALL_MS);
  assert.is(rig.running('a'), 1);
});

arrived('start a gang before the next round', async () => {
  const rig = await newRig({...FULL, count: 2, isGang: true});
  await rig.runUntil(rig.nowMs + CALL_MS);
  assert.is(rig.running('a'), 2);
});

arrived('start nothing in room that is not reserved for the step', async () => {
  const rig = await newRig(FULL);
  const reserved = rig.state.executors.get(`${ADVISED.service}-0`);
  const [step] = rig.state.pendingSteps;
  if (reserved === undefined || step === undefined) throw new Error('no step');
  reserved.usedCpuMilli = 4000;
  await rig.runUntil(rig.nowMs + CALL_MS);
  assert.is(step.tickets.size, 2);
  assert.is(rig.running('a'), 0);
  await rig.runUntil(rig.nowMs + ROUND_MS);
  assert.is(rig.running('a'), 1);
});

arrived('start nothing that may have unknown runs', async () => {
  const rig = await newRig(FULL);
  await rig.runUntil(rig.nowMs + 20);
  const [step] = rig.state.pendingSteps;
  if (step === undefined) throw new Error('no step');
  const ids = [...rig.state.executors.keys()];
  for (const id of ids) {
    step.tickets.set(id, {ticket: 't', validUntilMs: Infinity});
  }
  const {nowMs} = rig;
  const context = {nowMs, wallMs: nowMs, mayHaveUnknownRuns: () => true};
  assert.equal([...startWithTickets(rig.state, step, ids, context)], []);
  const known = {...context, mayHaveUnknownRuns: () => false};
  assert.is([...startWithTickets(rig.state, step, ids, known)].length, 1);
});

arrived('start nothing once the job is cancelled', async () => {
  const rig = await newRig(FULL);
  rig.state.cancelJob('a');
  await rig.runUntil(rig.nowMs + CALL_MS);
  assert.is(rig.running('a'), 0);
});

arrived.run();
