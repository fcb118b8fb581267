/** Entry VMs are cut off from the log, replaced and shut down. */
import {setTimeout as sleep} from 'node:timers/promises';
import {promiseTest} from '@dragonflyward/common/promise-test';
import {CallerClient, waitUntil, type TeamKey} from '@dragonflyward/standins';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {countOutcome, describeOthers} from '../src/index.js';
import {Cell, shortJob, longJob, RECOVERY_TIMEOUT_MS, TEAM} from './cell.js';

/** How soon all gateways must refuse a withdrawn key. */
const WITHDRAWAL_TIMEOUT_MS = 5_000;
const AFTER_WITHDRAWAL_MS = 1_500;
const CUT_DURATION_MS = 6_000;

const entries = suite('entry failure');
const cell = new Cell();

entries.before(() => cell.start());
entries.after.each(() => cell.clearFaults());
entries.after(() => cell.stop());

/** Sends a request to one gateway to learn whether it accepts the key. */
async function isKeyAccepted(vm: string, key: TeamKey): Promise<boolean> {
  const caller = new CallerClient(() => cell.rig.gatewayUrl(vm));
  const call = cell.newRequest({key: key.text, sleepMs: 0});
  const res = await caller.request({...call, deadlineMs: 1_000});
  return res.outcome === 'answered';
}

async function waitUntilAcceptedEverywhere(key: TeamKey): Promise<void> {
  for (const {id} of cell.rig.entries) {
    await waitUntil(`${id} takes the key`, RECOVERY_TIMEOUT_MS, () =>
      isKeyAccepted(id, key),
    );
  }
}

async function expectRefusedEverywhere(key: TeamKey): Promise<void> {
  await cell.rig.operator.withdraw(key);
  await waitUntil('all refuse it', WITHDRAWAL_TIMEOUT_MS, async () => {
    const taken = cell.rig.entries.map(({id}) => isKeyAccepted(id, key));
    return !(await Promise.all(taken)).includes(true);
  });
  assert.ok(await isKeyAccepted(cell.rig.entries.at(-1)?.id ?? '', cell.key));
  const endMs = performance.now() + AFTER_WITHDRAWAL_MS;
  while (performance.now() < endMs) {
    for (const {id} of cell.rig.entries) {
      assert.is(await isKeyAccepted(id, key), false, `${id} takes the key`);
    }
  }
}

promiseTest(
  entries,
  'team-key',
  'a withdrawn key is refused by all gateways within seconds',
  async () => {
    const key = await cell.rig.operator.grant(TEAM);
    await waitUntilAcceptedEverywhere(key);
    await expectRefusedEverywhere(key);
  },
);

promiseTest(
  entries,
  'team-key',
  'a withdrawn key is refused where the log cannot be read',
  async () => {
    const [cut] = cell.rig.entries;
    assert.ok(cut);
    const key = await cell.rig.operator.grant(TEAM);
    await waitUntilAcceptedEverywhere(key);
    await cell.rig.setLogFaults({cutFrom: [cut.ip]});
    await expectRefusedEverywhere(key);
    await cell.rig.setLogFaults({cutFrom: []});
  },
);

entries('an entry VM cut from the log keeps serving requests', async () => {
  const [cut] = cell.rig.entries;
  assert.ok(cut);
  const domain = cut.domain;
  await cell.submit(longJob(CUT_DURATION_MS, {domain}));
  await cell.rig.setLogFaults({cutFrom: [cut.ip]});
  const load = cell.startLoad(20, {isIdempotent: false});
  await sleep(CUT_DURATION_MS);
  const results = await load.stop();
  assert.is(countOutcome(results, 'lost'), 0);
  const others = describeOthers(results, 'answered');
  assert.is(countOutcome(results, 'answered'), results.length, others);
  assert.ok(await isKeyAccepted(cut.id, cell.key));
  await cell.submit(shortJob({domain}));
  await cell.rig.setLogFaults({cutFrom: []});
  await cell.checkPromises();
});

promiseTest(
  entries,
  'graceful-stop',
  'programs are shut down under load and no request is cut off',
  async () => {
    const load = cell.startLoad(40, {isIdempotent: false, sleepMs: 300});
    await cell.submit(longJob(CUT_DURATION_MS));
    for (const {id} of cell.rig.entries) {
      for (const role of ['gateway', 'scheduler'] as const) {
        assert.is(await cell.rig.terminate(role, id), 0, `${role} ${id}`);
        cell.rig.startRole(role, id);
        await cell.rig.waitUntilRoleReady(role, id);
      }
    }
    const results = await load.stop();
    assert.is(countOutcome(results, 'lost'), 0);
    assert.is(countOutcome(results, 'unknown'), 0);
    await cell.checkPromises();
  },
);

promiseTest(
  entries,
  'one-place',
  'all entry VMs are replaced one after another',
  async () => {
    const load = cell.startLoad(20, {isIdempotent: false});
    const jobs = [
      longJob(CUT_DURATION_MS),
      longJob(CUT_DURATION_MS, {isIdempotent: false}),
    ];
    await cell.submitAll(jobs);
    for (const {id, domain} of cell.rig.entries) {
      const added = await cell.rig.addEntry(domain);
      await cell.rig.waitUntilRoleReady('gateway', added.id);
      await cell.rig.waitUntilRoleReady('scheduler', added.id);
      await cell.rig.removeEntry(id);
      await cell.submit(shortJob({domain}));
    }
    await load.stop();
    await cell.waitUntilServing();
    await cell.checkPromises();
  },
);

entries.run();
