/** Tasks that crash the executors that start them. */
import {
  applyProgress,
  encodeProgress,
  newJobState,
  openOccurrence,
  tasksOf,
  type JobState,
  type TaskState,
} from '@dragonflyward/cell';
import {encode} from 'cbor-x';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {Behaviour, FakeExecutor} from './fake-executor.js';
import {QUEUE, Rig, STEP, type CellNode} from './rig.js';

const SETTLE_MS = 3000;
/** Longer than any number of crashes that the tests allow. */
const CRASHES_MS = 30_000;
const DEADLY = 'deadly';
const CRASH_DELAY_MS = 10;
/** Its tasks crash executors long after their start. */
const LATE = 'late';
const LONG = 'long';
const LONG_MS = 20_000;
const LASTING = 'lasting';
const LASTING_MS = 900_000;
/** Executors are cut off so soon after a start that no list shows the run. */
const CUT_AFTER_MS = 30;
const UNLISTED_AFTER_MS = 3500;
const CUT_MS = 4000;
/** The most starts of a task that crashes each executor as it starts. */
const MAX_CRASHES = 3;
/**
 * The same if it crashes them later. The platform lets it be started twice more
 * after three executors have crashed under it.
 */
const MAX_CRASHES_IN_ALL = 5;

/** Tasks of jobs whose name begins so crash executors; others take a while. */
function behave(task: string): ReturnType<Behaviour> {
  if (task.startsWith(DEADLY)) return {ms: CRASH_DELAY_MS, how: 'crash'};
  if (task.startsWith(LATE)) return {ms: 1500, how: 'crash'};
  if (task.startsWith(LASTING)) return {ms: LASTING_MS, how: 'done'};
  return {ms: task.startsWith(LONG) ? LONG_MS : 2000, how: 'done'};
}

/** Starts a rig with one owner that has reached all executors. */
async function startRig(
  executors: number,
): Promise<{readonly rig: Rig; readonly node: CellNode}> {
  const rig = new Rig(executors, behave);
  const node = rig.newNode('v0');
  void rig.claim(node);
  await rig.run(SETTLE_MS);
  return {rig, node};
}

function phaseOf(rig: Rig, job: string): string | undefined {
  return rig.rows.get(job)?.phase;
}

function newJob(): JobState {
  const repetition = {times: 1, firstMs: 0, intervalMs: 0};
  const spec = {payload: '', steps: [STEP], repetition};
  const queue = QUEUE;
  const job = {id: 'job', spec, queue, organisation: '', acceptedMs: 0};
  const state = newJobState(job);
  openOccurrence(state, 0);
  return state;
}

function apply(job: JobState, value: Uint8Array): void {
  applyProgress(job, value, index => openOccurrence(job, index));
}

function firstTask(job: JobState): TaskState {
  const [task] = tasksOf(job);
  assert.ok(task !== undefined);
  return task;
}

const crashes = suite('crashes of executors');

crashes('gives up a task that crashes executor after executor', async () => {
  const {rig, node} = await startRig(4);
  rig.submit(DEADLY, [STEP], [node]);
  await rig.run(CRASHES_MS);
  assert.is(phaseOf(rig, DEADLY), 'failed');
  assert.ok(rig.checker.startCount(`${DEADLY}.0.0.0`) <= MAX_CRASHES);
  assert.equal(rig.checker.violations, []);
});

crashes('completes tasks that ran beside one that crashed', async () => {
  const {rig, node} = await startRig(4);
  const jobs = ['a', 'b', 'c', 'd'];
  rig.submit(DEADLY, [STEP], [node]);
  for (const job of jobs) rig.submit(job, [{...STEP, count: 2}], [node]);
  rig.submit(`${DEADLY}-2`, [STEP], [node]);
  await rig.run(CRASHES_MS);
  assert.is(phaseOf(rig, DEADLY), 'failed');
  assert.is(phaseOf(rig, `${DEADLY}-2`), 'failed');
  for (const job of jobs) assert.is(phaseOf(rig, job), 'completed');
  assert.equal(rig.checker.violations, []);
});

crashes('gives up a task that crashes executors later', async () => {
  const {rig, node} = await startRig(4);
  rig.submit(LATE, [STEP], [node]);
  await rig.run(2 * CRASHES_MS);
  assert.is(phaseOf(rig, LATE), 'failed');
  assert.ok(rig.checker.startCount(`${LATE}.0.0.0`) <= MAX_CRASHES_IN_ALL);
});

// Each run shows that it is not the start that crashes its executor.
crashes('gives up no task whose executors crash after long runs', async () => {
  const {rig, node} = await startRig(4);
  rig.submit(LASTING, [STEP], [node]);
  for (let i = 0; i <= MAX_CRASHES_IN_ALL; i += 1) {
    await rig.run(2 * CRASHES_MS);
    const used = rig.executors.find(({runs}) => runs.size > 0);
    assert.ok(used !== undefined, `no run after ${i} crashes`);
    used.crash();
    await rig.run(SETTLE_MS);
    used.recover();
  }
  await rig.run(SETTLE_MS);
  assert.is(phaseOf(rig, LASTING), 'running');
});

