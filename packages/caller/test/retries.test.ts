/** Retries go elsewhere and stay within their budget. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {RetryBudget} from '../src/index.js';
import {cutAfterRequest, echo, type FaultyTarget} from './faulty-target.js';
import {call, withTargets, type TestGateway} from './harness.js';

const retries = suite('retries');
const REQUESTS = 300;
const AT_A_TIME = 20;
/** One retry for ten requests, and what was saved before. */
const MAX_RETRIES = REQUESTS / 10 + 20;
const HALF_FAILING = Array.from({length: 10}, (_, i) =>
  i % 2 === 0 ? cutAfterRequest : echo,
);

/** A budget without a bound. */
class BoundlessBudget extends RetryBudget {
  override tryTake(): boolean {
    return true;
  }
}

async function storm(gateway: TestGateway): Promise<void> {
  let sent = 0;
  const caller = async (): Promise<void> => {
    while (sent < REQUESTS) {
      sent += 1;
      await call(gateway.port, {id: `r-${sent}`, isIdempotent: true});
    }
  };
  await Promise.all(Array.from({length: AT_A_TIME}, caller));
}

function countRuns(targets: readonly FaultyTarget[]): number {
  return targets.reduce((sum, {runs}) => sum + runs.length, 0);
}

retries('with half of the executors failing stay within budget', async () => {
  await withTargets(HALF_FAILING, async (gateway, targets) => {
    await storm(gateway);
    const extra = countRuns(targets) - REQUESTS;
    assert.ok(extra > 0);
    assert.ok(extra <= MAX_RETRIES, `${extra} retries`);
  });
});

retries('without the budget multiply the load', async () => {
  const changes = {budget: new BoundlessBudget()};
  await withTargets(
    HALF_FAILING,
    async (gateway, targets) => {
      await storm(gateway);
      const extra = countRuns(targets) - REQUESTS;
      assert.ok(extra > MAX_RETRIES, `${extra} retries`);
    },
    changes,
  );
});

retries('never go to the executor that has just failed', async () => {
  await withTargets([cutAfterRequest, echo], async (gateway, targets) => {
    for (let i = 0; i < 4; i += 1) {
      await call(gateway.port, {id: `r-${i}`, isIdempotent: true});
    }
    for (const {runs} of targets) {
      assert.is(runs.length, new Set(runs).size);
    }
  });
});

retries.run();
