/** Peers that send anything: no error leaves the connection. */
import {
  encodeFrame,
  listenPeers,
  PeerHandler,
  type Frame,
  type PeerConnection,
  type PeerInfo,
  type PeerProtocol,
} from '@dragonflyward/peer';
import fc from 'fast-check';
import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';

const IP = '127.0.0.1';
const RUNS = 60;
const ARRIVAL_MS = 30;

interface TestProtocol extends PeerProtocol {
  readonly hello: {readonly type: 'hello'; readonly vm: string};
  readonly ask: {readonly type: 'ask'; readonly names: readonly string[]};
  readonly reply: {readonly type: 'reply'; readonly count: number};
  readonly notice: {readonly type: 'notice'; readonly names: readonly string[]};
}

/** Trusts the messages, as handlers do. */
class TrustingHandler extends PeerHandler<TestProtocol> {
  readonly errors: unknown[] = [];
  readonly notices: number[] = [];
  readonly peers: number[] = [];

  override hello(): TestProtocol['hello'] {
    return {type: 'hello', vm: 'v'};
  }

  override heartbeat(): TestProtocol['notice'] {
    return {type: 'notice', names: []};
  }

  override async handleAsk(
    _from: PeerInfo<TestProtocol>,
    {names}: TestProtocol['ask'],
  ): Promise<TestProtocol['reply']> {
    return {type: 'reply', count: names.map(each => each.length).length};
  }

  override handleNotice(
    _from: PeerInfo<TestProtocol>,
    {names}: TestProtocol['notice'],
  ): void {
    this.notices.push(names.map(each => each.length).length);
  }

  override onPeerUp(connection: PeerConnection<TestProtocol>): void {
    this.peers.push(connection.info?.vm.length ?? 0);
  }

  override onPeerDown(connection: PeerConnection<TestProtocol>): void {
    this.peers.push(connection.info?.vm.length ?? 0);
  }

  override onMessageError = (_from: unknown, err: unknown): void => {
    this.errors.push(err);
  };
}

const frames = suite('malformed frames');

const hello: Frame<TestProtocol> = {
  kind: 'hello',
  hello: {type: 'hello', vm: 'p'},
};

/** Starts a listener; counts what escapes from it. */
async function listen(handler: TrustingHandler): Promise<{
  readonly port: number;
  readonly escaped: unknown[];
  readonly close: () => void;
}> {
  const escaped: unknown[] = [];
  const onEscape = (err: unknown): number => escaped.push(err);
  process.on('unhandledRejection', onEscape);
  process.on('uncaughtException', onEscape);
  const server = await listenPeers(IP, 0, handler);
  const {port} = server.address() as AddressInfo;
  const close = (): void => {
    server.close();
    process.off('unhandledRejection', onEscape);
    process.off('uncaughtException', onEscape);
  };
  return {port, escaped, close};
}

async function send(port: number, bytes: readonly Uint8Array[]): Promise<void> {
  const socket = net.connect(port, IP);
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  for (const each of bytes) socket.write(each);
  await sleep(ARRIVAL_MS);
  socket.destroy();
}

frames('of any content end at most their connection', async () => {
  const handler = new TrustingHandler();
  const {port, escaped, close} = await listen(handler);
  const anyFrame = fc.anything().map(value => {
    const frame = value as Frame<TestProtocol>;
    return encodeFrame(frame);
  });
  const anyMessage = fc.anything().map(value =>
    encodeFrame({
      kind: 'notice',
      notice: value,
    } as unknown as Frame<TestProtocol>),
  );
  const anyHello = fc.anything().map(value =>
    encodeFrame({
      kind: 'hello',
      hello: value,
    } as unknown as Frame<TestProtocol>),
  );
  const rightHello = fc.constant(encodeFrame<TestProtocol>(hello));
  const bytes = fc.oneof(anyFrame, anyMessage, fc.uint8Array({maxLength: 40}));
  const first = fc.oneof(rightHello, anyHello);
  const property = fc.asyncProperty(first, bytes, async (...sent) => {
    await send(port, sent);
  });
  await fc.assert(property, {numRuns: RUNS});
  assert.equal(escaped, []);
  await send(port, [
    encodeFrame<TestProtocol>(hello),
    encodeFrame<TestProtocol>({
      kind: 'notice',
      notice: {type: 'notice', names: ['a', 'b', 'c', 'd', 'e', 'f', 'g']},
    }),
  ]);
  assert.ok(handler.notices.includes(7));
  close();
});

// A later version may send what this one cannot handle.
frames('do not end the connection if they are only not handled', async () => {
  const handler = new TrustingHandler();
  const {port, escaped, close} = await listen(handler);
  const bad = {type: 'notice'} as unknown as TestProtocol['notice'];
  const good = {type: 'notice', names: ['a']} as const;
  await send(port, [
    encodeFrame<TestProtocol>(hello),
    encodeFrame<TestProtocol>({kind: 'notice', notice: bad}),
    encodeFrame<TestProtocol>({kind: 'notice', notice: good}),
  ]);
  assert.is(handler.errors.length, 1);
  assert.ok(handler.notices.includes(1));
  assert.equal(escaped, []);
  close();
});

frames.run();
