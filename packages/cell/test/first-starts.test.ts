/** The first starts of a new owner, of steps that need tickets to start. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {Queue, StepSpec} from '@dragonflyward/cell';
import {CONFIG, QUEUE, Rig, STEP, type CellNode} from './rig.js';

const LONG_RUN_MS = 600_000;
/** By then, no executor counts as having just started, in ms. */
const START_AGE_MS = 21_000;
/** Time from the death of an owner to the claim of the next one, in ms. */
const CLAIM_DELAY_MS = 900;
/** By then, a new owner has loaded the state, in ms. */
const LOAD_MS = 100;
const SETTLE_MS = 3000;
/** Time of a call on its way there and back, in ms. */
const ROUND_TRIP_MS = 10;
/** The most time until a round begins: the interval of an owner's ticks. */
const ROUND_MS = 100;
/** How much longer than the decision the owner allows for, in ms. */
const MARGIN_MS = 100;
/** Requests that a round makes besides those that can be sent at once. */
const SPARE_REQUESTS = 2;
/** Time of a call of a slow store, in ms. */
const SLOW_STORE_MS = 250;
const EXECUTORS = 4;
const ADVICE = {decisionMs: 460, perExecutorMs: 8, validityMs: 1500};
const ADVISED = {...QUEUE, name: 'advised', advice: ADVICE};
const URGENT = {...ADVISED, name: 'urgent', priority: 0};
/** A call for the most executors of a first one, in ms. */
const MAX_CALL_MS = ADVICE.decisionMs + 30 * ADVICE.perExecutorMs;
/** Fills an executor. */
const LARGE = {...STEP, size: {...STEP.size, cpuMilli: 3000}};

interface Asked {
  readonly step: string;
  readonly atMs: number;
}

interface LoggedStart {
  readonly sinceClaimMs: number;
  readonly sinceLeaseMs: number;
  readonly sinceActiveMs: number;
  readonly withTickets: number;
  readonly asking: number;
}

interface Job {
  readonly id: string;
  readonly step: StepSpec;
  readonly queue?: Queue;
}

interface Takeover {
  readonly rig: Rig;
  readonly next: CellNode;
  readonly asked: readonly Asked[];
  readonly claimMs: number;
  /** When the former owner can start nothing any more. */
  readonly endMs: number;
}

interface TakeoverCase {
  /** Stored when the first owner is gone. */
  readonly jobs: readonly Job[];
  readonly vms?: readonly string[];
  /** How many executors run something all the time. */
  readonly full?: number;
  /** How long each call of the store takes after the claim, in ms. */
  readonly storeMs?: number;
}

