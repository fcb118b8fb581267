/** Work that has room for it starts within a bound, whatever waits before it. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  TicketRequester,
  type ExecutorInfo,
  type Queue,
  type StepSpec,
  type StepState,
  type TicketRequest,
} from '@dragonflyward/cell';
import {GRAINSCAN, newGrownLoad, ORDERWATCH, QUOTE} from './grown-load.js';
import {
  hash,
  LoadSimulation,
  LOSS_DETECTION_MS,
  ROUND_MS,
  type RunPlan,
} from './load-simulation.js';
import {QUEUE, STEP} from './rig.js';

const TRAFFIC_END_MS = 34_000;
/** After the traffic, jobs are watched this long. */
const WATCH_MS = 14_000;
const LONG_RUN_MS = 30_000;

const WHOLE: ExecutorInfo['capacity'] = {
  cpuMilli: 32_000,
  memMb: 128_000,
  accel: 8,
  slots: 0,
};
const GANGS: Queue = {
  ...QUEUE,
  name: 'gangs',
  objectiveMs: 20_000,
  advice: {decisionMs: 550, perExecutorMs: 8, validityMs: 2000},
};
const BATCH: Queue = {...QUEUE, name: 'batch', priority: 2};
const GANG: StepSpec = {
  ...STEP,
  isGang: true,
  count: 5,
  size: {cpuMilli: 15_000, memMb: 45_000, accel: 8, slots: 0},
};
const SMALL: StepSpec = {
  ...STEP,
  size: {cpuMilli: 2800, memMb: 8200, accel: 1, slots: 0},
};

/** Simulates executors for gangs and batch work. */
function newGangSimulation(
  executorCount: number,
  isPermitted: (step: string, executorId: string) => boolean,
  runMsOf: (jobId: string) => number = () => 500,
): LoadSimulation {
  const simulation = new LoadSimulation({
    queues: [GANGS, BATCH],
    vmCount: 4,
    isPermitted,
    planRun: ({step}): RunPlan => ({
      runMs: runMsOf(step.occurrence.job.id),
      how: 'done',
    }),
  });
  simulation.addExecutors(QUEUE.service, executorCount, () => WHOLE);
  return simulation;
}

const starvation = suite('starvation');

starvation('a gang that fits nowhere holds no executors', async () => {
  const rig = newGangSimulation(5, (_, id) => id !== 'svc-4');
  rig.addJob('gang', GANGS, [GANG]);
  await rig.runUntil(3000);
  rig.addJob('batch', BATCH, [{...SMALL, count: 40}]);
  await rig.runUntil(5000);
  // All 40 tasks have room; those of the gang have it on no 5 executors.
  assert.is(rig.completed('batch'), 1);
});

starvation('a gang that waits for a run holds up no job for long', async () => {
  const isLong = (id: string): boolean => id === 'long';
  const rig = newGangSimulation(
    5,
    () => true,
    id => (isLong(id) ? LONG_RUN_MS : 500),
  );
  rig.addJob('long', BATCH, [SMALL]);
  await rig.runUntil(1500);
  rig.addJob('gang', GANGS, [GANG]);
  await rig.runUntil(3000);
  const beside = {...SMALL, size: {...SMALL.size, cpuMilli: 31_000}};
  rig.trafficEndMs = rig.nowMs;
  for (let i = 0; i < 3; i += 1) rig.addJob(`batch${i}`, BATCH, [beside]);
  await rig.runUntil(9000);
  assert.equal(rig.stalled, []);
  assert.is(rig.completed('batch'), 3);
});

starvation('a wide lasting step soon runs on all that it may', async () => {
  const rig = new LoadSimulation({
    queues: [ORDERWATCH],
    vmCount: 4,
    isPermitted: (step, id) => hash(step + id) < 0.3,
  });
  rig.addExecutors(ORDERWATCH.service, 174, () => WHOLE);
  const wide = {...SMALL, isService: true, count: 40, maxPerExecutor: 1};
  rig.addJob('watch', ORDERWATCH, [wide]);
  await rig.runUntil(rig.nowMs + 4500);
  assert.is(rig.running('watch'), 40);
});

