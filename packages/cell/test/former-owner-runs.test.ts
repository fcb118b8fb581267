/** What a new owner starts while an executor of the former one is unreached. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {EXECUTOR_PREFIX, PROGRESS_TOPIC, tasksOf} from '@dragonflyward/cell';
import {encode} from 'cbor-x';
import type {FakeExecutor} from './fake-executor.js';
import {CONFIG, Rig, STEP, type CellNode} from './rig.js';

const LONG_RUN_MS = 600_000;
const SETTLE_MS = 3000;
/** Time from the death of an owner to the claim of the next one, in ms. */
const CLAIM_DELAY_MS = 900;
/** By then, a former owner that has not surely stopped starts nothing. */
const START_LEASE_END_MS = 2000;
/** Long enough to list an end, to pause after a failure and to start, in ms. */
const RESTART_MS = 2000;
/** The longest lease that a former owner gives, and some time to start, in ms. */
const LEASE_WAIT_MS = 8000;
/** How long an owner that is not connected to every VM acts, in ms. */
const UNCONNECTED_WAIT_MS = 3000;
/** By then, an executor that has restarted is listed and used again, in ms. */
const LISTED_MS = 2000;
const LASTING = {...STEP, isService: true};
const SPREAD = {...LASTING, count: 4, maxPerExecutor: 1};
/** Allows as much as one SPREAD step. */
const LIMITED = {
  ...CONFIG,
  organisations: [
    {
      name: '',
      weight: 1,
      limit: {cpuMilli: 4000, memMb: 0, accel: 0, slots: 0},
    },
  ],
};

function disconnect(executor: FakeExecutor): void {
  executor.isDisconnected = true;
}

/** A new owner that cannot reach x1, on which the former one ran tasks. */
async function takeOver(
  steps: readonly (typeof STEP)[],
  {config = CONFIG, claimant = 'v1', lose = disconnect, ageMs = SETTLE_MS} = {},
): Promise<{readonly rig: Rig; readonly node: CellNode}> {
  const rig = new Rig(4, () => ({ms: LONG_RUN_MS, how: 'failed'}), config);
  const former = rig.newNode('v0');
  void rig.claim(former);
  await rig.run(ageMs);
  rig.submit('early', steps, [former]);
  await rig.run(SETTLE_MS);
  assert.is(rig.executor('x1').runs.size, 1);
  lose(rig.executor('x1'));
  rig.kill(former);
  await rig.run(CLAIM_DELAY_MS);
  const node = rig.newNode(claimant);
  void rig.claim(node);
  await rig.run(START_LEASE_END_MS);
  return {rig, node};
}

/** Ends the run of a task on an executor. */
function endRun(rig: Rig, executorId: string): string {
  const [run] = rig.executor(executorId).runs.values();
  assert.ok(run);
  run.endsMs = rig.clock.monotonicMs();
  return run.task;
}

function countRuns(rig: Rig, task: string): number {
  return rig.executors.filter(({runs}) => runs.has(task)).length;
}

function countAllRuns(rig: Rig): number {
  return rig.executors.reduce((sum, {runs}) => sum + runs.size, 0);
}

/** The most runs at one time, while time passes. */
async function mostRuns(rig: Rig, ms: number): Promise<number> {
  let most = 0;
  for (let passedMs = 0; passedMs < ms; passedMs += 50) {
    await rig.run(50);
    most = Math.max(most, countAllRuns(rig));
  }
  return most;
}

const formerRuns = suite('runs of a former owner');

formerRuns('restarts a task that it has seen running elsewhere', async () => {
  const {rig} = await takeOver([SPREAD]);
  const task = endRun(rig, 'x2');
  await rig.run(RESTART_MS);
  assert.is(countRuns(rig, task), 1);
  assert.equal(rig.checker.violations, []);
});

formerRuns('restarts a task that an executor lost', async () => {
  const {rig} = await takeOver([SPREAD]);
  const [task = ''] = rig.executor('x2').runs.keys();
  rig.executor('x2').restart();
  await rig.run(RESTART_MS);
  assert.is(countRuns(rig, task), 1);
  assert.equal(rig.checker.violations, []);
});

formerRuns('starts a job that was accepted after the takeover', async () => {
  const {rig, node} = await takeOver([SPREAD]);
  rig.submit('late', [LASTING], [node]);
  await rig.run(RESTART_MS);
  assert.is(countRuns(rig, 'late.0.0.0'), 1);
});

