import {
  EventRing,
  HybridClock,
  ManualClock,
  NO_RESOURCES,
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
  AllowancePlanner,
  type AllowanceTaskOptions,
} from '@dragonflyward/state';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';

const SHARDS = ['east-1', 'north-1', 'south-1'];
const TEAM = 'roofs';
const LIMIT = 30;

function slots(count: number): Resources {
  return {...NO_RESOURCES, slots: count};
}

/**
 * A planner, and the allowance task of each shard, as they run in production.
 */
class Fleet {
  readonly clock = new ManualClock();
  readonly log = new MemoryLog(this.clock);
  readonly running = new Map(SHARDS.map(shard => [shard, 0]));
  readonly allowances: ReadonlyMap<string, ShardAllowances>;
  /** The shard with all work of the team. */
  busyShard = 'north-1';
  limit = LIMIT;
  isRunning = true;
  private readonly tails: StreamTail[] = [];

  constructor() {
    const shouldRun = (): boolean => this.isRunning;
    const term = (): number => 1;
    this.allowances = new Map(
      SHARDS.map(shard => {
        const running = (): Resources => slots(this.running.get(shard) ?? 0);
        const options = {...this.makeTaskOptions(), shard, term, running};
        return [shard, new ShardAllowances(options)];
      }),
    );
    for (const task of this.allowances.values()) void task.run(shouldRun);
    const input = () => ({
      limits: new Map([[TEAM, slots(this.limit)]]),
      shards: SHARDS,
      demands: [{team: TEAM, shard: this.busyShard, wanted: slots(LIMIT)}],
    });
    void new AllowancePlanner({...this.makeTaskOptions(), term, input}).run(
      shouldRun,
    );
  }

  amount(shard: string): number {
    return this.allowances.get(shard)?.amount(TEAM).slots ?? 0;
  }

  end(): void {
    this.isRunning = false;
    for (const tail of this.tails) tail.stop();
  }

  private makeTaskOptions(): AllowanceTaskOptions {
    const {clock} = this;
    const table = new AllowanceState();
    const client = new MemoryLogClient(this.log);
    const base = {client, stream: ALLOWANCE_STREAM, clock};
    const tail = new StreamTail({...base, state: table, waitMs: 100});
    const writer = new StreamWriter({...base, tail});
    const events = new EventRing('p', new HybridClock(clock));
    tail.start();
    this.tails.push(tail);
    return {table, tail, writer, clock, events};
  }
}

const tasks = suite('allowance tasks');

tasks('move the limit to where the work is, once it is given up', async () => {
  const fleet = new Fleet();
  await fleet.clock.advance(5_000);
  assert.is(fleet.amount('north-1'), LIMIT);
  fleet.running.set('north-1', LIMIT);
  fleet.busyShard = 'south-1';
  await fleet.clock.advance(10_000);
  assert.is(fleet.amount('south-1'), 0);
  fleet.running.set('north-1', 0);
  await fleet.clock.advance(5_000);
  assert.is(fleet.amount('south-1'), LIMIT);
  fleet.end();
});

tasks('go on after lost replies and an outage', async () => {
  const fleet = new Fleet();
  fleet.log.lostReplies = 2;
  fleet.log.delayedEffectMs = 3_000;
  await fleet.clock.advance(20_000);
  assert.is(fleet.amount('north-1'), LIMIT);
  fleet.log.isDown = true;
  fleet.limit = LIMIT / 2;
  await fleet.clock.advance(60_000);
  assert.is(fleet.amount('north-1'), LIMIT);
  fleet.log.isDown = false;
  await fleet.clock.advance(10_000);
  assert.is(fleet.amount('north-1'), LIMIT / 2);
  fleet.end();
});

tasks('tell a new owner when it has read the table', async () => {
  const fleet = new Fleet();
  await fleet.clock.advance(1_000);
  const task = fleet.allowances.get('north-1');
  const tookOverMs = fleet.clock.monotonicMs();
  assert.not(task?.isReadSince(tookOverMs));
  await fleet.clock.advance(1_000);
  assert.ok(task?.isReadSince(tookOverMs));
  fleet.end();
});

tasks.run();