/** Simulates one lasting step on executors that it may all use. */
function newWatchSimulation(vmCount: number): LoadSimulation {
  const simulation = new LoadSimulation({
    queues: [ORDERWATCH],
    vmCount,
    isPermitted: () => true,
  });
  simulation.addExecutors(ORDERWATCH.service, 4, () => WHOLE);
  simulation.addJob('watch', ORDERWATCH, [{...SMALL, isService: true}]);
  return simulation;
}

for (const failing of [
  ['vm-4', 'vm-5'],
  ['vm-1', 'vm-2', 'vm-3', 'vm-4', 'vm-5'],
]) {
  const {length} = failing;
  starvation(
    `${length} of 6 VMs whose calls fail hold up no step`,
    async () => {
      const rig = newWatchSimulation(6);
      failing.forEach(vm => rig.failingVms.add(vm));
      await rig.runUntil(rig.nowMs + 9000);
      assert.equal(rig.overdue, []);
      assert.is(rig.running('watch'), 1);
    },
  );
}

starvation(
  'an owner with no other VM asks for its tickets itself',
  async () => {
    const rig = newWatchSimulation(1);
    await rig.runUntil(rig.nowMs + 2000);
    assert.is(rig.running('watch'), 1);
  },
);

starvation('a task starts again once its executor is lost', async () => {
  const rig = newWatchSimulation(6);
  await rig.runUntil(5000);
  const [task] = [...rig.state.pendingSteps].flatMap(({tasks}) => tasks);
  const lost = task?.executor ?? null;
  if (lost === null) throw new Error('not started');
  rig.loseExecutor(lost);
  await rig.runUntil(rig.nowMs + LOSS_DETECTION_MS + 100);
  assert.is(rig.running('watch'), 1);
  assert.is.not(task?.executor, lost);
});

starvation('calls for gangs hold up no lasting task', async () => {
  const rig = new LoadSimulation({
    queues: [GRAINSCAN, ORDERWATCH],
    vmCount: 8,
    isPermitted: (step, id) => step.startsWith('watch') || hash(id) < 0.3,
    planRun: ({step}): RunPlan => ({
      runMs: step.spec.isService ? Infinity : 300,
      how: 'done',
    }),
  });
  rig.addExecutors(GRAINSCAN.service, 68, () => WHOLE);
  rig.addExecutors(ORDERWATCH.service, 40, () => WHOLE);
  for (let i = 0; i < 450; i += 1) {
    rig.at(1000 + i * 20, () => {
      rig.addJob(`gang${i}`, GRAINSCAN, [{...GANG, count: 1}]);
    });
  }
  const watch = {...SMALL, isService: true};
  rig.at(7000, () => rig.addJob('watch', ORDERWATCH, [watch]));
  await rig.runUntil(10_000);
  assert.is(rig.running('watch'), 1);
});

for (const [jobCount, taskCount] of [
  [1, 50],
  [50, 1],
] as const) {
  const name = `${jobCount} urgent jobs of ${taskCount} hold up no lasting task`;
  starvation(name, async () => {
    const plain = {...ORDERWATCH, advice: null};
    const rig = new LoadSimulation({
      queues: [QUOTE, plain],
      vmCount: 4,
      isPermitted: () => true,
    });
    rig.addExecutors(QUOTE.service, 4, () => WHOLE);
    for (let i = 0; i < 4; i += 1) rig.failingVms.add(`vm-${i}`);
    const urgent = {...SMALL, count: taskCount, estimatedMs: 9000};
    for (let i = 0; i < jobCount; i += 1) {
      rig.addJob(`quote${i}`, QUOTE, [urgent]);
    }
    rig.addJob('watch', plain, [{...SMALL, isService: true}]);
    await rig.runUntil(rig.nowMs + 3000);
    assert.is(rig.running('watch'), 1);
  });
}

