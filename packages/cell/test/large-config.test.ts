/** A configuration that takes a narrow link for most of a second. */
import {Metrics, SystemClock} from '@dragonflyward/common';
import {
  ConfigFeed,
  PeerStoreCalls,
  RelayedStore,
  toStorePeer,
  type CellConfig,
  type CellConnection,
  type CellHeartbeat,
  type CellHello,
  type CellPeerInfo,
  type CellProtocol,
  type Members,
  type OwnerAddress,
  type Platform,
  type StoredRecord,
} from '@dragonflyward/cell';
import {connectPeer, listenPeers, PeerHandler} from '@dragonflyward/peer';
import {once} from 'node:events';
import type {AddressInfo, Server} from 'node:net';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {MemoryStore, StoreClient} from './memory-store.js';
import {NarrowLink} from './narrow-link.js';
import {CONFIG, OPERATOR_TOPIC} from './rig.js';
import {ThrottledProxy} from './throttled-proxy.js';

const LOOPBACK = '127.0.0.1';
/** The link of the smallest VM, 7 Mbit/s. */
const LINK_BYTES_PER_S = 875_000;
/** About 2,850 queues. */
const CONFIG_BYTES = 616_000;
const PEERS = 4;
/** Time from the operator's write until a version has to be in force, in ms. */
const APPLY_MS = 4000;
const POLL_MS = 20;
/** Time in which the first version arrives, in ms. */
const START_MS = 700;

/** Configurations whose first byte is their version. */
function configOf({value}: StoredRecord): CellConfig {
  return {...CONFIG, version: value[0] ?? 0};
}

function putConfig(memory: MemoryStore, version: number, bytes: number): void {
  const value = new Uint8Array(bytes).fill(version);
  memory.append(OPERATOR_TOPIC, [{key: 'config', value}], {});
}

abstract class TestHandler extends PeerHandler<CellProtocol> {
  constructor(private readonly self: OwnerAddress) {
    super();
  }

  override hello(): CellHello {
    return {type: 'hello', self: this.self, domain: 'd', cores: 1};
  }

  abstract get configVersion(): number;

  override heartbeat(): CellHeartbeat {
    const {configVersion} = this;
    const state = {isStoreOk: true, isDraining: false, isOwnerSeen: true};
    return {type: 'heartbeat', owner: null, term: 1, configVersion, ...state};
  }

  override onPeerUp(): void {}
  override onPeerDown(): void {}
}

/** A VM with a wide link, which knows all that is stored. */
class LargeVm extends TestHandler {
  private readonly calls: PeerStoreCalls;

  constructor(
    self: OwnerAddress,
    private readonly memory: MemoryStore,
  ) {
    super(self);
    const clock = new SystemClock();
    const store = new StoreClient(memory, clock);
    this.calls = new PeerStoreCalls(store, clock, new Metrics());
  }

  override get configVersion(): number {
    return this.value[0] ?? -1;
  }

  override async handleAsk(
    from: CellPeerInfo,
    ask: CellProtocol['ask'],
  ): Promise<CellProtocol['reply']> {
    if (ask.type === 'configAsk') return {type: 'config', value: this.value};
    if (ask.type === 'storeAsk') return this.calls.make(from.self.vm, ask.call);
    throw new Error(`unexpected ${ask.type}`);
  }

  override handleNotice(): void {}

  private get value(): Uint8Array {
    const stored = this.memory.topic(OPERATOR_TOPIC).newest.get('config');
    return stored?.value ?? new Uint8Array(0);
  }
}

/** A VM whose link carries what it receives from the store and from peers. */
class SmallVm extends TestHandler {
  readonly store: StoreClient;
  readonly feed: ConfigFeed;
  readonly events: string[] = [];
  private readonly connections = new Map<string, CellConnection>();

