import {
  EventRing,
  fitsIn,
  HybridClock,
  ManualClock,
  type Resources,
} from '@dragonflyward/common';
import {
  MemoryLog,
  MemoryLogClient,
  StreamTail,
  StreamWriter,
} from '@dragonflyward/log';
import {
  ALLOWANCE_STREAM,
  ShardAllowances,
  AllowanceState,
  planAllowances,
  RECORD_VERSION,
  type AllowanceStreamRecord,
} from '@dragonflyward/state';
import {promiseTest} from '@dragonflyward/common/promise-test';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';

const SEED = 20261204;
const RUNS = 300;
const SHARDS = ['east-1', 'north-1', 'south-1'];
const TEAM = 'roofs';
const MAX_LIMIT = 40;
const SETTLED_SEED = 3;

const OPS = [
  'plan',
  'read',
  'start',
  'end',
  'ack',
  'takeOver',
  'limit',
] as const;

interface Op {
  readonly op: (typeof OPS)[number];
  readonly index: number;
  readonly value: number;
}

const ALL_OPS: fc.Arbitrary<readonly Op[]> = fc.array(
  fc.record({
    op: fc.constantFrom(...OPS),
    index: fc.nat(2),
    value: fc.nat(MAX_LIMIT),
  }),
  {minLength: 20, maxLength: 120},
);

type TableClass = typeof AllowanceState;

function slots(count: number): Resources {
  return {cpuMilli: 0, memMb: 0, accel: 0, slots: count};
}

/** Shards and two planners, each with its own outdated view of the table. */
class Fleet {
  readonly running: number[] = SHARDS.map(() => 0);
  limit = MAX_LIMIT;
  private readonly clock = new ManualClock();
  private readonly log = new MemoryLog(this.clock);
  private readonly views: AllowanceState[];
  private readonly plannerTables: AllowanceState[];
  private readonly terms = SHARDS.map(() => 1);
  private nextId = 1;

  constructor(private readonly tableClass: TableClass) {
    this.views = SHARDS.map(() => new tableClass());
    this.plannerTables = [new tableClass(), new tableClass()];
  }

  total(): number {
    return this.running.reduce((a, b) => a + b, 0);
  }

  play({op, index, value}: Op): void {
    switch (op) {
      case 'plan':
        return this.plan(index % 2, value);
      case 'read':
        return this.read(index, value);
      case 'start':
        return this.start(index, value);
      case 'end':
        this.running[index] = Math.min(this.running[index] ?? 0, value);
        return;
      case 'ack':
        return this.ack(index);
      case 'takeOver':
        return this.takeOver(index);
      case 'limit':
        this.limit = value;
    }
  }

  /** Reads, stops excess work, acknowledges and plans until nothing changes. */
  settle(): void {
    for (let round = 0; round < 10; round += 1) {
      for (const i of SHARDS.keys()) {
        this.read(i, MAX_LIMIT);
        const view = this.views[i]?.amount(TEAM, SHARDS[i] ?? '').slots ?? 0;
        this.running[i] = Math.min(this.running[i] ?? 0, view);
        this.ack(i);
      }
      this.plan(round % 2, SETTLED_SEED, true);
    }
  }

  granted(): number {
    const table = this.replay();
    const amounts = SHARDS.map(shard => table.amount(TEAM, shard).slots);
    return amounts.reduce((a, b) => a + b, 0);
  }

  charged(): number {
    const table = this.replay();
    const charges = SHARDS.map(shard => table.charge(TEAM, shard).slots);
    return charges.reduce((a, b) => a + b, 0);
  }

  private replay(): AllowanceState {
    const table = new this.tableClass();
    this.catchUp(table, Infinity);
    return table;
  }

  private catchUp(table: AllowanceState, upTo: number): void {
    const from = table.nextOffset;
    const records = this.log.records(ALLOWANCE_STREAM).slice(from, from + upTo);
    for (const record of records) table.apply(record);
  }

  private push(data: AllowanceStreamRecord): void {
    this.log.appendNow(ALLOWANCE_STREAM, [{id: `r${this.nextId}`, data}]);
    this.nextId += 1;
  }

