/** Orders and requests that fail once are sent again by the same owner. */
import {
  decodePhase,
  FINAL_TTL_MS,
  jobKey,
  jobsTopicFor,
  PROGRESS_PREFIX,
  PROGRESS_TOPIC,
  type AdviceChannel,
  type Queue,
  type StepSpec,
} from '@dragonflyward/cell';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {Behaviour} from './fake-executor.js';
import {QUEUE, Rig, STEP, type CellNode} from './rig.js';

const SETTLE_MS = 3000;
const LONG_MS = 60_000;
/** Without the store, an owner that every VM is connected to acts so long. */
const OWNER_LEASE_MS = 8000;
/** The whole of an executor. */
const WHOLE: StepSpec = {...STEP, size: {...STEP.size, cpuMilli: 3000}};
const GANG: StepSpec = {...WHOLE, isGang: true, count: 2};
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

owner('stops a run of a job cancelled after a clock step', async () => {
  const {rig, node} = await startRig(1, takes(LONG_MS));
  rig.submit('job', [STEP], [node]);
  await rig.run(1000);
  assert.is(rig.executor('x0').runs.size, 1);
  rig.clock.stepWall(10_000);
  rig.cancel('job', [node]);
  await rig.run(SETTLE_MS);
  assert.is(rig.executor('x0').runs.size, 0);
  assert.is(rig.rows.get('job')?.phase, 'cancelled');
});

owner('runs a gang again whose stop met an executor that moved', async () => {
  const {rig, node} = await startRig(2, (task, run) => ({
    ms: 400,
    how: task.endsWith('.0') && run === 1 ? 'failed' : 'done',
  }));
  rig.submit('job', [GANG], [node]);
  await rig.run(350);
  for (const each of rig.executors) {
    const isFailing = each.runs.has('job.0.0.0');
    if (!isFailing) each.isDown = true;
  }
  await rig.run(400);
  for (const each of rig.executors) {
    if (each.isDown) each.restartAt('', 2);
    each.isDown = false;
  }
  await rig.run(5 * SETTLE_MS);
  assert.equal(rig.checker.violations, []);
  assert.is(rig.rows.get('job')?.phase, 'completed');
});

owner('stops an orphan run that is listed after a clock step', async () => {
  const {rig, node} = await startRig(1, takes(LONG_MS));
  rig.submit('job', [STEP], [node]);
  await rig.run(1000);
  const {newest} = rig.memory.topic(jobsTopicFor('job'));
  newest.clear();
  rig.kill(node);
  const other = rig.newNode('v1');
  void rig.claim(other);
  rig.onLog = event => {
    if (event === 'ownerActive') rig.clock.stepWall(10_000);
  };
  await rig.run(2 * SETTLE_MS);
  assert.is(rig.executor('x0').runs.size, 0);
});

owner('sends a stop until it is answered', async () => {
  const {rig, node} = await startRig(1, takes(LONG_MS));
  rig.executor('x0').delayedOrders = 2;
  rig.submit('job', [STEP], [node]);
  await rig.run(50);
  assert.is(rig.executor('x0').delayedOrders, 1);
  rig.cancel('job', [node]);
  await rig.run(10);
  await rig.run(20);
  assert.is(rig.executor('x0').delayedOrders, 0);
  await rig.run(2 * SETTLE_MS);
  assert.equal(rig.checker.violations, []);
  assert.is(rig.checker.starts, 0);
});

// A later owner may have adopted the run.
owner('sends no stop once its lease has ended', async () => {
  const {rig, node} = await startRig(1, takes(LONG_MS));
  node.isConnectedToAll = true;
  rig.submit('job', [STEP], [node]);
  await rig.run(1000);
  node.store.faults.isRefusing = true;
  await rig.run(OWNER_LEASE_MS);
  const [run] = rig.executor('x0').runs.values();
  assert.ok(run);
  rig.cancel('job', [node]);
  await rig.run(1000);
  assert.is(run.isStopping, false);
});

// The stop is repeated until it is answered.
owner('ends the repeats of a stop with its lease', async () => {
  const {rig, node} = await startRig(1, takes(LONG_MS));
  node.isConnectedToAll = true;
  rig.submit('job', [STEP], [node]);
  await rig.run(1000);
  node.store.faults.isRefusing = true;
  await rig.run(OWNER_LEASE_MS - 2000);
  rig.executor('x0').isDisconnected = true;
  rig.cancel('job', [node]);
  await rig.run(2000);
  rig.executor('x0').isDisconnected = false;
  const [run] = rig.executor('x0').runs.values();
  assert.ok(run);
  await rig.run(1000);
  assert.is(run.isStopping, false);
});

owner('stops a run that may start late on a restarted executor', async () => {
  const {rig, node} = await startRig(2, takes(LONG_MS));
  rig.executor('x0').restart();
  rig.executor('x0').delayedOrders = 1;
  rig.submit('job', [STEP], [node]);
  await rig.run(400);
  rig.executor('x0').isDisconnected = true;
  // The next run goes to the other executor.
  rig.executor('x0').isDraining = true;
  await rig.run(2000);
  rig.executor('x0').isDisconnected = false;
  await rig.run(2 * SETTLE_MS);
  assert.equal(rig.checker.violations, []);
  assert.is(rig.checker.starts, 1);
});

owner('starts a task whose run was listed before its job', async () => {
  const {rig, node} = await startRig(1, takes(2000));
  rig.submit('job', [STEP], [node]);
  await rig.run(500);
  const {newest} = rig.memory.topic(jobsTopicFor('job'));
  const record = newest.get(jobKey('job'));
  newest.clear();
  rig.kill(node);
  const other = rig.newNode('v1');
  void rig.claim(other);
  for (let i = 0; i < 100; i += 1) {
    await rig.run(10);
    if (rig.executor('x0').runs.get('job.0.0.0')?.isStopping === true) break;
  }
  other.owner?.addStoredJob(record?.value ?? new Uint8Array(0));
  await rig.run(2 * SETTLE_MS);
  assert.equal(rig.checker.violations, []);
  assert.is(rig.rows.get('job')?.phase, 'completed');
});

