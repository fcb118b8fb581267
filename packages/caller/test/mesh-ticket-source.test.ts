/** Tickets and claims over network connections to scripted owners. */
import type net from 'node:net';
import {
  DragonflywardError,
  EventRing,
  HybridClock,
  NO_RESOURCES,
  raise,
  SystemClock,
  toFailure,
  type ErrorKind,
} from '@dragonflyward/common';
import {promiseTest} from '@dragonflyward/common/promise-test';
import {
  listenPeers,
  PeerHandler,
  PeerMesh,
  type Heartbeat,
  type Hello,
  type PeerAsk,
  type PeerInfo,
  type PeerNotice,
  type PeerReply,
  type Ticket,
} from '@dragonflyward/peer';
import {VmListClient, type VmEntry} from '@dragonflyward/vms';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {GatewayPeerHandler} from '../src/gateway-peer-handler.js';
import {MeshTicketSource} from '../src/mesh-ticket-source.js';
import {OwnerDirectory} from '../src/owner-directory.js';
import {TicketRegistry} from '../src/ticket-registry.js';
import {VmView} from '../src/vm-view.js';

const mesh = suite('tickets from owners');
const clock = new SystemClock();
const SHARDS = ['north-1', 'north-2', 'south-1'];

/** An owner of one shard whose answers come from a script. */
class FakeOwner extends PeerHandler {
  readonly asks: PeerAsk[] = [];
  readonly notices: PeerNotice[] = [];
  script: (ask: PeerAsk) => PeerReply | Promise<PeerReply>;
  server: net.Server | undefined;
  port = 0;

  constructor(readonly shard: string) {
    super();
    this.script = () => ticketOf(shard);
  }

  async start(): Promise<void> {
    this.server = await listenPeers('127.0.0.1', 0, this);
    this.port = (this.server.address() as net.AddressInfo).port;
  }

  override hello(): Hello {
    const process = {vm: this.shard, incarnation: 1};
    return {type: 'hello', role: 'scheduler', process};
  }

  override heartbeat(): Heartbeat {
    const at = {wallMs: 0, count: 0};
    const owns = [{shard: this.shard, term: 1}];
    const status = {configOffset: 0, configAgeMs: 0, isDraining: false};
    return {type: 'heartbeat', at, owns, ...status};
  }

  override async handleAsk(_from: PeerInfo, ask: PeerAsk): Promise<PeerReply> {
    this.asks.push(ask);
    return this.script(ask);
  }

  override handleNotice(_from: PeerInfo, notice: PeerNotice): void {
    if (notice.type !== 'heartbeat') this.notices.push(notice);
  }

  override onPeerUp(): void {
    return;
  }

  override onPeerDown(): void {
    return;
  }
}

function ticketOf(shard: string, term = 1): Ticket {
  return {
    type: 'ticket',
    ticketId: `t-${shard}`,
    shard,
    term,
    executorId: `e-${shard}`,
    ip: '127.0.0.1',
    port: 1,
    startByMs: 1_000,
    runByMs: 5_000,
  };
}

function throwing(kind: ErrorKind): () => never {
  return () => {
    throw new DragonflywardError(kind, 'scripted');
  };
}

class FixedVmList extends VmListClient {
  override list(): Promise<readonly VmEntry[]> {
    return Promise.resolve(
      SHARDS.map(domain => ({
        id: `e-${domain}`,
        kind: 'executor',
        state: 'live',
        ip: '127.0.0.1',
        port: 1,
        region: domain.split('-')[0] ?? '',
        domain,
        rack: 'r',
        capacity: {...NO_RESOURCES, slots: 8},
        service: 'quote',
        connections: 64,
      })),
    );
  }
}

interface Fixture {
  readonly owners: ReadonlyMap<string, FakeOwner>;
  readonly directory: OwnerDirectory;
  readonly registry: TicketRegistry;
  readonly tickets: MeshTicketSource;
}

