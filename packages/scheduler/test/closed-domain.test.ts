/** A closed failure domain: what starts, what waits and what goes on. */
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {SHARD, SimulatedShard, type TestOwner} from './simulated-shard.js';

const SEED = Number(process.env['CLOSED_SEED'] ?? 20261206);
const RUNS = 40;
const RUN_MS = 5_000;
const SETTLE_MS = 60_000;

async function newShard(
  workers = 1,
): Promise<readonly [SimulatedShard, TestOwner]> {
  const shard = new SimulatedShard(workers);
  const owner = await shard.takeOver();
  await shard.run(1_000);
  return [shard, owner];
}

function statusOf({owner}: TestOwner, name: string) {
  return owner.jobs.status(`${SHARD}:${name}`);
}

async function submit(
  shard: SimulatedShard,
  owner: TestOwner,
  name: string,
  isIdempotent = true,
  runMs = RUN_MS,
): Promise<void> {
  const submitted = shard.submit(owner, name, runMs, isIdempotent);
  await shard.run(300);
  await submitted;
}

const closed = suite('closed domain');

// Jobs were refused as never runnable if closed workers counted as leaving.
closed('starts nothing until it is opened', async () => {
  const [shard, owner] = await newShard();
  await submit(shard, owner, 'before');
  assert.is(shard.startCount, 1);
  shard.setClosed(true);
  await submit(shard, owner, 'after');
  await shard.run(RUN_MS);
  assert.is(statusOf(owner, 'before').end, 'succeeded');
  assert.match(statusOf(owner, 'after').reason, 'domain is closed');
  // Jobs that no worker could hold are set aside after 10 minutes.
  await shard.run(700_000);
  assert.is(statusOf(owner, 'after').phase, 'waiting');
  assert.is(shard.startCount, 1);
  shard.setClosed(false);
  await shard.run(RUN_MS + 1_000);
  assert.is(statusOf(owner, 'after').end, 'succeeded');
  assert.is(shard.startCount, 2);
  shard.end();
});

// Tasks outlive many leases; without renewals they would end as lapsed.
closed('renews leases, under a new owner too', async () => {
  const [shard, owner] = await newShard();
  await submit(shard, owner, 'long', false, 100_000);
  shard.setClosed(true);
  await shard.run(30_000);
  owner.ownership.isGiven = false;
  const next = await shard.takeOver();
  await submit(shard, next, 'after');
  await shard.run(80_000);
  assert.is(statusOf(next, 'long').end, 'succeeded');
  assert.is(statusOf(next, 'after').phase, 'waiting');
  assert.is(shard.startCount, 1);
  shard.end();
});

// The domain closes while the start of a task that must not run twice is being
// recorded. A second record is void, which once left the task waiting for good.
closed('holds back a start that was placed and recorded before', async () => {
  const [shard, owner] = await newShard();
  shard.log.latencyMs = 200;
  const submitted = shard.submit(owner, 'once', RUN_MS, false);
  await shard.run(250);
  await submitted;
  const {tasksRunning, reason} = statusOf(owner, 'once');
  assert.is(tasksRunning, 0);
  assert.match(reason, '1 placed');
  shard.setClosed(true);
  await shard.run(SETTLE_MS);
  assert.is(shard.startCount, 0);
  shard.setClosed(false);
  await shard.run(SETTLE_MS);
  assert.is(statusOf(owner, 'once').end, 'succeeded');
  assert.is(shard.startCount, 1);
  shard.end();
});

interface Step {
  readonly kind: 'toggle' | 'submit' | 'takeOver' | 'wait';
  readonly isIdempotent: boolean;
  readonly afterMs: number;
}

const STEP: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom('toggle', 'submit', 'takeOver', 'wait'),
  isIdempotent: fc.boolean(),
  afterMs: fc.integer({min: 50, max: 5_000}),
});

closed('starts nothing under any order of changes and owners', async () => {
  const property = fc.asyncProperty(
    fc.array(STEP, {minLength: 5, maxLength: 20}),
    async steps => {
      const [shard, first] = await newShard(2);
      let owner = first;
      let isClosed = false;
      const names: string[] = [];
      for (const {kind, isIdempotent, afterMs} of steps) {
        const before = shard.startCount;
        if (kind === 'toggle') shard.setClosed((isClosed = !isClosed));
        if (kind === 'takeOver') {
          owner.ownership.isGiven = false;
          owner = await shard.takeOver();
        }
        if (kind === 'submit') {
          const name = `j${names.length}`;
          names.push(name);
          await submit(shard, owner, name, isIdempotent);
        }
        await shard.run(afterMs);
        if (isClosed) assert.is(shard.startCount, before);
      }
      shard.setClosed(false);
      await shard.run(SETTLE_MS);
      for (const name of names) {
        assert.is(statusOf(owner, name).end, 'succeeded', name);
      }
      shard.end();
    },
  );
  await fc.assert(property, {seed: SEED, numRuns: RUNS});
});

closed.run();
