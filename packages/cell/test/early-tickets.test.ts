/** Tickets for lasting tasks that wait for runs of a former owner to end. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {CONFIG, QUEUE, Rig, STEP, type CellNode} from './rig.js';

const LONG_RUN_MS = 600_000;
/** By then, no executor counts as having just started, in ms. */
const START_AGE_MS = 21_000;
const SETTLE_MS = 3000;
/** Time from the death of an owner to the claim of the next one, in ms. */
const CLAIM_DELAY_MS = 900;
/** By then, a new owner has loaded the state, in ms. */
const LOAD_MS = 100;
/** By then, an executor that an owner hands over counts as silent, in ms. */
const SILENT_MS = 2000;
/** The lease that an owner gives, with the margin for clocks, in ms. */
const LEASE_MS = 6480;
/** Time for a tick of the owner, a round and a start, in ms. */
const START_MS = 200;
/** How much longer than the decision the owner allows for, in ms. */
const MARGIN_MS = 100;
/** Time of a call on its way there and back, in ms. */
const ROUND_TRIP_MS = 10;
const EXECUTORS = 4;
const ADVICE = {decisionMs: 560, perExecutorMs: 8, validityMs: 1500};
const ADVISED = {...QUEUE, name: 'advised', advice: ADVICE};
/** A call for all executors, and for the most in a first call, in ms. */
const CALL_MS = ADVICE.decisionMs + EXECUTORS * ADVICE.perExecutorMs;
const MAX_CALL_MS = ADVICE.decisionMs + 30 * ADVICE.perExecutorMs;
const LASTING = {...STEP, isService: true};
const SPREAD = {...LASTING, count: 3, maxPerExecutor: 1};

interface Asked {
  readonly step: string;
  readonly atMs: number;
}

interface Started {
  readonly rig: Rig;
  readonly owner: CellNode;
  /** The task that runs on x1. */
  readonly task: string;
  readonly asked: Asked[];
}

/** An owner under which a task that needs advice runs on x1. */
async function startOwner(): Promise<Started> {
  const config = {...CONFIG, queues: [QUEUE, ADVISED]};
  const behave = (): {ms: number; how: 'failed'} => ({
    ms: LONG_RUN_MS,
    how: 'failed',
  });
  const rig = new Rig(EXECUTORS, behave, config);
  const asked: Asked[] = [];
  rig.adviceChannels = ['a', 'b', 'c'].map(vm => ({
    vm,
    isInOwnerDomain: true,
    ask: async (step, ids) => {
      asked.push({step, atMs: rig.clock.monotonicMs()});
      const decisionMs = ADVICE.decisionMs + ids.length * ADVICE.perExecutorMs;
      await rig.clock.sleep(decisionMs + ROUND_TRIP_MS);
      return ids.map(executorId => ({executorId, ticket: 't'}));
    },
  }));
  const owner = rig.newNode('v0');
  void rig.claim(owner);
  await rig.run(START_AGE_MS);
  rig.submit('early', [SPREAD], [owner], ADVISED);
  await rig.run(SETTLE_MS);
  const [task = ''] = rig.executor('x1').runs.keys();
  assert.is.not(task, '');
  return {rig, owner, task, asked};
}

/** When the runs have surely ended that a former owner started there. */
function waitEndMs({ownership}: CellNode, executorId: string): number {
  const orders = ownership?.formerOrders(executorId);
  return (orders?.untilMs ?? Infinity) + LEASE_MS;
}

function countRuns(rig: Rig, task: string): number {
  return rig.executors.filter(({runs}) => runs.has(task)).length;
}

async function runUntil(rig: Rig, ms: number): Promise<void> {
  await rig.run(ms - rig.clock.monotonicMs());
}

/** Fails unless one call was made since a time, not too early for the end. */
function expectOneCall(
  asked: readonly Asked[],
  sinceMs: number,
  endMs: number,
): void {
  const calls = asked.filter(({atMs}) => atMs >= sinceMs);
  assert.is(calls.length, 1, JSON.stringify(calls));
  const aheadMs = endMs - (calls[0]?.atMs ?? -Infinity);
  assert.ok(aheadMs <= MAX_CALL_MS + MARGIN_MS, `${aheadMs} ms ahead`);
}

