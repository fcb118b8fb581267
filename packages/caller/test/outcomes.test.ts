/** Complete answers, correct outcomes, at most one run: with faulty targets. */
import {DragonflywardError, SystemClock} from '@dragonflyward/common';
import {promiseTest} from '@dragonflyward/common/promise-test';
import {
  HttpExecutorClient,
  type ExecutorAddress,
  type ExecutorResponse,
  type ExecutorRequest,
} from '@dragonflyward/target';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  answer,
  closeAfterRequest,
  echo,
  type FaultyTarget,
  neverAnswer,
  writeAndClose,
  type Script,
} from './faulty-target.js';
import {
  call,
  kindOf,
  outcomeOf,
  type TestGateway,
  type ReceivedAnswer,
  withTargets,
} from './harness.js';

const outcomes = suite('outcomes');
const LARGE_BYTES = 300_000;
const TRUNCATED_LENGTH =
  'HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nonly a part of it';
const TRUNCATED_CHUNKED =
  'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n';
const NO_LENGTH = 'HTTP/1.1 200 OK\r\n\r\nends with the connection';
const LARGE_TRUNCATED_CHUNKED =
  'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n' +
  `${LARGE_BYTES.toString(16)}\r\n${'x'.repeat(LARGE_BYTES)}\r\n`;
const HEADERS_ONLY = 'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n';

function countRuns(targets: readonly FaultyTarget[], id: string): number {
  return targets.flatMap(({runs}) => runs).filter(run => run === id).length;
}

/** A client that treats a broken answer as complete and hides its headers. */
class UncheckedClient extends HttpExecutorClient {
  override async send(
    address: ExecutorAddress,
    req: ExecutorRequest,
  ): Promise<ExecutorResponse> {
    const answered = await super.send(address, req);
    return {...answered, headers: {}, body: endOnError(answered.body)};
  }
}

async function* endOnError(
  body: AsyncIterator<Buffer>,
): AsyncGenerator<Buffer> {
  try {
    for (;;) {
      const next = await body.next();
      if (next.done === true) return;
      yield next.value;
    }
  } catch {
    return;
  }
}

/** A client that reuses idle connections for all requests. */
class ReusingClient extends HttpExecutorClient {
  override send(
    address: ExecutorAddress,
    req: ExecutorRequest,
  ): Promise<ExecutorResponse> {
    return super.send(address, {...req, mayReuse: true});
  }
}

/** A clock that can be advanced, which simulates a pause of the process. */
class AdjustableClock extends SystemClock {
  private offsetMs = 0;

  override monotonicMs(): number {
    return super.monotonicMs() + this.offsetMs;
  }

  advance(deltaMs: number): void {
    this.offsetMs += deltaMs;
  }
}

promiseTest(
  outcomes,
  'not-run-true',
  'a target that refuses connections: not run, and nothing ran',
  async () => {
    await withTargets([echo], async (gateway, targets) => {
      await targets[0]?.stop();
      const res = await call(gateway.port, {id: 'r-1'});
      assert.is(outcomeOf(res), 'not run');
      assert.is(countRuns(targets, 'r-1'), 0);
      assert.ok(gateway.tickets.closes.every(({use}) => use === 'failed'));
      assert.is(gateway.tickets.closes.length, gateway.tickets.issued);
    });
  },
);

const TRUNCATIONS: readonly (readonly [string, Script])[] = [
  ['cut after the request', closeAfterRequest],
  ['headers only, then cut', writeAndClose(HEADERS_ONLY)],
  ['a body that is cut short', writeAndClose(TRUNCATED_LENGTH)],
  ['chunks without an end', writeAndClose(TRUNCATED_CHUNKED)],
  ['an answer that ends with the connection', writeAndClose(NO_LENGTH)],
];

for (const [name, script] of TRUNCATIONS) {
  promiseTest(
    outcomes,
    'at-most-once',
    `${name}: outcome unknown, sent once`,
    async () => {
      await withTargets([script, script], async (gateway, targets) => {
        const res = await call(gateway.port, {id: 'r-1'});
        assert.is(outcomeOf(res), 'outcome unknown');
        assert.is(countRuns(targets, 'r-1'), 1);
        const uses = gateway.tickets.closes.map(({use}) => use);
        assert.equal(uses, ['unknown']);
      });
    },
  );

  promiseTest(
    outcomes,
    'whole-answer',
    `${name}: an idempotent request is served by another`,
    async () => {
      await withTargets([script, echo], async (gateway, targets) => {
        const res = await call(gateway.port, {id: 'r-1', isIdempotent: true});
        assert.is(res.status, 200);
        assert.is(res.body, 'hello');
        assert.equal(targets[0]?.runs, ['r-1']);
        assert.equal(targets[1]?.runs, ['r-1']);
      });
    },
  );
}

