import {
  PackPolicy,
  PlacementPolicy,
  FairShareEngine,
  type PlacementRequest,
  type PlacementEngine,
  type PolicyJob,
  type PolicyTeam,
  type PolicyWorker,
  type WorkerState,
} from '@dragonflyward/policy';
import fc from 'fast-check';
import {promiseTest} from '@dragonflyward/common/promise-test';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  FC_SEED,
  RandomShard,
  shardPlan,
  type ShardPlan,
} from './random-shard.js';

const RUNS = 1_000;
const test = suite('engine properties');

type NewEngine = (firstTaskNumber: number) => PlacementEngine;

function runPlan(newEngine: NewEngine, plan: ShardPlan): void {
  const shard = new RandomShard(newEngine, plan);
  shard.run();
  const breaches = [...shard.audit.breaches, ...shard.breaches];
  if (breaches.length > 0) throw new Error(breaches.join('; '));
}

/**
 * Returns the first breach that random shards find in an engine that lacks a
 * check; empty if they find none.
 */
function findBreach(newEngine: NewEngine): string {
  const property = fc.property(shardPlan, plan => runPlan(newEngine, plan));
  const found = fc.check(property, {
    seed: FC_SEED,
    numRuns: RUNS,
    endOnFailure: true,
  });
  return found.failed ? String(found.errorInstance) : '';
}

promiseTest(
  test,
  'overcommit',
  'no promise is breached in any random shard',
  () => {
    const newEngine: NewEngine = n => new FairShareEngine({firstTaskNumber: n});
    fc.assert(
      fc.property(shardPlan, plan => runPlan(newEngine, plan)),
      {seed: FC_SEED, numRuns: RUNS, includeErrorInReport: true},
    );
  },
);

/** Chooses the first ready worker, whether or not it has room. */
class FirstWorkerPolicy extends PlacementPolicy {
  override choose(workers: Iterable<WorkerState>, request: PlacementRequest) {
    const [first] = [...workers].filter(
      ({worker}) => worker.condition === 'ready',
    );
    return first === undefined
      ? []
      : Array<WorkerState>(request.count).fill(first);
  }
}

test('without a check of room, capacity is passed', () => {
  const firstWorker = new FirstWorkerPolicy();
  const policies = {pack: firstWorker, spread: firstWorker, gang: firstWorker};
  const breach = findBreach(
    n => new FairShareEngine({firstTaskNumber: n, policies}),
  );
  assert.match(breach, 'passes capacity');
});

class UnlimitedEngine extends FairShareEngine {
  override setTeams(teams: readonly PolicyTeam[]): void {
    const most = Number.MAX_SAFE_INTEGER;
    const allowance = {cpuMilli: most, memMb: most, accel: most, slots: most};
    super.setTeams(teams.map(team => ({...team, allowance})));
  }
}

test('without a check of allowances, a limit is passed', () => {
  const breach = findBreach(n => new UnlimitedEngine({firstTaskNumber: n}));
  assert.match(breach, 'passes the limit');
});

class NoGangEngine extends FairShareEngine {
  override submit(job: PolicyJob): void {
    super.submit({...job, isGang: false});
  }
}

test('without gangs, some tasks of a gang run alone', () => {
  const breach = findBreach(n => new NoGangEngine({firstTaskNumber: n}));
  assert.match(breach, 'runs without');
});

// The policies for single tasks choose one worker at a time, also for a gang.
test('with a policy for single tasks, some tasks of a gang run alone', () => {
  const pack = new PackPolicy();
  const policies = {pack, spread: pack, gang: pack};
  const breach = findBreach(
    n => new FairShareEngine({firstTaskNumber: n, policies}),
  );
  assert.match(breach, 'runs without');
});

class NoAdoptionEngine extends FairShareEngine {
  override adopt(): void {
    // Ignores the tasks that an earlier owner started.
  }
}

test('without adoption, use is miscounted after a takeover', () => {
  const breach = findBreach(n => new NoAdoptionEngine({firstTaskNumber: n}));
  assert.match(breach, 'miscounted');
});

class FixedTaskNumberEngine extends FairShareEngine {
  constructor() {
    super({firstTaskNumber: 1});
  }
}

test('without own task numbers for each owner, an id is given twice', () => {
  assert.match(
    findBreach(() => new FixedTaskNumberEngine()),
    'given twice',
  );
});

class AlwaysReadyEngine extends FairShareEngine {
  override setWorker(worker: PolicyWorker): void {
    super.setWorker({...worker, condition: 'ready'});
  }
}

test('without a check of conditions, a leaving worker gets new tasks', () => {
  const breach = findBreach(n => new AlwaysReadyEngine({firstTaskNumber: n}));
  assert.match(breach, /starts on a (silent|leaving|unknown) worker/);
});

test.run();
