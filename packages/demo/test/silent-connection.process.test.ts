/** Open connections stop responding without closing; new ones work. */
import {setTimeout as sleep} from 'node:timers/promises';
import {promiseTest} from '@dragonflyward/common/promise-test';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {countOutcome} from '../src/index.js';
import {Cell, shortJob, longJob} from './cell.js';

const BEFORE_MS = 1_000;
const AFTER_MS = 4_000;

const silence = suite('silent connections');
const cell = new Cell();

silence.before(() => cell.start());
silence.after.each(() => cell.clearFaults());
silence.after(() => cell.stop());

silence('to the log service: requests and jobs go on', async () => {
  const load = cell.startLoad(20);
  await sleep(BEFORE_MS);
  await cell.rig.muteLogConnections();
  await cell.submitAll([shortJob(), shortJob(), shortJob()]);
  await sleep(AFTER_MS);
  const results = await load.stop();
  assert.is(countOutcome(results, 'answered'), results.length);
  await cell.checkPromises();
});

promiseTest(
  silence,
  'one-place',
  'to the workers: tasks run on and in one place',
  async () => {
    const jobs = Array.from({length: 6}, () => longJob(AFTER_MS));
    const [first = ''] = await cell.submitAll(jobs);
    await cell.waitUntilRunning(first, 1);
    await cell.rig.targets.muteConnections('worker');
    await cell.submitAll(Array.from({length: 6}, () => shortJob()));
    await cell.checkPromises();
  },
);

promiseTest(
  silence,
  'at-most-once',
  'to the executors: each request is answered, and no order twice',
  async () => {
    const load = cell.startLoad(20);
    const nonIdempotent = cell.startLoad(20, {isIdempotent: false});
    await sleep(BEFORE_MS);
    await cell.rig.targets.muteConnections('executor');
    await sleep(AFTER_MS);
    const results = await load.stop();
    assert.is(countOutcome(results, 'answered'), results.length);
    assert.is(countOutcome(await nonIdempotent.stop(), 'lost'), 0);
    await cell.checkPromises();
  },
);

silence.run();