outcomes(
  'a client that treats every end as complete relays a truncated answer',
  async () => {
    const executors = new UncheckedClient();
    await withTargets(
      [writeAndClose(TRUNCATED_CHUNKED)],
      async gateway => {
        const res = await call(gateway.port, {id: 'r-1'});
        assert.is(res.status, 200);
        assert.ok(res.isWhole);
      },
      {executors},
    );
  },
);

promiseTest(
  outcomes,
  'whole-answer',
  'a long answer that is cut ends in a broken connection',
  async () => {
    const script = writeAndClose(LARGE_TRUNCATED_CHUNKED);
    await withTargets([script], async gateway => {
      const res = await call(gateway.port, {id: 'r-1'});
      assert.is(res.status, 200);
      assert.not(res.isWhole);
    });
  },
);

promiseTest(
  outcomes,
  'at-most-once',
  'a connection cut before the request is read: outcome unknown',
  async () => {
    await withTargets([echo, echo], async (gateway, targets) => {
      for (const target of targets) {
        target.onConnect = socket => socket.resetAndDestroy();
      }
      const res = await call(gateway.port, {id: 'r-1'});
      const isRefused = outcomeOf(res) === 'not run';
      const uses = gateway.tickets.closes.map(({use}) => use);
      assert.is(uses.includes('unknown'), !isRefused);
      assert.is(countRuns(targets, 'r-1'), 0);
    });
  },
);

promiseTest(
  outcomes,
  'whole-answer',
  'an answer after the deadline reaches nobody',
  async () => {
    const late: Script = req => {
      req.socket.on('close', () => answer(req, 'late'));
    };
    await withTargets([late, echo], async (gateway, targets) => {
      const res = await call(gateway.port, {id: 'r-1', deadlineMs: 200});
      assert.is(kindOf(res), 'deadlinePassed');
      assert.is(outcomeOf(res), 'outcome unknown');
      const next = await call(gateway.port, {id: 'r-2', body: 'next'});
      assert.is(next.body, 'next');
      assert.is(countRuns(targets, 'r-1'), 1);
    });
  },
);

function swapAnswers(): Script {
  let answerFirst: (() => void) | undefined;
  return req => {
    if (answerFirst === undefined) {
      answerFirst = () => answer({...req, id: 'r-2'}, 'answer of r-2');
      return;
    }
    answerFirst();
    answer({...req, id: 'r-1'}, 'answer of r-1');
  };
}

async function callTwice(gateway: TestGateway): Promise<ReceivedAnswer[]> {
  return Promise.all([
    call(gateway.port, {id: 'r-1'}),
    call(gateway.port, {id: 'r-2'}),
  ]);
}

promiseTest(
  outcomes,
  'whole-answer',
  'swapped answers are noticed by the id that they echo',
  async () => {
    await withTargets([swapAnswers()], async (gateway, targets) => {
      for (const res of await callTwice(gateway)) {
        assert.is(outcomeOf(res), 'outcome unknown');
      }
      assert.is(targets[0]?.runs.length, 2);
    });
  },
);

outcomes(
  'without the check of the id, swapped answers go through',
  async () => {
    const executors = new UncheckedClient();
    await withTargets(
      [swapAnswers()],
      async gateway => {
        const bodies = (await callTwice(gateway)).map(({body}) => body);
        assert.ok(
          bodies[0] !== 'answer of r-1' || bodies[1] !== 'answer of r-2',
        );
      },
      {executors},
    );
  },
);

/** Does not answer on connections that have already served a request. */
function silentWhenReused(): Script {
  const usedSockets = new Set<unknown>();
  return req => {
    if (usedSockets.has(req.socket)) return;
    usedSockets.add(req.socket);
    echo(req);
  };
}

promiseTest(
  outcomes,
  'at-most-once',
  'a kept connection that went silent does not lose an order',
  async () => {
    await withTargets([silentWhenReused()], async gateway => {
      const first = {id: 'r-1', isIdempotent: true};
      assert.is((await call(gateway.port, first)).status, 200);
      const order = await call(gateway.port, {id: 'r-2', deadlineMs: 500});
      assert.is(order.status, 200);
    });
  },
);

