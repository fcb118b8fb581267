import {
  PackPolicy,
  PlacementPolicy,
  ShareEngine,
  type PlacementAsk,
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

function play(newEngine: NewEngine, plan: ShardPlan): void {
  const shard = new RandomShard(newEngine, plan);
  shard.play();
  const breaches = [...shard.audit.breaches, ...shard.breaches];
  if (breaches.length > 0) throw new Error(breaches.join('; '));
}

/** The breach that random shards find in an engine without a guard. */
function findBreach(newEngine: NewEngine): string {
  const plays = fc.property(shardPlan, plan => play(newEngine, plan));
  const found = fc.check(plays, {
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
    const newEngine: NewEngine = n => new ShareEngine({firstTaskNumber: n});
    fc.assert(
      fc.property(shardPlan, plan => play(newEngine, plan)),
      {seed: FC_SEED, numRuns: RUNS, includeErrorInReport: true},
    );
  },
);

/** Chooses any worker, whether or not it has room. */
class CarelessPolicy extends PlacementPolicy {
  override choose(workers: Iterable<WorkerState>, ask: PlacementAsk) {
    const [first] = [...workers].filter(
      ({worker}) => worker.condition === 'ready',
    );
    return first === undefined ? [] : Array<WorkerState>(ask.count).fill(first);
  }
}

test('without a check of room, capacity is passed', () => {
  const careless = new CarelessPolicy();
  const policies = {pack: careless, spread: careless, gang: careless};
  const breach = findBreach(
    n => new ShareEngine({firstTaskNumber: n, policies}),
  );
  assert.match(breach, 'passes capacity');
});

class UnlimitedEngine extends ShareEngine {
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

class PiecemealEngine extends ShareEngine {
  override submit(job: PolicyJob): void {
    super.submit({...job, isGang: false});
  }
}

test('without gangs, some tasks of a gang run alone', () => {
  const breach = findBreach(n => new PiecemealEngine({firstTaskNumber: n}));
  assert.match(breach, 'runs without');
});

/** Takes one worker at a time, also for a gang. */
test('with a policy for single tasks, some tasks of a gang run alone', () => {
  const pack = new PackPolicy();
  const policies = {pack, spread: pack, gang: pack};
  const breach = findBreach(
    n => new ShareEngine({firstTaskNumber: n, policies}),
  );
  assert.match(breach, 'runs without');
});

class ForgetfulEngine extends ShareEngine {
  override adopt(): void {
    // What an earlier owner started is not counted.
  }
}

test('without adoption, use is miscounted after a takeover', () => {
  const breach = findBreach(n => new ForgetfulEngine({firstTaskNumber: n}));
  assert.match(breach, 'miscounted');
});

class RepeatingEngine extends ShareEngine {
  constructor() {
    super({firstTaskNumber: 1});
  }
}

test('without own task numbers for each owner, an id is given twice', () => {
  assert.match(
    findBreach(() => new RepeatingEngine()),
    'given twice',
  );
});

class TrustingEngine extends ShareEngine {
  override setWorker(worker: PolicyWorker): void {
    super.setWorker({...worker, condition: 'ready'});
  }
}

test('without a check of conditions, a leaving worker gets new tasks', () => {
  const breach = findBreach(n => new TrustingEngine({firstTaskNumber: n}));
  assert.match(breach, /starts on a (silent|leaving|unknown) worker/);
});

test.run();
