/** The phases of jobs whose starts are refused, lost or not answered. */
import type {JobPhase, StepSpec} from '@dragonflyward/cell';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {FakeExecutor} from './fake-executor.js';
import {Rig, STEP, type CellNode} from './rig.js';

const LONG_RUN_MS = 600_000;
/** An executor in the store is found and answers by then, in ms. */
const FOUND_MS = 2000;
/** A start is decided by then, and not answered yet, in ms. */
const DECIDED_MS = 50;
/** By then, a start is answered and rows have arrived, in ms. */
const ANSWERED_MS = 500;
/** How long an owner waits for the answer to a start, in ms. */
const LOST_ANSWER_MS = 800;
/** Fills an executor of the rig. */
const LARGE: StepSpec = {...STEP, size: {...STEP.size, cpuMilli: 3000}};
const GANG: StepSpec = {...LARGE, isGang: true, count: 2};

interface Cell {
  readonly rig: Rig;
  readonly owner: CellNode;
  readonly first: FakeExecutor;
}

async function startCell(executorCount: number): Promise<Cell> {
  const rig = new Rig(executorCount, () => ({ms: LONG_RUN_MS, how: 'done'}));
  const owner = rig.newNode('v0');
  void rig.claim(owner);
  await rig.run(FOUND_MS);
  return {rig, owner, first: rig.executor('x0')};
}

/** Submits a job and lets the owner decide to start it. */
async function submit(
  {rig, owner}: Cell,
  steps: readonly StepSpec[] = [STEP],
): Promise<void> {
  rig.submit('job', steps, [owner]);
  await rig.run(DECIDED_MS);
}

/** What the VMs show, the row of the owner, and what the checker found. */
function assertShown({rig, owner}: Cell, phase: JobPhase): void {
  assert.is(rig.rows.get('job')?.phase, phase);
  assert.is(owner.owner?.findRow('job')?.phase, phase);
  assert.equal(rig.checker.violations, []);
}

const waiting = suite('a job that has not begun counts as waiting');

waiting('while an executor refuses its starts', async () => {
  const cell = await startCell(1);
  for (const each of cell.rig.executors) each.isGrey = true;
  await submit(cell);
  await cell.rig.run(4000);
  assertShown(cell, 'queued');
  for (const each of cell.rig.executors) each.isGrey = false;
  await cell.rig.run(2000);
  assertShown(cell, 'running');
});

waiting('until its start is answered', async () => {
  const cell = await startCell(1);
  for (const each of cell.rig.executors) each.latencyMs = 100;
  await submit(cell);
  assertShown(cell, 'queued');
  await cell.rig.run(ANSWERED_MS);
  assertShown(cell, 'running');
});

waiting('while its start waits for a connection', async () => {
  const cell = await startCell(1);
  for (const each of cell.rig.executors) each.connectMs = 1000;
  await submit(cell);
  await cell.rig.run(ANSWERED_MS);
  assertShown(cell, 'queued');
});

waiting('if its executor restarts before the start arrives', async () => {
  const cell = await startCell(1);
  const {first: executor} = cell;
  executor.connectMs = 30;
  cell.rig.submit('job', [STEP], [cell.owner]);
  await cell.rig.run(20);
  executor.restart();
  executor.isGrey = true;
  await cell.rig.run(2000);
  assertShown(cell, 'queued');
});

waiting('if all starts of its gang are refused', async () => {
  const cell = await startCell(2);
  for (const each of cell.rig.executors) each.isGrey = true;
  await submit(cell, [GANG]);
  await cell.rig.run(2000);
  assertShown(cell, 'queued');
});

waiting('if its owner is lost before the start is answered', async () => {
  const cell = await startCell(1);
  const {rig, owner} = cell;
  for (const each of rig.executors) each.isDisconnected = true;
  await submit(cell);
  rig.kill(owner);
  const next = rig.newNode('v1');
  void rig.claim(next);
  await rig.run(5000);
  assertShown({...cell, owner: next}, 'queued');
});

const running = suite('a job that has begun is shown as running');

running('if the answer to its start is lost', async () => {
  const cell = await startCell(1);
  const {first: executor} = cell;
  cell.rig.submit('job', [STEP], [cell.owner]);
  while (executor.runs.size === 0) await cell.rig.run(1);
  executor.isDisconnected = true;
  await cell.rig.run(LOST_ANSWER_MS);
  assertShown(cell, 'queued');
  executor.isDisconnected = false;
  await cell.rig.run(ANSWERED_MS);
  assertShown(cell, 'running');
});

running('if a member of its gang has been accepted', async () => {
  const cell = await startCell(2);
  cell.first.isGrey = true;
  await submit(cell, [GANG]);
  await cell.rig.run(ANSWERED_MS);
  assertShown(cell, 'running');
});

running('while its executor is replaced', async () => {
  const cell = await startCell(1);
  await submit(cell);
  await cell.rig.run(ANSWERED_MS);
  cell.first.restart();
  cell.first.isGrey = true;
  await cell.rig.run(3000);
  assertShown(cell, 'running');
});

running('by a new owner that finds its run', async () => {
  const cell = await startCell(1);
  const {rig, owner} = cell;
  await submit(cell);
  await rig.run(ANSWERED_MS);
  rig.kill(owner);
  const next = rig.newNode('v1');
  void rig.claim(next);
  await rig.run(5000);
  assertShown({...cell, owner: next}, 'running');
});

running('while the owner may start nothing', async () => {
  const cell = await startCell(1);
  const {first: executor} = cell;
  cell.rig.submit('job', [STEP], [cell.owner]);
  while (executor.runs.size === 0) await cell.rig.run(1);
  cell.rig.closuresOf = () => ({
    closedDomains: cell.rig.closedDomains,
    areClosuresKnown: () => false,
  });
  await cell.rig.run(ANSWERED_MS);
  assertShown(cell, 'running');
});

waiting.run();
running.run();