async function withOwners(
  body: (fixture: Fixture) => Promise<void>,
): Promise<void> {
  const owners = new Map(SHARDS.map(shard => [shard, new FakeOwner(shard)]));
  for (const owner of owners.values()) await owner.start();
  const directory = new OwnerDirectory();
  const registry = new TicketRegistry(clock);
  const self = {id: 'vm-1', region: 'north', domain: 'north-1', rack: 'r'};
  const peers = new GatewayPeerHandler({
    self: {vm: 'vm-1', incarnation: 1},
    events: new EventRing('test', new HybridClock(clock)),
    owners: directory,
    registry,
    listClaims: () => [],
    upMs: () => 0,
    configOffset: () => 0,
    configAgeMs: () => 0,
    isDraining: () => false,
    onOwnerHeartbeat: () => undefined,
  });
  const peerMesh = new PeerMesh(peers, clock);
  const vms = new VmView(new FixedVmList(), clock, self, () => undefined);
  await vms.refresh();
  const parts = {clock, mesh: peerMesh, owners: directory, registry, vms};
  const tickets = new MeshTicketSource(parts);
  peerMesh.setPeers(
    [...owners.values()].map(({shard, port}) => ({
      vm: shard,
      ip: '127.0.0.1',
      port,
    })),
  );
  while (SHARDS.some(shard => !peerMesh.connectionTo(shard))) {
    await clock.sleep(5);
  }
  for (const shard of SHARDS) directory.update(shard, [{shard, term: 1}]);
  try {
    await body({owners, directory, registry, tickets});
  } finally {
    peerMesh.close();
    for (const {server} of owners.values()) server?.close();
  }
}

const TICKET_REQUEST = {
  requestId: 'r-1',
  team: 'roofs',
  queue: 'quotes',
  service: 'quote',
  deadlineMs: 5_000,
  avoid: [],
};

function ownerOf(
  owners: ReadonlyMap<string, FakeOwner>,
  shard: string,
): FakeOwner {
  return owners.get(shard) ?? raise('notOwner', shard);
}

function signal(): AbortSignal {
  return new AbortController().signal;
}

mesh('asks the own failure domain, then the region, then others', async () => {
  await withOwners(async ({owners, tickets}) => {
    const first = await tickets.acquire(TICKET_REQUEST, signal());
    assert.is(first.ticket.shard, 'north-1');
    ownerOf(owners, 'north-1').script = throwing('queueFull');
    const second = await tickets.acquire(TICKET_REQUEST, signal());
    assert.is(second.ticket.shard, 'north-2');
    assert.is(second.isCrossRegion, false);
    ownerOf(owners, 'north-2').script = throwing('noTarget');
    const third = await tickets.acquire(TICKET_REQUEST, signal());
    assert.is(third.ticket.shard, 'south-1');
    assert.is(third.isCrossRegion, true);
  });
});

mesh('leaves the region only for a reason, and with time left', async () => {
  await withOwners(async ({owners, tickets}) => {
    ownerOf(owners, 'north-1').script = throwing('teamLimit');
    const limited = tickets.acquire(TICKET_REQUEST, signal());
    assert.is(await kindOf(limited), 'teamLimit');
    for (const shard of ['north-1', 'north-2']) {
      ownerOf(owners, shard).script = throwing('queueFull');
    }
    const short = tickets.acquire(
      {...TICKET_REQUEST, deadlineMs: 150},
      signal(),
    );
    assert.is(await kindOf(short), 'queueFull');
    assert.is(ownerOf(owners, 'south-1').asks.length, 0);
  });
});

async function kindOf(promise: Promise<unknown>): Promise<string> {
  try {
    await promise;
    return 'none';
  } catch (err) {
    return toFailure(err).kind;
  }
}

promiseTest(
  mesh,
  'one-place',
  'a ticket of an older term is refused once a new owner has asked',
  async () => {
    await withOwners(async ({owners, registry, tickets}) => {
      await tickets.acquire(TICKET_REQUEST, signal());
      const ask = {type: 'openTicketsAsk', shard: 'north-1', term: 2} as const;
      assert.is(registry.list(ask).length, 1);
      const fallback = tickets.acquire(TICKET_REQUEST, signal());
      assert.is((await fallback).ticket.shard, 'north-2');
      ownerOf(owners, 'north-1').script = () => ticketOf('north-1', 2);
      assert.is(
        (await tickets.acquire(TICKET_REQUEST, signal())).ticket.term,
        2,
      );
    });
  },
);