const early = suite('tickets ahead of the end of a wait');

/** Fails unless the task starts again when the runs on x1 have ended. */
async function expectStartAtEnd(
  {rig, task, asked}: Started,
  owner: CellNode,
): Promise<void> {
  const claimMs = rig.clock.monotonicMs();
  await rig.run(LOAD_MS);
  const endMs = waitEndMs(owner, 'x1');
  await runUntil(rig, endMs - 1);
  assert.is(rig.checker.startCount(task), 1);
  await runUntil(rig, endMs + START_MS);
  assert.is(countRuns(rig, task), 1, `${task} has no run`);
  assert.is(rig.checker.startCount(task), 2);
  assert.equal(rig.checker.violations, []);
  expectOneCall(asked, claimMs, endMs);
}

early('starts a lasting task when its wait ends after a kill', async () => {
  const started = await startOwner();
  const {rig, owner} = started;
  rig.executor('x1').isDisconnected = true;
  rig.kill(owner);
  await rig.run(CLAIM_DELAY_MS);
  const next = rig.newNode('v1');
  void rig.claim(next);
  await expectStartAtEnd(started, next);
});

early('starts a lasting task when its wait ends after a handover', async () => {
  const started = await startOwner();
  const {rig, owner} = started;
  rig.executor('x1').isDisconnected = true;
  await rig.run(SILENT_MS);
  const next = rig.newNode('v1');
  void rig.handOver(owner, next);
  await expectStartAtEnd(started, next);
});

// The former owner has told which tasks may run on each of them.
early('waits for no other executor than that of the task', async () => {
  const started = await startOwner();
  const {rig, owner, task} = started;
  const other = rig.executors.find(
    ({runs}) => runs.size > 0 && !runs.has(task),
  );
  assert.ok(other);
  rig.executor('x1').isDisconnected = true;
  await rig.run(SILENT_MS);
  other.isDisconnected = true;
  await rig.run(SILENT_MS);
  const next = rig.newNode('v1');
  void rig.handOver(owner, next);
  await rig.run(LOAD_MS);
  assert.ok(waitEndMs(next, other.id) > waitEndMs(next, 'x1') + START_MS);
  await expectStartAtEnd(started, next);
});

// Any task may be started by the former owner until then.
early('starts a lasting task when the start lease ends', async () => {
  const {rig, owner, asked} = await startOwner();
  rig.kill(owner);
  await rig.run(CLAIM_DELAY_MS);
  const claimMs = rig.clock.monotonicMs();
  const next = rig.newNode('v1');
  void rig.claim(next);
  await rig.run(LOAD_MS);
  rig.submit('late', [LASTING], [next], ADVISED);
  const endMs = next.ownership?.formerStartUntilMs ?? Infinity;
  const leftMs = endMs - rig.clock.monotonicMs();
  assert.ok(leftMs > CALL_MS + ROUND_TRIP_MS, `${leftMs} ms`);
  await runUntil(rig, endMs + START_MS);
  assert.is(countRuns(rig, 'late.0.0.0'), 1);
  assert.equal(rig.checker.violations, []);
  expectOneCall(asked, claimMs, endMs);
});

// The executor answers the new owner long before its lease would have ended.
early('requests no tickets for a task that is found', async () => {
  const {rig, owner, task, asked} = await startOwner();
  rig.executor('x1').isDisconnected = true;
  rig.kill(owner);
  await rig.run(CLAIM_DELAY_MS);
  const claimMs = rig.clock.monotonicMs();
  void rig.claim(rig.newNode('v1'));
  await rig.run(SETTLE_MS);
  rig.executor('x1').isDisconnected = false;
  await rig.run(4 * SETTLE_MS);
  assert.is(countRuns(rig, task), 1);
  assert.is(rig.checker.startCount(task), 1);
  assert.equal(rig.checker.violations, []);
  assert.equal(
    asked.filter(({atMs}) => atMs >= claimMs),
    [],
  );
});

early.run();
