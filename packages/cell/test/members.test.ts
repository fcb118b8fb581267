/** When an owner counts as connected to every VM. */
import {Clock} from '@dragonflyward/common';
import {
  Members,
  type CellConnection,
  type MemberHandler,
} from '@dragonflyward/cell';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';

const SELF = {vm: 'a', ip: '', port: 0, incarnation: 1};
const OTHER = {vm: 'b', ip: '', port: 0, incarnation: 1};
const HEARTBEAT = {
  type: 'heartbeat',
  owner: SELF,
  term: 1,
  configVersion: 1,
  isStoreOk: true,
  isDraining: false,
  isOwnerSeen: true,
} as const;

/** A clock whose times are set one by one. */
class StepClock extends Clock {
  monotonic = 10_000;
  wall = 1_000_000;

  override monotonicMs(): number {
    return this.monotonic;
  }

  override wallMs(): number {
    return this.wall;
  }

  override sleep(): Promise<void> {
    return Promise.resolve();
  }
}

/** Members of a VM that has just had a heartbeat of the only other one. */
function newMembers(clock: Clock): Members {
  const members = new Members(SELF, {} as MemberHandler, [], clock);
  const info = {self: OTHER, domain: 'd', cores: 1};
  members.add({info, isOpen: true} as unknown as CellConnection);
  members.recordHeartbeat('b', HEARTBEAT);
  return members;
}

const connected = suite('connected to all VMs');

connected('holds while heartbeats arrive', () => {
  const clock = new StepClock();
  const members = newMembers(clock);
  clock.monotonic += 1000;
  clock.wall += 1000;
  assert.is(members.isConnectedToAll(), true);
});

connected('ends without heartbeats while the wall clock steps back', () => {
  const clock = new StepClock();
  const members = newMembers(clock);
  clock.monotonic += 1300;
  clock.wall += 1300 - 2000;
  assert.is(members.isConnectedToAll(), false);
});

// The monotonic clock stops while the machine is suspended.
connected('ends with a suspension of the machine', () => {
  const clock = new StepClock();
  const members = newMembers(clock);
  clock.monotonic += 10;
  clock.wall += 5000;
  assert.is(members.isConnectedToAll(), false);
});

connected('does not outlast a step of the wall clock', () => {
  const clock = new StepClock();
  const members = newMembers(clock);
  clock.wall += 2000;
  members.recordHeartbeat('b', HEARTBEAT);
  assert.is(members.isConnectedToAll(), true);
});

// A claimant counts the leases of the owner from the end of the connection.
connected('tells when the last connection to a VM ended', () => {
  const clock = new StepClock();
  const members = new Members(SELF, {} as MemberHandler, [], clock);
  assert.is(members.connectedMs('b'), -Infinity);
  const info = {self: OTHER, domain: 'd', cores: 1};
  const links = [1, 2].map(
    () => ({info, isOpen: true}) as unknown as CellConnection,
  );
  for (const link of links) members.add(link);
  for (const link of links) {
    clock.monotonic += 100;
    assert.is(
      members.connectedMs('b'),
      10_000 + links.indexOf(link) * 100 + 100,
    );
    members.remove(link);
  }
  clock.monotonic += 1000;
  assert.is(members.connectedMs('b'), 10_200);
  assert.is(members.connectedMs('c'), -Infinity);
});

connected.run();