formerRuns('starts a step whose dependency ended here', async () => {
  const gate = {...SPREAD, isService: false};
  const rig = new Rig(4, task => ({
    ms: LONG_RUN_MS,
    how: task.startsWith('early.0.0') ? 'done' : 'failed',
  }));
  const former = rig.newNode('v0');
  void rig.claim(former);
  await rig.run(SETTLE_MS);
  rig.submit(
    'early',
    [
      {...gate, count: 3},
      {...STEP, after: [0]},
    ],
    [former],
  );
  await rig.run(SETTLE_MS);
  const idle = rig.executors.find(({runs}) => runs.size === 0);
  assert.ok(idle);
  idle.isDisconnected = true;
  rig.kill(former);
  await rig.run(CLAIM_DELAY_MS);
  void rig.claim(rig.newNode('v1'));
  await rig.run(START_LEASE_END_MS);
  for (const {id} of rig.executors) if (id !== idle.id) endRun(rig, id);
  await rig.run(RESTART_MS);
  assert.is(countRuns(rig, 'early.0.1.0'), 1);
});

// A former owner may still run it there.
formerRuns('does not start a task that nobody lists', async () => {
  const {rig} = await takeOver([SPREAD]);
  const [task = ''] = rig.executor('x1').runs.keys();
  await rig.run(RESTART_MS);
  assert.is(countRuns(rig, task), 1);
  assert.ok(rig.executor('x1').runs.has(task));
  assert.equal(rig.checker.violations, []);
});

// The next process of the former owner's VM knows that the former one stopped.
for (const claimant of ['v0', 'v1']) {
  formerRuns(
    `counts tasks that may run towards the limit, as ${claimant}`,
    async () => {
      const {rig, node} = await takeOver([SPREAD], {config: LIMITED, claimant});
      rig.submit('late', [LASTING], [node]);
      await rig.run(RESTART_MS);
      assert.is(countRuns(rig, 'late.0.0.0'), 0);
    },
  );
}

// The owner before the former one still acts when the former one has stopped.
formerRuns('waits for each owner that may still act', async () => {
  const rig = new Rig(4, () => ({ms: LONG_RUN_MS, how: 'failed'}));
  const first = rig.newNode('v0');
  void rig.claim(first);
  await rig.run(SETTLE_MS);
  rig.submit('early', [{...SPREAD, count: 3}], [first]);
  await rig.run(SETTLE_MS);
  assert.is(rig.executor('x1').runs.size, 1);
  // From now on, only the first owner reaches x1, and nothing else.
  first.store.faults.isRefusing = true;
  for (const id of ['x0', 'x2', 'x3']) first.unreachable.add(id);
  await rig.run(CLAIM_DELAY_MS);
  const second = rig.newNode('v1');
  second.unreachable.add('x1');
  void rig.claim(second);
  await rig.run(200);
  rig.kill(second);
  const third = rig.newNode('v1');
  third.unreachable.add('x1');
  void rig.claim(third);
  await rig.run(30_000);
  assert.equal(rig.checker.violations, []);
  assert.is(rig.checker.starts > 3, true);
});

/** Longest executor lease and the claim's delay, without an owner's lease. */
const STOPPED_WAIT_MS = 12_000;

// The former owner was killed; its VM starts a new process, which connects.
formerRuns('waits less once the former process has ended', async () => {
  const {rig, node} = await takeOver([{...SPREAD, count: 3}]);
  const [task = ''] = rig.executor('x1').runs.keys();
  rig.executor('x1').restart();
  rig.executor('x1').isDown = true;
  const process = {vm: 'v0', ip: '', port: 0};
  const {ownership} = node;
  assert.is(ownership?.recordProcess({...process, incarnation: 1}), false);
  assert.is(
    ownership?.recordProcess({...process, vm: 'v2', incarnation: 9}),
    false,
  );
  assert.is(ownership?.recordProcess({...process, incarnation: 9}), true);
  await rig.run(STOPPED_WAIT_MS);
  assert.is(countRuns(rig, task), 1);
  assert.equal(rig.checker.violations, []);
});

// The lease of a former owner is 6 s, and its executor has not restarted.
formerRuns(
  'waits no longer than the leases of a crashed executor',
  async () => {
    let task = '';
    const {rig} = await takeOver([{...SPREAD, count: 3}], {
      claimant: 'v0',
      ageMs: 21_000,
      lose: executor => {
        [task = ''] = executor.runs.keys();
        executor.crash();
      },
    });
    await rig.run(LEASE_WAIT_MS - START_LEASE_END_MS);
    assert.is(countRuns(rig, task), 1);
    assert.equal(rig.checker.violations, []);
  },
);

// The former owner may act on, and is not connected to every VM.
formerRuns('waits no longer than an unconnected owner acts', async () => {
  const {rig} = await takeOver([{...SPREAD, count: 3}], {ageMs: 21_000});
  const [task = ''] = rig.executor('x1').runs.keys();
  await rig.run(UNCONNECTED_WAIT_MS + LEASE_WAIT_MS - START_LEASE_END_MS);
  assert.is(countRuns(rig, task), 1);
  assert.is(rig.executor('x1').runs.has(task), false);
  assert.equal(rig.checker.violations, []);
});

