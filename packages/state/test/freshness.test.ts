import {ManualClock} from '@dragonflyward/common';
import {MemoryLog, MemoryLogClient, StreamTail} from '@dragonflyward/log';
import {
  CONFIG_STREAM,
  ConfigExchange,
  ConfigFreshness,
  ConfigPeers,
  ConfigState,
  type ConfigTail,
  type ListedPeer,
} from '@dragonflyward/state';
import {promiseTest} from '@dragonflyward/common/promise-test';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {configRecord, grant, withdraw} from './records.js';

const MAX_AGE_MS = 4_000;
/** A withdrawn key must stop working within this time. */
const WITHDRAWAL_TIMEOUT_MS = 5_000;
const OUTAGE_MS = 120_000;
const DOMAINS = ['north-1', 'south-1', 'east-1'];
const VMS_PER_DOMAIN = 3;
const KEY = 'k1.s1';

/** Treats any lack of answers as an outage, which disables the mechanism. */
class AssumedOutageFreshness extends ConfigFreshness {
  protected override isGlobalLogOutage(): boolean {
    return true;
  }
}

type FreshnessClass = typeof ConfigFreshness;

interface Gateway extends ListedPeer {
  readonly client: MemoryLogClient;
  readonly state: ConfigState;
  readonly freshness: ConfigFreshness;
  readonly exchange: ConfigExchange;
  isUnreachable: boolean;
  isRunning: boolean;
}

class GatewayPeers extends ConfigPeers {
  constructor(
    private readonly cell: Gateways,
    private readonly vm: string,
  ) {
    super();
  }

  override listedPeers(): readonly ListedPeer[] {
    return this.cell.gateways.filter(({vm}) => vm !== this.vm);
  }

  override async requestTail(vm: string, from: number): Promise<ConfigTail> {
    await this.cell.clock.sleep(60);
    const peer = this.cell.gateways.find(g => g.vm === vm);
    const self = this.cell.gateways.find(g => g.vm === this.vm);
    if (!peer || peer.isUnreachable || self?.isUnreachable) throw new Error();
    return peer.exchange.answer(from);
  }
}

class Gateways {
  readonly clock = new ManualClock(10_000);
  readonly log = new MemoryLog(this.clock);
  gateways: readonly Gateway[] = [];

  constructor(private readonly freshnessClass: FreshnessClass) {
    this.publish('c', configRecord(-1, 'ada'));
    this.publish('g', grant('k1', 's1', 'roofs'));
    for (const domain of DOMAINS) {
      for (let i = 0; i < VMS_PER_DOMAIN; i += 1) this.add(domain, i);
    }
  }

  publish(id: string, data: unknown): void {
    this.log.appendNow(CONFIG_STREAM, [{id, data}]);
  }

  acceptsKey(gateway: Gateway): boolean {
    const isKnown = gateway.state.teamOfKey(KEY) !== undefined;
    return isKnown && gateway.freshness.isFresh();
  }

  end(): void {
    for (const gateway of this.gateways) gateway.isRunning = false;
  }

  add(domain: string, i: number): Gateway {
    const vm = `${domain}-${i}`;
    const {clock, log} = this;
    const state = new ConfigState();
    const client = new MemoryLogClient(log);
    const stream = CONFIG_STREAM;
    const tail = new StreamTail({client, stream, state, clock, waitMs: 500});
    const base = {clock, maxAgeMs: MAX_AGE_MS, state};
    const freshness = new this.freshnessClass({...base, domain});
    const peers = new GatewayPeers(this, vm);
    const exchange = new ConfigExchange({...base, tail, freshness, peers});
    const flags = {isUnreachable: false, isRunning: true};
    const parts = {client, state, freshness, exchange};
    const gateway = {vm, domain, ...parts, ...flags};
    this.gateways = [...this.gateways, gateway];
    tail.start();
    void exchange.run(() => gateway.isRunning);
    return gateway;
  }
}

async function start(freshnessClass: FreshnessClass = ConfigFreshness) {
  const cell = new Gateways(freshnessClass);
  await cell.clock.advance(3_000);
  const [first, ...others] = cell.gateways;
  assert.ok(first);
  assert.ok(cell.acceptsKey(first));
  return {cell, first, others};
}

function gatewaysIn(cell: Gateways, domain: string): readonly Gateway[] {
  return cell.gateways.filter(g => g.domain === domain);
}

const freshness = suite('freshness');

freshness('goes on through a plain outage of the log', async () => {
  const {cell} = await start();
  cell.log.isDown = true;
  for (let i = 0; i < 20; i += 1) {
    await cell.clock.advance(OUTAGE_MS / 20);
    assert.ok(cell.gateways.every(g => cell.acceptsKey(g)));
  }
  cell.end();
});

freshness('goes on through an outage in which VMs die', async () => {
  const {cell, first} = await start();
  cell.log.isDown = true;
  for (const domain of DOMAINS) {
    const last = gatewaysIn(cell, domain).at(-1);
    if (last !== undefined) last.isUnreachable = true;
  }
  await cell.clock.advance(OUTAGE_MS);
  assert.ok(cell.acceptsKey(first));
  cell.end();
});

promiseTest(
  freshness,
  'team-key',
  'hears of a withdrawal from a peer when cut off',
  async () => {
    const {cell, first} = await start();
    first.client.isOffline = true;
    cell.publish('w', withdraw('k1'));
    await cell.clock.advance(WITHDRAWAL_TIMEOUT_MS);
    assert.is(first.state.teamOfKey(KEY), undefined);
    assert.ok(first.freshness.isFresh());
    cell.end();
  },
);

freshness('starts from a peer while the log is down', async () => {
  const {cell} = await start();
  cell.log.isDown = true;
  const added = cell.add('north-1', VMS_PER_DOMAIN);
  await cell.clock.advance(3_000);
  assert.ok(cell.acceptsKey(added));
  cell.end();
});

/** Cuts the domains off from the log and from all other domains. */
async function refusesWhenCut(
  freshnessClass: FreshnessClass,
  cutDomains: readonly string[],
): Promise<boolean> {
  const {cell, first} = await start(freshnessClass);
  for (const gateway of cell.gateways) {
    if (cutDomains.includes(gateway.domain)) gateway.client.isOffline = true;
    else gateway.isUnreachable = true;
  }
  cell.publish('w', withdraw('k1'));
  await cell.clock.advance(WITHDRAWAL_TIMEOUT_MS);
  const isTaken = cell.acceptsKey(first);
  cell.end();
  return !isTaken;
}

for (const cut of [['north-1'], ['north-1', 'south-1']]) {
  promiseTest(
    freshness,
    'team-key',
    `refuses when ${cut.length} domains are cut off`,
    async () => {
      assert.ok(await refusesWhenCut(ConfigFreshness, cut));
    },
  );

  freshness(
    `accepts withdrawn keys without the outage check, ${cut.length} cut off`,
    async () => {
      assert.not(await refusesWhenCut(AssumedOutageFreshness, cut));
    },
  );
}

promiseTest(
  freshness,
  'team-key',
  'refuses when it is cut off from log and all peers',
  async () => {
    const {cell, first} = await start();
    first.client.isOffline = true;
    first.isUnreachable = true;
    await cell.clock.advance(WITHDRAWAL_TIMEOUT_MS);
    assert.not(cell.acceptsKey(first));
    cell.end();
  },
);

freshness.run();
