/**
 * Asks that are not answered yet: guards against peers that fill the memory of
 * a process with the bytes of their asks.
 */
import {
  connectPeer,
  listenPeers,
  MAX_ALL_ASK_BYTES,
  MAX_ASK_BYTES,
  PeerHandler,
  type PeerConnection,
  type PeerLimit,
  type PeerProtocol,
} from '@dragonflyward/peer';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';

const IP = '127.0.0.1';
const ASK_BYTES = 1024 * 1024;
const TIMEOUT_MS = 3000;

interface TestProtocol extends PeerProtocol {
  readonly ask: {readonly type: 'ask'; readonly value: Buffer};
}

/** Answers no ask before it is told to. */
class HoldingHandler extends PeerHandler<TestProtocol> {
  readonly limits: PeerLimit[] = [];
  private readonly held: Array<() => void> = [];
  override onLimitExceeded = (limit: PeerLimit): void => {
    this.limits.push(limit);
  };

  release(): void {
    for (const resolve of this.held) resolve();
  }

  override hello(): TestProtocol['hello'] {
    return {};
  }

  override heartbeat(): TestProtocol['notice'] {
    return {type: 'heartbeat'};
  }

  override async handleAsk(): Promise<TestProtocol['reply']> {
    await new Promise<void>(resolve => this.held.push(resolve));
    return {type: 'reply'};
  }

  override handleNotice(): void {
    // Only heartbeats arrive.
  }

  override onPeerUp(): void {
    // Nothing depends on it.
  }

  override onPeerDown(): void {
    // Nothing depends on it.
  }
}

async function waitFor(what: string, isTrue: () => boolean): Promise<void> {
  const endMs = performance.now() + TIMEOUT_MS;
  while (!isTrue()) {
    assert.ok(performance.now() < endMs, what);
    await sleep(10);
  }
}

/** Sends asks; resolves to the number that were answered. */
async function ask(
  connection: PeerConnection<TestProtocol>,
  count: number,
  bytes = ASK_BYTES,
): Promise<number> {
  const value = Buffer.alloc(bytes);
  const replies = await Promise.allSettled(
    Array.from({length: count}, () =>
      connection.ask({type: 'ask', value}, 2 * TIMEOUT_MS),
    ),
  );
  return replies.filter(({status}) => status === 'fulfilled').length;
}

const asks = suite('open asks');

asks('of one connection are bounded in bytes', async () => {
  const handler = new HoldingHandler();
  const server = await listenPeers(IP, 0, handler);
  const {port} = server.address() as AddressInfo;
  const connect = () => connectPeer(IP, port, new HoldingHandler());
  const [large, small] = [await connect(), await connect()];
  const answered = ask(small, 100, 10);
  void ask(large, 20);
  await waitFor('closed', () => !large.isOpen);
  assert.equal(handler.limits, ['openAsks']);
  assert.ok(handler.openAsks.bytes <= MAX_ASK_BYTES);
  handler.release();
  assert.is(await answered, 100);
  assert.is(handler.openAsks.bytes, 0);
  small.close();
  server.close();
});

asks('of all connections are bounded in bytes together', async () => {
  const handler = new HoldingHandler();
  const server = await listenPeers(IP, 0, handler);
  const {port} = server.address() as AddressInfo;
  const connect = () => connectPeer(IP, port, new HoldingHandler());
  const small = await connect();
  const answered = ask(small, 100, 10);
  const large = await Promise.all([1, 2, 3, 4].map(connect));
  for (const each of large) void ask(each, 12);
  await waitFor('closed', () => large.some(({isOpen}) => !isOpen));
  await sleep(500);
  assert.ok(handler.limits.every(limit => limit === 'openAsks'));
  assert.ok(handler.openAsks.bytes <= MAX_ALL_ASK_BYTES + 4 * ASK_BYTES);
  assert.ok(small.isOpen);
  handler.release();
  assert.is(await answered, 100);
  assert.is(handler.openAsks.bytes, 0);
  for (const each of [small, ...large]) each.close();
  server.close();
});

asks.after(() => {
  // Connections of a failed test would keep the process alive.
  setTimeout(() => process.exit(), 1000).unref();
});

asks.run();
