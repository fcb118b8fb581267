/** Whole answers, true refusals and at most one run, whatever a target does. */
import {DragonflywardError, SystemClock} from '@dragonflyward/common';
import {promiseTest} from '@dragonflyward/common/promise-test';
import {
  HttpExecutorClient,
  type ExecutorAddress,
  type ExecutorAnswer,
  type ExecutorRequest,
} from '@dragonflyward/target';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  answer,
  cutAfterRequest,
  echo,
  type FaultyTarget,
  stayWithoutAnswer,
  writeAndCut,
  type Script,
} from './faulty-target.js';
import {
  call,
  kindOf,
  outcomeOf,
  type TestGateway,
  type SeenAnswer,
  withTargets,
} from './harness.js';

const outcomes = suite('outcomes');
const LARGE_BYTES = 300_000;
const CUT_LENGTH =
  'HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nonly a part of it';
const CUT_CHUNKED =
  'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n';
const NO_LENGTH = 'HTTP/1.1 200 OK\r\n\r\nends with the connection';
const LARGE_CUT_CHUNKED =
  'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n' +
  `${LARGE_BYTES.toString(16)}\r\n${'x'.repeat(LARGE_BYTES)}\r\n`;
const HEADERS_ONLY = 'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n';

function countRuns(targets: readonly FaultyTarget[], id: string): number {
  return targets.flatMap(({runs}) => runs).filter(run => run === id).length;
}

/** A client that takes each end of an answer for a regular one. */
class TrustingClient extends HttpExecutorClient {
  override async send(
    address: ExecutorAddress,
    req: ExecutorRequest,
  ): Promise<ExecutorAnswer> {
    const seen = await super.send(address, req);
    return {...seen, headers: {}, body: untilError(seen.body)};
  }
}

async function* untilError(
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

/** A client that uses kept connections for all requests. */
class ReusingClient extends HttpExecutorClient {
  override send(
    address: ExecutorAddress,
    req: ExecutorRequest,
  ): Promise<ExecutorAnswer> {
    return super.send(address, {...req, mayReuse: true});
  }
}

/** A clock that can be moved on, as a pause of the process does. */
class JumpClock extends SystemClock {
  private offsetMs = 0;

  override monotonicMs(): number {
    return super.monotonicMs() + this.offsetMs;
  }

  jump(deltaMs: number): void {
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
      assert.is(gateway.tickets.closes.length, gateway.tickets.taken);
    });
  },
);

const CUTS: readonly (readonly [string, Script])[] = [
  ['cut after the request', cutAfterRequest],
  ['headers only, then cut', writeAndCut(HEADERS_ONLY)],
  ['a body that is cut short', writeAndCut(CUT_LENGTH)],
  ['chunks without an end', writeAndCut(CUT_CHUNKED)],
  ['an answer that ends with the connection', writeAndCut(NO_LENGTH)],
];

for (const [name, script] of CUTS) {
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
  'a client that trusts each end passes a cut answer as whole',
  async () => {
    const executors = new TrustingClient();
    await withTargets(
      [writeAndCut(CUT_CHUNKED)],
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
    const script = writeAndCut(LARGE_CUT_CHUNKED);
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

function swapping(): Script {
  let first: (() => void) | undefined;
  return req => {
    if (first === undefined) {
      first = () => answer({...req, id: 'r-2'}, 'answer of r-2');
      return;
    }
    first();
    answer({...req, id: 'r-1'}, 'answer of r-1');
  };
}

async function callTwice(gateway: TestGateway): Promise<SeenAnswer[]> {
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
    await withTargets([swapping()], async (gateway, targets) => {
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
    const executors = new TrustingClient();
    await withTargets(
      [swapping()],
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

/** Goes silent on connections that have served a request before. */
function silentWhenKept(): Script {
  const used = new Set<unknown>();
  return req => {
    if (used.has(req.socket)) return;
    used.add(req.socket);
    echo(req);
  };
}

promiseTest(
  outcomes,
  'at-most-once',
  'a kept connection that went silent does not lose an order',
  async () => {
    await withTargets([silentWhenKept()], async gateway => {
      const first = {id: 'r-1', isIdempotent: true};
      assert.is((await call(gateway.port, first)).status, 200);
      const order = await call(gateway.port, {id: 'r-2', deadlineMs: 500});
      assert.is(order.status, 200);
    });
  },
);

outcomes(
  'with kept connections for orders, the outcome is unknown',
  async () => {
    const executors = new ReusingClient();
    await withTargets(
      [silentWhenKept()],
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
  'a silent executor is left for another, once it is known',
  async () => {
    await withTargets([echo, echo], async (gateway, targets) => {
      for (let i = 0; i < 60; i += 1) {
        await call(gateway.port, {id: `w-${i}`, isIdempotent: true});
      }
      targets[0]?.setScript(stayWithoutAnswer);
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
    const clock = new JumpClock();
    await withTargets(
      [echo],
      async (gateway, targets) => {
        gateway.tickets.onTake = () => clock.jump(1_500);
        const res = await call(gateway.port, {id: 'r-1'});
        assert.is(outcomeOf(res), 'not run');
        assert.is(countRuns(targets, 'r-1'), 0);
      },
      {clock},
    );
  },
);

outcomes('without a start-by time the woken gateway sends', async () => {
  const clock = new JumpClock();
  await withTargets(
    [echo],
    async (gateway, targets) => {
      gateway.tickets.startByMs = Infinity;
      gateway.tickets.onTake = () => clock.jump(1_500);
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
      gateway.tickets.onTake = () => (gateway.config.isKeyValid = false);
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
    await withTargets([cutAfterRequest], async (gateway, targets) => {
      await call(gateway.port, {id: 'r-1'});
      const repeat = await call(gateway.port, {id: 'r-1'});
      assert.is(kindOf(repeat), 'duplicateId');
      assert.is(outcomeOf(repeat), 'outcome unknown');
      assert.is(countRuns(targets, 'r-1'), 1);
      gateway.tickets.onTake = () => raiseQueueFull();
      const refused = await call(gateway.port, {id: 'r-2'});
      assert.is(outcomeOf(refused), 'not run');
      gateway.tickets.onTake = () => undefined;
      targets[0]?.setScript(echo);
      assert.is((await call(gateway.port, {id: 'r-2'})).status, 200);
      assert.is(countRuns(targets, 'r-2'), 1);
    });
  },
);

function raiseQueueFull(): never {
  throw new DragonflywardError('queueFull', 'quotes');
}

promiseTest(
  outcomes,
  'leaving-target',
  'an executor’s own word that it drains is passed on',
  async () => {
    const draining = writeAndCut(
      'HTTP/1.1 200 OK\r\nx-draining: 1\r\ncontent-length: 2\r\n\r\nok',
    );
    await withTargets([draining], async gateway => {
      assert.is((await call(gateway.port, {id: 'r-1'})).body, 'ok');
      const [close] = gateway.tickets.closes;
      assert.is(close?.isDraining, true);
      assert.is(close?.use, 'done');
    });
  },
);

outcomes.run();
