import {promiseTest} from '@dragonflyward/common/promise-test';
import {ShardOwner} from '@dragonflyward/scheduler';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ShardCell, TASK_SIZE, type OwnerMaker} from './shard-cell.js';

const RUN_MS = 60_000;
const TEAM = {
  team: 'roofs',
  organisation: 'valley',
  share: 1,
  organisationShare: 1,
};

/** The team may have one task running in the shard. */
const makeLimited: OwnerMaker = parts => {
  const owner = new ShardOwner(parts);
  owner.setTeams([{...TEAM, allowance: TASK_SIZE}]);
  return owner;
};

function runningIn(cell: ShardCell): number {
  return cell.workers.flatMap(worker => [...worker.running()]).length;
}

const limits = suite('limits after a takeover');

promiseTest(
  limits,
  'team-limit',
  'what may run on a silent worker counts against the limit',
  async () => {
    const cell = new ShardCell(2, makeLimited);
    const first = await cell.takeOver();
    await cell.run(1_000);
    const accepted = cell.submit(first, 'j0', RUN_MS, true);
    await cell.run(500);
    await accepted;
    assert.is(runningIn(cell), 1);
    for (const worker of cell.workers) {
      worker.isSilent = [...worker.running()].length > 0;
    }
    first.right.isGiven = false;
    const second = await cell.takeOver();
    await cell.run(1_000);
    const later = cell.submit(second, 'j1', RUN_MS, true);
    await cell.run(2_000);
    await later;
    assert.is(runningIn(cell), 1);
    cell.end();
  },
);

limits.run();
