/** Workers stop responding; executors leave or fail. */
import {setTimeout as sleep} from 'node:timers/promises';
import {promiseTest} from '@dragonflyward/common/promise-test';
import {waitUntil} from '@dragonflyward/standins';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {countOutcome, type RequestLoad} from '../src/index.js';
import {Cell, shortJob, longJob, RECOVERY_TIMEOUT_MS} from './cell.js';

const LONG_TASK_MS = 6_000;
/** How long requests are sent while an executor fails. */
const LOAD_DURATION_MS = 3_000;
/** How long a leaving target may still get new requests. */
const LEAVING_GRACE_MS = 5_000;
const AFTER_LEAVING_MS = 2_000;
const SHORT_SILENCE_MS = 300;

const targets = suite('target failure');
const cell = new Cell();

targets.before(() => cell.start());
targets.after.each(() => cell.clearFaults());
targets.after(() => cell.stop());

async function expectNothingNew(executor: string): Promise<void> {
  await sleep(LEAVING_GRACE_MS);
  const before = await cell.rig.targets.requestsOf(executor);
  await sleep(AFTER_LEAVING_MS);
  const after = await cell.rig.targets.requestsOf(executor);
  assert.is(after.length, before.length, 'new requests to a leaving executor');
}

async function waitUntilUsed(executor: string): Promise<void> {
  await waitUntil(`${executor} is used`, RECOVERY_TIMEOUT_MS, async () => {
    return (await cell.rig.targets.requestsOf(executor)).length > 0;
  });
}

async function expectAllAnswered(load: RequestLoad): Promise<void> {
  const results = await load.stop();
  assert.is(countOutcome(results, 'answered'), results.length);
}

promiseTest(
  targets,
  'leaving-target',
  'an executor that the list shows as leaving gets nothing new',
  async () => {
    const load = cell.startLoad(60);
    await waitUntilUsed('executor-1');
    await cell.rig.changeVmList({leaving: ['executor-1']});
    await expectNothingNew('executor-1');
    await expectAllAnswered(load);
    await cell.rig.changeVmList({set: [cell.rig.targets.findVm('executor-1')]});
  },
);

promiseTest(
  targets,
  'leaving-target',
  'an executor that says it is draining gets nothing new',
  async () => {
    const load = cell.startLoad(60);
    await waitUntilUsed('executor-2');
    await cell.rig.targets.setExecutorFaults('executor-2', {draining: true});
    await expectNothingNew('executor-2');
    await expectAllAnswered(load);
    await cell.rig.targets.setExecutorFaults('executor-2', {draining: false});
  },
);

promiseTest(
  targets,
  'at-most-once',
  'an executor answers nothing, and its requests run no second time',
  async () => {
    await cell.rig.targets.setExecutorFaults('executor-3', {blackhole: true});
    const load = cell.startLoad(40, {isIdempotent: false, deadlineMs: 2_000});
    await sleep(LOAD_DURATION_MS);
    const results = await load.stop();
    assert.is(countOutcome(results, 'lost'), 0);
    await cell.rig.targets.setExecutorFaults('executor-3', {blackhole: false});
    await cell.checkPromises();
  },
);

promiseTest(
  targets,
  'whole-answer',
  'an executor cuts its answers off and callers get whole ones',
  async () => {
    await cell.rig.targets.setExecutorFaults('executor-4', {cutBody: true});
    const load = cell.startLoad(40);
    await sleep(LOAD_DURATION_MS);
    const results = await load.stop();
    assert.is(countOutcome(results, 'lost'), 0);
    await cell.rig.targets.setExecutorFaults('executor-4', {cutBody: false});
  },
);

promiseTest(
  targets,
  'whole-answer',
  'an executor gives pairs of requests the answers of each other',
  async () => {
    await cell.rig.targets.setExecutorFaults('executor-5', {swap: true});
    const load = cell.startLoad(40);
    await sleep(LOAD_DURATION_MS);
    const results = await load.stop();
    assert.is(countOutcome(results, 'lost'), 0);
  },
);

promiseTest(
  targets,
  'one-place',
  'a worker falls silent past its leases and comes back',
  async () => {
    const jobs = Array.from({length: 12}, () => longJob(LONG_TASK_MS));
    const jobIds = await cell.submitAll(jobs);
    await cell.waitUntilRunning(jobIds[0] ?? '', 1);
    await cell.rig.targets.setWorkerFaults('worker-1', {silent: true});
    await cell.submitAll([shortJob(), shortJob(), shortJob()]);
    await cell.checkPromises();
    await cell.rig.targets.setWorkerFaults('worker-1', {silent: false});
    await cell.submitAll(Array.from({length: 24}, () => shortJob()));
    await cell.checkPromises();
  },
);

promiseTest(
  targets,
  'one-place',
  'a worker falls silent for a moment while tasks are started',
  async () => {
    const submitted = cell.submitAll(
      Array.from({length: 12}, () => longJob(LONG_TASK_MS)),
    );
    await cell.rig.targets.setWorkerFaults('worker-2', {silent: true});
    await sleep(SHORT_SILENCE_MS);
    await cell.rig.targets.setWorkerFaults('worker-2', {silent: false});
    await submitted;
    await cell.checkPromises();
  },
);

targets('a worker fails everything it starts and jobs still end', async () => {
  await cell.rig.targets.setWorkerFaults('worker-2', {failAll: true});
  await cell.submitAll(Array.from({length: 12}, () => shortJob()));
  await cell.checkPromises();
  await cell.rig.targets.setWorkerFaults('worker-2', {failAll: false});
});

targets.run();