  constructor(memory: MemoryStore, link: NarrowLink) {
    super({vm: 'small', ip: LOOPBACK, port: 1, incarnation: 1});
    const clock = new SystemClock();
    this.store = new StoreClient(memory, clock, link);
    const relayed = new RelayedStore(
      this.store,
      () => [...this.connections].map(([vm, each]) => toStorePeer(vm, each)),
      clock,
    );
    this.feed = new ConfigFeed({
      platform: {
        operatorTopic: OPERATOR_TOPIC,
        decodeConfig: configOf,
        decodeDomainClosure: () => null,
      } as unknown as Platform,
      store: relayed,
      members: {
        connectionTo: ({vm}: OwnerAddress) => this.connections.get(vm),
      } as unknown as Members,
      clock,
      log: (event, fields) => {
        this.events.push(`${event} ${JSON.stringify(fields)}`);
      },
      onConfig: () => undefined,
      onClosure: () => undefined,
    });
  }

  override get configVersion(): number {
    return this.feed.version;
  }

  async connect(vm: string, port: number): Promise<void> {
    const connection = await connectPeer(LOOPBACK, port, this);
    this.connections.set(vm, connection);
  }

  override handleAsk(): Promise<never> {
    return Promise.reject(new Error('not asked'));
  }

  override handleNotice(
    {self}: CellPeerInfo,
    notice: CellProtocol['notice'],
  ): void {
    if (notice.type !== 'heartbeat') return;
    void this.feed.recordPeerVersion(self, notice.configVersion);
  }

  close(): void {
    this.feed.stop();
    for (const each of this.connections.values()) each.close();
  }
}

/** A small VM that has the first version, beside large ones. */
class Cell {
  readonly memory = new MemoryStore();
  readonly small: SmallVm;
  private readonly clock = new SystemClock();
  private readonly link = new NarrowLink(this.clock, () => LINK_BYTES_PER_S);
  private readonly servers: Server[] = [];
  private readonly proxies: ThrottledProxy[] = [];

  constructor() {
    putConfig(this.memory, 1, 1000);
    this.small = new SmallVm(this.memory, this.link);
  }

  async start(): Promise<void> {
    for (let i = 0; i < PEERS; i += 1) {
      const self = {vm: `large-${i}`, ip: LOOPBACK, port: i, incarnation: 1};
      const handler = new LargeVm(self, this.memory);
      const server = await listenPeers(LOOPBACK, 0, handler);
      this.servers.push(server);
      if (!server.listening) await once(server, 'listening');
      const {port} = server.address() as AddressInfo;
      const proxy = await ThrottledProxy.open(port, this.link);
      this.proxies.push(proxy);
      await this.small.connect(self.vm, proxy.port);
    }
    this.small.feed.start();
    await this.clock.sleep(START_MS);
    assert.is(this.small.feed.version, 1);
  }

  /** Asserts that the newest version arrives in time. */
  async checkApplied(version: number): Promise<void> {
    const {feed, events} = this.small;
    for (let ms = 0; ms < APPLY_MS; ms += POLL_MS) {
      if (feed.version === version) return;
      await this.clock.sleep(POLL_MS);
    }
    assert.unreachable(`version ${feed.version}: ${events.join('\n')}`);
  }

  close(): void {
    this.small.close();
    for (const each of this.proxies) each.close();
    for (const each of this.servers) each.close();
  }
}

const largeConfig = suite('large configuration');

// Copies that no one waited for any more filled the link of a small VM.
largeConfig('reaches a VM with a narrow link', async () => {
  const cell = new Cell();
  try {
    await cell.start();
    putConfig(cell.memory, 2, CONFIG_BYTES);
    await cell.checkApplied(2);
    putConfig(cell.memory, 3, CONFIG_BYTES);
    putConfig(cell.memory, 4, CONFIG_BYTES);
    await cell.checkApplied(4);
  } finally {
    cell.close();
  }
});

largeConfig('reaches a VM that the store turns away', async () => {
  const cell = new Cell();
  try {
    await cell.start();
    cell.small.store.faults.isRefusing = true;
    putConfig(cell.memory, 2, CONFIG_BYTES);
    await cell.checkApplied(2);
    putConfig(cell.memory, 3, CONFIG_BYTES);
    await cell.checkApplied(3);
  } finally {
    cell.close();
  }
});

largeConfig.run();
