/** When a VM claims the cell, and when it leaves it to the current owner. */
import {ManualClock, Metrics} from '@dragonflyward/common';
import {
  claimCell,
  Election,
  OWNER_HEARTBEAT_MS,
  readOwner,
  START_LEASE_MS,
  type CellHeartbeat,
  type Member,
  type Members,
  type OwnerAddress,
  type OwnerRecord,
  type Ownership,
} from '@dragonflyward/cell';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {MemoryStore, StoreClient} from './memory-store.js';

const LONG_MS = 3000;

function address(vm: string): OwnerAddress {
  return {vm, ip: '', port: 0, incarnation: 1};
}

/** Two other VMs are connected, none of which is connected to an owner. */
const DISCONNECTED_MEMBERS = {
  count: 2,
  connected: () => [],
  connectionTo: () => undefined,
  setOwner: () => undefined,
  maxPeerCores: () => 0,
  isOwnerSeen: () => false,
  recordIdle: () => undefined,
  connectedMs: () => -Infinity,
} as unknown as Members;

/** These VMs are connected. */
function connectedTo(members: readonly Partial<Member>[]): Members {
  return {
    ...DISCONNECTED_MEMBERS,
    connected: () => members,
  } as unknown as Members;
}

function memberOf(vm: string, state: Partial<Member>): Partial<Member> {
  const connection = {
    notify: () => undefined,
  } as unknown as Member['connection'];
  const heartbeatAt = {monotonicMs: 0, wallMs: 0};
  const defaults = {domain: 'd', cores: 1, heartbeatAt};
  return {connection, address: address(vm), ...defaults, ...state};
}

class ElectionRig {
  readonly clock = new ManualClock(1000);
  readonly owned: Ownership[] = [];
  private readonly memory = new MemoryStore();

  async claimBy(vm: string): Promise<Ownership> {
    const store = this.client();
    const reading = readOwner(store, this.clock);
    await this.clock.advance(10);
    const claim = claimCell(store, this.clock, address(vm), await reading);
    await this.clock.advance(10);
    const ownership = await claim;
    assert.ok(ownership);
    return ownership;
  }

  startElection(
    vm: string,
    store = this.client(),
    members = DISCONNECTED_MEMBERS,
  ): Election {
    const {clock, owned} = this;
    const election = new Election(
      {
        self: address(vm),
        domain: 'd',
        cores: 1,
        members,
        store,
        clock,
        metrics: new Metrics(),
        log: () => undefined,
      },
      {
        becomeOwner: ownership => {
          owned.push(ownership);
          return Promise.resolve(true);
        },
        loadProgressMs: () => clock.monotonicMs(),
        executorSilence: () => ({silent: 0, total: 0}),
        hasConfig: () => true,
        stopActing: () => undefined,
        describeOrders: () => null,
        discardOwner: () => undefined,
        setDetached: () => undefined,
        announce: () => undefined,
      },
    );
    election.start();
    return election;
  }

  /** Reads the newest record of the owner topic. */
  async readRecord(): Promise<OwnerRecord | null> {
    const reading = readOwner(this.client(), this.clock);
    await this.clock.advance(10);
    return (await reading).record;
  }

  client(): StoreClient {
    return new StoreClient(this.memory, this.clock);
  }
}

async function keepAlive(
  rig: ElectionRig,
  ownership: Ownership,
): Promise<void> {
  for (;;) {
    await rig.clock.sleep(OWNER_HEARTBEAT_MS);
    await ownership.renew();
  }
}

const election = suite('election');

// After all VMs were down, the owner may be the first to start and have no
// connections yet.
election('leaves the cell to an owner that it never reached', async () => {
  const rig = new ElectionRig();
  const owner = await rig.claimBy('a');
  void keepAlive(rig, owner);
  rig.startElection('b');
  await rig.clock.advance(LONG_MS);
  assert.equal(rig.owned, []);
  assert.is(owner.isRevoked, false);
});

election('claims the cell of an owner that writes no heartbeats', async () => {
  const rig = new ElectionRig();
  await rig.claimBy('a');
  rig.startElection('b');
  await rig.clock.advance(LONG_MS);
  assert.equal(
    rig.owned.map(({term}) => term),
    [2],
  );
});

