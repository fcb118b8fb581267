import {ShardState} from '@dragonflyward/state';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Cell, STREAM, type CellOptions} from './cell.js';

const SEED = 20261204;
const RUNS = 20;

/**
 * Pauses an owner with an append in flight until another process takes over.
 * Returns whether all jobs that were reported as accepted are in the log.
 */
async function areAcceptedJobsKept(
  appendDelayMs: number,
  options: CellOptions = {},
): Promise<boolean> {
  const cell = new Cell(options);
  for (const vm of ['a', 'b', 'c']) cell.start(vm);
  await cell.run(5_000);
  const [owner] = cell.acting();
  assert.ok(owner);
  cell.log.latencyMs = appendDelayMs;
  cell.acceptJobs();
  await cell.run(100);
  cell.log.latencyMs = 0;
  owner.clock.isPaused = true;
  await cell.run(appendDelayMs + 1_000);
  owner.clock.isPaused = false;
  await cell.run(8_000);
  cell.end();
  const state = new ShardState();
  for (const record of cell.log.records(STREAM)) state.apply(record);
  return [...cell.accepted].every(jobId => state.jobs.has(jobId));
}

function check(name: string, options: CellOptions, shouldHold: boolean): void {
  lateWrites(name, async () => {
    const delays = fc.integer({min: 500, max: 10_000});
    const run = fc.asyncProperty(delays, ms =>
      areAcceptedJobsKept(ms, options),
    );
    const runOptions = {seed: SEED, numRuns: RUNS, endOnFailure: true};
    const {failed, counterexample} = await fc.check(run, runOptions);
    assert.is(!failed, shouldHold, JSON.stringify(counterexample));
  });
}

const lateWrites = suite('late writes');

check('no void record is acknowledged', {}, true);
check(
  'a void record is acknowledged when it is not read back',
  {skipsReadBack: true},
  false,
);

lateWrites.run();