/** Lets an owner claim the cell when jobs wait that nobody has started. */
async function takeOver({
  jobs,
  vms = ['a', 'b', 'c'],
  full = 0,
  storeMs = 0,
}: TakeoverCase): Promise<Takeover> {
  const config = {...CONFIG, queues: [QUEUE, ADVISED, URGENT]};
  const rig = new Rig(
    EXECUTORS,
    () => ({ms: LONG_RUN_MS, how: 'done'}),
    config,
  );
  const asked: Asked[] = [];
  rig.adviceChannels = vms.map(vm => ({
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
  if (full > 0) rig.submit('full', [{...LARGE, count: full}], [owner]);
  await rig.run(SETTLE_MS);
  rig.kill(owner);
  for (const {id, step, queue = ADVISED} of jobs) {
    rig.submit(id, [step], [], queue);
  }
  await rig.run(CLAIM_DELAY_MS);
  const claimMs = rig.clock.monotonicMs();
  const next = rig.newNode('v1');
  void rig.claim(next);
  while (next.ownership === null) await rig.run(1);
  next.store.faults.delayMs = storeMs;
  await rig.run(LOAD_MS);
  const endMs = next.ownership?.formerStartUntilMs ?? Infinity;
  assert.ok(endMs > rig.clock.monotonicMs());
  return {rig, next, asked, claimMs, endMs};
}

/** Time from a claim to the first run of a job, in ms. */
async function firstStartMs(
  {rig, claimMs}: Takeover,
  job: string,
): Promise<number> {
  for (let i = 0; i < SETTLE_MS; i += 1) {
    const runs = rig.executors.flatMap(each => [...each.runs.keys()]);
    if (runs.some(each => each.startsWith(`${job}.`))) break;
    await rig.run(1);
  }
  return rig.clock.monotonicMs() - claimMs;
}

/** Fails unless a job starts a round trip and a round after the start lease. */
async function expectFirstStart(
  takeover: Takeover,
  job: string,
): Promise<void> {
  const {rig, claimMs, endMs, asked} = takeover;
  const startMs = await firstStartMs(takeover, job);
  const untilMs = endMs - claimMs + ROUND_TRIP_MS + ROUND_MS;
  assert.ok(startMs <= untilMs, `${job}: ${startMs} ms, not ${untilMs} ms`);
  assert.equal(rig.checker.violations, []);
  for (const {step, atMs} of asked) {
    const aheadMs = endMs - atMs;
    const text = `${step} asked ${aheadMs} ms ahead`;
    assert.ok(aheadMs <= MAX_CALL_MS + MARGIN_MS, text);
  }
}

function countCalls(asked: readonly Asked[], job: string): number {
  return asked.filter(({step}) => step.startsWith(`${job}.`)).length;
}

const firstStarts = suite('first starts after a claim');

firstStarts('do not wait for tickets of a plain step', async () => {
  const takeover = await takeOver({
    jobs: [{id: 'plain', step: {...STEP, count: 3}}],
  });
  await expectFirstStart(takeover, 'plain');
  assert.is(countCalls(takeover.asked, 'plain'), 1);
});

firstStarts('do not wait for tickets of a gang', async () => {
  const takeover = await takeOver({
    jobs: [{id: 'gang', step: {...LARGE, count: 3, isGang: true}}],
  });
  await expectFirstStart(takeover, 'gang');
  assert.is(countCalls(takeover.asked, 'gang'), 1);
});

firstStarts('are those of the most urgent step', async () => {
  const takeover = await takeOver({
    jobs: [
      {id: 'usual', step: STEP},
      {id: 'urgent', step: STEP, queue: URGENT},
    ],
    vms: ['a'],
  });
  await expectFirstStart(takeover, 'urgent');
  assert.ok(takeover.asked[0]?.step.startsWith('urgent.'));
});

// There is room for one of the two.
firstStarts('leave a lasting task its tickets', async () => {
  const takeover = await takeOver({
    jobs: [
      {id: 'usual', step: LARGE},
      {id: 'lasting', step: {...LARGE, isService: true}},
    ],
    full: EXECUTORS - 1,
  });
  await expectFirstStart(takeover, 'lasting');
  assert.is(countCalls(takeover.asked, 'lasting'), 1);
  assert.is(countCalls(takeover.asked, 'usual'), 0);
});

firstStarts('are urgent where a lasting task has the room too', async () => {
  const takeover = await takeOver({
    jobs: [
      {id: 'urgent', step: LARGE, queue: URGENT},
      {id: 'lasting', step: {...LARGE, isService: true}},
    ],
    full: EXECUTORS - 1,
  });
  await expectFirstStart(takeover, 'urgent');
  assert.is(countCalls(takeover.asked, 'lasting'), 1);
});

firstStarts('take no more calls than can be sent', async () => {
  const jobs = Array.from({length: 8}, (_, i) => ({id: `j${i}`, step: STEP}));
  const vms = ['a', 'b', 'c'];
  const takeover = await takeOver({jobs, vms});
  const {rig, asked, endMs} = takeover;
  await rig.run(endMs - rig.clock.monotonicMs());
  assert.ok(asked.length > 0, 'no call ahead');
  assert.ok(asked.length <= vms.length + SPARE_REQUESTS, `${asked.length}`);
  assert.is(new Set(asked.map(({step}) => step)).size, asked.length);
});

// Until that record is stored, the owner gives no orders.
firstStarts('do not wait for tickets after a slow record', async () => {
  const takeover = await takeOver({
    jobs: [{id: 'plain', step: {...STEP, count: 3}}],
    storeMs: SLOW_STORE_MS,
  });
  await expectFirstStart(takeover, 'plain');
  assert.is(countCalls(takeover.asked, 'plain'), 1);
});

// The log tells whether a first start waited for the load, or for tickets.
firstStarts('are logged, one for each queue that waited', async () => {
  const takeover = await takeOver({
    jobs: [
      {id: 'plain', step: {...STEP, count: 2}},
      {id: 'second', step: STEP},
      {id: 'direct', step: STEP, queue: QUEUE},
    ],
  });
  const {rig, next, claimMs, endMs} = takeover;
  await expectFirstStart(takeover, 'plain');
  const sinceClaimMs = rig.clock.monotonicMs() - claimMs;
  const sinceLeaseMs = rig.clock.monotonicMs() - endMs;
  rig.submit('late', [STEP], [next], URGENT);
  await rig.run(SETTLE_MS);
  const lines = rig.logLines.filter(each => each.includes(' firstStart '));
  assert.is(lines.length, 2, lines.join('\n'));
  const [fields] = lines
    .filter(each => each.includes('"queue":"advised"'))
    .map(each => JSON.parse(each.slice(each.indexOf('{'))) as LoggedStart);
  assert.ok(fields);
  assert.is(fields.withTickets, 2);
  assert.is(fields.asking, 0);
  assert.ok(Math.abs(fields.sinceClaimMs - sinceClaimMs) <= 2 * ROUND_TRIP_MS);
  assert.ok(Math.abs(fields.sinceLeaseMs - sinceLeaseMs) <= ROUND_TRIP_MS);
  assert.ok(fields.sinceActiveMs < fields.sinceClaimMs);
});

firstStarts.run();