// A busy owner takes that long to send a call and to read its answer.
election('keeps the lease for starts while heartbeats are slow', async () => {
  const rig = new ElectionRig();
  const store = rig.client();
  store.faults.delayMs = 250;
  rig.startElection('a', store);
  await rig.clock.advance(LONG_MS);
  const [ownership] = rig.owned;
  assert.ok(ownership);
  for (let i = 0; i < LONG_MS; i += 10) {
    assert.ok(ownership.isConfirmedWithin(START_LEASE_MS), `${i} ms`);
    await rig.clock.advance(10);
  }
});

// Its last heartbeat was stored before the reading that the claim rests on.
election(
  'counts the leases of a lost owner from before the claim',
  async () => {
    const waits: number[] = [];
    for (const connectedMs of [() => 1000, () => -Infinity]) {
      const rig = new ElectionRig();
      const owner = await rig.claimBy('a');
      void owner.beginOrders();
      const members = {
        ...DISCONNECTED_MEMBERS,
        connectedMs,
      } as unknown as Members;
      rig.startElection('b', rig.client(), members);
      await rig.clock.advance(LONG_MS);
      waits.push(rig.owned[0]?.formerActUntilMs ?? NaN);
    }
    const [fromReading = NaN, fromClaim = NaN] = waits;
    assert.ok(fromClaim - fromReading >= 700, `${fromClaim - fromReading} ms`);
  },
);

/** Lets another VM claim the cell after the owner told it of its record. */
async function claimAfterTelling(
  tell: (election: Election, owner: Ownership) => void,
): Promise<Ownership> {
  const rig = new ElectionRig();
  const owner = await rig.claimBy('a');
  owner.setHeldExecutors(() => [{id: 'x', agoMs: 2000}]);
  const begun = owner.beginOrders();
  await rig.clock.advance(10);
  await begun;
  const store = rig.client();
  // Its first reading follows what it is told.
  store.faults.delayMs = 300;
  const other = rig.startElection('b', store);
  tell(other, owner);
  await rig.clock.advance(LONG_MS);
  const [next] = rig.owned;
  assert.ok(next);
  return next;
}

function tellingHeartbeat(
  owner: OwnerAddress,
  term: number,
  storedEndOffset?: number,
): CellHeartbeat {
  const state = {configVersion: 1, isStoreOk: true, isDraining: false};
  const told = storedEndOffset === undefined ? {} : {storedEndOffset};
  const heartbeat = {type: 'heartbeat', isOwnerSeen: true} as const;
  return {...heartbeat, ...state, owner, term, ...told};
}

// Its record was stored before it told this VM, long before the reading.
election('counts the times in a record from when it was told', async () => {
  const a = address('a');
  const told = await claimAfterTelling((other, {term, storedEndOffset}) => {
    other.recordHeartbeat(a, tellingHeartbeat(a, term, storedEndOffset));
  });
  const {untilMs} = told.formerOrders('x');
  assert.ok(untilMs < 1030 - 1900, `${untilMs} ms`);
  const notTold: readonly (readonly [
    string,
    CellHeartbeat['owner'],
    number,
  ])[] = [
    ['another end', a, 1],
    ['another process', {...a, incarnation: 2}, 0],
    ['another VM', address('c'), 0],
  ];
  for (const [what, sender, behind] of notTold) {
    const next = await claimAfterTelling((other, {term, storedEndOffset}) => {
      const endOffset = storedEndOffset - behind;
      const from = sender ?? a;
      other.recordHeartbeat(from, tellingHeartbeat(a, term, endOffset));
    });
    const lateMs = next.formerOrders('x').untilMs - untilMs;
    assert.ok(lateMs >= 200, `${what}: ${lateMs} ms`);
  }
});

election('tells of its newest record while it owns the cell', async () => {
  const rig = new ElectionRig();
  const store = rig.client();
  const owner = rig.startElection('a', store);
  assert.is(owner.storedEndOffset, undefined);
  await rig.clock.advance(LONG_MS);
  const reading = readOwner(rig.client(), rig.clock);
  await rig.clock.advance(5);
  assert.is(owner.storedEndOffset, (await reading).endOffset);
  // A record without an answer is not told of.
  store.faults.lostAnswers = 1;
  const before = owner.storedEndOffset;
  await rig.clock.advance(1000);
  assert.is(owner.storedEndOffset, before);
  await rig.clock.advance(LONG_MS);
  void owner.drain();
  assert.is(owner.storedEndOffset, undefined);
});

