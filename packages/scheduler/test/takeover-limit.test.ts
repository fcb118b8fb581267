import {promiseTest} from '@dragonflyward/common/promise-test';
import {ShardOwner} from '@dragonflyward/scheduler';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {SimulatedShard, TASK_SIZE, type OwnerMaker} from './simulated-shard.js';

const RUN_MS = 60_000;
const TEAM = {
  team: 'roofs',
  organisation: 'valley',
  share: 1,
  organisationShare: 1,
};

/** Makes an owner where the team may have one task running. */
const makeLimited: OwnerMaker = parts => {
  const owner = new ShardOwner(parts);
  owner.setTeams([{...TEAM, allowance: TASK_SIZE}]);
  return owner;
};

function runningIn(shard: SimulatedShard): number {
  return shard.workers.flatMap(worker => [...worker.running()]).length;
}

const limits = suite('limits after a takeover');

promiseTest(
  limits,
  'team-limit',
  'what may run on a silent worker counts against the limit',
  async () => {
    const shard = new SimulatedShard(2, makeLimited);
    const first = await shard.takeOver();
    await shard.run(1_000);
    const accepted = shard.submit(first, 'j0', RUN_MS, true);
    await shard.run(500);
    await accepted;
    assert.is(runningIn(shard), 1);
    for (const worker of shard.workers) {
      worker.isSilent = [...worker.running()].length > 0;
    }
    first.ownership.isGiven = false;
    const second = await shard.takeOver();
    await shard.run(1_000);
    const later = shard.submit(second, 'j1', RUN_MS, true);
    await shard.run(2_000);
    await later;
    assert.is(runningIn(shard), 1);
    shard.end();
  },
);

limits.run();
