/** Long replies, which arrive in parts between the other frames. */
import {
  connectPeer,
  encodeFrame,
  FrameReader,
  listenPeers,
  PeerHandler,
  type Frame,
  type PeerConnection,
  type PeerProtocol,
} from '@dragonflyward/peer';
import {once} from 'node:events';
import net, {type AddressInfo, type Server} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';

const IP = '127.0.0.1';
/** More than the buffers of a socket hold. */
const LONG_BYTES = 8 * 1024 * 1024;
/** Nearly as long as a frame may be. */
const LONGEST_BYTES = 15 * 1024 * 1024;
/** A proxy passes on 64 KB in each such interval, in ms. */
const CHUNK_INTERVAL_MS = 16;
const ASK_TIMEOUT_MS = 1000;
/** Its length divides that of no block. */
const PATTERN = Buffer.from(Uint8Array.from({length: 251}, (_, i) => i));
/** What may be left of a reply that was ended: the socket's buffer. */
const SOCKET_BYTES = 256 * 1024;

interface TestProtocol extends PeerProtocol {
  readonly hello: {readonly type: 'hello'};
  readonly ask: {readonly type: 'ask'; readonly bytes: number};
  readonly reply: {readonly type: 'reply'; readonly value: Buffer};
  readonly notice: {readonly type: 'notice'; readonly isLast: boolean};
}

class TestHandler extends PeerHandler<TestProtocol> {
  readonly connections: PeerConnection<TestProtocol>[] = [];
  notices = 0;
  readonly errors: unknown[] = [];
  override onMessageError = (_from: unknown, err: unknown): void => {
    this.errors.push(err);
  };

  override hello(): TestProtocol['hello'] {
    return {type: 'hello'};
  }

  override heartbeat(): TestProtocol['notice'] {
    return {type: 'notice', isLast: false};
  }

  override handleAsk(
    _from: unknown,
    {bytes}: TestProtocol['ask'],
  ): Promise<TestProtocol['reply']> {
    return Promise.resolve({type: 'reply', value: valueOf(bytes)});
  }

  override handleNotice(
    _from: unknown,
    {isLast}: TestProtocol['notice'],
  ): void {
    if (isLast) this.notices += 1;
  }

  override onPeerUp(connection: PeerConnection<TestProtocol>): void {
    this.connections.push(connection);
  }

  override onPeerDown(): void {}
}

function valueOf(bytes: number): Buffer {
  return Buffer.alloc(bytes, PATTERN);
}

function portOf(server: Server): number {
  return (server.address() as AddressInfo).port;
}

/** Passes on what the target sends a little at a time. */
async function slowProxy(targetPort: number): Promise<Server> {
  const proxy = net.createServer(client => {
    const target = net.connect(targetPort, IP);
    client.on('error', () => target.destroy());
    target.on('error', () => client.destroy());
    client.on('close', () => target.destroy());
    client.pipe(target);
    target.on('data', chunk => {
      target.pause();
      client.write(chunk);
      setTimeout(() => target.resume(), CHUNK_INTERVAL_MS);
    });
  });
  proxy.listen(0, IP);
  await once(proxy, 'listening');
  return proxy;
}

const fixtures: Fixture[] = [];

class Fixture {
  readonly served = new TestHandler();
  readonly own = new TestHandler();
  private readonly servers: Server[] = [];

  constructor() {
    fixtures.push(this);
  }

  async listen(): Promise<number> {
    const server = await listenPeers(IP, 0, this.served);
    this.servers.push(server);
    return portOf(server);
  }

  /** Connects through a slow proxy. */
  async connectSlowly(): Promise<PeerConnection<TestProtocol>> {
    const proxy = await slowProxy(await this.listen());
    this.servers.push(proxy);
    const connection = await connectPeer(IP, portOf(proxy), this.own);
    while (this.own.connections.length === 0) await sleep(1);
    return connection;
  }

  close(): void {
    for (const {connections} of [this.own, this.served]) {
      for (const each of connections) each.close();
    }
    for (const each of this.servers) each.close();
  }
}

const longReplies = suite('long replies');