formerRuns('says which executors it waits for', async () => {
  const {rig} = await takeOver([{...SPREAD, count: 3}]);
  await rig.run(5000);
  const lines = rig.logLines.filter(l => l.includes(' v1 formerRunsUnknown '));
  assert.match(lines.at(-1) ?? '', /"executors":1,"executorIds":\["x1"\]/);
  const [, leftMs = ''] = /"atMostMs":(\d+)/.exec(lines.at(-1) ?? '') ?? [];
  assert.ok(Number(leftMs) > 0 && Number(leftMs) <= LEASE_WAIT_MS, leftMs);
  await rig.run(30_000);
  const all = rig.logLines.filter(l => l.includes(' v1 formerRunsUnknown '));
  assert.ok(all.length <= 4, `${all.length} lines`);
});

// After a restart, a lease may be as long as executors grant.
formerRuns('waits longer for an executor that has restarted', async () => {
  const rig = new Rig(4, () => ({ms: LONG_RUN_MS, how: 'failed'}));
  // The lost task has room on no other executor before x1 is listed again.
  rig.executor('x3').isDraining = true;
  const former = rig.newNode('v0');
  void rig.claim(former);
  await rig.run(21_000);
  rig.submit('early', [{...SPREAD, count: 3}], [former]);
  await rig.run(SETTLE_MS);
  assert.is(rig.executor('x1').runs.size, 1);
  // Leaves only the executor that restarts to the task that it loses.
  rig.executor('x3').isDraining = true;
  await rig.run(SETTLE_MS);
  rig.executor('x1').restart();
  await rig.run(LISTED_MS);
  assert.is(rig.executor('x1').runs.size, 1);
  rig.executor('x3').isDraining = false;
  rig.executor('x1').isDisconnected = true;
  rig.executor('x3').isDraining = false;
  rig.kill(former);
  await rig.run(100);
  void rig.claim(rig.newNode('v0'));
  await rig.run(30_000);
  assert.equal(rig.checker.violations, []);
  assert.is(rig.checker.starts, 5);
});

// The new process knows no token, and the former owner may start tasks there.
formerRuns('waits for an executor that restarts in the meantime', async () => {
  const rig = new Rig(4, () => ({ms: LONG_RUN_MS, how: 'failed'}));
  const first = rig.newNode('v0');
  void rig.claim(first);
  await rig.run(SETTLE_MS);
  // Its start lease has just begun.
  while (first.ownership?.isConfirmedWithin(20) !== true) await rig.run(10);
  first.store.faults.isRefusing = true;
  rig.executor('x1').crash();
  await rig.run(100);
  const second = rig.newNode('v1');
  void rig.claim(second);
  await rig.run(100);
  second.unreachable.add('x1');
  rig.executor('x1').recover();
  for (const id of ['x0', 'x2', 'x3']) first.unreachable.add(id);
  await rig.run(50);
  rig.submit('early', [SPREAD], [first, second]);
  await rig.startAfterRestart(first, 'x1');
  assert.is(rig.executor('x1').runs.size, 1);
  await rig.run(30_000);
  assert.equal(rig.checker.violations, []);
});

// The former owner's run of a cancelled job uses the limit until it ends.
formerRuns('counts runs of cancelled jobs towards the limit', async () => {
  const rig = new Rig(4, () => ({ms: LONG_RUN_MS, how: 'failed'}), LIMITED);
  const former = rig.newNode('v0');
  void rig.claim(former);
  await rig.run(SETTLE_MS);
  rig.submit('early', [SPREAD], [former]);
  await rig.run(SETTLE_MS);
  assert.is(rig.executor('x1').runs.size, 1);
  rig.executor('x1').isDisconnected = true;
  rig.kill(former);
  rig.cancel('early', []);
  await rig.run(CLAIM_DELAY_MS);
  const node = rig.newNode('v1');
  void rig.claim(node);
  await rig.run(START_LEASE_END_MS);
  rig.submit('late', [{...LASTING, count: 4}], [node]);
  assert.ok((await mostRuns(rig, LEASE_WAIT_MS)) <= 4);
  await rig.run(UNCONNECTED_WAIT_MS);
  assert.is(countAllRuns(rig), 4);
  assert.equal(rig.checker.violations, []);
});

const MOVED_IP = '10.0.0.9';

/**
 * An owner with x1 at a new address; another executor answers at the old one.
 * x4 is down and could take the place of x1.
 */
