/** The HTTP server for callers: malformed input and graceful shutdown. */
import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import {promiseTest} from '@dragonflyward/common/promise-test';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  answer,
  echo,
  FaultyTarget,
  type ReceivedRequest,
} from './faulty-target.js';
import {call, KEY, kindOf, QUEUE, TestGateway} from './harness.js';

const port = suite('callers’ port');
/** Short timeouts, so that the tests can wait until they expire. */
const LIMITS = {
  headersTimeoutMs: 300,
  requestTimeoutMs: 600,
  maxConnections: 100,
};
const HEAD = 'POST /v1/requests/quotes HTTP/1.1\r\nhost: g\r\n';
const AUTHORIZED = `${HEAD}authorization: Bearer ${KEY}\r\n`;

type TestBody = (gateway: TestGateway, target: FaultyTarget) => Promise<void>;

async function withGateway(
  body: TestBody,
  script: (req: ReceivedRequest) => void = echo,
): Promise<void> {
  const target = await new FaultyTarget('e-0', script).start();
  const overrides = {limits: LIMITS};
  const gateway = await new TestGateway([target.address], overrides).start();
  try {
    await body(gateway, target);
  } finally {
    await target.stop();
    await gateway.stop();
  }
}

/** Writes bytes and reads until the gateway closes the connection. */
async function exchange(portNumber: number, bytes: string): Promise<string> {
  const socket = net.connect(portNumber, '127.0.0.1');
  let text = '';
  socket.on('data', chunk => (text += chunk.toString('latin1')));
  socket.on('error', () => undefined);
  socket.write(bytes, 'latin1');
  await new Promise(resolve => socket.on('close', resolve));
  return text;
}

const REFUSED: readonly (readonly [string, string, RegExp])[] = [
  ['garbage bytes', '\x00\x01\xfe\xff\r\n\r\n', /^HTTP\/1.1 400 /],
  ['TLS on the plain port', '\x16\x03\x01\x02\x00\x01\x00', /^HTTP\/1.1 400 /],
  [
    'two lengths that differ',
    `${AUTHORIZED}content-length: 1\r\ncontent-length: 2\r\n\r\nab`,
    /^HTTP\/1.1 400 /,
  ],
  [
    'a length and chunks',
    `${AUTHORIZED}content-length: 1\r\n` +
      'transfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n',
    /^HTTP\/1.1 400 /,
  ],
  [
    'oversized headers',
    `${AUTHORIZED}x-long: ${'x'.repeat(20_000)}\r\n\r\n`,
    /^HTTP\/1.1 431 /,
  ],
  ['headers that never end', `${AUTHORIZED}x-slow: `, /^HTTP\/1.1 408 /],
  ['no byte at all', '', /^HTTP\/1.1 408 |^$/],
];

for (const [name, bytes, pattern] of REFUSED) {
  port(`refuses ${name}`, async () => {
    await withGateway(async (gateway, target) => {
      const text = await exchange(gateway.port, bytes);
      assert.match(text, pattern);
      assert.is(target.runs.length, 0);
      assert.is((await call(gateway.port, {})).status, 200);
    });
  });
}

port('refuses more headers than it keeps', async () => {
  await withGateway(async (gateway, target) => {
    const many = Array.from({length: 120}, (_, i) => `x-${i}: 1\r\n`).join('');
    const end = 'content-length: 0\r\nconnection: close\r\n\r\n';
    const text = await exchange(gateway.port, AUTHORIZED + many + end);
    assert.match(text, /^HTTP\/1.1 400 /);
    assert.is(target.runs.length, 0);
  });
});

port('refuses a body over the queue’s bound, declared or not', async () => {
  await withGateway(async (gateway, target) => {
    const body = 'x'.repeat(QUEUE.maxBodyBytes + 1);
    const res = await call(gateway.port, {body});
    assert.is(res.status, 413);
    const length = 'content-length: 999999999\r\n\r\n';
    const text = await exchange(gateway.port, AUTHORIZED + length);
    assert.match(text, /^HTTP\/1.1 413 /);
    assert.is(target.runs.length, 0);
  });
});

port('ends a body that stops in the middle', async () => {
  await withGateway(async (gateway, target) => {
    const length = 'content-length: 10\r\n\r\nabc';
    const text = await exchange(gateway.port, AUTHORIZED + length);
    assert.match(text, /^HTTP\/1.1 (408|503|504) |^$/);
    assert.is(target.runs.length, 0);
  });
});

