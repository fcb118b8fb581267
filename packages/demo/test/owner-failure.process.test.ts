/** A shard's owner dies or pauses, also while the log fails. */
import {setTimeout as sleep} from 'node:timers/promises';
import {promiseTest} from '@dragonflyward/common/promise-test';
import type {ShardState} from '@dragonflyward/state';
import {readShard, waitUntil} from '@dragonflyward/standins';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {countOutcome} from '../src/index.js';
import {Cell, jobOf, longJob, RECOVERY_BOUND_MS} from './cell.js';

const SHARD = 'north-1';
const LONG_MS = 9_000;
const OUTAGE_MS = 4_000;
/** Longer than every lease and the oldest configuration in use. */
const LONG_OUTAGE_MS = 8_000;

const owners = suite('owner failure');
const cell = new Cell();

owners.before(() => cell.start());
owners.after.each(() => cell.mend());
owners.after(() => cell.stop());

async function ownerOfShard(): Promise<string> {
  return waitUntil('an owner', RECOVERY_BOUND_MS, () => cell.ownerOf(SHARD));
}

async function untilTermAfter(term: number): Promise<void> {
  await waitUntil(`a term after ${term}`, RECOVERY_BOUND_MS, async () => {
    return (await cell.termOf(SHARD)) > term;
  });
}

async function shardWithSuccessors(
  count: number,
): Promise<ShardState | undefined> {
  const shard = await readShard(cell.rig.log, SHARD);
  return shard.successors.length === count ? shard : undefined;
}

async function restart(vm: string): Promise<void> {
  cell.rig.startRole('scheduler', vm);
  await cell.rig.untilRoleReady('scheduler', vm);
}

promiseTest(owners, 'one-place', 'the owner is killed', async () => {
  const domain = SHARD;
  const long = await cell.submit(longJob(LONG_MS, {domain}));
  const once = await cell.submit(
    longJob(LONG_MS, {domain, isIdempotent: false}),
  );
  await cell.untilRunning(long, 2);
  await cell.untilRunning(once, 2);
  const load = cell.startLoad(20, {isIdempotent: false});
  const owner = await ownerOfShard();
  const term = await cell.termOf(SHARD);
  await cell.rig.kill('scheduler', owner);
  await untilTermAfter(term);
  await cell.submit(jobOf({domain}));
  const results = await load.stop();
  assert.is(countOutcome(results, 'lost'), 0);
  await cell.judge();
  await restart(owner);
});

promiseTest(
  owners,
  'one-place',
  'the owner and its first successor die together',
  async () => {
    const domain = SHARD;
    const long = await cell.submit(longJob(LONG_MS, {domain}));
    await cell.untilRunning(long, 2);
    const shard = await waitUntil('two successors', RECOVERY_BOUND_MS, () =>
      shardWithSuccessors(2),
    );
    const {owner, successors, term} = shard;
    assert.ok(owner && successors[0]);
    const dead = [owner.vm, successors[0].vm];
    await Promise.all(dead.map(vm => cell.rig.kill('scheduler', vm)));
    await untilTermAfter(term);
    await cell.submit(jobOf({domain}));
    await cell.judge();
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
      await cell.rig.targets.switchWorker(id, {fencing: false});
    }
    const domain = SHARD;
    const jobs = Array.from({length: 8}, () => longJob(LONG_MS, {domain}));
    const jobIds = await cell.submitAll(jobs);
    await cell.untilRunning(jobIds[0] ?? '', 2);
    const owner = await ownerOfShard();
    const term = await cell.termOf(SHARD);
    cell.rig.pause('scheduler', owner);
    await untilTermAfter(term);
    await cell.submit(jobOf({domain}));
    cell.rig.resume('scheduler', owner);
    await cell.submit(jobOf({domain}));
    await cell.judge();
    for (const {id} of workers) {
      await cell.rig.targets.switchWorker(id, {fencing: true});
    }
  },
);

owners('a log outage alone stops no requests and no tasks', async () => {
  const long = await cell.submit(longJob(LONG_MS));
  await cell.untilRunning(long, 2);
  await cell.rig.switchLog({outage: true});
  const load = cell.startLoad(20);
  await sleep(LONG_OUTAGE_MS);
  const results = await load.stop();
  await cell.rig.switchLog({outage: false});
  assert.is(countOutcome(results, 'answered'), results.length);
  await cell.judge();
});

promiseTest(
  owners,
  'one-place',
  'the owner dies in a log outage and nothing accepted is lost',
  async () => {
    const domain = SHARD;
    const long = await cell.submit(longJob(LONG_MS, {domain}));
    const once = await cell.submit(
      longJob(LONG_MS, {domain, isIdempotent: false}),
    );
    await cell.untilRunning(long, 2);
    await cell.untilRunning(once, 2);
    const owner = await ownerOfShard();
    await cell.rig.switchLog({outage: true});
    await cell.rig.kill('scheduler', owner);
    const load = cell.startLoad(20, {isIdempotent: false});
    await sleep(OUTAGE_MS);
    await cell.rig.switchLog({outage: false});
    const results = await load.stop();
    assert.is(countOutcome(results, 'lost'), 0);
    await cell.submit(jobOf({domain}));
    await cell.untilServing();
    await cell.judge();
    await restart(owner);
  },
);

promiseTest(
  owners,
  'not-run-true',
  'replies of the log are lost and a job still runs once',
  async () => {
    await cell.rig.switchLog({loseReplies: 10});
    const jobs = Array.from({length: 20}, (_, i) =>
      jobOf({isIdempotent: i % 2 === 0}),
    );
    await cell.submitAll(jobs);
    await cell.judge();
    const {tasks} = await cell.rig.targets.records();
    const done = tasks.filter(run => run.end === 'succeeded');
    const slots = done.map(run => run.taskId.replace(/\.[^.]*$/, ''));
    assert.is(new Set(slots).size, slots.length, 'tasks that ended twice');
  },
);

promiseTest(
  owners,
  'not-run-true',
  'a job refused in a log outage never runs',
  async () => {
    await cell.rig.switchLog({outage: true});
    const job = jobOf();
    const res = await cell.caller.submit(cell.key.text, job, OUTAGE_MS);
    assert.is.not(res.outcome, 'answered');
    await cell.rig.switchLog({outage: false});
    const marker = await cell.submit(jobOf());
    await cell.judge();
    const {tasks} = await cell.rig.targets.records();
    assert.ok(tasks.some(run => run.jobId === marker));
    const isRun = tasks.some(run => run.jobId.endsWith(`:${job.id}`));
    assert.is(isRun && res.outcome === 'refused', false);
  },
);

owners.run();
