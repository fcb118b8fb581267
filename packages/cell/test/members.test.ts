/** When an owner counts as connected to every VM. */
import {Clock} from '@dragonflyward/common';
import {
  Members,
  type CellConnection,
  type ListedMember,
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

const sizes = suite('sizes of other VMs');

function listed(vm: string, cores: number): ListedMember {
  return {...OTHER, vm, cores};
}

// Names after 'a' and 'b': c is a neighbour of a, and so are y and z.
const LIST = ['b', 'c', 'y', 'z'].map(vm => listed(vm, 1));

sizes('count for VMs that the owner has listed', () => {
  const members = newMembers(new StepClock());
  assert.is(members.maxPeerCores(), 1);
  members.setKnownMembers([listed('a', 9), ...LIST, listed('m', 4)]);
  assert.is(members.maxPeerCores(), 4);
  assert.is(members.maxPeerCores('m'), 1);
});

sizes('do not count for listed neighbours that are not connected', () => {
  const members = newMembers(new StepClock());
  const large = ['c', 'y', 'z'].map(vm => listed(vm, 4));
  const others = [listed('b', 1), listed('m', 2)];
  members.setKnownMembers([listed('a', 1), ...large, ...others]);
  assert.is(members.maxPeerCores(), 2);
});

sizes('do not count for a connected VM that may not own the cell', () => {
  const members = newMembers(new StepClock());
  members.setKnownMembers([listed('a', 1), listed('b', 4)]);
  members.recordHeartbeat('b', {...HEARTBEAT, isDraining: true});
  assert.is(members.maxPeerCores(), 0);
});

sizes('are not known from an owner of an earlier version', () => {
  const members = newMembers(new StepClock());
  members.setKnownMembers([SELF, OTHER, {...OTHER, vm: 'm'}]);
  assert.is(members.maxPeerCores(), 1);
});

sizes('are told with the list of VMs', () => {
  const members = newMembers(new StepClock());
  assert.equal(members.listed(3), [listed('a', 3), listed('b', 1)]);
});

sizes.run();
