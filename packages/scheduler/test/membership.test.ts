import {ManualClock, NO_RESOURCES} from '@dragonflyward/common';
import {Membership} from '@dragonflyward/scheduler';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';

const SHARD = 'north-1';
const SETTLED_MS = 3_000;
const SUCCESSOR = {vm: 'vm-2', incarnation: 1};

const ENTRY = {
  id: SUCCESSOR.vm,
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

/** Receives a heartbeat of a possible successor once a second. */
class HeartbeatReceiver {
  readonly clock = new ManualClock();
  readonly membership = new Membership(
    {vm: 'vm-1', incarnation: 1},
    this.clock,
  );

  constructor() {
    this.membership.setVms([ENTRY], 0);
  }

  async receive(seconds: number, configAgeMs: number): Promise<void> {
    for (let i = 0; i < seconds; i += 1) {
      this.membership.recordHeartbeat(
        {role: 'scheduler', process: SUCCESSOR},
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
    return this.membership.isSettledIn(SHARD, SUCCESSOR, SETTLED_MS);
  }
}

const members = suite('membership');

members('a new scheduler is settled after a while', async () => {
  const receiver = new HeartbeatReceiver();
  await receiver.receive(2, 100);
  assert.not(receiver.isSettled);
  await receiver.receive(1, 100);
  assert.ok(receiver.isSettled);
});

members('one that cannot read the log is not settled', async () => {
  const receiver = new HeartbeatReceiver();
  await receiver.receive(5, Infinity);
  assert.not(receiver.isSettled);
});

members('one that lost the log and reads it again must wait', async () => {
  const receiver = new HeartbeatReceiver();
  await receiver.receive(5, 100);
  await receiver.receive(1, 5_000);
  await receiver.receive(8, 100);
  assert.not(receiver.isSettled);
  await receiver.receive(2, 100);
  assert.ok(receiver.isSettled);
});

members('only a heartbeat of the same run names an owner', () => {
  const receiver = new HeartbeatReceiver();
  const owned = {shard: SHARD, term: 2};
  receiver.membership.recordHeartbeat(
    {role: 'scheduler', process: SUCCESSOR},
    {
      type: 'heartbeat',
      at: {wallMs: 0, count: 0},
      owns: [owned],
      configOffset: 0,
      configAgeMs: 0,
      isDraining: false,
    },
  );
  const restarted = {...SUCCESSOR, incarnation: 2};
  assert.ok(receiver.membership.isOwner(SUCCESSOR, owned));
  assert.not(receiver.membership.isOwner(SUCCESSOR, {...owned, term: 3}));
  assert.not(receiver.membership.isOwner(restarted, owned));
});

members.run();
