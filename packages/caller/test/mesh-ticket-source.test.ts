/** Tickets and claims over real connections to scripted owners. */
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
import {GatewayPeers} from '../src/gateway-peer-handler.js';
import {MeshTickets} from '../src/mesh-ticket-source.js';
import {OwnerDirectory} from '../src/owner-directory.js';
import {TicketBook} from '../src/ticket-registry.js';
import {VmView} from '../src/vm-view.js';

const mesh = suite('tickets from owners');
const clock = new SystemClock();
const SHARDS = ['north-1', 'north-2', 'south-1'];

/** An owner of one shard that answers by a script. */
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
    const rest = {configOffset: 0, configAgeMs: 0, isDraining: false};
    return {type: 'heartbeat', at, owns, ...rest};
  }

  override async answer(_from: PeerInfo, ask: PeerAsk): Promise<PeerReply> {
    this.asks.push(ask);
    return this.script(ask);
  }

  override notice(_from: PeerInfo, notice: PeerNotice): void {
    if (notice.type !== 'heartbeat') this.notices.push(notice);
  }

  override peerUp(): void {
    return;
  }

  override peerDown(): void {
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

function refusal(kind: ErrorKind): () => never {
  return () => {
    throw new DragonflywardError(kind, 'scripted');
  };
}

class FixedList extends VmListClient {
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

interface World {
  readonly owners: ReadonlyMap<string, FakeOwner>;
  readonly directory: OwnerDirectory;
  readonly book: TicketBook;
  readonly tickets: MeshTickets;
}

async function withOwners(
  body: (world: World) => Promise<void>,
): Promise<void> {
  const owners = new Map(SHARDS.map(shard => [shard, new FakeOwner(shard)]));
  for (const owner of owners.values()) await owner.start();
  const directory = new OwnerDirectory();
  const book = new TicketBook(clock);
  const self = {id: 'vm-1', region: 'north', domain: 'north-1', rack: 'r'};
  const peers = new GatewayPeers({
    self: {vm: 'vm-1', incarnation: 1},
    events: new EventRing('test', new HybridClock(clock)),
    owners: directory,
    book,
    claimsAt: () => [],
    upMs: () => 0,
    configOffset: () => 0,
    configAgeMs: () => 0,
    isDraining: () => false,
    onOwner: () => undefined,
  });
  const links = new PeerMesh(peers, clock);
  const vms = new VmView(new FixedList(), clock, self, () => undefined);
  await vms.readOnce();
  const parts = {clock, mesh: links, owners: directory, book, vms};
  const tickets = new MeshTickets(parts);
  links.setPeers(
    [...owners.values()].map(({shard, port}) => ({
      vm: shard,
      ip: '127.0.0.1',
      port,
    })),
  );
  while (SHARDS.some(shard => !links.connectionTo(shard))) {
    await clock.sleep(5);
  }
  for (const shard of SHARDS) directory.note(shard, [{shard, term: 1}]);
  try {
    await body({owners, directory, book, tickets});
  } finally {
    links.close();
    for (const {server} of owners.values()) server?.close();
  }
}

const WISH = {
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
    const first = await tickets.take(WISH, signal());
    assert.is(first.ticket.shard, 'north-1');
    ownerOf(owners, 'north-1').script = refusal('queueFull');
    const second = await tickets.take(WISH, signal());
    assert.is(second.ticket.shard, 'north-2');
    assert.is(second.isCrossRegion, false);
    ownerOf(owners, 'north-2').script = refusal('noTarget');
    const third = await tickets.take(WISH, signal());
    assert.is(third.ticket.shard, 'south-1');
    assert.is(third.isCrossRegion, true);
  });
});

mesh('leaves the region only for a reason, and with time left', async () => {
  await withOwners(async ({owners, tickets}) => {
    ownerOf(owners, 'north-1').script = refusal('teamLimit');
    const limited = tickets.take(WISH, signal());
    assert.is(await kindOf(limited), 'teamLimit');
    for (const shard of ['north-1', 'north-2']) {
      ownerOf(owners, shard).script = refusal('queueFull');
    }
    const short = tickets.take({...WISH, deadlineMs: 150}, signal());
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
    await withOwners(async ({owners, book, tickets}) => {
      await tickets.take(WISH, signal());
      const ask = {type: 'openTicketsAsk', shard: 'north-1', term: 2} as const;
      assert.is(book.list(ask).length, 1);
      const late = tickets.take(WISH, signal());
      assert.is((await late).ticket.shard, 'north-2');
      ownerOf(owners, 'north-1').script = () => ticketOf('north-1', 2);
      assert.is((await tickets.take(WISH, signal())).ticket.term, 2);
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
    const gone = new AbortController();
    const taking = tickets.take(WISH, gone.signal);
    while (owner.asks.length === 0) await clock.sleep(5);
    gone.abort(new DragonflywardError('peerLost', 'gone'));
    assert.is(await kindOf(taking), 'peerLost');
    grant();
    while (owner.notices.length === 0) await clock.sleep(5);
    const [notice] = owner.notices;
    assert.is(notice?.type === 'ticketClose' && notice.use, 'notSent');
  });
});

mesh('keeps a close until the shard has an owner', async () => {
  await withOwners(async ({owners, directory, tickets}) => {
    const {ticket} = await tickets.take(WISH, signal());
    directory.drop('north-1');
    const {ticketId, shard, executorId} = ticket;
    const use = 'done';
    tickets.close({ticketId, shard, executorId, use, isDraining: false});
    directory.note('north-2', [{shard: 'north-1', term: 2}]);
    tickets.sendKept('north-1');
    const heir = ownerOf(owners, 'north-2');
    while (heir.notices.length === 0) await clock.sleep(5);
    assert.is(heir.notices[0]?.type, 'ticketClose');
  });
});

const CLAIM = {key: 'k', claimId: 'c-1', issuedMs: 0};

function claimScript(isVouched: boolean): () => PeerReply {
  return () => ({type: 'requestClaimed', isVouched});
}

promiseTest(
  mesh,
  'at-most-once',
  'a claim stands once both homes have it and one vouches',
  async () => {
    await withOwners(async ({owners, tickets}) => {
      const all = [...owners.values()];
      for (const owner of all) owner.script = claimScript(false);
      const claiming = tickets.claim(CLAIM, signal());
      const homes = await untilHomes(all);
      assert.is(homes.length, 2);
      const [one, other] = homes;
      assert.ok(one && other);
      one.script = refusal('notOwner');
      other.script = claimScript(true);
      const asked = other.asks.length;
      while (other.asks.length < asked + 2) await clock.sleep(5);
      let isDone = false;
      void claiming.then(() => (isDone = true));
      await clock.sleep(0);
      assert.is(isDone, false, 'one home is silent');
      one.script = claimScript(false);
      await claiming;
      one.script = refusal('duplicateId');
      const repeat = tickets.claim({...CLAIM, claimId: 'c-2'}, signal());
      assert.is(await kindOf(repeat), 'duplicateId');
    });
  },
);

async function untilHomes(
  owners: readonly FakeOwner[],
): Promise<readonly FakeOwner[]> {
  const asked = (): FakeOwner[] =>
    owners.filter(({asks}) => asks.some(ask => ask.type === 'requestClaim'));
  while (asked().length < 2) await clock.sleep(5);
  return asked();
}

mesh.run();
