/** Shuts down, kills and pauses gateways under load. */
import {setTimeout as sleep} from 'node:timers/promises';
import {promiseTest} from '@dragonflyward/common/promise-test';
import type {RequestResult} from '@dragonflyward/standins';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ProcessCell} from './process-cell.js';

const PER_SECOND = 40;
/** Longer than a ticket's start-by time and a peer's silence timeout. */
const PAUSE_MS = 5_000;
const LOAD_MS = 2_000;

const gateways = suite('gateways');
const cell = new ProcessCell();

gateways.before(() => cell.start());
gateways.after(() => cell.stop());

/** Checks that each request ran at most once, and not at all if refused. */
async function checkRuns(results: readonly RequestResult[]): Promise<void> {
  const runs = await cell.countRuns();
  for (const {label, outcome, kind} of results) {
    const count = runs.get(label) ?? 0;
    assert.ok(count <= 1, `${label} ran ${count} times`);
    if (outcome === 'answered') assert.is(count, 1);
    if (outcome === 'refused') assert.is(count, 0, `${label}: ${kind}`);
  }
}

function listUnresolved(results: readonly RequestResult[]): readonly string[] {
  return results
    .filter(({outcome}) => outcome === 'lost' || outcome === 'unknown')
    .map(({label, kind}) => `${label}: ${kind}`);
}

promiseTest(
  gateways,
  'graceful-stop',
  'each gateway is shut down under load and cuts off no request',
  async () => {
    const results = await cell.runUnderLoad(PER_SECOND, async () => {
      for (const {id} of cell.rig.entries) {
        assert.is(await cell.rig.terminate('gateway', id), 0);
        cell.rig.startRole('gateway', id);
        await cell.rig.waitUntilRoleReady('gateway', id);
      }
    });
    assert.equal(listUnresolved(results), []);
    await checkRuns(results);
  },
);

promiseTest(
  gateways,
  'at-most-once',
  'a gateway killed under load: no order runs twice',
  async () => {
    const [entry] = cell.rig.entries;
    assert.ok(entry);
    const results = await cell.runUnderLoad(PER_SECOND, async () => {
      await sleep(LOAD_MS);
      await cell.rig.kill('gateway', entry.id);
      await sleep(LOAD_MS);
      cell.rig.startRole('gateway', entry.id);
      await cell.rig.waitUntilRoleReady('gateway', entry.id);
    });
    await checkRuns(results);
    const answered = results.filter(({outcome}) => outcome === 'answered');
    assert.ok(answered.length > results.length / 2);
  },
);

promiseTest(
  gateways,
  'not-run-true',
  'a gateway paused under load and woken: refusals are true',
  async () => {
    const [entry] = cell.rig.entries;
    assert.ok(entry);
    const results = await cell.runUnderLoad(PER_SECOND, async () => {
      await sleep(LOAD_MS);
      cell.rig.pause('gateway', entry.id);
      await sleep(PAUSE_MS);
      cell.rig.resume('gateway', entry.id);
      await sleep(LOAD_MS);
    });
    await checkRuns(results);
    const {slotBreaches} = await cell.rig.targets.records();
    assert.is(slotBreaches, 0);
  },
);

promiseTest(
  gateways,
  'graceful-stop',
  'each scheduler is shut down under load and no order is in doubt',
  async () => {
    const results = await cell.runUnderLoad(PER_SECOND, async () => {
      for (const {id} of cell.rig.entries) {
        assert.is(await cell.rig.terminate('scheduler', id), 0);
        cell.rig.startRole('scheduler', id);
        await cell.rig.waitUntilRoleReady('scheduler', id);
      }
    });
    assert.equal(listUnresolved(results), []);
    await checkRuns(results);
  },
);

gateways.run();