  private plan(index: number, seed: number, isFresh = seed % 2 === 0): void {
    const table = this.plannerTables[index];
    if (table === undefined) return;
    if (isFresh) this.catchUp(table, Infinity);
    const demands = SHARDS.map((shard, i) => ({
      team: TEAM,
      shard,
      wanted: slots((seed * (i + 1) * 7) % (MAX_LIMIT + 1)),
    }));
    const limits = new Map([[TEAM, slots(this.limit)]]);
    const input = {table, limits, shards: SHARDS, demands};
    const changes = planAllowances(input);
    const preconditions = {prevVersion: table.version, term: 1};
    this.push({
      v: RECORD_VERSION,
      type: 'allowances',
      ...preconditions,
      changes,
    });
  }

  private read(index: number, count: number): void {
    const view = this.views[index];
    if (view !== undefined) this.catchUp(view, count);
  }

  private start(index: number, count: number): void {
    const shard = SHARDS[index] ?? '';
    const allowed = this.views[index]?.amount(TEAM, shard).slots ?? 0;
    const running = this.running[index] ?? 0;
    this.running[index] = Math.max(running, Math.min(allowed, count));
  }

  private ack(index: number): void {
    const ack = this.shardAllowances(index).dueAck();
    if (ack !== undefined) this.push(ack);
  }

  private takeOver(index: number): void {
    this.terms[index] = (this.terms[index] ?? 0) + 1;
    const view = new this.tableClass();
    this.views[index] = view;
    this.catchUp(view, Infinity);
  }

  private shardAllowances(index: number): ShardAllowances {
    const table = this.views[index] ?? new this.tableClass();
    const {clock} = this;
    const client = new MemoryLogClient(this.log);
    const base = {client, stream: ALLOWANCE_STREAM, clock};
    const tail = new StreamTail({...base, state: table, waitMs: 1});
    return new ShardAllowances({
      table,
      tail,
      writer: new StreamWriter({...base, tail}),
      clock,
      events: new EventRing('p', new HybridClock(clock)),
      shard: SHARDS[index] ?? '',
      term: () => this.terms[index],
      running: () => slots(this.running[index] ?? 0),
    });
  }
}

/**
 * Whether the sum stays within the limit, or only falls while above a lowered
 * one.
 */
function staysWithinLimit(ops: readonly Op[], tableClass: TableClass): boolean {
  const fleet = new Fleet(tableClass);
  let bound = fleet.limit;
  for (const op of ops) {
    fleet.play(op);
    bound = Math.max(fleet.limit, Math.min(bound, fleet.charged()));
    if (fleet.total() > bound) return false;
  }
  return true;
}

/** Counts only the newest amounts, acknowledged or not. */
class NewestAmountState extends AllowanceState {
  override charge(team: string, shard: string): Resources {
    return this.amount(team, shard);
  }
}

/** Applies changes that were planned on an older table. */
class UncheckedVersionState extends AllowanceState {
  protected override isCurrent(): boolean {
    return true;
  }
}

function check(
  name: string,
  holds: (ops: readonly Op[]) => boolean,
  shouldHold = true,
): void {
  const body = (): void => {
    const options = {seed: SEED, numRuns: RUNS, endOnFailure: true};
    const run = fc.check(fc.property(ALL_OPS, holds), options);
    assert.is(!run.failed, shouldHold, JSON.stringify(run.counterexample));
  };
  if (shouldHold) promiseTest(allowances, 'team-limit', name, body);
  else allowances(name, body);
}

const allowances = suite('allowances');

check('never pass the limit', ops => staysWithinLimit(ops, AllowanceState));

check(
  'pass the limit where only the newest amount is counted',
  ops => staysWithinLimit(ops, NewestAmountState),
  false,
);

check(
  'pass the limit where the version of changes is not checked',
  ops => staysWithinLimit(ops, UncheckedVersionState),
  false,
);

check('come to the whole limit, also one that was lowered', ops => {
  const fleet = new Fleet(AllowanceState);
  for (const op of ops) fleet.play(op);
  fleet.settle();
  return fleet.total() <= fleet.limit && fleet.granted() === fleet.limit;
});

allowances('follow demand', () => {
  const table = new AllowanceState();
  const limits = new Map([[TEAM, slots(30)]]);
  const demands = [{team: TEAM, shard: 'north-1', wanted: slots(24)}];
  const plan = planAllowances({table, limits, shards: SHARDS, demands});
  const north = plan.find(({shard}) => shard === 'north-1');
  assert.ok(fitsIn(slots(24), north?.amount ?? slots(0)));
});

allowances.run();
