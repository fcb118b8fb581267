/** A round that passes over full executors must not miss one with room. */
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  countFittingTasks,
  OpenExecutors,
  smallestTasks,
  type ExecutorState,
  type ResourceAmounts,
  type StepState,
} from '@dragonflyward/cell';
import {size} from './random-load.js';
import {LoadSimulation} from './load-simulation.js';
import {QUEUE, STEP} from './rig.js';

const amounts = fc.record({
  cpuMilli: fc.integer({min: 0, max: 5}),
  memMb: fc.integer({min: 0, max: 5}),
  accel: fc.integer({min: 0, max: 2}),
});
const sizes = fc.array(amounts, {minLength: 1, maxLength: 6});

/** Executors of the given capacities, and a step for each size of a task. */
function newCell(
  capacities: readonly ResourceAmounts[],
  tasks: readonly ResourceAmounts[],
): {
  readonly executors: readonly ExecutorState[];
  readonly steps: readonly StepState[];
} {
  const options = {queues: [QUEUE], vmCount: 1, isPermitted: () => true};
  const rig = new LoadSimulation(options);
  const {service} = QUEUE;
  rig.addExecutors(service, capacities.length, i => sizeOf(capacities[i]));
  const steps = tasks.map(each => ({...STEP, size: sizeOf(each)}));
  rig.addJob('a', QUEUE, steps);
  const {executors, pendingSteps} = rig.state;
  return {executors: [...executors.values()], steps: [...pendingSteps]};
}

function sizeOf(each?: ResourceAmounts): ReturnType<typeof size> {
  return size(each?.cpuMilli ?? 0, each?.memMb ?? 0, each?.accel ?? 0);
}

const open = suite('open executors');

open('leave out none on which a task of a step fits', () => {
  fc.assert(
    fc.property(sizes, sizes, sizes, (capacities, tasks, reservations) => {
      const {executors, steps} = newCell(capacities, tasks);
      const reserved = new Map<ExecutorState, ResourceAmounts>();
      const index = new OpenExecutors(smallestTasks(steps));
      index.in(executors, QUEUE.service, reserved);
      for (const [i, each] of executors.entries()) {
        const amount = reservations[i];
        if (amount !== undefined) reserved.set(each, amount);
        index.update(executors, QUEUE.service, reserved);
        const found = index.in(executors, QUEUE.service, reserved);
        for (const step of steps) {
          const fitting = executors.filter(
            executor =>
              countFittingTasks(step, executor, reserved.get(executor)) > 0,
          );
          assert.ok(fitting.every(executor => found.includes(executor)));
        }
      }
    }),
  );
});

open('are those with room, in their order', () => {
  const {executors, steps} = newCell(
    [size(2, 2), size(1, 2), size(3, 2), size(4, 2)],
    [size(2, 2), size(4, 1)],
  );
  const index = new OpenExecutors(smallestTasks(steps));
  const [first, , third, fourth] = executors;
  const reserved = new Map<ExecutorState, ResourceAmounts>();
  const find = () => index.in(executors, QUEUE.service, reserved);
  assert.equal(find(), [first, third, fourth]);
  if (third !== undefined) reserved.set(third, size(2, 0));
  index.update(executors, QUEUE.service, reserved);
  assert.equal(find(), [first, fourth]);
});

open.run();
