/** The demonstration: both users' workloads while one scheduler is killed. */
import {setTimeout as sleep} from 'node:timers/promises';
import {newId} from '@dragonflyward/common';
import {
  Balancer,
  CallerClient,
  readShard,
  Rig,
  type TeamKey,
} from '@dragonflyward/standins';
import {JobLoad} from './job-load.js';
import {demoJobs} from './demo-jobs.js';
import {makeReport, type DemoReport} from './report.js';
import {RequestLoad} from './request-load.js';
import {demoConfiguration, DEMO_FLEET, REQUEST_QUEUES, TEAMS} from './users.js';

const REQUEST_DEADLINE_MS = 8_000;
const LOAD_DURATION_MS = 12_000;
const KILL_AFTER_MS = 4_000;
const JOBS_TIMEOUT_MS = 8_000;
const BASE_OF_FIRST_REVISION = -1;

/** Reports the progress of a run. */
export type ShowProgress = (text: string) => void;

/**
 * Runs the demonstration.
 *
 * @example
 * const report = await runDemo(console.error);
 */
export async function runDemo(show: ShowProgress): Promise<DemoReport> {
  const rig = new Rig(DEMO_FLEET);
  try {
    show('starting the stand-ins');
    await rig.startStandins();
    await rig.operator.publish(demoConfiguration(), BASE_OF_FIRST_REVISION);
    const keys = await grantKeys(rig);
    show('starting three entry VMs');
    await rig.startEntries();
    await rig.waitUntilReady();
    return await runLoads(rig, keys, show);
  } finally {
    await rig.stop();
  }
}

async function grantKeys(rig: Rig): Promise<ReadonlyMap<string, TeamKey>> {
  const keys = new Map<string, TeamKey>();
  for (const team of TEAMS) keys.set(team, await rig.operator.grant(team));
  return keys;
}

async function runLoads(
  rig: Rig,
  keys: ReadonlyMap<string, TeamKey>,
  show: ShowProgress,
): Promise<DemoReport> {
  const balancer = new Balancer(rig);
  const caller = new CallerClient(() => balancer.pick());
  const loads = REQUEST_QUEUES.map(({team, perSecond, ...queue}) => {
    const key = keys.get(team)?.text ?? '';
    const deadlineMs = REQUEST_DEADLINE_MS;
    return new RequestLoad(caller, {...queue, key, deadlineMs}, perSecond);
  });
  const jobs = new JobLoad(caller);
  show('sending requests and jobs');
  for (const load of loads) void load.run();
  const submissions = [...demoJobs(newId('demo'), keys)].map(order =>
    jobs.submit(order),
  );
  await killShardOwner(rig, loads, show);
  const results = await Promise.all(loads.map(load => load.stop()));
  show('waiting for the jobs');
  await Promise.all(submissions);
  await jobs.pollUntilEnded(JOBS_TIMEOUT_MS);
  balancer.stop();
  const nonIdempotent = new Set(
    REQUEST_QUEUES.flatMap(({isIdempotent}, i) =>
      isIdempotent ? [] : (results[i] ?? []).map(res => res.label),
    ),
  );
  const requests = results.flat();
  const records = await rig.targets.records();
  return makeReport({requests, nonIdempotent, jobs, records});
}

async function killShardOwner(
  rig: Rig,
  loads: readonly RequestLoad[],
  show: ShowProgress,
): Promise<void> {
  await sleep(KILL_AFTER_MS);
  const [domain = ''] = DEMO_FLEET.domains;
  const {owner} = await readShard(rig.log, domain);
  if (owner !== null) await rig.kill('scheduler', owner.vm);
  show(`killed the owner of ${domain}`);
  await sleep(LOAD_DURATION_MS - KILL_AFTER_MS);
  const sent = loads.reduce((sum, load) => sum + load.sent, 0);
  show(`${sent} requests sent`);
}
