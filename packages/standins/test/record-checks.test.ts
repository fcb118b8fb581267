/** The checks of target records find each kind of breach. */
import {NO_RESOURCES, type Resources} from '@dragonflyward/common';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  findOverlappingRuns,
  findLimitBreaches,
  findRepeatedTasks,
  type TaskRun,
} from '../src/index.js';

const ONE_CORE: Resources = {...NO_RESOURCES, cpuMilli: 1_000};
const recordChecks = suite('record checks');

function run(taskId: string, startMs: number, endMs: number | null): TaskRun {
  const jobId = taskId.split('.')[0] ?? '';
  const holdings = [{sinceMs: startMs, size: ONE_CORE}];
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

function countBreaches(tasks: readonly TaskRun[], limit: Resources): number {
  const records = {overcommits: [], slotBreaches: 0, tasks, requests: []};
  return findLimitBreaches(records, new Map([['roofs', limit]])).length;
}

recordChecks('finds a task that runs in two places', () => {
  const runs = [run('j.0.0', 0, 10), run('j.0.1', 9, 20), run('j.1.0', 0, 9)];
  assert.equal(findOverlappingRuns(runs), ['j.0']);
});

recordChecks('counts a task without an end as running', () => {
  assert.equal(
    findOverlappingRuns([run('j.0.0', 0, null), run('j.0.1', 5, 6)]),
    ['j.0'],
  );
});

recordChecks('lets a task run again after its end', () => {
  const runs = [run('j.0.0', 0, 10), run('j.0.1', 10, 20)];
  assert.equal(findOverlappingRuns(runs), []);
  assert.equal(findRepeatedTasks(runs, new Set(['j'])), ['j.0']);
});

recordChecks('finds a team over its limit, also after a resize', () => {
  const both = [run('j.0.0', 0, 10), run('j.1.0', 5, 20)];
  assert.is(countBreaches(both, ONE_CORE), 1);
  const apart = [run('j.0.0', 0, 10), run('j.1.0', 10, 20)];
  assert.is(countBreaches(apart, ONE_CORE), 0);
  const grown = {...run('j.0.0', 0, 10)};
  const size = {...ONE_CORE, cpuMilli: 1_500};
  const holdings = [...grown.holdings, {sinceMs: 5, size}];
  assert.is(countBreaches([{...grown, holdings}], ONE_CORE), 1);
});

recordChecks.run();
