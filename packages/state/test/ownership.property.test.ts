import {isSameProcess, type ProcessRef} from '@dragonflyward/common';
import {
  OwnerTasks,
  RECORD_VERSION,
  ShardOwnership,
  ShardState,
  type OwnershipOptions,
} from '@dragonflyward/state';
import {promiseTest} from '@dragonflyward/common/promise-test';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Cell, STREAM, type CellOptions, type Member} from './cell.js';

const SEED = 20261204;
const RUNS = 60;
const MAX_STEPS = 14;
const SETTLE_MS = 30_000;

const FAULTS = [
  'kill',
  'restart',
  'replace',
  'pause',
  'resume',
  'cutFromLog',
  'healLog',
  'cutFromPeers',
  'healPeers',
  'outage',
  'outageEnds',
  'loseReplies',
  'handOver',
] as const;

type Fault = (typeof FAULTS)[number];

interface Step {
  readonly fault: Fault;
  /** Bit mask of the affected processes, or the index of a single one. */
  readonly target: number;
  readonly durationMs: number;
}

function stepOf(faults: readonly Fault[]): fc.Arbitrary<Step> {
  return fc.record({
    fault: fc.constantFrom(...faults),
    target: fc.nat(15),
    durationMs: fc.integer({min: 100, max: 6_000}),
  });
}

const ANY_STEPS = fc.array(stepOf(FAULTS), {
  minLength: 1,
  maxLength: MAX_STEPS,
});

/** Cuts some processes off from the log, and all others from their peers. */
const PARTITION_STEPS = fc
  .tuple(fc.nat(15), fc.integer({min: 100, max: 12_000}))
  .map(([target, durationMs]): readonly Step[] => [
    {fault: 'cutFromLog', target, durationMs: 100},
    {fault: 'cutFromPeers', target: 15 - target, durationMs},
  ]);

/** Leaves a write in flight while its writer is dead, paused or cut off. */
const LATE_WRITE_STEPS = fc.tuple(
  stepOf(['loseReplies']),
  stepOf(['kill', 'pause', 'cutFromLog']),
  stepOf(FAULTS),
);

const STEPS: fc.Arbitrary<readonly Step[]> = fc.oneof(
  ANY_STEPS,
  PARTITION_STEPS,
  LATE_WRITE_STEPS,
);

function inject(cell: Cell, {fault, target, durationMs}: Step): void {
  const alive = cell.members.filter(m => !m.isDead);
  const [owner] = cell.acting();
  const single = target === 0 ? owner : alive[target % alive.length];
  const several = alive.filter((_, i) => (target >> (i % 4)) % 2 === 1);
  if (single !== undefined) injectInto(cell, single, fault);
  for (const member of several) isolate(member, fault);
  injectForAll(cell, fault);
  if (fault !== 'loseReplies') return;
  cell.log.lostReplies = 1 + (target % 4);
  cell.log.delayedEffectMs = durationMs * 4;
}

function injectForAll({log, members}: Cell, fault: Fault): void {
  if (fault === 'outage') log.isDown = true;
  if (fault === 'outageEnds') log.isDown = false;
  for (const member of members) {
    if (fault === 'resume') member.clock.isPaused = false;
    if (fault === 'healLog') member.client.isOffline = member.isDead;
    if (fault === 'healPeers') member.isCutFromPeers = false;
  }
}

function isolate(member: Member, fault: Fault): void {
  if (fault === 'pause') member.clock.isPaused = true;
  if (fault === 'cutFromLog') member.client.isOffline = true;
  if (fault === 'cutFromPeers') member.isCutFromPeers = true;
}

function injectInto(cell: Cell, member: Member, fault: Fault): void {
  const {ref} = member;
  if (fault === 'handOver') return handOver(member);
  if (!['kill', 'restart', 'replace'].includes(fault)) return;
  cell.kill(member);
  if (fault === 'restart') cell.start(ref.vm, ref.incarnation + 1);
  if (fault !== 'replace') return;
  cell.droppedVms.add(ref.vm);
  cell.start(`vm${cell.members.length}`);
}

function handOver({ownership, state}: Member): void {
  const [first, ...others] = state.successors;
  if (first !== undefined) void ownership.handOver(first, others);
}

async function heal(cell: Cell): Promise<void> {
  cell.log.isDown = false;
  cell.log.lostReplies = 0;
  for (const member of cell.members) {
    member.isCutFromPeers = false;
    member.clock.isPaused = false;
    member.client.isOffline = member.isDead;
  }
  const aliveVms = cell.members.filter(m => !m.isDead).map(m => m.ref.vm);
  for (const {ref} of cell.members) {
    if (!aliveVms.includes(ref.vm)) cell.droppedVms.add(ref.vm);
  }
  cell.start('last');
  await cell.run(SETTLE_MS);
}

async function play(
  steps: readonly Step[],
  options: CellOptions = {},
): Promise<Cell> {
  const cell = new Cell(options);
  for (const vm of ['a', 'b', 'c', 'd']) cell.start(vm);
  await cell.run(4_000);
  for (const step of steps) {
    inject(cell, step);
    if (step.target % 2 === 0) cell.acceptJobs();
    await cell.run(step.durationMs);
  }
  return cell;
}

/**
 * Replays the log; returns whether a job record was applied that the owner at
 * that point did not write.
 */
