import {
  AGEING_STEP_MS,
  MAX_HOLD_MS,
  Replay,
  FairShareEngine,
  type FairShareFeatures,
  type Trace,
  type TraceJobGroup,
} from '@dragonflyward/policy';
import type {Resources} from '@dragonflyward/common';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {FC_SEED} from './random-shard.js';

const RUNS = 24;
const LONGEST_RUN_MS = 8_000;
const TRACE_MS = 300_000;
/**
 * A job waits until ageing has raised it to the highest priority, then at most
 * for one hold that expires and one that succeeds, and for the tasks that are
 * running by then.
 */
const MAX_WAIT_MS = 2 * AGEING_STEP_MS + 2 * MAX_HOLD_MS + LONGEST_RUN_MS;

const test = suite('starvation');
const WORKER_CAPACITY: Resources = {
  cpuMilli: 8_000,
  memMb: 16_384,
  accel: 0,
  slots: 0,
};
const UNLIMITED = {cpuMilli: 1e9, memMb: 1e9, accel: 1e9, slots: 1e9};

/** Small jobs that keep the shard full. */
function backgroundJobs(
  team: string,
  queue: string,
  everyMs: number,
  runMs: number,
): TraceJobGroup {
  return {
    name: `stream of ${team} in ${queue}`,
    team,
    queue,
    count: Math.floor(TRACE_MS / everyMs),
    firstMs: 0,
    everyMs,
    tasks: 1,
    size: {cpuMilli: 1_000, memMb: 1_024, accel: 0, slots: 0},
    runMs,
    isIdempotent: false,
  };
}

const trace: fc.Arbitrary<Trace> = fc
  .record({
    workers: fc.integer({min: 2, max: 4}),
    isGang: fc.boolean(),
    hardCpu: fc.constantFrom(1, 1, 4, 8),
    hardTeam: fc.constantFrom('a', 'b'),
    backgroundRunMs: fc.integer({min: 2_000, max: LONGEST_RUN_MS}),
    runFactor: fc.constantFrom(0.1, 1, 10),
    shareOfA: fc.integer({min: 1, max: 9}),
  })
  .map(
    ({
      workers,
      isGang,
      hardCpu,
      hardTeam,
      backgroundRunMs,
      runFactor,
      shareOfA,
    }) => {
      const everyMs = Math.floor(backgroundRunMs / (workers * 8 * 1.3));
      const runTimes = {
        runFactor,
        runMs: Math.ceil(backgroundRunMs / runFactor),
      };
      const hard: TraceJobGroup = {
        name: 'hard',
        team: hardTeam,
        queue: 'renders',
        count: 1,
        firstMs: 20_000,
        everyMs: 1,
        tasks: isGang ? workers : 1,
        isGang,
        size: {cpuMilli: hardCpu * 1_000, memMb: 1_024, accel: 0, slots: 0},
        runMs: 1_000,
      };
      return {
        name: 'starvation',
        endMs: TRACE_MS,
        measureFromMs: 0,
        workers: [
          {name: 'w', count: workers, perRack: 2, capacity: WORKER_CAPACITY},
        ],
        queues: [
          {queue: 'shops', priority: 'normal', policy: 'pack'},
          {queue: 'renders', priority: 'batch', policy: 'pack'},
        ],
        teams: ['a', 'b'].map((team, i) => ({
          team,
          organisation: team,
          share: 1,
          organisationShare: i === 0 ? shareOfA : 1,
          allowance: UNLIMITED,
        })),
        jobs: [
          {
            ...backgroundJobs('a', 'shops', everyMs * 2, backgroundRunMs),
            ...runTimes,
          },
          {
            ...backgroundJobs('b', 'shops', everyMs * 2, backgroundRunMs),
            ...runTimes,
          },
          hard,
        ],
        faults: [],
        outcome: {},
      };
    },
  );

function waitsTooLong(plan: Trace, features: FairShareFeatures): boolean {
  const record = new Replay(new FairShareEngine({features}), plan).run();
  if (record.countNeverStarted('hard') > 0) return true;
  return record.waitMs('hard', 100) > MAX_WAIT_MS;
}

test('no job waits longer than the bound', () => {
  fc.assert(
    fc.property(trace, plan => !waitsTooLong(plan, {})),
    {seed: FC_SEED, numRuns: RUNS},
  );
});

for (const feature of ['ages', 'reserves'] as const) {
  test(`without the stage "${feature}" some job waits too long`, () => {
    const property = fc.property(
      trace,
      plan => !waitsTooLong(plan, {[feature]: false}),
    );
    const found = fc.check(property, {
      seed: FC_SEED,
      numRuns: RUNS,
      endOnFailure: true,
    });
    assert.ok(found.failed);
  });
}

test.run();
