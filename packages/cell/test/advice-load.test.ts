/**
 * Simulates a load under which the advice service is the bottleneck: gangs that
 * wait for room in one service, and work of another service that has room.
 * Without a limit, ticket requests of the gangs would starve the other work.
 */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {ExecutorInfo, Queue, StepSpec} from '@dragonflyward/cell';
import {QUEUE, STEP} from './rig.js';
import {LoadSimulation} from './load-simulation.js';

/** Number of VMs through which the advice service is called. */
const VM_COUNT = 9;
/** One executor in three may run a gang step, one in two a batch step. */
const GANG_ALLOWED_OF = 3;
const BATCH_ALLOWED_OF = 2;

const GANG_ADVICE = {decisionMs: 560, perExecutorMs: 8, validityMs: 1500};
const BATCH_ADVICE = {decisionMs: 170, perExecutorMs: 2.4, validityMs: 1500};

const GANGS: Queue = {
  ...QUEUE,
  name: 'gangs',
  service: 'large',
  priority: 1,
  advice: GANG_ADVICE,
};
const BATCH: Queue = {
  ...QUEUE,
  name: 'batch',
  service: 'small',
  priority: 2,
  stretch: 4,
  objectiveMs: 3000,
  advice: BATCH_ADVICE,
};
const GANG: StepSpec = {
  ...STEP,
  isGang: true,
  count: 2,
  estimatedMs: 4500,
  size: {cpuMilli: 62_000, memMb: 160_000, accel: 8, slots: 0},
};
const WIDE: StepSpec = {
  ...STEP,
  count: 10,
  estimatedMs: 3600,
  size: {cpuMilli: 3300, memMb: 9400, accel: 0, slots: 0},
};

/** The service of the gangs and the one of the batch work. */
function newSimulation(): LoadSimulation {
  const simulation = new LoadSimulation({
    queues: [GANGS, BATCH],
    vmCount: VM_COUNT,
    isPermitted: (step, executorId) => {
      const of = step.startsWith('gang') ? GANG_ALLOWED_OF : BATCH_ALLOWED_OF;
      return isPermitted(step, executorId, of);
    },
  });
  simulation.addExecutors('large', 10, () => capacity(128));
  simulation.addExecutors('small', 24, () => capacity(16));
  return simulation;
}

function capacity(cores: number): ExecutorInfo['capacity'] {
  return {cpuMilli: cores * 1000, memMb: cores * 4000, accel: 8, slots: 0};
}

/** Whether a step may run on an executor; the answer never changes. */
function isPermitted(step: string, executorId: string, of: number): boolean {
  let hash = 7;
  for (const char of step + executorId) {
    hash = (hash * 31 + char.charCodeAt(0)) % 1_000_003;
  }
  return hash % of === 0;
}

const load = suite('advice load');

load('gangs without room do not keep other work from its tickets', async () => {
  const rig = newSimulation();
  for (let i = 0; i < 40; i += 1) rig.addJob(`gang${i}`, GANGS, [GANG]);
  for (let i = 0; i < 30; i += 1) rig.addJob(`batch${i}`, BATCH, [WIDE]);
  await rig.runUntil(31_000);
  // There is room for about 96 of the 300 batch tasks: four waves of 3.6 s.
  assert.is(rig.completed('batch'), 30);
  // There is room for five gangs at a time, each on a third of the executors:
  // two at a time give 12 in 30 s.
  assert.ok(rig.completed('gang') >= 12, `${rig.completed('gang')} gangs`);
});

load.run();