function hasJobOfNonOwner(cell: Cell, state: ShardState): boolean {
  let isForeign = false;
  for (const record of cell.log.records(STREAM)) {
    const isApplied = state.apply(record) === 'applied';
    const data = record.data as {job?: {payload: {writer: ProcessRef}}};
    const writer = data.job?.payload.writer;
    if (!isApplied || writer === undefined) continue;
    isForeign ||= !state.owner || !isSameProcess(writer, state.owner);
  }
  return isForeign;
}

/** Checks that a property holds, or that a counterexample is found. */
function check<T>(
  name: string,
  values: fc.Arbitrary<T>,
  holds: (value: T) => Promise<boolean>,
  shouldHold = true,
): void {
  const body = async (): Promise<void> => {
    const run = fc.asyncProperty(values, holds);
    const numRuns = shouldHold ? RUNS : RUNS * 4;
    const options = {seed: SEED, numRuns, endOnFailure: true};
    const {failed, counterexample} = await fc.check(run, options);
    assert.is(!failed, shouldHold, JSON.stringify(counterexample));
  };
  if (shouldHold) promiseTest(property, 'one-place', name, body);
  else property(name, body);
}

/** Checks that the steps lead to a violation with a mechanism disabled. */
function checkFails(
  name: string,
  steps: fc.Arbitrary<readonly Step[]>,
  options: CellOptions,
): void {
  const holds = async (value: readonly Step[]): Promise<boolean> => {
    const cell = await play(value, options);
    cell.end();
    return cell.violations === 0;
  };
  check(name, steps, holds, false);
}

/**
 * Delivers the claim of a dropped successor late, while all other processes are
 * cut off from the log.
 */
async function playLateClaim(
  appendDelayMs: number,
  options: CellOptions = {},
): Promise<boolean> {
  const cell = await play([], options);
  const [owner, dropped, ...others] = cell.members;
  assert.ok(owner && dropped);
  const {term: prevTerm, listVersion: prevListVersion} = dropped.state;
  dropped.client.isOffline = true;
  dropped.isCutFromPeers = true;
  await cell.run(6_000);
  for (const member of [owner, ...others]) member.client.isOffline = true;
  await cell.run(appendDelayMs);
  const preconditions = {prevTerm, prevListVersion};
  const claim = {v: RECORD_VERSION, type: 'claim', ...preconditions};
  const data = {...claim, owner: dropped.ref, successors: []};
  cell.log.appendNow(STREAM, [{id: 'late', data}]);
  dropped.client.isOffline = false;
  await cell.run(8_000);
  cell.end();
  return cell.violations === 0;
}

const APPEND_DELAY_MS = fc.integer({min: 0, max: 8_000});

const property = suite('ownership under random faults');

check('one owner at a time, and one again once healed', STEPS, async steps => {
  const cell = await play(steps);
  await heal(cell);
  const ownerCount = cell.acting().length;
  cell.end();
  return cell.violations === 0 && ownerCount === 1;
});

check('accepted jobs survive; only owners write', STEPS, async steps => {
  const cell = await play(steps);
  await heal(cell);
  cell.end();
  const state = new ShardState();
  if (hasJobOfNonOwner(cell, state)) return false;
  return [...cell.accepted].every(jobId => state.jobs.has(jobId));
});

check('a dropped successor cannot win', APPEND_DELAY_MS, ms =>
  playLateClaim(ms),
);

/** Acts as soon as it reads its claim back. */
class NoClaimWaitOwnership extends ShardOwnership {
  protected override claimWaitMs(): number {
    return 0;
  }
}

/** Acts until it reads of another owner. */
class UnexpiringOwnership extends ShardOwnership {
  protected override leaseEndMs(): number {
    return Infinity;
  }
}

/** Requires only the promise of the first successor. */
class OnePromiseTasks extends OwnerTasks {
  protected override possibleSuccessors(): readonly ProcessRef[] {
    return super.possibleSuccessors().slice(0, 1);
  }
}

class OnePromiseOwnership extends ShardOwnership {
  protected override makeOwnerTasks(): OwnerTasks {
    return new OnePromiseTasks(this.options);
  }
}

/** Applies claims without checking their preconditions. */
class UncheckedClaimState extends ShardState {
  protected override isClaimCurrent(): boolean {
    return true;
  }
}

/** Applies records of former owners. */
class UnfencedShardState extends ShardState {
  protected override isCurrent(): boolean {
    return true;
  }
}

type OwnershipClass = new (options: OwnershipOptions) => ShardOwnership;

function withOwnership(type: OwnershipClass): CellOptions {
  return {makeOwnership: options => new type(options)};
}

checkFails(
  'fails without the wait after a claim',
  STEPS,
  withOwnership(NoClaimWaitOwnership),
);

checkFails(
  'fails when the lease never expires',
  STEPS,
  withOwnership(UnexpiringOwnership),
);

checkFails(
  'fails with the promise of one successor',
  PARTITION_STEPS,
  withOwnership(OnePromiseOwnership),
);

check(
  'a dropped successor wins where claims are not checked',
  APPEND_DELAY_MS,
  ms => playLateClaim(ms, {makeState: () => new UncheckedClaimState()}),
  false,
);

check(
  'fails without fencing by terms',
  STEPS,
  async steps => {
    const cell = await play(steps, {makeState: () => new UnfencedShardState()});
    cell.end();
    return !hasJobOfNonOwner(cell, new UnfencedShardState());
  },
  false,
);

property.run();
