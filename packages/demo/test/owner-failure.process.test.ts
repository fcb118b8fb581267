/** A shard's owner is killed or paused, and the log service fails. */
import {setTimeout as sleep} from 'node:timers/promises';
import {promiseTest} from '@dragonflyward/common/promise-test';
import type {ShardState} from '@dragonflyward/state';
import {readShard, waitUntil} from '@dragonflyward/standins';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {countOutcome} from '../src/index.js';
import {Cell, shortJob, longJob, RECOVERY_TIMEOUT_MS} from './cell.js';

const SHARD = 'north-1';
const LONG_TASK_MS = 9_000;
const OUTAGE_MS = 4_000;
/** Longer than all leases and the maximum age of the configuration. */
const LONG_OUTAGE_MS = 8_000;

const owners = suite('owner failure');
const cell = new Cell();

owners.before(() => cell.start());
owners.after.each(() => cell.clearFaults());
owners.after(() => cell.stop());

async function waitUntilTermAfter(term: number): Promise<void> {
  await waitUntil(`a term after ${term}`, RECOVERY_TIMEOUT_MS, async () => {
    return (await cell.termOf(SHARD)) > term;
  });
}

async function shardWithSuccessors(
  count: number,
): Promise<ShardState | undefined> {
  const shard = await readShard(cell.rig.log, SHARD);
  return shard.successors.length === count ? shard : undefined;
}

/** Reads a shard whose owner may be lost: without a successor nobody claims. */
async function shardWithAllSuccessors(): Promise<{
  readonly owner: string;
  readonly term: number;
}> {
  const {owner, term} = await waitUntil(
    'two successors',
    RECOVERY_TIMEOUT_MS,
    () => shardWithSuccessors(2),
  );
  assert.ok(owner);
  return {owner: owner.vm, term};
}

async function restart(vm: string): Promise<void> {
  cell.rig.startRole('scheduler', vm);
  await cell.rig.waitUntilRoleReady('scheduler', vm);
}

promiseTest(owners, 'one-place', 'the owner is killed', async () => {
  const domain = SHARD;
  const long = await cell.submit(longJob(LONG_TASK_MS, {domain}));
  const nonIdempotent = await cell.submit(
    longJob(LONG_TASK_MS, {domain, isIdempotent: false}),
  );
  await cell.waitUntilRunning(long, 2);
  await cell.waitUntilRunning(nonIdempotent, 2);
  const load = cell.startLoad(20, {isIdempotent: false});
  const {owner, term} = await shardWithAllSuccessors();
  await cell.rig.kill('scheduler', owner);
  await waitUntilTermAfter(term);
  await cell.submit(shortJob({domain}));
  const results = await load.stop();
  assert.is(countOutcome(results, 'lost'), 0);
  await cell.checkPromises();
  await restart(owner);
});

promiseTest(
  owners,
  'one-place',
  'the owner and its first successor die together',
  async () => {
    const domain = SHARD;
    const long = await cell.submit(longJob(LONG_TASK_MS, {domain}));
    await cell.waitUntilRunning(long, 2);
    const shard = await waitUntil('two successors', RECOVERY_TIMEOUT_MS, () =>
      shardWithSuccessors(2),
    );
    const {owner, successors, term} = shard;
    assert.ok(owner && successors[0]);
    const dead = [owner.vm, successors[0].vm];
    await Promise.all(dead.map(vm => cell.rig.kill('scheduler', vm)));
    await waitUntilTermAfter(term);
    await cell.submit(shortJob({domain}));
    await cell.checkPromises();
    for (const vm of dead) await restart(vm);
  },
);

promiseTest(
  owners,
  'one-place',
  'the owner pauses past its lease and wakes, workers do not fence',
  async () => {
    const workers = cell.rig.targets.vms.filter(vm => vm.kind === 'worker');
    for (const {id} of workers) {
      await cell.rig.targets.setWorkerFaults(id, {fencing: false});
    }
    const domain = SHARD;
    const jobs = Array.from({length: 8}, () => longJob(LONG_TASK_MS, {domain}));
    const jobIds = await cell.submitAll(jobs);
    await cell.waitUntilRunning(jobIds[0] ?? '', 2);
    const {owner, term} = await shardWithAllSuccessors();
    cell.rig.pause('scheduler', owner);
    await waitUntilTermAfter(term);
    await cell.submit(shortJob({domain}));
    cell.rig.resume('scheduler', owner);
    await cell.submit(shortJob({domain}));
    await cell.checkPromises();
    for (const {id} of workers) {
      await cell.rig.targets.setWorkerFaults(id, {fencing: true});
    }
  },
);

owners('a log outage alone stops no requests and no tasks', async () => {
  const long = await cell.submit(longJob(LONG_TASK_MS));
  await cell.waitUntilRunning(long, 2);
  await cell.rig.setLogFaults({outage: true});
  const load = cell.startLoad(20);
  await sleep(LONG_OUTAGE_MS);
  const results = await load.stop();
  await cell.rig.setLogFaults({outage: false});
  assert.is(countOutcome(results, 'answered'), results.length);
  await cell.checkPromises();
});

promiseTest(
  owners,
  'one-place',
  'the owner dies in a log outage and nothing accepted is lost',
  async () => {
    const domain = SHARD;
    const long = await cell.submit(longJob(LONG_TASK_MS, {domain}));
    const nonIdempotent = await cell.submit(
      longJob(LONG_TASK_MS, {domain, isIdempotent: false}),
    );
    await cell.waitUntilRunning(long, 2);
    await cell.waitUntilRunning(nonIdempotent, 2);
    const {owner} = await shardWithAllSuccessors();
    await cell.rig.setLogFaults({outage: true});
    await cell.rig.kill('scheduler', owner);
    const load = cell.startLoad(20, {isIdempotent: false});
    await sleep(OUTAGE_MS);
    await cell.rig.setLogFaults({outage: false});
    const results = await load.stop();
    assert.is(countOutcome(results, 'lost'), 0);
    await cell.submit(shortJob({domain}));
    await cell.waitUntilServing();
    await cell.checkPromises();
    await restart(owner);
  },
);

promiseTest(
  owners,
  'not-run-true',
  'replies of the log are lost and a job still runs once',
  async () => {
    await cell.rig.setLogFaults({loseReplies: 10});
    const jobs = Array.from({length: 20}, (_, i) =>
      shortJob({isIdempotent: i % 2 === 0}),
    );
    await cell.submitAll(jobs);
    await cell.checkPromises();
    const {tasks} = await cell.rig.targets.records();
    const done = tasks.filter(run => run.end === 'succeeded');
    const taskIds = done.map(run => run.taskId.replace(/\.[^.]*$/, ''));
    assert.is(new Set(taskIds).size, taskIds.length, 'tasks that ended twice');
  },
);

promiseTest(
  owners,
  'not-run-true',
  'a job refused in a log outage never runs',
  async () => {
    await cell.rig.setLogFaults({outage: true});
    const job = shortJob();
    const res = await cell.caller.submit(cell.key.text, job, OUTAGE_MS);
    assert.is.not(res.outcome, 'answered');
    await cell.rig.setLogFaults({outage: false});
    const marker = await cell.submit(shortJob());
    await cell.checkPromises();
    const {tasks} = await cell.rig.targets.records();
    assert.ok(tasks.some(run => run.jobId === marker));
    const isRun = tasks.some(run => run.jobId.endsWith(`:${job.id}`));
    assert.is(isRun && res.outcome === 'refused', false);
  },
);

owners.run();
