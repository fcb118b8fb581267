/** Tasks whose queue was sent to another service after they had started. */
import type {CellConfig, StepSpec} from '@dragonflyward/cell';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {CONFIG, QUEUE, Rig, STEP, type CellNode} from './rig.js';

const LONG_RUN_MS = 600_000;
const SETTLE_MS = 3000;
/** Time from the death of an owner to the claim of the next one, in ms. */
const CLAIM_DELAY_MS = 900;
/** By then, a new owner has loaded its state and started what it may, in ms. */
const TAKEOVER_MS = 3500;
/** Longer than all leases that a former owner gave, in ms. */
const ALL_LEASES_MS = 12_000;
/** Executors of the rig, two of each service. */
const SERVICES: readonly string[] = ['svc', 'svc', 'beta', 'beta', 'c', 'c'];
const SPREAD: StepSpec = {...STEP, count: 2, maxPerExecutor: 1};
const LIMIT = {cpuMilli: 2000, memMb: 0, accel: 0, slots: 0};

function sentTo(service: string, version: number): CellConfig {
  return {...CONFIG, version, queues: [{...QUEUE, service}]};
}

const BETA = sentTo('beta', 2);
const GAMMA = sentTo('c', 3);
const REMOVED: CellConfig = {...CONFIG, version: 4, queues: []};

interface Cell {
  readonly rig: Rig;
  readonly owner: CellNode;
}

async function startCell(config = CONFIG): Promise<Cell> {
  const rig = new Rig(
    SERVICES.length,
    () => ({ms: LONG_RUN_MS, how: 'done'}),
    config,
    id => SERVICES[Number(id.slice(1))] ?? '',
  );
  const owner = rig.newNode('v0');
  void rig.claim(owner);
  await rig.run(SETTLE_MS);
  return {rig, owner};
}

/** A cell whose job runs on the two executors of the first service. */
async function startJob(steps = [SPREAD], config = CONFIG): Promise<Cell> {
  const cell = await startCell(config);
  cell.rig.submit('job', steps, [cell.owner]);
  await cell.rig.run(SETTLE_MS);
  assert.is(runsOn(cell, 'x0', 'x1'), 2);
  return cell;
}

/** Changes the configuration of an owner and of all later ones. */
async function configure(
  {rig, owner}: Cell,
  config: CellConfig,
  ms = SETTLE_MS,
): Promise<void> {
  rig.config = config;
  owner.owner?.setConfig(config);
  await rig.run(ms);
}

/** Kills the owner and cuts executors off; another process takes over. */
async function loseOwner(
  cell: Cell,
  ...executorIds: readonly string[]
): Promise<Cell> {
  const {rig, owner} = cell;
  cutOff(cell, ...executorIds);
  rig.kill(owner);
  await rig.run(CLAIM_DELAY_MS);
  const next = rig.newNode('v1');
  void rig.claim(next);
  await rig.run(TAKEOVER_MS);
  return {rig, owner: next};
}

function cutOff({rig}: Cell, ...ids: readonly string[]): void {
  for (const id of ids) rig.executor(id).isDisconnected = true;
}

function reconnect({rig}: Cell): void {
  for (const each of rig.executors) each.isDisconnected = false;
}

function runsOn({rig}: Cell, ...ids: readonly string[]): number {
  return ids.reduce((sum, id) => sum + rig.executor(id).runs.size, 0);
}

function assertSound({rig}: Cell): void {
  assert.equal(rig.checker.violations, []);
}

const moved = suite('a task of a queue that was sent to another service');

moved('runs once after a crash of the owner', async () => {
  const cell = await startJob();
  await configure(cell, BETA);
  const next = await loseOwner(cell, 'x0', 'x1');
  assert.is(runsOn(next, 'x2', 'x3'), 0);
  assertSound(next);
  reconnect(next);
  await next.rig.run(ALL_LEASES_MS);
  assert.is(runsOn(next, 'x0', 'x1', 'x2', 'x3'), 2);
  assertSound(next);
});

// The executors answer the next owner after its first round.
moved('runs once after a planned handover', async () => {
  const cell = await startJob();
  const {rig, owner} = cell;
  await configure(cell, BETA);
  for (const id of ['x0', 'x1']) rig.executor(id).latencyMs = 60;
  const next = rig.newNode('v1');
  void rig.handOver(owner, next);
  await rig.run(TAKEOVER_MS);
  assert.is(runsOn(cell, 'x0', 'x1'), 2);
  assertSound(cell);
});

moved('runs once if the service changed again before the crash', async () => {
  const cell = await startCell();
  cell.rig.submit('job', [SPREAD], []);
  await configure(cell, BETA);
  assert.is(runsOn(cell, 'x2', 'x3'), 2);
  await configure(cell, GAMMA);
  const next = await loseOwner(cell, 'x2', 'x3');
  assert.is(runsOn(next, 'x0', 'x1', 'x4', 'x5'), 0);
  assertSound(next);
});

