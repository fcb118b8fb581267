import {promiseTest} from '@dragonflyward/common/promise-test';
import {ShardOwner, TakeoverGuard} from '@dragonflyward/scheduler';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  SimulatedShard,
  type OwnerMaker,
  type TestOwner,
} from './simulated-shard.js';

const SEED = 20261204;
const RUNS = 25;
const WORKERS = 3;
const SETTLE_MS = 120_000;

/** One fault in a random sequence of events. */
interface Fault {
  readonly kind: 'silent' | 'heal' | 'loseReplies' | 'delay' | 'takeOver';
  readonly worker: number;
  readonly afterMs: number;
}

interface History {
  readonly jobs: readonly {
    readonly runMs: number;
    readonly isIdempotent: boolean;
  }[];
  readonly faults: readonly Fault[];
}

const faultArb: fc.Arbitrary<Fault> = fc.record({
  kind: fc.constantFrom('silent', 'heal', 'loseReplies', 'delay', 'takeOver'),
  worker: fc.nat({max: WORKERS - 1}),
  afterMs: fc.integer({min: 50, max: 6_000}),
});
export const historyArb: fc.Arbitrary<History> = fc.record({
  jobs: fc.array(
    fc.record({
      runMs: fc.integer({min: 100, max: 30_000}),
      isIdempotent: fc.boolean(),
    }),
    {minLength: 1, maxLength: 16},
  ),
  faults: fc.array(faultArb, {maxLength: 12}),
});

/** Violations and unfinished jobs after a history. */
interface HistoryResult {
  readonly overcommits: number;
  readonly doubleRuns: number;
  readonly unfinished: number;
  readonly repeatedNonIdempotent: number;
}

async function applyFault(
  shard: SimulatedShard,
  testOwner: TestOwner,
  fault: Fault,
): Promise<TestOwner> {
  const worker = shard.workers[fault.worker];
  if (fault.kind === 'takeOver') {
    testOwner.ownership.isGiven = false;
    return shard.takeOver();
  }
  if (worker === undefined) return testOwner;
  if (fault.kind === 'silent') worker.isSilent = true;
  if (fault.kind === 'loseReplies') worker.isReplyLost = true;
  if (fault.kind === 'delay') worker.delayMs = 1_500;
  if (fault.kind === 'heal') heal(shard);
  return testOwner;
}

function heal(shard: SimulatedShard): void {
  for (const worker of shard.workers) {
    worker.isSilent = false;
    worker.isReplyLost = false;
    worker.delayMs = 0;
  }
}

export async function runHistory(
  history: History,
  make?: OwnerMaker,
): Promise<HistoryResult> {
  const shard = new SimulatedShard(WORKERS, make);
  let testOwner = await shard.takeOver();
  await shard.run(1_000);
  const submits = history.jobs.map(({runMs, isIdempotent}, i) =>
    shard.submit(testOwner, `j${i}`, runMs, isIdempotent),
  );
  await shard.run(500);
  await Promise.all(submits);
  for (const fault of history.faults) {
    testOwner = await applyFault(shard, testOwner, fault);
    await shard.run(fault.afterMs);
  }
  heal(shard);
  await shard.run(SETTLE_MS);
  const ends = history.jobs.map((_, i) => testOwner.owner.jobs.status(idOf(i)));
  const unfinished = ends.filter(status => status.end === null).length;
  const repeatedNonIdempotent = history.jobs.filter(
    ({isIdempotent}, i) => !isIdempotent && shard.startCountOf(`j${i}`) > 1,
  ).length;
  shard.end();
  const {overcommits, doubleRuns} = shard;
  return {overcommits, doubleRuns, unfinished, repeatedNonIdempotent};
}

function idOf(index: number): string {
  return `north-1:j${index}`;
}

const NO_VIOLATIONS: HistoryResult = {
  overcommits: 0,
  doubleRuns: 0,
  unfinished: 0,
  repeatedNonIdempotent: 0,
};

/** Never holds tasks back after a takeover. */
class GuardWithoutHold extends TakeoverGuard {
  override update(): boolean {
    this.isHoldOver = true;
    return true;
  }
}

class OwnerWithoutHold extends ShardOwner {
  protected override makeGuard(nowMs: number, leaseMs: number): TakeoverGuard {
    return new GuardWithoutHold(nowMs, leaseMs);
  }
}

const takeover = suite('takeover');

promiseTest(takeover, 'one-place', 'no task runs twice', async () => {
  await fc.assert(
    fc.asyncProperty(historyArb, async history => {
      assert.equal(await runHistory(history), NO_VIOLATIONS);
    }),
    {seed: SEED, numRuns: RUNS, endOnFailure: true},
  );
});

promiseTest(
  takeover,
  'one-place',
  'a task on a silent worker is held back until its lease ran out',
  async () => {
    const history: History = {
      jobs: [{runMs: 60_000, isIdempotent: true}],
      faults: [
        ...[0, 1, 2].map(worker => ({kind: 'silent', worker, afterMs: 50})),
        {kind: 'takeOver', worker: 0, afterMs: 1_000},
      ] as readonly Fault[],
    };
    const oneSilent = {...history, faults: keepFirstSilent(history.faults)};
    assert.equal(await runHistory(oneSilent), NO_VIOLATIONS);
    const withoutHold = await runHistory(
      oneSilent,
      parts => new OwnerWithoutHold(parts),
    );
    assert.ok(withoutHold.doubleRuns > 0, 'without the hold it runs twice');
  },
);

/** Keeps only the faults of the first worker, which runs the task. */
function keepFirstSilent(faults: readonly Fault[]): readonly Fault[] {
  return faults.filter(({kind, worker}) => kind !== 'silent' || worker === 0);
}

takeover.run();
