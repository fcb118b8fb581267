/** A VM counts waiting jobs only while its job table is complete. */
import {ManualClock} from '@dragonflyward/common';
import {JobTable, TableFreshness} from '@dragonflyward/cell';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';

const CONNECTED = {connectedTerm: 3, knowsAllJobs: false};
const DISCONNECTED = {connectedTerm: 0, knowsAllJobs: false};
const LONG_MS = 2500;

const freshness = suite('table freshness');

freshness('is not fresh before the owner has sent all rows', () => {
  const table = new TableFreshness(new ManualClock(1000));
  assert.is(table.isFresh(CONNECTED), false);
  table.recordFullUpdate(2);
  assert.is(table.isFresh(CONNECTED), false);
  table.recordFullUpdate(3);
  assert.is(table.isFresh(CONNECTED), true);
});

freshness('stays fresh for a moment without an owner', async () => {
  const clock = new ManualClock(1000);
  const table = new TableFreshness(clock);
  table.recordFullUpdate(3);
  assert.is(table.isFresh(CONNECTED), true);
  await clock.advance(LONG_MS / 2);
  assert.is(table.isFresh(DISCONNECTED), true);
  await clock.advance(LONG_MS);
  assert.is(table.isFresh(DISCONNECTED), false);
  assert.is(table.isFresh({...DISCONNECTED, knowsAllJobs: true}), true);
});

// An owner short of processor time publishes jobs seconds late.
freshness('is not fresh where the owner lags behind', async () => {
  const clock = new ManualClock(1000);
  const table = new TableFreshness(clock);
  table.recordFullUpdate(3);
  table.recordNotified('a');
  assert.is(table.isFresh(CONNECTED), true);
  await clock.advance(2 * LONG_MS);
  assert.is(table.isFresh(CONNECTED), false);
  table.recordPublished('a');
  assert.is(table.isFresh(CONNECTED), true);
});

freshness('never takes back a final phase', () => {
  const table = new JobTable(new ManualClock(1000));
  const row = {id: 'a', queue: 'q', organisation: 'o'} as const;
  table.set({...row, phase: 'completed'});
  table.set({...row, phase: 'running'});
  table.set({...row, phase: 'failed'});
  assert.is(table.get('a')?.phase, 'completed');
});

freshness.run();
