/** From whom a VM requests a newer configuration. */
import {ManualClock} from '@dragonflyward/common';
import {
  ConfigFeed,
  type CellConfig,
  type Members,
  type Platform,
  type StoredRecord,
} from '@dragonflyward/cell';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {MemoryStore, StoreClient} from './memory-store.js';
import {CONFIG, OPERATOR_TOPIC} from './rig.js';

const PEER = {vm: 'p', ip: '', port: 1, incarnation: 1};
const CONFIG_BYTES = 600_000;
const LINK_BYTES_PER_S = 875_000;
const READ_MS = 100;
/** Interval of the heartbeats of peers, in ms. */
const HEARTBEAT_MS = 500;

class Fixture {
  readonly clock = new ManualClock(0);
  readonly memory = new MemoryStore();
  readonly client = new StoreClient(this.memory, this.clock);
  readonly sources: string[] = [];
  readonly feed = new ConfigFeed({
    platform: {
      operatorTopic: OPERATOR_TOPIC,
      decodeDomainClosure: () => null,
      decodeConfig: ({value}: StoredRecord): CellConfig => ({
        ...CONFIG,
        version: value[0] ?? 0,
      }),
    } as unknown as Platform,
    store: this.client,
    members: {
      connectionTo: () => ({
        ask: () => Promise.resolve({type: 'config', value: this.newest}),
      }),
    } as unknown as Members,
    clock: this.clock,
    log: (event, fields) => {
      if (event !== 'configApplied') return;
      this.sources.push((fields as {readonly source: string}).source);
    },
    onConfig: () => undefined,
    onClosure: () => undefined,
  });

  /** Starts with a small configuration that was read from the store. */
  async start(): Promise<void> {
    this.put(1, 1000);
    this.feed.start();
    await this.clock.advance(READ_MS);
    assert.equal(this.sources.splice(0), ['store']);
  }

  put(version: number, bytes: number): void {
    const value = new Uint8Array(bytes).fill(version);
    this.memory.append(OPERATOR_TOPIC, [{key: 'config', value}], {});
  }

  async hearPeer(version: number): Promise<void> {
    await this.feed.recordPeerVersion(PEER, version);
    await this.clock.advance(HEARTBEAT_MS);
  }

  private get newest(): Uint8Array {
    const stored = this.memory.topic(OPERATOR_TOPIC).newest.get('config');
    return stored?.value ?? new Uint8Array(0);
  }
}

const configFeed = suite('feed of the configuration');

// The store's copy and that of a peer shared the link of a small VM.
configFeed('asks no peer for what the store sends', async () => {
  const fixture = new Fixture();
  await fixture.start();
  fixture.client.faults.linkBytesPerS = LINK_BYTES_PER_S;
  fixture.put(2, CONFIG_BYTES);
  await fixture.clock.advance(READ_MS);
  for (let i = 0; i < 4; i += 1) await fixture.hearPeer(2);
  assert.equal(fixture.sources, ['store']);
  fixture.feed.stop();
});

configFeed('asks a peer if the store gives no answer', async () => {
  const fixture = new Fixture();
  await fixture.start();
  fixture.client.faults.isSilent = true;
  fixture.put(2, CONFIG_BYTES);
  for (let i = 0; i < 2; i += 1) await fixture.hearPeer(2);
  assert.equal(fixture.sources, ['peer']);
  assert.is(fixture.feed.lagMs, 0);
  fixture.feed.stop();
});

configFeed.run();