outcomes(
  'reusing idle connections for all requests leaves the outcome unknown',
  async () => {
    const executors = new ReusingClient();
    await withTargets(
      [silentWhenReused()],
      async gateway => {
        const first = {id: 'r-1', isIdempotent: true};
        assert.is((await call(gateway.port, first)).status, 200);
        const order = await call(gateway.port, {id: 'r-2', deadlineMs: 500});
        assert.is(outcomeOf(order), 'outcome unknown');
      },
      {executors},
    );
  },
);

outcomes(
  'a silent executor is replaced once its service’s latency is known',
  async () => {
    await withTargets([echo, echo], async (gateway, targets) => {
      for (let i = 0; i < 60; i += 1) {
        await call(gateway.port, {id: `w-${i}`, isIdempotent: true});
      }
      targets[0]?.setScript(neverAnswer);
      const calls = [1, 2].map(i =>
        call(gateway.port, {id: `r-${i}`, isIdempotent: true}),
      );
      for (const res of await Promise.all(calls)) assert.is(res.status, 200);
    });
  },
);

promiseTest(
  outcomes,
  'not-run-true',
  'a gateway that wakes after the start-by time sends nothing',
  async () => {
    const clock = new AdjustableClock();
    await withTargets(
      [echo],
      async (gateway, targets) => {
        gateway.tickets.onAcquire = () => clock.advance(1_500);
        const res = await call(gateway.port, {id: 'r-1'});
        assert.is(outcomeOf(res), 'not run');
        assert.is(countRuns(targets, 'r-1'), 0);
      },
      {clock},
    );
  },
);

outcomes('without a start-by time the woken gateway sends', async () => {
  const clock = new AdjustableClock();
  await withTargets(
    [echo],
    async (gateway, targets) => {
      gateway.tickets.startByMs = Infinity;
      gateway.tickets.onAcquire = () => clock.advance(1_500);
      const res = await call(gateway.port, {id: 'r-1'});
      assert.is(res.status, 200);
      assert.is(countRuns(targets, 'r-1'), 1);
    },
    {clock},
  );
});

promiseTest(
  outcomes,
  'team-key',
  'a key withdrawn while its request waits: not run, not sent',
  async () => {
    await withTargets([echo], async (gateway, targets) => {
      gateway.tickets.onAcquire = () => (gateway.config.isKeyValid = false);
      const res = await call(gateway.port, {id: 'r-1'});
      assert.is(kindOf(res), 'keyUnknown');
      assert.is(countRuns(targets, 'r-1'), 0);
    });
  },
);

promiseTest(
  outcomes,
  'at-most-once',
  'a repeat of an id does not run; after "not run" it does',
  async () => {
    await withTargets([closeAfterRequest], async (gateway, targets) => {
      await call(gateway.port, {id: 'r-1'});
      const repeat = await call(gateway.port, {id: 'r-1'});
      assert.is(kindOf(repeat), 'duplicateId');
      assert.is(outcomeOf(repeat), 'outcome unknown');
      assert.is(countRuns(targets, 'r-1'), 1);
      gateway.tickets.onAcquire = () => throwQueueFull();
      const refused = await call(gateway.port, {id: 'r-2'});
      assert.is(outcomeOf(refused), 'not run');
      gateway.tickets.onAcquire = () => undefined;
      targets[0]?.setScript(echo);
      assert.is((await call(gateway.port, {id: 'r-2'})).status, 200);
      assert.is(countRuns(targets, 'r-2'), 1);
    });
  },
);

function throwQueueFull(): never {
  throw new DragonflywardError('queueFull', 'quotes');
}

promiseTest(
  outcomes,
  'leaving-target',
  'an executor’s report that it is draining is passed on with the close',
  async () => {
    const drainingAnswer = writeAndClose(
      'HTTP/1.1 200 OK\r\nx-draining: 1\r\ncontent-length: 2\r\n\r\nok',
    );
    await withTargets([drainingAnswer], async gateway => {
      assert.is((await call(gateway.port, {id: 'r-1'})).body, 'ok');
      const [close] = gateway.tickets.closes;
      assert.is(close?.isDraining, true);
      assert.is(close?.use, 'done');
    });
  },
);

outcomes.run();
