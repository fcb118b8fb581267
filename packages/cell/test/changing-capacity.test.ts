/** Executors whose capacity shrinks and grows while they run. */
import {encode} from 'cbor-x';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {CellConfig, Queue, StepSpec} from '@dragonflyward/cell';
import {LoadSimulation, type RunPlan} from './load-simulation.js';
import {
  CONFIG,
  EXECUTORS_TOPIC,
  QUEUE,
  Rig,
  STEP,
  type CellNode,
} from './rig.js';

const SETTLE_MS = 3000;
/** By then, a change of the capacity is listed and read, in ms. */
const LISTED_MS = 2100;
/** By then, work that waits has started where the listed capacity grew. */
const START_MS = 300;
/** A decrease counts after this time, in ms. */
const DECREASE_GRACE_MS = 5500;
/** Time from the death of an owner to the claim of the next one, in ms. */
const CLAIM_DELAY_MS = 900;
/** By then, a former owner that has not surely stopped starts nothing. */
const START_LEASE_END_MS = 2000;
/** Longer than the time after which a decrease counts, in ms. */
const OUTAGE_MS = 7000;
const LONG_RUN_MS = 600_000;
const URGENT: Queue = {...QUEUE, name: 'urgent', priority: 0};
const BATCH: Queue = {...QUEUE, name: 'batch', priority: 2};
const ADVICE_MS = 2500;
const ADVISED: Queue = {
  ...QUEUE,
  name: 'advised',
  advice: {decisionMs: ADVICE_MS, perExecutorMs: 0, validityMs: 2000},
};
const QUEUES: CellConfig = {...CONFIG, queues: [URGENT, QUEUE, BATCH]};
/** Allows four tasks at a time. */
const LIMITED: CellConfig = {
  ...CONFIG,
  organisations: [
    {name: '', weight: 1, limit: {...STEP.size, cpuMilli: 4000, memMb: 0}},
  ],
};
const GANG: StepSpec = {...STEP, isGang: true, count: 2, maxPerExecutor: 1};

/** How an executor describes itself before it restarts in another way. */
const FORMER = {
  labels: ['a'],
  capacity: {cpuMilli: 3000, memMb: 10_000, accel: 0, slots: 0},
  service: QUEUE.service,
};

interface Cell {
  readonly rig: Rig;
  readonly node: CellNode;
}

/** A cell whose owner has reached all executors. */
async function startCell(
  executors: number,
  runMs = LONG_RUN_MS,
  config = CONFIG,
): Promise<Cell> {
  const rig = new Rig(executors, () => ({ms: runMs, how: 'done'}), config);
  const node = rig.newNode('v0');
  void rig.claim(node);
  await rig.run(SETTLE_MS);
  return {rig, node};
}

/** Ends the first runs on an executor. */
function endRuns(rig: Rig, executorId: string, count: number): void {
  const runs = [...rig.executor(executorId).runs.values()].slice(0, count);
  for (const run of runs) run.endsMs = rig.clock.monotonicMs();
}

function countRuns(rig: Rig, executorId: string): number {
  return rig.executor(executorId).runs.size;
}

/** Executors of the given ids keep little of their capacity. */
function shrink(rig: Rig, ids: readonly string[]): void {
  for (const id of ids) {
    rig.executor(id).setCapacity({cpuMilli: 300, memMb: 30, accel: 1});
  }
}

const changing = suite('changing capacity');

changing('starts nothing beside more than the capacity', async () => {
  const {rig, node} = await startCell(1);
  rig.submit('job', [{...STEP, count: 6}], [node]);
  await rig.run(START_MS);
  assert.is(countRuns(rig, 'x0'), 3);
  rig.executor('x0').setCapacity({cpuMilli: 1500});
  await rig.run(DECREASE_GRACE_MS);
  assert.is(countRuns(rig, 'x0'), 3, 'stops nothing');
  endRuns(rig, 'x0', 2);
  await rig.run(START_MS);
  assert.is(countRuns(rig, 'x0'), 1, 'no room for a second one');
  endRuns(rig, 'x0', 1);
  await rig.run(START_MS);
  assert.is(countRuns(rig, 'x0'), 1, 'room for one');
  rig.executor('x0').setCapacity({cpuMilli: 3000});
  await rig.run(LISTED_MS + START_MS);
  assert.is(countRuns(rig, 'x0'), 3, 'room for all that are left');
  assert.equal(rig.checker.violations, []);
});

