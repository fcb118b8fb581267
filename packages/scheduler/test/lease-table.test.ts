import {promiseTest} from '@dragonflyward/common/promise-test';
import {
  leaseExpiryMs,
  LeaseTable,
  NETWORK_DELAY_MARGIN_MS,
  WORKER_CALL_TIMEOUT_MS,
} from '@dragonflyward/scheduler';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';

const SEED = 20261204;
const LEASE_MS = 20_000;
const LONGEST_DELAY_MS = WORKER_CALL_TIMEOUT_MS + NETWORK_DELAY_MARGIN_MS;

interface Renewal {
  readonly gapMs: number;
  readonly delayMs: number;
  readonly isDelivered: boolean;
}

/** When the lease expires on the worker, in the owner's clock. */
function workerEndMs(renewals: readonly Renewal[], clockRate: number): number {
  let sentMs = 0;
  let endMs = 0;
  for (const renewal of renewals) {
    sentMs += renewal.gapMs;
    if (!renewal.isDelivered) continue;
    const arrivalMs = sentMs + renewal.delayMs;
    endMs = Math.max(endMs, arrivalMs + LEASE_MS * clockRate);
  }
  return endMs;
}

const renewalsArb = fc.array(
  fc.record({
    gapMs: fc.integer({min: 1, max: 5_000}),
    delayMs: fc.integer({min: 0, max: LONGEST_DELAY_MS}),
    isDelivered: fc.boolean(),
  }),
  {minLength: 1, maxLength: 12},
);
const clockRateArb = fc.double({min: 0.99, max: 1.01, noNaN: true});

/** Checks that the computed expiry is never before the worker's. */
function checkExpiry(expiryOf: (sentMs: number) => number): void {
  fc.assert(
    fc.property(renewalsArb, clockRateArb, (renewals, clockRate) => {
      const lastSentMs = renewals.reduce((sum, r) => sum + r.gapMs, 0);
      return expiryOf(lastSentMs) >= workerEndMs(renewals, clockRate);
    }),
    {seed: SEED},
  );
}

const task = {
  taskId: 'd:j.0.1',
  jobId: 'd:j',
  taskIndex: 0,
  workerId: 'w',
  size: {cpuMilli: 1, memMb: 1, accel: 0, slots: 0},
};

const leases = suite('lease table');

promiseTest(
  leases,
  'one-place',
  'the owner never assumes expiry too early',
  () => {
    checkExpiry(sentMs => leaseExpiryMs(sentMs, LEASE_MS));
  },
);

promiseTest(
  leases,
  'one-place',
  'without the margin the owner assumes expiry too early',
  () => {
    assert.throws(() => {
      checkExpiry(sentMs => sentMs + LEASE_MS);
    });
  },
);

leases('a start without a reply is absent only after its start window', () => {
  const table = new LeaseTable(LEASE_MS);
  table.recordStart(task, 0, WORKER_CALL_TIMEOUT_MS);
  const none = new Set<string>();
  assert.equal([...table.absent(none, LONGEST_DELAY_MS)], []);
  assert.equal([...table.absent(none, LONGEST_DELAY_MS + 1)], [task]);
});

leases('a confirmed task that the worker no longer lists is absent', () => {
  const table = new LeaseTable(LEASE_MS);
  table.recordStart(task, 0, WORKER_CALL_TIMEOUT_MS);
  table.recordConfirmed(task.taskId, 5);
  assert.equal([...table.absent(new Set([task.taskId]), 6)], []);
  assert.equal([...table.absent(new Set(), 6)], [task]);
});

promiseTest(
  leases,
  'one-place',
  'a list requested before the confirmation shows no task as absent',
  () => {
    const table = new LeaseTable(LEASE_MS);
    table.recordStart(task, 0, WORKER_CALL_TIMEOUT_MS);
    table.recordConfirmed(task.taskId, 5);
    assert.equal([...table.absent(new Set(), 5)], []);
  },
);

leases.run();
