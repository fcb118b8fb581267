/** Turns of calls: guards against one VM whose calls delay those of others. */
import {CallTurns} from '@dragonflyward/cell';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';

const SEED = 20261207;
const LIMITS = {perKey: 2, total: 3};

const turns = suite('turns of calls');

turns('are bounded, in order, and leave no call out', async () => {
  const keys = fc.array(fc.constantFrom('a', 'b', 'c', 'd'), {maxLength: 40});
  const property = fc.asyncProperty(keys, fc.infiniteStream(fc.nat(3)), run);
  await fc.assert(property, {seed: SEED});
});

async function run(
  keys: readonly string[],
  delays: fc.Stream<number>,
): Promise<void> {
  const callTurns = new CallTurns(LIMITS);
  const underWay: string[] = [];
  const started = new Map<string, number>();
  const calls = keys.map((key, at) =>
    callTurns.run(key, async () => {
      assert.ok((started.get(key) ?? -1) < at, 'out of order');
      started.set(key, at);
      underWay.push(key);
      assert.ok(underWay.length <= LIMITS.total);
      const ofKey = underWay.filter(each => each === key);
      assert.ok(ofKey.length <= LIMITS.perKey);
      const [delay = 0] = [...delays.take(1)];
      for (let i = 0; i < delay; i += 1) await Promise.resolve();
      underWay.splice(underWay.indexOf(key), 1);
      return at;
    }),
  );
  assert.equal(await Promise.all(calls), [...keys.keys()]);
  assert.is(callTurns.waiting, 0);
}

turns('of a key with few calls come soon', async () => {
  const callTurns = new CallTurns(LIMITS);
  const order: string[] = [];
  const call = (key: string): Promise<unknown> =>
    callTurns.run(key, async () => order.push(key));
  const all = Array.from({length: 300}, () => call('many'));
  await Promise.all([...all, call('few')]);
  assert.ok(order.indexOf('few') <= LIMITS.total);
  assert.ok(order.length < 300, 'the calls that wait are bounded');
});

turns.run();