crashes('gives up a task that crashes a VM that fails too', async () => {
  const {rig, node} = await startRig(1);
  rig.submit(LONG, [STEP], [node]);
  for (let i = 0; i < 2; i += 1) {
    await rig.run(SETTLE_MS);
    rig.executor('x0').crash();
    await rig.run(SETTLE_MS);
    rig.executor('x0').recover();
  }
  await rig.run(SETTLE_MS);
  rig.submit(DEADLY, [STEP], [node]);
  await rig.run(CRASHES_MS);
  assert.is(phaseOf(rig, DEADLY), 'failed');
  assert.ok(rig.checker.startCount(`${DEADLY}.0.0.0`) <= MAX_CRASHES + 1);
});

crashes('gives up a task whose starts are never answered', async () => {
  const {rig, node} = await startRig(4);
  for (const executor of rig.executors) executor.latencyMs = 2 * CRASH_DELAY_MS;
  rig.submit(DEADLY, [STEP], [node]);
  await rig.run(CRASHES_MS);
  assert.is(phaseOf(rig, DEADLY), 'failed');
  assert.ok(rig.checker.startCount(`${DEADLY}.0.0.0`) <= MAX_CRASHES + 1);
});

crashes('keeps the count of crashes across a change of owner', async () => {
  const {rig, node} = await startRig(4);
  rig.submit(DEADLY, [STEP], [node]);
  await rig.run(SETTLE_MS + 2000);
  rig.kill(node);
  const next = rig.newNode('v1');
  void rig.claim(next);
  await rig.run(CRASHES_MS);
  assert.is(phaseOf(rig, DEADLY), 'failed');
  assert.ok(rig.checker.startCount(`${DEADLY}.0.0.0`) <= MAX_CRASHES + 1);
});

crashes('gives up a service whose task crashes executors', async () => {
  const {rig, node} = await startRig(4);
  rig.submit(DEADLY, [{...STEP, isService: true}], [node]);
  await rig.run(CRASHES_MS);
  assert.is(phaseOf(rig, DEADLY), 'failed');
  assert.ok(rig.checker.startCount(`${DEADLY}.0.0.0`) <= MAX_CRASHES);
});

crashes('gives up a gang whose tasks crash executors', async () => {
  const {rig, node} = await startRig(6);
  const gang = {...STEP, isGang: true, count: 2, maxPerExecutor: 1};
  rig.submit(DEADLY, [gang], [node]);
  await rig.run(CRASHES_MS);
  assert.is(phaseOf(rig, DEADLY), 'failed');
  assert.ok(rig.checker.startCount(`${DEADLY}.0.0.0`) <= MAX_CRASHES);
});

// The platform lets a task be given up under which two executors have crashed.
crashes('gives up no gang whose tasks each lost one executor', async () => {
  const {rig, node} = await startRig(6);
  const gang = {...STEP, isGang: true, count: 3, maxPerExecutor: 1};
  rig.submit(LASTING, [gang], [node]);
  for (let i = 0; i < MAX_CRASHES; i += 1) {
    await rig.run(SETTLE_MS);
    const name = `${LASTING}.0.0.${i}`;
    const used = rig.executors.find(({runs}) => runs.has(name));
    assert.ok(used !== undefined, `${name} has no run`);
    used.crash();
    await rig.run(SETTLE_MS);
    used.recover();
    await rig.run(2 * SETTLE_MS);
  }
  assert.is(phaseOf(rig, LASTING), 'running');
});

crashes(
  'counts crashes of executors that come back under new ids',
  async () => {
    const {rig, node} = await startRig(8);
    const [a, b, c, d, ...spare] = rig.executors;
    [a, b, c, d].forEach((executor, i) => {
      const replacement = spare[i];
      assert.ok(executor !== undefined && replacement !== undefined);
      replacement.crash();
      executor.replacement = replacement;
    });
    await rig.run(2 * SETTLE_MS);
    rig.submit(DEADLY, [STEP], [node]);
    await rig.run(CRASHES_MS);
    assert.is(phaseOf(rig, DEADLY), 'failed');
    assert.ok(rig.checker.startCount(`${DEADLY}.0.0.0`) <= MAX_CRASHES);
  },
);

crashes('does not give up what one failing VM loses', async () => {
  const {rig, node} = await startRig(1);
  const jobs = Array.from({length: 6}, (_, i) => `job-${i}`);
  for (const job of jobs) {
    rig.submit(job, [STEP], [node]);
    await rig.run(500);
    rig.executor('x0').crash();
    await rig.run(SETTLE_MS);
    rig.executor('x0').recover();
    await rig.run(SETTLE_MS + 1000);
  }
  await rig.run(CRASHES_MS);
  for (const job of jobs) assert.is(phaseOf(rig, job), 'completed');
});