/** Creates a requester with some VMs, and a request for its only step. */
function newRequester(
  ask: () => Promise<null>,
  vms: readonly string[] = ['vm'],
): {
  readonly requester: TicketRequester;
  readonly step: StepState;
  readonly request: TicketRequest;
  readonly lines: readonly object[];
} {
  const rig = newWatchSimulation(0);
  const lines: object[] = [];
  const requester = new TicketRequester(
    () => vms.map(vm => ({vm, isInOwnerDomain: false, ask})),
    () => rig.nowMs,
    () => undefined,
    (event, fields) => lines.push({event, ...fields}),
  );
  const [step] = rig.state.pendingSteps;
  if (step === undefined) throw new Error('no step');
  const request = {
    step,
    executorIds: ['x'],
    reservedIds: [],
    precedence: 1,
    isSpeculative: false,
  };
  return {requester, step, request, lines};
}

starvation('a call that throws counts as failed', async () => {
  const ask = async (): Promise<null> => Promise.reject(new Error('refused'));
  const {requester, step, request, lines} = newRequester(ask);
  requester.replaceRequests([request]);
  for (let i = 0; i < 4; i += 1) await Promise.resolve();
  assert.is(step.isRequestingTickets, false);
  assert.is(requester.takeReport()[0]?.failed, 1);
  assert.equal(lines, [
    {event: 'adviceFailed', vm: 'vm', step: 'watch.0.0', reason: 'refused'},
  ]);
});

// A round may request tickets for tasks that can start and for others.
starvation('a step has one call at a time', () => {
  let calls = 0;
  const ask = (): Promise<null> => {
    calls += 1;
    return new Promise(() => undefined);
  };
  const {requester, request} = newRequester(ask, ['a', 'b', 'c']);
  requester.replaceRequests([request, {...request, executorIds: ['y']}]);
  assert.is(calls, 1);
});

const CORES: ExecutorInfo['capacity'] = {
  cpuMilli: 4000,
  memMb: 16_000,
  accel: 0,
  slots: 0,
};
const HALF_CORE: StepSpec = {
  ...STEP,
  size: {cpuMilli: 500, memMb: 100, accel: 0, slots: 0},
};

for (const [priority, boundMs] of [
  [0, 100],
  [2, 1200],
] as const) {
  const name = `a step without tickets holds up no work of priority ${priority}`;
  starvation(name, async () => {
    const plain = {...BATCH, priority, service: ORDERWATCH.service};
    const rig = new LoadSimulation({
      queues: [ORDERWATCH, plain],
      vmCount: 1,
      isPermitted: () => true,
    });
    rig.failingVms.add('vm-0');
    rig.addExecutors(ORDERWATCH.service, 4, () => CORES);
    const watch = {...HALF_CORE, isService: true, count: 40};
    rig.addJob('watch', ORDERWATCH, [watch]);
    // Jobs at several times, as a reservation may come and go.
    for (let i = 0; i < 8; i += 1) {
      await rig.runUntil(3000 + i * 1300);
      rig.addJob(`batch${i}`, plain, [{...HALF_CORE, estimatedMs: 60_000}]);
      await rig.runUntil(rig.nowMs + boundMs);
      assert.is(rig.running(`batch${i}`), 1, `job ${i}`);
    }
  });
}

starvation('slow calls hold up no urgent step that needs tickets', async () => {
  const advice = {decisionMs: 60_000, perExecutorMs: 8, validityMs: 2000};
  const slow = {...ORDERWATCH, advice};
  const rig = new LoadSimulation({
    queues: [slow, QUOTE],
    vmCount: 9,
    isPermitted: () => true,
  });
  rig.addExecutors(QUOTE.service, 4, () => CORES);
  const watch = {...HALF_CORE, isService: true, count: 40};
  for (let i = 0; i < 4; i += 1) rig.addJob(`watch${i}`, slow, [watch]);
  for (let i = 0; i < 6; i += 1) {
    await rig.runUntil(3000 + i * 1300);
    rig.addJob(`quote${i}`, QUOTE, [{...HALF_CORE, estimatedMs: 60_000}]);
    await rig.runUntil(rig.nowMs + 100);
    assert.is(rig.running(`quote${i}`), 1, `job ${i}`);
  }
});