for (const [resource, amounts] of [
  ['memory', {memMb: 200}],
  ['accelerators', {accel: 2}],
] as const) {
  changing(`starts no task beyond ${resource} that shrank`, async () => {
    const {rig, node} = await startCell(1);
    rig.executor('x0').setCapacity({accel: 3});
    await rig.run(LISTED_MS);
    const size = {...STEP.size, accel: 1};
    rig.submit('job', [{...STEP, count: 9, size}], [node]);
    await rig.run(START_MS);
    assert.is(countRuns(rig, 'x0'), 3);
    rig.executor('x0').setCapacity(amounts);
    await rig.run(DECREASE_GRACE_MS);
    endRuns(rig, 'x0', 3);
    await rig.run(START_MS);
    assert.is(countRuns(rig, 'x0'), 2);
    assert.equal(rig.checker.violations, []);
  });
}

changing('counts tasks that are being stopped', async () => {
  const {rig, node} = await startCell(1);
  rig.submit('old', [{...STEP, count: 3}], [node]);
  await rig.run(START_MS);
  rig.executor('x0').setCapacity({cpuMilli: 2000});
  await rig.run(DECREASE_GRACE_MS);
  rig.submit('new', [{...STEP, count: 3}], [node]);
  rig.cancel('old', [node]);
  await rig.run(SETTLE_MS);
  assert.is(countRuns(rig, 'x0'), 2);
  assert.equal(rig.checker.violations, []);
});

changing('keeps starts in flight within the capacity', async () => {
  const {rig, node} = await startCell(2, 400);
  for (const {id} of rig.executors) rig.executor(id).latencyMs = 150;
  for (let i = 0; i < 60; i += 1) rig.submit(`job${i}`, [STEP], [node]);
  const capacities = [2000, 0, 1000, 3000, 500, 2500];
  for (const [i, cpuMilli] of capacities.entries()) {
    rig.executor(`x${i % 2}`).setCapacity({cpuMilli});
    await rig.run(1700);
  }
  for (const each of rig.executors) each.setCapacity({cpuMilli: 3000});
  await rig.run(20_000);
  assert.is(rig.checker.doneTasks.size, 60);
  assert.equal(rig.checker.violations, []);
});

for (const [name, step] of [
  ['a step', {...STEP, count: 2}],
  ['a gang', GANG],
] as const) {
  changing(`${name} that fitted nowhere starts once it fits`, async () => {
    const {rig, node} = await startCell(2);
    for (const each of rig.executors) each.setCapacity({cpuMilli: 0, memMb: 0});
    await rig.run(LISTED_MS);
    rig.submit('job', [step], [node]);
    await rig.run(20_000);
    assert.is(rig.checker.starts, 0);
    for (const each of rig.executors) {
      each.setCapacity({cpuMilli: 1000, memMb: 100});
    }
    await rig.run(LISTED_MS + START_MS);
    assert.is(rig.checker.starts, 2);
    assert.is(rig.rows.get('job')?.phase, 'running');
    assert.equal(rig.checker.violations, []);
  });
}

changing('starts fillers only on executors with free memory', async () => {
  const {rig, node} = await startCell(1);
  rig.submit('job', [{...STEP, count: 2}], [node]);
  await rig.run(START_MS);
  const memMb = 250;
  rig.executor('x0').setCapacity({cpuMilli: 2000, memMb});
  await rig.run(DECREASE_GRACE_MS);
  const filler = {...STEP, isFiller: true, count: 2, savesProgress: true};
  rig.submit('filler', [{...filler, size: {...STEP.size, memMb: 50}}], [node]);
  await rig.run(START_MS);
  assert.is(countRuns(rig, 'x0'), 3, 'a filler takes no processor');
  assert.equal(rig.checker.violations, []);
});

changing('other work runs beside executors that shrank', async () => {
  const {rig, node} = await startCell(4, LONG_RUN_MS, QUEUES);
  rig.submit('old', [{...STEP, count: 6}], [node]);
  await rig.run(START_MS);
  const filled = rig.executors.filter(({runs}) => runs.size === 3);
  assert.is(filled.length, 2);
  shrink(
    rig,
    filled.map(({id}) => id),
  );
  await rig.run(DECREASE_GRACE_MS);
  rig.submit('new', [STEP], [node]);
  await rig.run(START_MS);
  assert.is(rig.rows.get('new')?.phase, 'running');
  assert.equal(rig.checker.violations, []);
});

