/** Gateways are shut down, killed and paused under load. */
import {setTimeout as sleep} from 'node:timers/promises';
import {promiseTest} from '@dragonflyward/common/promise-test';
import type {RequestResult} from '@dragonflyward/standins';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ProcessCell} from './process-cell.js';

const PER_SECOND = 40;
/** Longer than a ticket's start-by time and than a peer's silence bound. */
const PAUSE_MS = 5_000;
const BOUND_MS = 2_000;

const gateways = suite('gateways');
const cell = new ProcessCell();

gateways.before(() => cell.start());
gateways.after(() => cell.stop());

/** Each order ran at most once; one that was refused did not run. */
async function judge(results: readonly RequestResult[]): Promise<void> {
  const runs = await cell.runs();
  for (const {label, outcome, kind} of results) {
    const count = runs.get(label) ?? 0;
    assert.ok(count <= 1, `${label} ran ${count} times`);
    if (outcome === 'answered') assert.is(count, 1);
    if (outcome === 'refused') assert.is(count, 0, `${label}: ${kind}`);
  }
}

function listCut(results: readonly RequestResult[]): readonly string[] {
  return results
    .filter(({outcome}) => outcome === 'lost' || outcome === 'unknown')
    .map(({label, kind}) => `${label}: ${kind}`);
}

promiseTest(
  gateways,
  'graceful-stop',
  'each gateway is shut down under load and cuts off no request',
  async () => {
    const results = await cell.during(PER_SECOND, async () => {
      for (const {id} of cell.rig.entries) {
        assert.is(await cell.rig.terminate('gateway', id), 0);
        cell.rig.startRole('gateway', id);
        await cell.rig.untilRoleReady('gateway', id);
      }
    });
    assert.equal(listCut(results), []);
    await judge(results);
  },
);

promiseTest(
  gateways,
  'at-most-once',
  'a gateway killed under load: no order runs twice',
  async () => {
    const [first] = cell.rig.entries;
    assert.ok(first);
    const results = await cell.during(PER_SECOND, async () => {
      await sleep(BOUND_MS);
      await cell.rig.kill('gateway', first.id);
      await sleep(BOUND_MS);
      cell.rig.startRole('gateway', first.id);
      await cell.rig.untilRoleReady('gateway', first.id);
    });
    await judge(results);
    const answered = results.filter(({outcome}) => outcome === 'answered');
    assert.ok(answered.length > results.length / 2);
  },
);

promiseTest(
  gateways,
  'not-run-true',
  'a gateway paused under load and woken: refusals are true',
  async () => {
    const [first] = cell.rig.entries;
    assert.ok(first);
    const results = await cell.during(PER_SECOND, async () => {
      await sleep(BOUND_MS);
      cell.rig.pause('gateway', first.id);
      await sleep(PAUSE_MS);
      cell.rig.resume('gateway', first.id);
      await sleep(BOUND_MS);
    });
    await judge(results);
    const {slotBreaches} = await cell.rig.targets.records();
    assert.is(slotBreaches, 0);
  },
);

promiseTest(
  gateways,
  'graceful-stop',
  'each scheduler is shut down under load and no order is in doubt',
  async () => {
    const results = await cell.during(PER_SECOND, async () => {
      for (const {id} of cell.rig.entries) {
        assert.is(await cell.rig.terminate('scheduler', id), 0);
        cell.rig.startRole('scheduler', id);
        await cell.rig.untilRoleReady('scheduler', id);
      }
    });
    assert.equal(listCut(results), []);
    await judge(results);
  },
);

gateways.run();