mesh('gives a ticket back that comes after its caller has gone', async () => {
  await withOwners(async ({owners, tickets}) => {
    const owner = ownerOf(owners, 'north-1');
    let grant = (): void => undefined;
    owner.script = () =>
      new Promise(resolve => {
        grant = () => resolve(ticketOf('north-1'));
      });
    const caller = new AbortController();
    const acquiring = tickets.acquire(TICKET_REQUEST, caller.signal);
    while (owner.asks.length === 0) await clock.sleep(5);
    caller.abort(new DragonflywardError('peerLost', 'gone'));
    assert.is(await kindOf(acquiring), 'peerLost');
    grant();
    while (owner.notices.length === 0) await clock.sleep(5);
    const [notice] = owner.notices;
    assert.is(notice?.type === 'ticketClose' && notice.use, 'notSent');
  });
});

mesh('keeps a close until the shard has an owner', async () => {
  await withOwners(async ({owners, directory, tickets}) => {
    const {ticket} = await tickets.acquire(TICKET_REQUEST, signal());
    directory.remove('north-1');
    const {ticketId, shard, executorId} = ticket;
    const use = 'done';
    tickets.close({ticketId, shard, executorId, use, isDraining: false});
    directory.update('north-2', [{shard: 'north-1', term: 2}]);
    tickets.sendPendingCloses('north-1');
    const newOwner = ownerOf(owners, 'north-2');
    while (newOwner.notices.length === 0) await clock.sleep(5);
    assert.is(newOwner.notices[0]?.type, 'ticketClose');
  });
});

const CLAIM = {key: 'k', claimId: 'c-1', issuedMs: 0};

function claimScript(isVouched: boolean): () => PeerReply {
  return () => ({type: 'requestClaimed', isVouched});
}

promiseTest(
  mesh,
  'at-most-once',
  'a claim succeeds once both replicas have it and one confirms the id',
  async () => {
    await withOwners(async ({owners, tickets}) => {
      const all = [...owners.values()];
      for (const owner of all) owner.script = claimScript(false);
      const claimed = tickets.claim(CLAIM, signal());
      const replicas = await waitForReplicas(all);
      assert.is(replicas.length, 2);
      const [first, second] = replicas;
      assert.ok(first && second);
      first.script = throwing('notOwner');
      second.script = claimScript(true);
      const asksBefore = second.asks.length;
      while (second.asks.length < asksBefore + 2) await clock.sleep(5);
      let isDone = false;
      void claimed.then(() => (isDone = true));
      await clock.sleep(0);
      assert.is(isDone, false, 'one replica did not answer');
      first.script = claimScript(false);
      await claimed;
      first.script = throwing('duplicateId');
      const repeat = tickets.claim({...CLAIM, claimId: 'c-2'}, signal());
      assert.is(await kindOf(repeat), 'duplicateId');
    });
  },
);

// The id of a refused request counted as used where the release was dropped.
mesh('keeps a release until the shard has an owner', async () => {
  await withOwners(async ({owners, directory, tickets}) => {
    const all = [...owners.values()];
    for (const owner of all) owner.script = claimScript(true);
    await tickets.claim(CLAIM, signal());
    const [replica] = await waitForReplicas(all);
    assert.ok(replica);
    const {shard, notices} = replica;
    directory.remove(shard);
    tickets.release({key: CLAIM.key, claimId: CLAIM.claimId});
    directory.update(shard, [{shard, term: 1}]);
    tickets.sendPendingReleases(shard);
    while (notices.length === 0) await clock.sleep(5);
    assert.is(notices[0]?.type, 'requestRelease');
  });
});

async function waitForReplicas(
  owners: readonly FakeOwner[],
): Promise<readonly FakeOwner[]> {
  const asked = (): FakeOwner[] =>
    owners.filter(({asks}) => asks.some(ask => ask.type === 'requestClaim'));
  while (asked().length < 2) await clock.sleep(5);
  return asked();
}

mesh.run();