changing('urgent work preempts where that makes room', async () => {
  const {rig, node} = await startCell(2, LONG_RUN_MS, QUEUES);
  for (const each of rig.executors) each.setCapacity({accel: 2});
  await rig.run(LISTED_MS);
  const size = {...STEP.size, accel: 1};
  const lasting = {...STEP, isService: true, maxPerExecutor: 1, size};
  rig.submit('lasting', [{...lasting, count: 2}], [node]);
  await rig.run(START_MS);
  rig.executor('x0').setCapacity({accel: 0});
  await rig.run(DECREASE_GRACE_MS);
  const batch = {
    ...STEP,
    size: {...STEP.size, cpuMilli: 2000},
    savesProgress: true,
  };
  rig.submit('batch', [batch], [node], BATCH);
  await rig.run(START_MS);
  assert.is(countRuns(rig, 'x1'), 2);
  rig.submit('urgent', [STEP], [node], URGENT);
  await rig.run(START_MS + 500);
  assert.is(rig.rows.get('urgent')?.phase, 'running');
  assert.equal(rig.checker.violations, []);
});

for (const [what, change] of [
  ['labels', {labels: ['b']}],
  ['capacity', {capacity: {cpuMilli: 500, memMb: 50, accel: 0, slots: 0}}],
  ['service', {service: 'other'}],
] as const) {
  changing(`starts nothing after a restart with unknown ${what}`, async () => {
    const {rig, node} = await startCell(1);
    rig.executor('x0').restartAs(FORMER);
    await rig.run(LISTED_MS);
    const step = {...STEP, isService: true, requiredLabel: 'a'};
    rig.submit('job', [step], [node]);
    await rig.run(START_MS);
    assert.is(countRuns(rig, 'x0'), 1);
    rig.isListingPaused = true;
    rig.executor('x0').restartAs(change);
    await rig.run(DECREASE_GRACE_MS);
    assert.ok(rig.logLines.some(line => line.includes('executorRestarted')));
    assert.is(countRuns(rig, 'x0'), 0);
    rig.isListingPaused = false;
    await rig.run(LISTED_MS + START_MS);
    assert.is(countRuns(rig, 'x0'), 0);
    rig.executor('x0').restartAs(FORMER);
    await rig.run(LISTED_MS + START_MS);
    assert.is(countRuns(rig, 'x0'), 1);
    assert.equal(rig.checker.violations, []);
  });
}

for (const isUnlisted of [false, true]) {
  const when = isUnlisted ? 'left' : 'shrank';
  changing(`runs where an executor ${when} count for the limit`, async () => {
    const {rig, node} = await startCell(2, LONG_RUN_MS, LIMITED);
    rig.submit('early', [{...STEP, count: 4}], [node]);
    await rig.run(START_MS);
    const filled = rig.executors.find(({runs}) => runs.size === 3);
    assert.ok(filled);
    filled.setCapacity({cpuMilli: 0});
    await rig.run(LISTED_MS);
    filled.isDisconnected = true;
    filled.isUnlisted = isUnlisted;
    rig.kill(node);
    await rig.run(CLAIM_DELAY_MS);
    const next = rig.newNode('v1');
    void rig.claim(next);
    await rig.run(START_LEASE_END_MS);
    rig.submit('late', [{...STEP, count: 4}], [next]);
    await rig.run(1000);
    assert.is(filled.runs.size, 3);
    assert.is(countRuns(rig, 'x0') + countRuns(rig, 'x1'), 4);
    await rig.run(20_000);
    assert.is(filled.runs.size, 0);
    assert.is(countRuns(rig, 'x0') + countRuns(rig, 'x1'), 3);
    assert.equal(rig.checker.violations, []);
  });
}

changing('runs in room that was added count for the limit', async () => {
  const rig = new Rig(2, () => ({ms: LONG_RUN_MS, how: 'done'}), LIMITED);
  for (const each of rig.executors) each.setCapacity({cpuMilli: 1000});
  await rig.run(LISTED_MS);
  const node = rig.newNode('v0');
  void rig.claim(node);
  await rig.run(SETTLE_MS);
  for (const each of rig.executors) each.setCapacity({cpuMilli: 3000});
  await rig.run(LISTED_MS);
  rig.submit('early', [{...STEP, count: 4}], [node]);
  await rig.run(START_MS);
  const filled = rig.executors.find(({runs}) => runs.size === 3);
  assert.ok(filled);
  filled.isUnlisted = true;
  await rig.run(LISTED_MS);
  filled.isDisconnected = true;
  rig.kill(node);
  await rig.run(CLAIM_DELAY_MS);
  const next = rig.newNode('v1');
  void rig.claim(next);
  await rig.run(START_LEASE_END_MS);
  rig.submit('late', [{...STEP, count: 4}], [next]);
  await rig.run(1000);
  assert.is(countRuns(rig, 'x0') + countRuns(rig, 'x1'), 4);
  assert.equal(rig.checker.violations, []);
});

