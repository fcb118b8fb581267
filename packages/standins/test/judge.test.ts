/** The judge finds the breaches that it is meant to find. */
import {NO_RESOURCES, type Resources} from '@dragonflyward/common';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  findDoubleRuns,
  findLimitBreaches,
  findRepeats,
  type TaskRun,
} from '../src/index.js';

const CORE: Resources = {...NO_RESOURCES, cpuMilli: 1_000};
const judge = suite('judge');

function run(taskId: string, startMs: number, endMs: number | null): TaskRun {
  const jobId = taskId.split('.')[0] ?? '';
  const holdings = [{sinceMs: startMs, size: CORE}];
  return {
    workerId: 'worker-1',
    taskId,
    jobId,
    team: 'roofs',
    holdings,
    startMs,
    endMs,
    end: null,
  };
}

function breaches(tasks: readonly TaskRun[], limit: Resources): number {
  const records = {overcommits: [], slotBreaches: 0, tasks, requests: []};
  return findLimitBreaches(records, new Map([['roofs', limit]])).length;
}

judge('finds a task that runs in two places', () => {
  const runs = [run('j.0.0', 0, 10), run('j.0.1', 9, 20), run('j.1.0', 0, 9)];
  assert.equal(findDoubleRuns(runs), ['j.0']);
});

judge('takes a task that never ended for running', () => {
  assert.equal(findDoubleRuns([run('j.0.0', 0, null), run('j.0.1', 5, 6)]), [
    'j.0',
  ]);
});

judge('lets a task run again after its end', () => {
  const runs = [run('j.0.0', 0, 10), run('j.0.1', 10, 20)];
  assert.equal(findDoubleRuns(runs), []);
  assert.equal(findRepeats(runs, new Set(['j'])), ['j.0']);
});

judge('finds a team over its limit, also after a resize', () => {
  const both = [run('j.0.0', 0, 10), run('j.1.0', 5, 20)];
  assert.is(breaches(both, CORE), 1);
  const apart = [run('j.0.0', 0, 10), run('j.1.0', 10, 20)];
  assert.is(breaches(apart, CORE), 0);
  const grown = {...run('j.0.0', 0, 10)};
  const size = {...CORE, cpuMilli: 1_500};
  const holdings = [...grown.holdings, {sinceMs: 5, size}];
  assert.is(breaches([{...grown, holdings}], CORE), 1);
});

judge.run();
