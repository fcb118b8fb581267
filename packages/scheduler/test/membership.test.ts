import {ManualClock, NO_RESOURCES} from '@dragonflyward/common';
import {Membership} from '@dragonflyward/scheduler';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';

const SHARD = 'north-1';
const SETTLED_MS = 3_000;
const HEIR = {vm: 'vm-2', incarnation: 1};

const ENTRY = {
  id: HEIR.vm,
  kind: 'entry',
  state: 'live',
  ip: '127.0.0.1',
  port: 0,
  region: 'north',
  domain: SHARD,
  rack: 'none',
  capacity: NO_RESOURCES,
  service: '',
  connections: 0,
} as const;

/** A member that hears its heir once a second. */
class Listener {
  readonly clock = new ManualClock();
  readonly members = new Membership({vm: 'vm-1', incarnation: 1}, this.clock);

  constructor() {
    this.members.setVms([ENTRY], 0);
  }

  async hear(seconds: number, configAgeMs: number): Promise<void> {
    for (let i = 0; i < seconds; i += 1) {
      this.members.noteHeartbeat(
        {role: 'scheduler', process: HEIR},
        {
          type: 'heartbeat',
          at: {wallMs: 0, count: 0},
          owns: [],
          configOffset: 0,
          configAgeMs,
          isDraining: false,
        },
      );
      await this.clock.advance(1_000);
    }
  }

  get isSettled(): boolean {
    return this.members.isSettledIn(SHARD, HEIR, SETTLED_MS);
  }
}

const membership = suite('membership');

membership('a new scheduler is settled after a while', async () => {
  const listener = new Listener();
  await listener.hear(2, 100);
  assert.not(listener.isSettled);
  await listener.hear(1, 100);
  assert.ok(listener.isSettled);
});

membership('one that cannot read the log is not settled', async () => {
  const listener = new Listener();
  await listener.hear(5, Infinity);
  assert.not(listener.isSettled);
});

membership('one that lost the log and reads it again must wait', async () => {
  const listener = new Listener();
  await listener.hear(5, 100);
  await listener.hear(1, 5_000);
  await listener.hear(8, 100);
  assert.not(listener.isSettled);
  await listener.hear(2, 100);
  assert.ok(listener.isSettled);
});

membership.run();
