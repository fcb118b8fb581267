import {ShareEngine} from '@dragonflyward/policy';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {FC_SEED, RandomShard, shardPlan} from './random-shard.js';

const test = suite('engine properties');

test('no promise is breached in any random shard', () => {
  fc.assert(
    fc.property(shardPlan, plan => {
      const shard = new RandomShard(
        n => new ShareEngine({firstTaskNumber: n}),
        plan,
      );
      shard.play();
      const breaches = [...shard.audit.breaches, ...shard.breaches];
      assert.not(breaches.length > 0, breaches.join('; '));
    }),
    {seed: FC_SEED, numRuns: 500, includeErrorInReport: true},
  );
});

test.run();
