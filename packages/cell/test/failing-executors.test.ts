/** Executors that get no tasks for a while since runs have failed there. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {Behaviour} from './fake-executor.js';
import {QUEUE, Rig, STEP, type CellNode} from './rig.js';

const SETTLE_MS = 3000;
/** The platform's bounds from the end of a lasting run to the next one, in ms. */
const RESTART_MS = 9000;
/** The same for a task whose turn has come, in ms. */
const START_MS = 3000;
const LASTING = {
  ...STEP,
  isService: true,
  count: 6,
  size: {...STEP.size, cpuMilli: 100},
};

/** Lives of lasting runs: between 1 and 8 s, by their names. */
function livesMs(task: string, run: number): number {
  let hash = 7;
  for (const char of `${task}#${run}`) {
    hash = (hash * 31 + char.charCodeAt(0)) % 7001;
  }
  return 1000 + hash;
}

async function newCell(
  executors: number,
  behave: Behaviour,
): Promise<{readonly rig: Rig; readonly owner: CellNode}> {
  const rig = new Rig(executors, behave);
  const owner = rig.newNode('v0');
  void rig.claim(owner);
  await rig.run(SETTLE_MS);
  return {rig, owner};
}

const failing = suite('executors whose runs fail');

// Each was withheld for up to 8 s, since no lasting run ever completes.
failing('start lasting tasks again that fail at work', async () => {
  const {rig, owner} = await newCell(2, (task, run) => ({
    ms: livesMs(task, run),
    how: 'failed',
  }));
  rig.submit('job', [LASTING], [owner], {...QUEUE, maxAttempts: 1000});
  await rig.run(SETTLE_MS);
  const endedMs = new Map<string, number>();
  for (let passedMs = 0; passedMs < 120_000; passedMs += 100) {
    await rig.run(100);
    const nowMs = rig.clock.monotonicMs();
    for (let i = 0; i < LASTING.count; i += 1) {
      const task = `job.0.0.${i}`;
      const isRunning = rig.executors.some(({runs}) => runs.has(task));
      if (isRunning) endedMs.delete(task);
      else if (!endedMs.has(task)) endedMs.set(task, nowMs);
      const waitMs = nowMs - (endedMs.get(task) ?? nowMs);
      assert.ok(waitMs < RESTART_MS, `${task} waits for ${waitMs} ms`);
    }
  }
  assert.equal(rig.checker.violations, []);
});

// A job that fails wherever it runs stopped all others of the service.
failing('start other tasks if all of them are paused', async () => {
  const behave = (task: string): ReturnType<Behaviour> => ({
    ms: 100,
    how: task.startsWith('poison') ? 'failed' : 'done',
  });
  for (let ageMs = 1000; ageMs <= 12_000; ageMs += 1000) {
    const {rig, owner} = await newCell(2, behave);
    const queue = {...QUEUE, maxAttempts: 20};
    rig.submit('poison', [{...STEP, count: 4}], [owner], queue);
    await rig.run(ageMs);
    rig.submit('sound', [STEP], [owner]);
    await rig.run(START_MS);
    assert.is(rig.rows.get('sound')?.phase, 'completed', `after ${ageMs} ms`);
    assert.equal(rig.checker.violations, []);
  }
});

failing('get no tasks while others are sound', async () => {
  const {rig, owner} = await newCell(2, () => ({ms: 100, how: 'done'}));
  const state = owner.owner?.state;
  const x0 = state?.executors.get('x0');
  assert.ok(x0 !== undefined);
  x0.failedMs = rig.clock.monotonicMs();
  x0.pausedUntilMs = x0.failedMs + 8000;
  await rig.run(START_MS);
  const before = rig.executor('x0').inventories;
  rig.submit('job', [{...STEP, count: 3}], [owner]);
  await rig.run(1000);
  assert.is(rig.rows.get('job')?.phase, 'completed');
  assert.is(rig.executor('x0').inventories, before);
});

failing.run();