starvation('a step that starts tasks does not count as overdue', async () => {
  const rig = new LoadSimulation({
    queues: [ORDERWATCH],
    vmCount: 4,
    isPermitted: (step, id) => hash(step + id) < 0.3,
  });
  rig.addExecutors(ORDERWATCH.service, 174, () => WHOLE);
  const wide = {...SMALL, isService: true, count: 40, maxPerExecutor: 1};
  rig.addJob('watch', ORDERWATCH, [wide]);
  const [step] = rig.state.pendingSteps;
  let wasRunning = 0;
  let roundsWithStarts = 0;
  while (rig.nowMs < 5500) {
    await rig.runUntil(rig.nowMs + ROUND_MS);
    const running = rig.running('watch');
    if (running > wasRunning) {
      roundsWithStarts += 1;
      // A round after a start with tickets that arrived counts from then on.
      assert.ok((step?.hadRoomSinceMs ?? 0) >= rig.nowMs);
    }
    wasRunning = running;
  }
  assert.ok(roundsWithStarts > 1);
});

starvation('a step with nothing to start is not overdue', async () => {
  const rig = newWatchSimulation(1);
  rig.failingVms.add('vm-0');
  await rig.runUntil(3000);
  const [step] = rig.state.pendingSteps;
  assert.ok(Number.isFinite(step?.hadRoomSinceMs));
  const [executor] = rig.state.executors.values();
  const task = step?.tasks[0];
  if (task === undefined || executor === undefined) throw new Error('none');
  // Its run is adopted.
  rig.state.startTask(task, executor, rig.state.nextRun([task]), rig.nowMs);
  task.phase = 'running';
  await rig.runUntil(3100);
  assert.is(step?.hadRoomSinceMs, Infinity);
});

for (const outageMs of [11_000, 14_000, 17_000, 20_000]) {
  const name = `calls go on soon after ${outageMs} ms without an answer`;
  starvation(name, async () => {
    const rig = newWatchSimulation(1);
    rig.failingVms.add('vm-0');
    await rig.runUntil(outageMs);
    rig.failingVms.clear();
    // A call takes 0.6 s and fails after 1.2 s; the pause is 1 s at most.
    await rig.runUntil(outageMs + 2900);
    assert.is(rig.running('watch'), 1);
  });
}

starvation('a call that throws at once counts as failed', async () => {
  const ask = (): Promise<null> => {
    throw new Error('refused'.repeat(100));
  };
  const {requester, step, request, lines} = newRequester(ask);
  // An error that escapes rejects a promise that nobody awaits.
  const escaped: unknown[] = [];
  const onEscape = (error: unknown): number => escaped.push(error);
  process.on('unhandledRejection', onEscape);
  requester.replaceRequests([request]);
  await new Promise(resolve => setImmediate(resolve));
  process.off('unhandledRejection', onEscape);
  assert.equal(escaped, []);
  assert.is(step.isRequestingTickets, false);
  assert.is(requester.takeReport()[0]?.failed, 1);
  assert.equal(lines, [
    {
      event: 'adviceFailed',
      vm: 'vm',
      step: 'watch.0.0',
      reason: 'refused'.repeat(100).slice(0, 200),
    },
  ]);
});

for (const seed of [6, 9]) {
  starvation(
    `no job stalls after a day with losses, seed ${seed}`,
    async () => {
      const rig = newGrownLoad({seed, endMs: TRAFFIC_END_MS});
      rig.trafficEndMs = TRAFFIC_END_MS;
      rig.at(TRAFFIC_END_MS / 2, () => {
        [...rig.state.executors.values()]
          .filter((_, i) => (i + seed) % 10 === 0)
          .forEach(executor => rig.loseExecutor(executor));
      });
      await rig.runUntil(TRAFFIC_END_MS + WATCH_MS);
      assert.equal(rig.stalled, []);
    },
  );
}

starvation.run();