port('answers pipelined requests in order, but not without bound', async () => {
  await withGateway(async (gateway, target) => {
    const makeRequest = (i: number, last: string): string =>
      `${AUTHORIZED}x-idempotent: true\r\nx-request-id: p-${i}\r\n` +
      `${last}content-length: 3\r\n\r\np-${i}`;
    const requests =
      makeRequest(0, '') +
      makeRequest(1, '') +
      makeRequest(2, 'connection: close\r\n');
    const text = await exchange(gateway.port, requests);
    const order = [...text.matchAll(/\r\n\r\n(p-\d)/g)].map(m => m[1]);
    assert.equal(order, ['p-0', 'p-1', 'p-2']);
    const excess = Array.from({length: 500}, (_, i) =>
      makeRequest(i % 10, ''),
    ).join('');
    await exchange(gateway.port, excess);
    assert.is(gateway.server.openRequests(), 0);
    assert.ok(target.runs.length <= 3 + 8);
    assert.is((await call(gateway.port, {})).status, 200);
  });
});

const REQUESTS: readonly (readonly [string, object, string])[] = [
  ['a queue that is not there', {queue: 'none'}, 'queueUnknown'],
  ['a key that is not valid', {key: 'k-2.x'}, 'keyUnknown'],
  ['a key that is not one word', {key: 'a b'}, 'badRequest'],
  ['an id with spaces', {id: 'a b'}, 'badRequest'],
  ['a malformed path', {queue: '%ff'}, 'badRequest'],
  ['a longer path', {queue: 'quotes/more'}, 'routeUnknown'],
];

for (const [name, req, kind] of REQUESTS) {
  port(`answers ${name} with ${kind}`, async () => {
    await withGateway(async (gateway, target) => {
      assert.is(kindOf(await call(gateway.port, req)), kind);
      assert.is(target.runs.length, 0);
    });
  });
}

promiseTest(port, 'team-key', 'only open queues go without a key', async () => {
  await withGateway(async (gateway, target) => {
    const end = 'content-length: 0\r\nconnection: close\r\n\r\n';
    const refused = await exchange(gateway.port, HEAD + end);
    assert.match(refused, /^HTTP\/1.1 401 /);
    const open = HEAD.replace('quotes', 'open') + end;
    assert.match(await exchange(gateway.port, open), /^HTTP\/1.1 200 /);
    gateway.config.isRecent = false;
    const stale = await call(gateway.port, {});
    assert.is(kindOf(stale), 'configStale');
    assert.match(await exchange(gateway.port, open), /^HTTP\/1.1 200 /);
    assert.is(target.runs.length, 2);
  });
});

port('1,000 idle connections leave callers served', async () => {
  await withGateway(async gateway => {
    const sockets = Array.from({length: 1_000}, () =>
      net.connect(gateway.port, '127.0.0.1'),
    );
    for (const socket of sockets) socket.on('error', () => undefined).resume();
    await Promise.all(
      sockets.map(socket => new Promise(done => socket.on('close', done))),
    );
    assert.is((await call(gateway.port, {})).status, 200);
  });
});

promiseTest(
  port,
  'graceful-stop',
  'a shutdown answers what is open and what still arrives',
  async () => {
    const received: ReceivedRequest[] = [];
    const keepOpen = (req: ReceivedRequest): void => {
      received.push(req);
    };
    await withGateway(async (gateway, target) => {
      const agent = new http.Agent({keepAlive: true});
      const open = call(gateway.port, {id: 'r-1', agent});
      while (received.length < 1) await new Promise(setImmediate);
      gateway.server.startDraining();
      const late = call(gateway.port, {id: 'r-2', agent});
      while (received.length < 2) await new Promise(setImmediate);
      const closed = gateway.server.close();
      for (const req of received) answer(req, req.id);
      for (const res of [await open, await late]) {
        assert.is(res.status, 200);
        assert.ok(res.isWhole);
      }
      assert.is((await late).headers.connection, 'close');
      await closed;
      assert.is(gateway.server.openRequests(), 0);
      assert.equal(target.runs, ['r-1', 'r-2']);
      const refused = await call(gateway.port, {}).catch(() => 'refused');
      assert.is(refused, 'refused');
    }, keepOpen);
  },
);

port('a caller that reads slowly holds its target back', async () => {
  const totalBytes = 64 * 1024 * 1024;
  let written = 0;
  const writeLargeAnswer = ({socket}: ReceivedRequest): void => {
    socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${totalBytes}\r\n\r\n`);
    const chunk = Buffer.alloc(64 * 1024, 'x');
    const fill = (): void => {
      while (written < totalBytes) {
        written += chunk.length;
        if (!socket.write(chunk)) return;
      }
    };
    socket.on('drain', fill);
    fill();
  };
  await withGateway(async gateway => {
    const socket = net.connect(gateway.port, '127.0.0.1');
    socket.on('error', () => undefined);
    socket.write(`${AUTHORIZED}content-length: 0\r\n\r\n`);
    await once(socket, 'readable');
    let previous = -1;
    while (previous !== written) {
      previous = written;
      await new Promise(resolve => setTimeout(resolve, 200));
    }
    assert.ok(written < totalBytes, `${written} bytes were taken`);
    socket.destroy();
  }, writeLargeAnswer);
});

port.run();
