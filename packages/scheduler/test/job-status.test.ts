/** The status of jobs whose starts are refused, lost or not answered. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {FakeWorker} from './fake-worker.js';
import {SHARD, SimulatedShard, type TestOwner} from './simulated-shard.js';

const RUN_MS = 600_000;
/** A job is placed by then, and its start is sent, in ms. */
const PLACED_MS = 300;

interface Submitted {
  readonly shard: SimulatedShard;
  readonly owner: TestOwner;
  readonly worker: FakeWorker;
}

async function submitTo(
  disturb: (worker: FakeWorker) => void,
): Promise<Submitted> {
  const shard = new SimulatedShard(1);
  const owner = await shard.takeOver();
  await shard.run(1000);
  const [worker] = shard.workers;
  if (worker === undefined) throw new Error('no worker');
  disturb(worker);
  const submitted = shard.submit(owner, 'job', RUN_MS, true);
  await shard.run(PLACED_MS);
  await submitted;
  return {shard, owner, worker};
}

function assertStatus(
  {owner}: Submitted,
  phase: string,
  running: number,
): void {
  const status = owner.owner.jobs.status(`${SHARD}:job`);
  assert.is(status.phase, phase);
  assert.is(status.tasksRunning, running);
}

const status = suite('a job is shown as running');

status('once a worker has answered its start', async () => {
  const submitted = await submitTo(worker => (worker.delayMs = 1000));
  assertStatus(submitted, 'waiting', 0);
  await submitted.shard.run(2000);
  assertStatus(submitted, 'running', 1);
  submitted.shard.end();
});

status('not while a worker does not answer', async () => {
  const submitted = await submitTo(worker => (worker.isSilent = true));
  await submitted.shard.run(1500);
  assertStatus(submitted, 'waiting', 0);
  submitted.shard.end();
});

status('once a worker lists the task of a lost answer', async () => {
  const submitted = await submitTo(worker => (worker.isReplyLost = true));
  assert.is(submitted.worker.starts, 1);
  assertStatus(submitted, 'waiting', 0);
  submitted.worker.isReplyLost = false;
  await submitted.shard.run(5000);
  assertStatus(submitted, 'running', 1);
  submitted.shard.end();
});

status('by a new owner that finds its task', async () => {
  const submitted = await submitTo(() => undefined);
  submitted.owner.ownership.isGiven = false;
  const owner = await submitted.shard.takeOver();
  await submitted.shard.run(5000);
  assertStatus({...submitted, owner}, 'running', 1);
  submitted.shard.end();
});

status.run();
