import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {callJson, NO_RESOURCES, toFailure} from '@dragonflyward/common';
import {promiseTest} from '@dragonflyward/common/promise-test';
import {Rig, waitUntil} from '@dragonflyward/standins';
import type {Configuration} from '@dragonflyward/state';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {runProgram} from '../src/ctl-context.js';
import {ctlProgram} from '../src/ctl-program.js';
import {EXIT} from '../src/exit-codes.js';
import {timelineProgram} from '../src/timeline-program.js';

/** A withdrawn key and a changed configuration hold within this time. */
const IN_FORCE_MS = 5_000;
const REQUEST_TIMEOUT_MS = 8_000;
const ENTRIES_PER_DOMAIN = 2;
const PROCESSES = 2 * ENTRIES_PER_DOMAIN;

const CONFIGURATION: Configuration = {
  defaults: {
    queues: {
      quotes: {
        priority: 'urgent',
        service: 'quotes',
        isOpen: false,
        maxBodyBytes: 1_000,
        maxDeadlineMs: 5_000,
        maxWaiting: 10,
        policy: 'spread',
      },
    },
    organisations: {valley: {share: 1}},
    teams: {
      roofs: {
        organisation: 'valley',
        share: 1,
        limit: {...NO_RESOURCES, slots: 8},
      },
    },
  },
  exceptions: [],
};

interface Answer {
  readonly code: number;
  readonly text: string;
  readonly value: Readonly<Record<string, unknown>>;
}

const fleet = suite('ctl and a fleet');
const dir = mkdtempSync(join(tmpdir(), 'fleet-'));
const file = join(dir, 'fleet.json');
const rig = new Rig({
  domains: ['north-1'],
  entriesPerDomain: ENTRIES_PER_DOMAIN,
  workers: [{count: 1, capacity: {...NO_RESOURCES, cpuMilli: 1_000}}],
  executors: [{count: 2, service: 'quotes'}],
});

async function run(
  program: typeof ctlProgram,
  ...args: readonly string[]
): Promise<Answer> {
  let text = '';
  const sink = {
    out: (part: string) => void (text += part),
    err: () => undefined,
  };
  const env = {
    USER: 'ada',
    DRAGONFLYWARD_LOG_URL: rig.logUrl,
    DRAGONFLYWARD_VM_LIST_URL: rig.vmsUrl,
    DRAGONFLYWARD_WAIT_MS: `${IN_FORCE_MS}`,
  };
  const code = await runProgram(program({sink, env}), args);
  const isJson = text.startsWith('{');
  const value = (isJson ? JSON.parse(text) : {}) as Answer['value'];
  return {code, text, value};
}

function ctl(...args: readonly string[]): Promise<Answer> {
  return run(ctlProgram, '--json', ...args);
}

function publish(base: number): Promise<Answer> {
  const flags = ['--base', `${base}`, '--reason', 'test'];
  return ctl('config', 'publish', file, ...flags);
}

/** Sends a request to each gateway and returns the statuses. */
async function statusesOf(key: string): Promise<readonly number[]> {
  const headers = {authorization: `Bearer ${key}`, 'x-idempotent': 'true'};
  return Promise.all(
    rig.entries.map(async ({id}) => {
      const url = `${rig.gatewayUrl(id)}/v1/requests/quotes`;
      const timeoutMs = REQUEST_TIMEOUT_MS;
      const body = {sleepMs: 1};
      const call = {method: 'POST', url, headers, timeoutMs, body} as const;
      try {
        return (await callJson(call)).status;
      } catch (err) {
        assert.unreachable(toFailure(err).detail);
        return 0;
      }
    }),
  );
}

fleet.before(async () => {
  writeFileSync(file, JSON.stringify(CONFIGURATION));
  await rig.startPlatform();
  const {code} = await publish(-1);
  assert.is(code, EXIT.notEverywhere);
  await rig.startEntries();
  await rig.untilReady();
});

fleet.after(async () => {
  await rig.stop();
  rmSync(dir, {recursive: true});
});

promiseTest(
  fleet,
  'config-in-force',
  'a publication is in force in every process within seconds',
  async () => {
    await rig.switchLog({loseReplies: 1});
    const {code, value} = await publish(0);
    assert.is(code, EXIT.ok);
    const report = value['inForce'] as {readonly inForce: readonly string[]};
    assert.is(report.inForce.length, PROCESSES);
    const lost = await publish(0);
    assert.is(lost.code, EXIT.conflict);
  },
);

promiseTest(
  fleet,
  'config-in-force',
  'a process that starts anew has the newest revision before it is ready',
  async () => {
    const [entry] = rig.entries;
    assert.ok(entry);
    await rig.kill('gateway', entry.id);
    const {code} = await ctl('config', 'show');
    assert.is(code, EXIT.ok);
    rig.startRole('gateway', entry.id);
    await rig.untilRoleReady('gateway', entry.id);
    const show = await ctl('config', 'show');
    const {text} = await ctl('status');
    const gateway = new RegExp(`"revision": ${String(show.value['revision'])}`);
    assert.match(text, gateway);
  },
);

promiseTest(
  fleet,
  'team-key',
  'a withdrawn key is refused by every gateway once ctl says so',
  async () => {
    const granted = await ctl('key', 'grant', 'roofs');
    assert.is(granted.code, EXIT.ok);
    const key = String(granted.value['key']);
    await waitUntil('both gateways serve', REQUEST_TIMEOUT_MS, async () => {
      const statuses = await statusesOf(key);
      return statuses.every(status => status === 200);
    });
    const keyId = String(granted.value['keyId']);
    const withdrawn = await ctl('key', 'withdraw', keyId, '--reason', 'leaked');
    assert.is(withdrawn.code, EXIT.ok);
    assert.equal(
      await statusesOf(key),
      rig.entries.map(() => 403),
    );
  },
);

fleet(
  'shows every process, and exits with 6 when one does not answer',
  async () => {
    const whole = await ctl('status');
    assert.is(whole.code, EXIT.ok);
    const processes = whole.value['processes'] as readonly unknown[];
    assert.is(processes.length, PROCESSES);
    const [entry] = rig.entries;
    assert.ok(entry);
    await rig.kill('gateway', entry.id);
    assert.is((await ctl('status')).code, EXIT.unavailable);
    rig.startRole('gateway', entry.id);
    await rig.untilRoleReady('gateway', entry.id);
  },
);

fleet('merges the events of all processes into a page', async () => {
  const page = join(dir, 'run.html');
  const {code} = await run(timelineProgram, '--format', 'html', '-o', page);
  assert.is(code, EXIT.ok);
  const text = readFileSync(page, 'utf8');
  for (const {id} of rig.entries) assert.match(text, `gateway@${id}`);
  assert.match(text, 'ownerActive');
});

fleet.run();