changing('waits for runs where an executor changed its service', async () => {
  const other: Queue = {...QUEUE, name: 'other', service: 'other'};
  const config = {...CONFIG, queues: [QUEUE, other]};
  const rig = new Rig(2, () => ({ms: LONG_RUN_MS, how: 'done'}), config);
  const node = rig.newNode('v0');
  void rig.claim(node);
  await rig.run(SETTLE_MS);
  rig.executor('x0').restartAs({service: 'other'});
  await rig.run(SETTLE_MS);
  rig.submit('job', [{...STEP, isService: true}], [node], other);
  await rig.run(START_MS);
  assert.is(countRuns(rig, 'x0'), 1);
  rig.executor('x0').isUnlisted = true;
  rig.executor('x1').restartAs({service: 'other'});
  await rig.run(LISTED_MS);
  rig.executor('x0').isDisconnected = true;
  rig.kill(node);
  await rig.run(CLAIM_DELAY_MS);
  void rig.claim(rig.newNode('v1'));
  await rig.run(20_000);
  assert.is(countRuns(rig, 'x1'), 1);
  assert.equal(rig.checker.violations, []);
});

changing(
  'a change leaves one line in the log, with what is in use',
  async () => {
    const {rig, node} = await startCell(2);
    rig.submit('job', [{...STEP, count: 3}], [node]);
    await rig.run(START_MS);
    const filled = rig.executors.find(({runs}) => runs.size > 0);
    assert.ok(filled);
    filled.setCapacity({cpuMilli: 1000});
    await rig.run(10_000);
    const lines = rig.logLines.filter(line => line.includes('CapacityChanged'));
    assert.is(lines.length, 1);
    const [line = ''] = lines;
    assert.equal(JSON.parse(line.slice(line.indexOf('{'))), {
      executorId: filled.id,
      former: {cpuMilli: 3000, memMb: 10_000, accel: 0},
      capacity: {cpuMilli: 1000, memMb: 10_000, accel: 0},
      used: {cpuMilli: 3000, memMb: 300, accel: 0},
    });
  },
);

for (const [name, isListingPaused] of [
  ['executors and owner cannot use the store', true],
  ['the owner cannot read the store', false],
] as const) {
  changing(`a decrease counts soon after ${name}`, async () => {
    const {rig, node} = await startCell(2, 300);
    node.isConnectedToAll = true;
    for (let i = 0; i < 400; i += 1) rig.submit(`job${i}`, [STEP], [node]);
    await rig.run(START_MS);
    rig.isListingPaused = isListingPaused;
    node.store.faults.isRefusing = true;
    for (const each of rig.executors) each.setCapacity({cpuMilli: 1000});
    await rig.run(START_MS);
    const {starts} = rig.checker;
    await rig.run(OUTAGE_MS);
    assert.ok(rig.checker.starts > starts, 'starts go on');
    rig.isListingPaused = false;
    node.store.faults.isRefusing = false;
    await rig.run(LISTED_MS);
    const {length} = rig.checker.violations;
    await rig.run(DECREASE_GRACE_MS);
    assert.equal(rig.checker.violations.slice(length), []);
  });
}

for (const [name, step] of [
  ['lasting task', {...STEP, isService: true}],
  ['gang', {...GANG, maxPerExecutor: 0}],
] as const) {
  changing(`tickets where executors shrank hold up no ${name}`, async () => {
    const config = {...CONFIG, queues: [QUEUE, ADVISED]};
    const {rig, node} = await startCell(2, LONG_RUN_MS, config);
    const asked: string[] = [];
    rig.adviceChannels = [
      {
        vm: 'v0',
        isInOwnerDomain: true,
        ask: async (_step, ids) => {
          asked.push(ids.join());
          await rig.clock.sleep(ADVICE_MS);
          return ids.map(executorId => ({executorId, ticket: 't'}));
        },
      },
    ];
    rig.executor('x1').setCapacity({cpuMilli: 0});
    await rig.run(LISTED_MS);
    // Tickets for x0 arrive when it has shrunk and x1 has room.
    rig.submit('job', [step], [node], ADVISED);
    rig.executor('x0').setCapacity({cpuMilli: 0});
    rig.executor('x1').setCapacity({cpuMilli: 3000});
    await rig.run(2 * ADVICE_MS + START_MS);
    assert.equal(asked, ['x0', 'x1']);
    assert.is(countRuns(rig, 'x1'), step.count);
    assert.equal(rig.checker.violations, []);
  });
}

