/** The stand-ins' injected faults, seen through the real clients. */
import {
  newId,
  NO_RESOURCES,
  toFailure,
  type Resources,
} from '@dragonflyward/common';
import {HttpLogClient} from '@dragonflyward/log';
import {HttpWorkerClient, type TaskStart} from '@dragonflyward/target';
import {HttpVmListClient, type VmEntry} from '@dragonflyward/vms';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {findOverlappingRuns, Rig, waitUntil} from '../src/index.js';

const SIZE: Resources = {...NO_RESOURCES, cpuMilli: 1_000, memMb: 1_024};
const LEASE_MS = 300;
const TIMEOUT_MS = 10_000;

const standins = suite('stand-ins');
const rig = new Rig({
  domains: ['north-1'],
  entriesPerDomain: 0,
  workers: [{count: 2, capacity: {...SIZE, cpuMilli: 1_500}}],
  executors: [],
});

async function errorKindOf(call: Promise<unknown>): Promise<string> {
  try {
    await call;
    return 'ok';
  } catch (err) {
    return toFailure(err).kind;
  }
}

function newRecord(): {readonly id: string; readonly data: string} {
  return {id: newId('r'), data: 'x'};
}

function workerClient(index: number): HttpWorkerClient {
  const {ip, port} = rig.targets.vms[index] as VmEntry;
  return new HttpWorkerClient(ip, port, 'north-1');
}

function newTaskStart(taskId: string, term: number, runMs: number): TaskStart {
  return {
    taskId,
    jobId: taskId.split('.')[0] ?? '',
    team: 'roofs',
    queue: 'kilns',
    shard: 'north-1',
    term,
    size: SIZE,
    leaseMs: LEASE_MS,
    startWithinMs: 1_000,
    payload: {runMs},
  };
}

async function countRecords(stream: string): Promise<number> {
  const page = await rig.log.read(stream, 0, {maxRecords: 100, waitMs: 0});
  return page.records.length;
}

standins.before(() => rig.startStandins());
standins.after(() => rig.stop());

standins('an append without reply is unknown and took effect', async () => {
  await rig.setLogFaults({loseReplies: 1});
  const call = rig.log.append('lost', [newRecord()]);
  assert.is(await errorKindOf(call), 'appendUnknown');
  assert.is(await countRecords('lost'), 1);
});

standins('an append that is refused surely had no effect', async () => {
  await rig.setLogFaults({outage: true});
  assert.is(await errorKindOf(rig.log.append('out', [newRecord()])), 'logDown');
  await rig.setLogFaults({outage: false, refuseAppends: true});
  assert.is(await errorKindOf(rig.log.append('out', [newRecord()])), 'logDown');
  await rig.setLogFaults({refuseAppends: false});
  assert.is(await countRecords('out'), 0);
});

standins('a silent log service fails a call in bounded time', async () => {
  rig.processes.signal('log', 'SIGSTOP');
  const call = rig.log.append('silent', [newRecord()]);
  assert.is(await errorKindOf(call), 'appendUnknown');
  rig.processes.signal('log', 'SIGCONT');
});

standins('old records are dropped and a read starts at the first', async () => {
  await rig.setLogFaults({retainRecords: 2});
  for (let i = 0; i < 5; i += 1) await rig.log.append('short', [newRecord()]);
  const page = await rig.log.read('short', 0, {maxRecords: 9, waitMs: 0});
  assert.equal([page.first, page.end, page.records.length], [3, 5, 2]);
  await rig.setLogFaults({retainRecords: 1_000});
});

standins('a cut client gets no service while others do', async () => {
  const {ip} = rig.targets.vms[0] as VmEntry;
  const cut = new HttpLogClient(rig.logUrl, {localAddress: ip});
  await rig.setLogFaults({cutFrom: [ip]});
  assert.is(await errorKindOf(cut.streams()), 'logDown');
  assert.is(await errorKindOf(rig.log.streams()), 'ok');
  await rig.setLogFaults({cutFrom: []});
});

standins('the list of VMs lags behind', async () => {
  const vms = new HttpVmListClient(rig.vmListUrl);
  await rig.changeVmList({lagMs: 1_000_000, remove: ['worker-2']});
  assert.is((await vms.list()).length, 0);
  await rig.changeVmList({lagMs: 0});
  assert.is((await vms.list()).length, 1);
});

standins('a worker refuses an old term unless fencing is off', async () => {
  const worker = workerClient(0);
  await worker.inventory('north-1', 5);
  const stale = worker.start(newTaskStart('fence.0.0', 4, 10));
  assert.is(await errorKindOf(stale), 'staleTerm');
  await rig.targets.setWorkerFaults('worker-1', {fencing: false});
  assert.is(
    await errorKindOf(worker.start(newTaskStart('fence.0.0', 4, 10))),
    'ok',
  );
  await rig.targets.setWorkerFaults('worker-1', {fencing: true});
});

standins(
  'a task ends with its lease, and overlapping runs are found',
  async () => {
    await workerClient(0).start(newTaskStart('twice.0.0', 9, 60_000));
    await workerClient(1).start(newTaskStart('twice.0.1', 9, 60_000));
    const tasks = await waitUntil('both lapsed', TIMEOUT_MS, async () => {
      const {tasks: runs} = await rig.targets.records();
      const mine = runs.filter(run => run.jobId === 'twice');
      return mine.every(run => run.end === 'leaseLapsed') && mine;
    });
    assert.equal(findOverlappingRuns(tasks), ['twice.0']);
  },
);

standins('a worker records overcommit', async () => {
  const before = (await rig.targets.records()).overcommits.length;
  await workerClient(0).start(newTaskStart('over.0.0', 9, 5_000));
  await workerClient(0).start(newTaskStart('over.1.0', 9, 5_000));
  assert.is((await rig.targets.records()).overcommits.length, before + 1);
});

standins('a silent worker neither starts nor answers', async () => {
  await rig.targets.setWorkerFaults('worker-2', {silent: true});
  const call = workerClient(1).start(newTaskStart('quiet.0.0', 9, 10));
  assert.is(await errorKindOf(call), 'targetLost');
  const {tasks} = await rig.targets.records();
  assert.not.ok(tasks.some(run => run.jobId === 'quiet'));
});

standins('a task whose connection is refused surely did not run', async () => {
  const unreachable = new HttpWorkerClient('127.0.0.1', 1, 'north-1');
  const call = unreachable.start(newTaskStart('gone.0.0', 1, 10));
  assert.is(await errorKindOf(call), 'targetRefused');
});

standins.run();