// The VM was told to stop after its last heartbeat to the former owner. A small
// VM would soon have to hand the cell on.
for (const members of [
  DISCONNECTED_MEMBERS,
  connectedTo([memberOf('s', {cores: 0.5, isStoreOk: true})]),
]) {
  const others = `${[...members.connected()].length} small VMs connected`;
  election(
    `releases a cell that it is handed while it shuts down, ${others}`,
    async () => {
      const rig = new ElectionRig();
      const former = await rig.claimBy('a');
      const handover = former.handOver(address('b'));
      const store = rig.client();
      const successor = rig.startElection('b', store, members);
      void successor.drain();
      await rig.clock.advance(10);
      const endOffset = await handover;
      const term = former.term + 1;
      successor.acceptHandover({
        type: 'handover',
        term,
        endOffset,
        areFormerStopped: true,
      });
      await rig.clock.advance(LONG_MS);
      const record = await rig.readRecord();
      assert.equal([record?.term, record?.isReleased], [term, true]);
      assert.is(successor.knownOwner?.isReleased, true);
      assert.equal(rig.owned, []);
    },
  );
}

// A VM may have connected as a neighbour before this one owned the cell.
election('counts a new process that connected before the claim', async () => {
  const rig = new ElectionRig();
  await rig.claimBy('a');
  const restarted = {...address('a'), incarnation: 2};
  const members = connectedTo([memberOf('a', {address: restarted})]);
  rig.startElection('b', rig.client(), members);
  await rig.clock.advance(LONG_MS);
  assert.is(rig.owned.length, 1);
  assert.is(rig.owned[0]?.areFormerStopped, true);
});

// It would release the cell or hand it on at once.
election('hands the cell to no VM that is shutting down', async () => {
  const rig = new ElectionRig();
  const members = connectedTo([
    memberOf('b', {isStoreOk: true, isDraining: true}),
    memberOf('c', {isStoreOk: true, isDraining: false}),
  ]);
  const owner = rig.startElection('a', rig.client(), members);
  await rig.clock.advance(LONG_MS);
  assert.is(owner.isOwner, true);
  void owner.drain();
  await rig.clock.advance(LONG_MS);
  const record = await rig.readRecord();
  assert.equal([record?.vm, record?.isReleased], ['c', false]);
});

// The append of the handover gets no answer, whether or not it is stored.
for (const [delayMs, vm, isReleased] of [
  [0, 'b', false],
  [LONG_MS, 'a', true],
] as const) {
  const when = `handover stored after ${delayMs} ms`;
  election(`leaves a cell that can be claimed, ${when}`, async () => {
    const rig = new ElectionRig();
    const members = connectedTo([
      memberOf('b', {isStoreOk: true, isDraining: false}),
    ]);
    const store = rig.client();
    const owner = rig.startElection('a', store, members);
    // Between two heartbeats, so that the answer to the handover is lost.
    await rig.clock.advance(LONG_MS + OWNER_HEARTBEAT_MS / 2);
    assert.is(owner.isOwner, true);
    store.faults.lostAnswers = 1;
    store.faults.lostAppendDelayMs = delayMs;
    void owner.drain();
    await rig.clock.advance(2 * LONG_MS);
    const record = await rig.readRecord();
    assert.equal([record?.vm, record?.isReleased], [vm, isReleased]);
    assert.is.not(record?.orders, undefined);
  });
}

election('releases the cell if all VMs are shutting down', async () => {
  const rig = new ElectionRig();
  const members = connectedTo([
    memberOf('b', {isStoreOk: true, isDraining: true}),
  ]);
  const owner = rig.startElection('a', rig.client(), members);
  await rig.clock.advance(LONG_MS);
  void owner.drain();
  await rig.clock.advance(LONG_MS);
  const record = await rig.readRecord();
  assert.equal([record?.vm, record?.isReleased], ['a', true]);
});

// Other VMs stay connected to the process, which serves its calls to the end.
for (const isRefusing of [false, true]) {
  const when = isRefusing ? 'without the store' : 'with the store';
  election(`announces on shutdown that it owns no more, ${when}`, async () => {
    const rig = new ElectionRig();
    const store = rig.client();
    const owner = rig.startElection('a', store);
    await rig.clock.advance(LONG_MS);
    assert.is(owner.isOwner, true);
    store.faults.isRefusing = isRefusing;
    void owner.drain();
    await rig.clock.advance(LONG_MS);
    assert.is(owner.isOwner, false);
    assert.is(owner.knownOwner?.isReleased, true);
  });
}

election.run();