changing('passes over a late record of the process before', async () => {
  const {rig, node} = await startCell(1);
  const executor = rig.executor('x0');
  const former = {...executor.info, bornMs: executor.bornMs};
  executor.restartAs({capacity: {...former.capacity, cpuMilli: 1000}});
  await rig.run(LISTED_MS);
  const records = [{key: 'x0', value: encode(former)}];
  rig.isListingPaused = true;
  rig.memory.append(EXECUTORS_TOPIC, records, {});
  rig.submit('job', [{...STEP, count: 3}], [node]);
  await rig.run(DECREASE_GRACE_MS);
  endRuns(rig, 'x0', 1);
  await rig.run(START_MS);
  assert.is(countRuns(rig, 'x0'), 1);
  assert.equal(rig.checker.violations, []);
});

changing(
  'stops nothing for a late record of a process that drained',
  async () => {
    const {rig, node} = await startCell(1);
    const executor = rig.executor('x0');
    const former = {
      ...executor.info,
      bornMs: executor.bornMs,
      isDraining: true,
    };
    executor.restart();
    await rig.run(LISTED_MS);
    rig.submit('job', [{...STEP, isService: true}], [node]);
    await rig.run(START_MS);
    rig.isListingPaused = true;
    const records = [{key: 'x0', value: encode(former)}];
    rig.memory.append(EXECUTORS_TOPIC, records, {});
    await rig.run(START_MS);
    assert.not.ok(rig.logLines.some(line => line.includes('runMoved')));
    assert.is(countRuns(rig, 'x0'), 1);
  },
);

changing('a new owner uses the capacity that is listed now', async () => {
  const {rig, node} = await startCell(2);
  rig.submit('early', [{...STEP, count: 4}], [node]);
  await rig.run(START_MS);
  shrink(rig, ['x0', 'x1']);
  await rig.run(DECREASE_GRACE_MS);
  rig.kill(node);
  await rig.run(CLAIM_DELAY_MS);
  const next = rig.newNode('v1');
  void rig.claim(next);
  await rig.run(START_LEASE_END_MS);
  rig.submit('late', [STEP], [next]);
  endRuns(rig, 'x0', 3);
  endRuns(rig, 'x1', 3);
  await rig.run(SETTLE_MS);
  assert.is(rig.checker.starts, 4, 'no room for a task');
  for (const each of rig.executors) {
    each.setCapacity({cpuMilli: 1000, memMb: 100});
  }
  await rig.run(LISTED_MS + START_MS);
  assert.is(rig.rows.get('late')?.phase, 'running');
  assert.equal(rig.checker.violations, []);
});

/** A gang that needs more executors than are free, beside batch work. */
changing('executors that shrank do not make the others busy', async () => {
  const simulation = new LoadSimulation({
    queues: [QUEUE, BATCH],
    vmCount: 1,
    isPermitted: () => true,
    planRun: ({step}): RunPlan => ({
      runMs: step.occurrence.job.id.startsWith('long') ? LONG_RUN_MS : 500,
      how: 'done',
    }),
  });
  const whole = {cpuMilli: 32_000, memMb: 128_000, accel: 8, slots: 0};
  simulation.addExecutors(QUEUE.service, 9, () => whole);
  simulation.addJob('long', BATCH, [{...STEP, count: 4, size: whole}]);
  await simulation.runUntil(2000);
  for (const {info, tasks} of [...simulation.state.executors.values()]) {
    if (tasks.size === 0) continue;
    simulation.state.setExecutor({...info, capacity: {...whole, accel: 0}});
  }
  const small = {...STEP, size: {...STEP.size, accel: 1}};
  simulation.addJob('long-small', BATCH, [small]);
  const gang = {...GANG, count: 5, size: whole};
  await simulation.runUntil(2500);
  simulation.addJob('gang', QUEUE, [{...gang, estimatedMs: 20_000}]);
  await simulation.runUntil(4000);
  simulation.addJob('batch', BATCH, [small]);
  await simulation.runUntil(9000);
  assert.is(simulation.completed('batch'), 1);
});

changing.run();
