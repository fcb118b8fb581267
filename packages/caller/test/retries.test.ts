/** Retries use another executor and stay within their budget. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {RetryBudget} from '../src/index.js';
import {closeAfterRequest, echo, type FaultyTarget} from './faulty-target.js';
import {call, withTargets, type TestGateway} from './harness.js';

const retries = suite('retries');
const REQUESTS = 300;
const CONCURRENCY = 20;
/** One retry per ten requests, and at most 20 tokens saved up. */
const MAX_RETRIES = REQUESTS / 10 + 20;
const HALF_FAILING = Array.from({length: 10}, (_, i) =>
  i % 2 === 0 ? closeAfterRequest : echo,
);

/** A budget that allows every retry. */
class UnlimitedBudget extends RetryBudget {
  override tryTake(): boolean {
    return true;
  }
}

async function sendRequests(gateway: TestGateway): Promise<void> {
  let sent = 0;
  const caller = async (): Promise<void> => {
    while (sent < REQUESTS) {
      sent += 1;
      await call(gateway.port, {id: `r-${sent}`, isIdempotent: true});
    }
  };
  await Promise.all(Array.from({length: CONCURRENCY}, caller));
}

function countRuns(targets: readonly FaultyTarget[]): number {
  return targets.reduce((sum, {runs}) => sum + runs.length, 0);
}

retries('with half of the executors failing stay within budget', async () => {
  await withTargets(HALF_FAILING, async (gateway, targets) => {
    await sendRequests(gateway);
    const retryCount = countRuns(targets) - REQUESTS;
    assert.ok(retryCount > 0);
    assert.ok(retryCount <= MAX_RETRIES, `${retryCount} retries`);
  });
});

retries('without the budget multiply the load', async () => {
  const overrides = {budget: new UnlimitedBudget()};
  await withTargets(
    HALF_FAILING,
    async (gateway, targets) => {
      await sendRequests(gateway);
      const retryCount = countRuns(targets) - REQUESTS;
      assert.ok(retryCount > MAX_RETRIES, `${retryCount} retries`);
    },
    overrides,
  );
});

retries('never go to the executor that has just failed', async () => {
  await withTargets([closeAfterRequest, echo], async (gateway, targets) => {
    for (let i = 0; i < 4; i += 1) {
      await call(gateway.port, {id: `r-${i}`, isIdempotent: true});
    }
    for (const {runs} of targets) {
      assert.is(runs.length, new Set(runs).size);
    }
  });
});

retries.run();