crashes('does not add up crashes of a service across owners', async () => {
  const {rig, node} = await startRig(8);
  rig.submit(LASTING, [{...STEP, isService: true}], [node]);
  let owner = node;
  for (let i = 0; i < MAX_CRASHES; i += 1) {
    await rig.run(SETTLE_MS);
    const next = rig.newNode(`w${i}`);
    void rig.handOver(owner, next);
    owner = next;
    await rig.run(2 * CRASHES_MS);
    const used = rig.executors.find(({runs}) => runs.size > 0);
    assert.ok(used !== undefined);
    used.crash();
    await rig.run(SETTLE_MS);
    used.recover();
  }
  await rig.run(SETTLE_MS);
  assert.is(phaseOf(rig, LASTING), 'running');
});

crashes('does not count the loss of an executor that drains', async () => {
  const {rig, node} = await startRig(4);
  rig.submit(LONG, [STEP], [node]);
  for (let i = 0; i < MAX_CRASHES; i += 1) {
    await rig.run(100);
    const used = rig.executors.find(({runs}) => runs.size > 0);
    assert.ok(used !== undefined);
    used.isDraining = true;
    await rig.run(1600);
    used.crash();
    await rig.run(8000);
  }
  await rig.run(LONG_MS);
  assert.is(phaseOf(rig, LONG), 'completed');
  assert.is(rig.logLines.filter(l => l.includes('executorCrashed')).length, 0);
});

crashes('does not count the loss of executors that are cut off', async () => {
  const {rig, node} = await startRig(4);
  rig.submit(LONG, [STEP], [node]);
  for (let i = 0; i < MAX_CRASHES; i += 1) {
    await rig.run(100);
    const used = rig.executors.find(({runs}) => runs.size > 0);
    assert.ok(used !== undefined);
    used.isDisconnected = true;
    await rig.run(2000);
    used.isUnlisted = true;
    await rig.run(10_000);
    used.isUnlisted = false;
    used.isDisconnected = false;
  }
  await rig.run(LONG_MS);
  assert.is(phaseOf(rig, LONG), 'completed');
  assert.is(rig.logLines.filter(l => l.includes('executorCrashed')).length, 0);
});

/** How an executor goes on that was cut off right after a start. */
const AFTER_CUTS = new Map<string, (executor: FakeExecutor) => void>([
  ['run on', () => undefined],
  ['start again behind the cut', executor => executor.restart()],
]);

// A job was shown as failed though its runs had only lost their leases.
for (const [how, goOn] of AFTER_CUTS) {
  for (const isService of [true, false]) {
    const kind = isService ? 'service' : 'task';
    crashes(
      `gives up no ${kind} whose executors are cut off and ${how}`,
      async () => {
        const {rig, node} = await startRig(6);
        rig.submit(LASTING, [{...STEP, isService}], [node]);
        const cutOff = new Set<FakeExecutor>();
        const cut = async (executor: FakeExecutor): Promise<void> => {
          await rig.clock.sleep(CUT_AFTER_MS);
          executor.isDisconnected = true;
          await rig.clock.sleep(UNLISTED_AFTER_MS);
          executor.isUnlisted = true;
          await rig.clock.sleep(CUT_MS);
          goOn(executor);
          executor.isUnlisted = false;
          executor.isDisconnected = false;
        };
        for (let passedMs = 0; passedMs < 2 * CRASHES_MS; passedMs += 5) {
          await rig.run(5);
          const used = rig.executors.find(each =>
            each.runs.has(`${LASTING}.0.0.0`),
          );
          if (used === undefined || cutOff.has(used) || cutOff.size > 3) {
            continue;
          }
          cutOff.add(used);
          void cut(used);
        }
        assert.is(cutOff.size, 4);
        assert.is(phaseOf(rig, LASTING), 'running');
        assert.equal(rig.checker.violations, []);
      },
    );
  }
}

crashes('gives up a task whose executors are down for long', async () => {
  const {rig, node} = await startRig(4);
  for (const each of rig.executors) each.crashDownMs = 9000;
  rig.submit(DEADLY, [STEP], [node]);
  await rig.run(2 * CRASHES_MS);
  assert.is(phaseOf(rig, DEADLY), 'failed');
  assert.ok(rig.checker.startCount(`${DEADLY}.0.0.0`) <= MAX_CRASHES);
});

crashes('stores the count of crashes, and reads records without it', () => {
  const crashed = newJob();
  const task = firstTask(crashed);
  task.crashedRuns = [1, 3];
  task.suspectedRuns = [3];
  const read = newJob();
  apply(read, encodeProgress(crashed));
  assert.equal(firstTask(read).crashedRuns, [1, 3]);
  assert.equal(firstTask(read).suspectedRuns, [3]);
  const row = [0, [2], 'saved'];
  const step = {occurrence: 0, step: 0, done: new Uint8Array(1)};
  const former = {...step, isDone: false, tasks: [row], failedGangRuns: []};
  apply(read, encode({phase: 'running', steps: [former]}));
  assert.equal(firstTask(read).failedRuns, [2]);
  assert.equal(firstTask(read).crashedRuns, []);
});

crashes.run();