moved('runs once if its route was removed', async () => {
  const cell = await startCell();
  cell.rig.submit('job', [SPREAD], []);
  await configure(cell, BETA);
  assert.is(runsOn(cell, 'x2', 'x3'), 2);
  await configure(cell, REMOVED);
  const next = await loseOwner(cell, 'x2', 'x3');
  assert.is(runsOn(next, 'x0', 'x1'), 0);
  assertSound(next);
});

moved('runs once through two changes of the owner', async () => {
  const cell = await startJob();
  await configure(cell, BETA);
  const second = await loseOwner(cell, 'x0', 'x1');
  const third = await loseOwner(second);
  assert.is(runsOn(third, 'x2', 'x3'), 0);
  assertSound(third);
});

moved('runs once if the configuration changes during the load', async () => {
  const cell = await startJob();
  cutOff(cell, 'x0', 'x1');
  cell.rig.kill(cell.owner);
  await cell.rig.run(CLAIM_DELAY_MS);
  const owner = cell.rig.newNode('v1');
  void cell.rig.claim(owner);
  const next = {...cell, owner};
  while (owner.owner === null) await cell.rig.run(1);
  await configure(next, BETA, TAKEOVER_MS);
  assert.is(runsOn(next, 'x2', 'x3'), 0);
  assertSound(next);
});

moved('runs once as a gang', async () => {
  const cell = await startJob([{...SPREAD, isGang: true}]);
  await configure(cell, BETA);
  const next = await loseOwner(cell, 'x0', 'x1');
  assert.is(runsOn(next, 'x2', 'x3'), 0);
  assertSound(next);
});

moved('runs once if its executor is listed under the other one', async () => {
  const cell = await startCell();
  const {rig, owner} = cell;
  rig.submit('job', [STEP], [owner]);
  await rig.run(SETTLE_MS);
  const [executor] = rig.executors.filter(({runs}) => runs.size > 0);
  assert.ok(executor);
  executor.isDisconnected = true;
  executor.info = {...executor.info, service: 'beta'};
  const next = await loseOwner(cell);
  assert.is(runsOn(next, 'x0', 'x1'), 1);
  assertSound(next);
});

moved('starts again once all leases there have ended', async () => {
  const cell = await startJob();
  await configure(cell, BETA);
  const next = await loseOwner(cell, 'x0', 'x1');
  await next.rig.run(ALL_LEASES_MS);
  assert.is(runsOn(next, 'x2', 'x3'), 2);
  assertSound(next);
});

moved('is stopped there once its job is cancelled', async () => {
  const cell = await startJob();
  await configure(cell, BETA);
  const next = await loseOwner(cell, 'x0', 'x1');
  next.rig.cancel('job', [next.owner]);
  reconnect(next);
  await next.rig.run(SETTLE_MS);
  assert.is(runsOn(next, 'x0', 'x1', 'x2', 'x3'), 0);
  assertSound(next);
});

moved('counts towards the limit of its organisation', async () => {
  const organisations = [{name: '', weight: 1, limit: LIMIT}];
  const cell = await startJob([SPREAD], {...CONFIG, organisations});
  await configure(cell, {...BETA, organisations});
  const next = await loseOwner(cell, 'x0', 'x1');
  next.rig.submit('late', [SPREAD], [next.owner]);
  await next.rig.run(SETTLE_MS);
  assert.is(runsOn(next, 'x2', 'x3'), 0);
});

// The start waits for a connection meanwhile.
moved('is not started on the former one', async () => {
  const cell = await startCell();
  const {rig, owner} = cell;
  for (const each of rig.executors) each.connectMs = 600;
  rig.submit('job', [SPREAD], [owner]);
  await rig.run(300);
  await configure(cell, BETA);
  assert.is(rig.checker.starts, 2);
  assert.is(runsOn(cell, 'x2', 'x3'), 2);
});

const waits = suite('a task waits for no executor');

waits('of a service to which its queue was never sent', async () => {
  const cell = await startCell();
  await configure(cell, BETA);
  cell.rig.submit('job', [SPREAD], []);
  const next = await loseOwner(cell, 'x4');
  await next.rig.run(SETTLE_MS);
  assert.is(runsOn(next, 'x2', 'x3'), 2);
});

const stored = suite('a task starts on another service');

stored('only once it is stored that it may', async () => {
  const cell = await startCell();
  const {rig, owner} = cell;
  for (const id of ['x0', 'x1']) rig.executor(id).isGrey = true;
  rig.submit('job', [SPREAD], [owner]);
  await rig.run(500);
  owner.store.faults.isRefusing = true;
  owner.isConnectedToAll = true;
  await configure(cell, BETA, 1000);
  assert.is(runsOn(cell, 'x2', 'x3'), 0);
  owner.store.faults.isRefusing = false;
  await rig.run(SETTLE_MS);
  assert.is(runsOn(cell, 'x2', 'x3'), 2);
  assertSound(cell);
});

moved.run();
waits.run();
stored.run();