async function moveExecutor(
  answerMs: number,
): Promise<{readonly rig: Rig; readonly former: CellNode}> {
  const rig = new Rig(5, () => ({ms: LONG_RUN_MS, how: 'failed'}));
  rig.executor('x4').crash();
  const former = rig.newNode('v0');
  void rig.claim(former);
  await rig.run(SETTLE_MS);
  rig.submit('first', [SPREAD], [former]);
  await rig.run(SETTLE_MS);
  rig.executor('x1').formerAddressAnswerMs = answerMs;
  rig.executor('x1').restartAt(MOVED_IP, 1);
  return {rig, former};
}

formerRuns('finds the runs of an executor that has moved', async () => {
  const {rig, former} = await moveExecutor(Infinity);
  await rig.run(2 * SETTLE_MS);
  const [task = ''] = rig.executor('x1').runs.keys();
  assert.is.not(task, '');
  rig.executor('x1').isUnlisted = true;
  rig.executor('x4').recover();
  await rig.run(SETTLE_MS);
  rig.executor('x1').formerAddressAnswerMs = 10;
  rig.kill(former);
  await rig.run(CLAIM_DELAY_MS);
  void rig.claim(rig.newNode('v1'));
  await rig.run(LEASE_WAIT_MS);
  assert.equal(rig.checker.violations, []);
  assert.ok(rig.executor('x1').runs.has(task));
});

formerRuns('gives no order at a new address before it is stored', async () => {
  const {rig, former} = await moveExecutor(10);
  former.store.faults.refusedTopics = PROGRESS_TOPIC;
  const movedBefore = rig.executor('x1').inventories;
  await rig.run(2 * SETTLE_MS);
  assert.is(rig.executor('x1').inventories, movedBefore);
  assert.is(rig.executor('x1').runs.size, 0);
  former.store.faults.refusedTopics = '';
  await rig.run(2 * SETTLE_MS);
  assert.is(rig.executor('x1').runs.size, 1);
});

// Where only an older address is stored, the lease of the run must expire.
formerRuns('waits for an executor whose address was reused', async () => {
  const {rig, former} = await moveExecutor(10);
  await rig.run(2 * SETTLE_MS);
  const [task = ''] = rig.executor('x1').runs.keys();
  assert.is.not(task, '');
  rig.executor('x1').isUnlisted = true;
  rig.executor('x4').recover();
  await rig.run(SETTLE_MS);
  rig.kill(former);
  const key = `${EXECUTOR_PREFIX}x1`;
  const value = encode(rig.executor('x1').info);
  rig.memory.append(PROGRESS_TOPIC, [{key, value}], {});
  await rig.run(CLAIM_DELAY_MS);
  void rig.claim(rig.newNode('v1'));
  await rig.run(UNCONNECTED_WAIT_MS + LEASE_WAIT_MS);
  assert.equal(rig.checker.violations, []);
  assert.is(countRuns(rig, task), 1);
  const lines = rig.logLines.filter(l => l.includes(' v1 executorReplaced '));
  assert.is(lines.length, 1);
});

formerRuns('ignores a late answer of a former address', async () => {
  const {rig, former} = await moveExecutor(6000);
  rig.cancel('first', [former]);
  await rig.run(SETTLE_MS);
  rig.submit('second', [SPREAD], [former]);
  await rig.run(1000);
  assert.is(rig.executor('x1').runs.size, 1);
  rig.executor('x4').recover();
  await rig.run(2 * SETTLE_MS);
  assert.is(rig.executor('x1').runs.size, 1);
  assert.is(countAllRuns(rig), 4);
  assert.equal(rig.checker.violations, []);
});

// A term has no last run number: those of the next term may be taken.
formerRuns('tells its runs from those with higher numbers', async () => {
  const rig = new Rig(4, () => ({ms: LONG_RUN_MS, how: 'failed'}));
  const former = rig.newNode('v0');
  void rig.claim(former);
  await rig.run(SETTLE_MS);
  rig.submit('early', [{...SPREAD, count: 3}], [former]);
  const job = former.owner?.state.jobs.get('early');
  assert.ok(job);
  for (const task of tasksOf(job)) task.run = 1500;
  await rig.run(SETTLE_MS);
  const source = rig.executors.find(({runs}) => runs.size > 0);
  assert.ok(source);
  // Its end stays listed, since it cannot be stored.
  former.store.faults.isRefusing = true;
  const task = endRun(rig, source.id);
  await rig.run(1000);
  const holder = rig.executors.find(({runs}) => runs.has(task));
  assert.ok(holder);
  assert.is.not(holder, source);
  holder.isDisconnected = true;
  rig.kill(former);
  await rig.run(CLAIM_DELAY_MS);
  void rig.claim(rig.newNode('v1'));
  await rig.run(2 * LEASE_WAIT_MS);
  assert.equal(rig.checker.violations, []);
  assert.is(countRuns(rig, task), 1);
});

formerRuns.run();