owner('reaches an executor that left while it was recorded', async () => {
  const rig = new Rig(1, takes(400));
  const node = rig.newNode('v0');
  const [executor] = rig.executors;
  if (executor === undefined) throw new Error('no executor');
  executor.isDown = true;
  void rig.claim(node);
  await rig.run(SETTLE_MS);
  node.store.faults.lostAnswers = 12;
  executor.isDown = false;
  await rig.run(1500);
  executor.isDown = true;
  await rig.run(SETTLE_MS);
  node.store.faults.lostAnswers = 0;
  await rig.run(SETTLE_MS);
  executor.isDown = false;
  rig.submit('job', [STEP], [node]);
  await rig.run(2 * SETTLE_MS);
  assert.is(rig.rows.get('job')?.phase, 'completed');
});

owner('reaches an executor that restarts at another IP', async () => {
  const {rig, node} = await startRig(1, takes(400));
  rig.executor('x0').restartAt('10.0.0.2', 1);
  rig.submit('job', [STEP], [node]);
  await rig.run(4 * SETTLE_MS);
  assert.is(rig.rows.get('job')?.phase, 'completed');
});

owner('acknowledges nothing at a new address before its list', async () => {
  const {rig, node} = await startRig(1, task => ({
    ms: task.startsWith('long') ? LONG_MS : 400,
    how: 'done',
  }));
  rig.submit('job', [STEP], [node]);
  await rig.run(SETTLE_MS);
  assert.is(rig.checker.isAcked('job.0.0.0'), true);
  rig.submit('long', [STEP], [node]);
  // The new address is read before a call to the old one has timed out.
  await rig.run(1400);
  rig.executor('x0').restartAt('', 2);
  await rig.run(SETTLE_MS);
  assert.is(rig.executor('x0').hasWrongAck, false);
  assert.is(rig.executor('x0').runs.size, 1);
});

owner('renews the lease of an idle executor that restarted', async () => {
  const {rig, node} = await startRig(1, takes(400));
  rig.executor('x0').restart();
  await rig.run(SETTLE_MS);
  rig.submit('job', [STEP], [node]);
  await rig.run(SETTLE_MS);
  const failures = rig.logLines.filter(line => line.includes('startFailed'));
  assert.equal(failures, []);
  assert.is(rig.rows.get('job')?.phase, 'completed');
});

owner('gives up an executor that restarts and falls silent', async () => {
  const {rig, node} = await startRig(2, takes(400));
  rig.executor('x0').restart();
  await rig.run(SETTLE_MS);
  rig.submit('job', [STEP], [node]);
  rig.executor('x0').isDisconnected = true;
  await rig.run(4 * SETTLE_MS);
  assert.equal(rig.checker.violations, []);
  assert.is(rig.rows.get('job')?.phase, 'completed');
});

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

owner('starts tasks soon after the process was frozen', async () => {
  const {rig, node} = await startRig(1, takes(LONG_MS));
  rig.onLog = event => {
    if (event !== 'startsDecided') return;
    rig.onLog = () => undefined;
    rig.clock.freeze(5000);
  };
  rig.submit('first', [STEP], [node]);
  await rig.run(1000);
  rig.submit('second', [STEP], [node]);
  await rig.run(1000);
  assert.is(rig.checker.starts, 2);
});

owner('shows no final phase that is not stored', async () => {
  const {rig, node} = await startRig(1, task => ({
    ms: task.endsWith('.0') ? 200 : 400,
    how: 'done',
  }));
  rig.submit('job', [{...STEP, count: 2}], [node]);
  await rig.run(100);
  node.store.faults.delayMs = 300;
  const {newest} = rig.memory.topic(PROGRESS_TOPIC);
  for (let i = 0; i < 400; i += 1) {
    await rig.run(5);
    if (rig.rows.get('job')?.phase !== 'completed') continue;
    const record = newest.get(`${PROGRESS_PREFIX}job`);
    assert.is(decodePhase(record?.value ?? new Uint8Array(0)), 'completed');
  }
  assert.is(rig.rows.get('job')?.phase, 'completed');
});

owner(
  'keeps the progress of a job whose record it could not delete',
  async () => {
    const {rig, node} = await startRig(1, takes(400));
    rig.submit('job', [STEP], [node]);
    await rig.run(SETTLE_MS);
    assert.is(rig.rows.get('job')?.phase, 'completed');
    node.store.faults.refusedTopics = 'keyed.jobs';
    await rig.run(FINAL_TTL_MS);
    rig.kill(node);
    const other = rig.newNode('v1');
    void rig.claim(other);
    await rig.run(2 * SETTLE_MS);
    assert.is(rig.checker.starts, 1);
  },
);

owner('deletes an expired job once the store takes it again', async () => {
  const {rig, node} = await startRig(1, takes(400));
  rig.submit('job', [STEP], [node]);
  node.store.faults.refusedTopics = 'keyed.jobs';
  await rig.run(FINAL_TTL_MS + 2 * SETTLE_MS);
  node.store.faults.refusedTopics = '';
  await rig.run(4 * SETTLE_MS);
  assert.is(rig.memory.topic(jobsTopicFor('job')).newest.size, 0);
  const {newest} = rig.memory.topic(PROGRESS_TOPIC);
  assert.is(newest.has(`${PROGRESS_PREFIX}job`), false);
});

owner.run();
