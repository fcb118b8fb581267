/** Jobs that ended long ago and are deleted from the store. */
import {
  EXECUTOR_PREFIX,
  JOBS_TOPICS,
  PROGRESS_TOPIC,
  StoreError,
} from '@dragonflyward/cell';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Rig, STEP} from './rig.js';

const RUN_MS = 400;
/** Longer than a claim, a run of a task or a takeover takes, in ms. */
const SETTLE_MS = 20_000;
/** Time after which final jobs are deleted, and a margin, in ms. */
const EXPIRY_MS = 185_000;

const expiry = suite('expiry of jobs');

// The deletion takes several appends, and may end between them.
expiry('runs no job again that was half deleted', async () => {
  const rig = new Rig(1, () => ({ms: RUN_MS, how: 'done'}));
  const node = rig.newNode('v0');
  void rig.claim(node);
  await rig.run(SETTLE_MS);
  rig.submit('job', [STEP], [node]);
  await rig.run(SETTLE_MS);
  assert.is(rig.rows.get('job')?.phase, 'completed');
  const append = node.store.append.bind(node.store);
  node.store.append = (topic, ...rest) =>
    JOBS_TOPICS.includes(topic)
      ? Promise.reject(new StoreError('refused', topic))
      : append(topic, ...rest);
  await rig.run(EXPIRY_MS);
  rig.kill(node);
  void rig.claim(rig.newNode('v1'));
  await rig.run(SETTLE_MS);
  assert.equal(rig.checker.violations, []);
  assert.is(rig.checker.starts, 1);
});

// They stayed in the store and in the memory of each owner for good.
expiry('deletes jobs that ended under a former owner', async () => {
  const rig = new Rig(1, () => ({ms: RUN_MS, how: 'done'}));
  const first = rig.newNode('v0');
  void rig.claim(first);
  await rig.run(SETTLE_MS);
  for (const id of ['a', 'b', 'c']) rig.submit(id, [STEP], [first]);
  await rig.run(SETTLE_MS);
  rig.kill(first);
  const second = rig.newNode('v1');
  void rig.claim(second);
  await rig.run(SETTLE_MS);
  assert.is(second.owner?.state.jobs.size, 3);
  await rig.run(EXPIRY_MS);
  assert.is(second.owner?.state.jobs.size, 0);
  const topics = [...JOBS_TOPICS, PROGRESS_TOPIC];
  const keys = topics.flatMap(each => [
    ...rig.memory.topic(each).newest.keys(),
  ]);
  assert.equal(
    keys.filter(key => !key.startsWith(EXECUTOR_PREFIX)),
    [],
  );
});

expiry.run();