longReplies('arrive whole, whatever their length', async () => {
  const fixture = new Fixture();
  const port = await fixture.listen();
  const connection = await connectPeer(IP, port, fixture.own);
  while (fixture.own.connections.length === 0) await sleep(1);
  const lengths = [0, 32_000, 32_767, 32_768, 40_000, 48_000, 1_000_000];
  const replies = lengths.map(bytes =>
    connection.ask({type: 'ask', bytes}, ASK_TIMEOUT_MS),
  );
  for (const [i, {value}] of (await Promise.all(replies)).entries()) {
    assert.ok(value.equals(valueOf(lengths[i] ?? 0)), `${lengths[i]} bytes`);
  }
});

// A reply that took the link for longer than the timeout never arrived.
longReplies('may take longer than the timeout of the ask', async () => {
  const fixture = new Fixture();
  const connection = await fixture.connectSlowly();
  const startMs = performance.now();
  let received = 0;
  const {value} = await connection.ask(
    {type: 'ask', bytes: LONG_BYTES},
    ASK_TIMEOUT_MS,
    {onData: bytes => (received += bytes)},
  );
  const tookMs = performance.now() - startMs;
  assert.ok(tookMs > ASK_TIMEOUT_MS, `took ${tookMs} ms`);
  assert.is(value.length, LONG_BYTES);
  assert.ok(received > LONG_BYTES);
});

// A VM that receives a configuration would miss the heartbeats of its owner.
longReplies('let other messages pass', async () => {
  const fixture = new Fixture();
  const connection = await fixture.connectSlowly();
  let isNotified = false;
  const notify = (): void => {
    if (isNotified) return;
    isNotified = true;
    fixture.served.connections[0]?.notify({type: 'notice', isLast: true});
  };
  const ask = {type: 'ask', bytes: LONGEST_BYTES} as const;
  await connection.ask(ask, ASK_TIMEOUT_MS, {onData: notify});
  assert.is(fixture.own.notices, 1);
});

longReplies('are not sent on once the ask is ended', async () => {
  const fixture = new Fixture();
  const connection = await fixture.connectSlowly();
  const aborter = new AbortController();
  const ask = {type: 'ask', bytes: LONG_BYTES} as const;
  const {signal} = aborter;
  const reply = connection.ask(ask, ASK_TIMEOUT_MS, {
    signal,
    onData: () => aborter.abort(),
  });
  const err: unknown = await reply.catch((each: unknown) => each);
  assert.match(String(err), 'was ended');
  const [sender] = fixture.served.connections;
  assert.ok(sender !== undefined);
  const isDropped = (): boolean => sender.queuedBytes < SOCKET_BYTES;
  for (let i = 0; i < 200 && !isDropped(); i += 1) await sleep(5);
  assert.ok(isDropped(), `${sender.queuedBytes} bytes are queued`);
  const short = await connection.ask({type: 'ask', bytes: 3}, 5000);
  assert.is(short.value.length, 3);
});

longReplies('are sent whole to a peer of an earlier version', async () => {
  const fixture = new Fixture();
  const socket = net.connect(await fixture.listen(), IP);
  const hello = {type: 'hello'} as const;
  const ask = {type: 'ask', bytes: 100_000} as const;
  socket.write(encodeFrame<TestProtocol>({kind: 'hello', hello}));
  socket.write(encodeFrame<TestProtocol>({kind: 'ask', id: 7, ask}));
  const reader = new FrameReader<TestProtocol>();
  const frames: Frame<TestProtocol>[] = [];
  const kinds = (): readonly string[] => frames.map(({kind}) => kind);
  for await (const chunk of socket) {
    frames.push(...reader.push(chunk as Buffer));
    if (frames.length > 1) break;
  }
  assert.equal(kinds(), ['hello', 'reply']);
  socket.destroy();
});

// A part that is cut short cannot be told from one of another ask.
longReplies('with a malformed part end the connection', async () => {
  const own = new TestHandler();
  const server = net.createServer(socket => {
    const hello = {type: 'hello'} as const;
    socket.write(encodeFrame<TestProtocol>({kind: 'hello', hello}));
    socket.write(Buffer.of(0x80, 0, 0, 2, 0, 0));
  });
  server.listen(0, IP);
  await once(server, 'listening');
  const connection = await connectPeer(IP, portOf(server), own);
  for (let i = 0; i < 200 && connection.isOpen; i += 1) await sleep(5);
  assert.is(connection.isOpen, false);
  assert.match(String(own.errors[0]), 'part of 2 bytes');
  server.close();
});

longReplies.after(() => {
  for (const each of fixtures) each.close();
});

longReplies.run();
