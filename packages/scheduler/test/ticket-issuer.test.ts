/** Tests of tickets: order, limits, draining, takeover and duplicates. */
import {ManualClock, toFailure} from '@dragonflyward/common';
import {promiseTest} from '@dragonflyward/common/promise-test';
import type {RequestClaim} from '@dragonflyward/peer';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  REQUEST_CLAIM_WINDOW_MS,
  DuplicateDetector,
  UNTIMED_ID_WINDOW_MS,
} from '../src/duplicate-detector.js';
import {TAKEOVER_WAIT_MS} from '../src/ticket-issuer.js';
import {
  IssuerHarness,
  executor,
  gateway,
  MAX_DEADLINE_MS,
  MAX_WAITING,
  SLOTS,
} from './issuer-harness.js';

const tickets = suite('ticket issuer');
const ONE = gateway('vm-1');
const TWO = gateway('vm-2');

function harness(executors = 1, slots = 100): IssuerHarness {
  const made = new IssuerHarness();
  const ids = Array.from({length: executors}, (_, i) => `e-${i}`);
  made.issuer.setExecutors(ids.map(id => executor(id)));
  for (const team of ['roofs', 'huts']) made.issuer.setAllowance(team, slots);
  return made;
}

async function fill(made: IssuerHarness, count = SLOTS): Promise<void> {
  for (let i = 0; i < count; i += 1) made.ask('huts', ONE);
  await made.settle();
}

tickets('gives each slot once and the next when one is free', async () => {
  const made = harness();
  await fill(made, SLOTS + 1);
  assert.is(made.granted(), SLOTS);
  const [first] = made.asks;
  if (first !== undefined) made.close(first, 'done');
  await made.settle();
  assert.is(made.granted(), SLOTS + 1);
});

tickets('serves urgent work before batch work that came earlier', async () => {
  const made = harness();
  await fill(made);
  const render = made.ask('roofs', ONE, {queue: 'renders'});
  const confirmation = made.ask('roofs', ONE);
  const [first] = made.asks;
  if (first !== undefined) made.close(first, 'done');
  await made.settle();
  assert.ok(confirmation.ticket);
  assert.not(render.ticket);
});

tickets('serves the team with less in use first', async () => {
  const made = harness();
  await fill(made);
  const again = made.ask('huts', ONE);
  const other = made.ask('roofs', ONE);
  const [first] = made.asks;
  if (first !== undefined) made.close(first, 'done');
  await made.settle();
  assert.ok(other.ticket);
  assert.not(again.ticket);
});

tickets('lets batch work that waits long have a turn', async () => {
  const made = harness();
  await fill(made);
  const render = made.ask('huts', ONE, {queue: 'renders'});
  await made.advance(5_000);
  for (let turn = 0; turn < 16; turn += 1) {
    made.ask('roofs', ONE);
    const open = made.asks.find(ask => ask !== render && ask.ticket);
    if (open === undefined) break;
    made.close(open, 'done');
    open.ticket = undefined;
    await made.settle();
  }
  assert.ok(render.ticket);
});

promiseTest(
  tickets,
  'team-limit',
  'a team gets no slot past its allowance',
  async () => {
    const made = harness(2, 3);
    await fill(made, 5);
    assert.is(made.granted(), 3);
    assert.equal(made.issuer.running(), [{team: 'huts', slots: 3}]);
    const none = made.ask('strangers', ONE);
    await made.settle();
    assert.is(none.refusal, 'teamLimit');
  },
);

promiseTest(
  tickets,
  'team-limit',
  'requests wait until the first allowances are known',
  async () => {
    const made = new IssuerHarness();
    made.issuer.setExecutors([executor('e-0')]);
    const early = made.ask('roofs', ONE);
    await made.settle();
    assert.not(early.ticket);
    assert.not(early.refusal);
    made.issuer.setAllowance('roofs', 1);
    await made.settle();
    assert.ok(early.ticket);
  },
);

tickets('an owner without allowances refuses instead of waiting', async () => {
  const made = new IssuerHarness();
  made.issuer.setExecutors([executor('e-0')]);
  const waiting = made.ask('roofs', ONE);
  await made.advance(TAKEOVER_WAIT_MS);
  assert.is(waiting.refusal, 'notOwner');
  const late = made.ask('roofs', ONE);
  await made.settle();
  assert.is(late.refusal, 'notOwner');
  made.issuer.setAllowance('roofs', 1);
  const served = made.ask('roofs', ONE);
  await made.settle();
  assert.ok(served.ticket);
});

tickets('an owner whose slots are all reserved refuses', async () => {
  const made = new IssuerHarness(new ManualClock(), 2);
  made.issuer.setExecutors([executor('e-0')]);
  made.issuer.setGatewayCount(3);
  made.issuer.setAllowance('roofs', 100);
  for (const from of [ONE, TWO]) made.issuer.adoptTickets(from, []);
  const waiting = made.ask('roofs', ONE);
  const open = made.ask('', ONE);
  await made.advance(TAKEOVER_WAIT_MS);
  assert.is(waiting.refusal, 'notOwner');
  assert.is(open.refusal, 'notOwner');
  const late = made.ask('roofs', ONE);
  await made.settle();
  assert.is(late.refusal, 'notOwner');
  made.issuer.adoptTickets(gateway('vm-3'), []);
  const served = made.ask('roofs', ONE);
  await made.settle();
  assert.ok(served.ticket);
});

tickets('requests without a team need no allowances', async () => {
  const made = new IssuerHarness();
  made.issuer.setExecutors([executor('e-0')]);
  await made.advance(TAKEOVER_WAIT_MS);
  const open = made.ask('', ONE);
  await made.settle();
  assert.ok(open.ticket);
});

tickets('bounds what waits, for each team and in all', async () => {
  const made = harness();
  await fill(made);
  const teams = ['huts', 'roofs', 'third'];
  made.issuer.setAllowance('third', 10);
  const waiting = teams.flatMap(team =>
    Array.from({length: MAX_WAITING}, () => made.ask(team, ONE)),
  );
  await made.settle();
  const refused = waiting.filter(({refusal}) => refusal === 'queueFull');
  assert.is(waiting.length - refused.length, MAX_WAITING);
  const ofFirst = waiting.slice(0, MAX_WAITING);
  const firstRefused = ofFirst.filter(({refusal}) => refusal === 'queueFull');
  assert.is(firstRefused.length, MAX_WAITING / 2);
});

tickets(
  'refuses at the deadline, and early where it cannot be met',
  async () => {
    const made = harness();
    for (let i = 0; i < 30; i += 1) {
      const state = made.ask('huts', ONE);
      await made.advance(1_000);
      made.close(state, 'done');
      state.ticket = undefined;
    }
    await fill(made);
    const early = made.ask('roofs', ONE, {deadlineMs: 900});
    const late = made.ask('roofs', ONE, {deadlineMs: 2_000});
    await made.settle();
    assert.is(early.refusal, 'deadlineUnmet');
    assert.not(late.refusal);
    await made.advance(2_100);
    assert.is(late.refusal, 'deadlineUnmet');
  },
);

promiseTest(
  tickets,
  'leaving-target',
  'an executor that leaves or drains gets nothing new',
  async () => {
    const made = harness(2);
    const first = made.ask('huts', ONE);
    await made.settle();
    made.close(first, 'done', true);
    const drained = first.ticket?.executorId;
    const rest = drained === 'e-0' ? 'e-1' : 'e-0';
    await fill(made, SLOTS + 1);
    const used = made.asks.slice(1).map(({ticket}) => ticket?.executorId);
    assert.equal(new Set(used), new Set([rest, undefined]));
    made.issuer.setExecutors([executor('e-0'), executor('e-1')]);
    await made.settle();
    assert.is(made.granted(), SLOTS + 1);
    const leaving = ['e-0', 'e-1'].map(id => executor(id, {state: 'leaving'}));
    made.issuer.setExecutors(leaving);
    const none = made.ask('roofs', ONE);
    await made.settle();
    assert.is(none.refusal, 'noTarget');
  },
);

tickets('retries go to another executor while there is one', async () => {
  const made = harness(2);
  for (let i = 0; i < SLOTS; i += 1) {
    made.ask('huts', ONE, {avoid: ['e-0']});
  }
  const more = made.ask('huts', ONE, {avoid: ['e-0']});
  const all = made.ask('roofs', ONE, {avoid: ['e-0', 'e-1']});
  await made.settle();
  const used = made.asks.slice(0, SLOTS).map(({ticket}) => ticket?.executorId);
  assert.equal(new Set(used), new Set(['e-1']));
  assert.not(more.ticket);
  assert.is(all.ticket?.executorId, 'e-0');
});

tickets('sets an executor aside that fails all it gets', async () => {
  const made = harness(2);
  for (let i = 0; i < 40; i += 1) {
    const state = made.ask('huts', ONE);
    await made.settle();
    const use = state.ticket?.executorId === 'e-0' ? 'failed' : 'done';
    made.close(state, use);
  }
  const used = made.asks.slice(20).map(({ticket}) => ticket?.executorId);
  assert.equal(new Set(used), new Set(['e-1']));
  await made.advance(1_000);
  for (let i = 0; i < 2; i += 1) made.ask('huts', ONE);
  await made.settle();
  const after = made.asks.slice(40).map(({ticket}) => ticket?.executorId);
  assert.ok(after.includes('e-0'));
});

tickets('counts a ticket of unknown outcome until its time is up', async () => {
  const made = harness();
  await fill(made);
  for (const state of made.asks) made.close(state, 'unknown');
  const next = made.ask('roofs', ONE);
  await made.advance(MAX_DEADLINE_MS - 100);
  assert.not(next.ticket);
  const later = made.ask('roofs', ONE);
  await made.advance(1_200);
  assert.ok(later.ticket);
});

tickets('one gateway may use a part of an executor among many', async () => {
  const made = harness();
  made.issuer.setGatewayCount(9);
  await fill(made);
  assert.is(made.granted(), 3);
  for (let i = 0; i < SLOTS; i += 1) made.ask('roofs', TWO);
  await made.settle();
  assert.is(made.granted(), 6);
});

promiseTest(
  tickets,
  'team-limit',
  'a new owner counts what a silent gateway may hold',
  async () => {
    const made = new IssuerHarness(new ManualClock(), 2);
    made.issuer.setExecutors([executor('e-0')]);
    made.issuer.setGatewayCount(9);
    made.issuer.setAllowance('huts', 100);
    const names = Array.from({length: 8}, (_, i) => gateway(`vm-${i}`));
    const tickets = [openTicket('t-1'), openTicket('t-2')];
    for (const from of names) {
      made.issuer.adoptTickets(from, from.vm === 'vm-0' ? tickets : []);
    }
    for (const from of names) made.ask('huts', from, {deadlineMs: 9_000});
    await made.settle();
    assert.is(made.granted(), SLOTS - 2 - 4, 'one silent gateway of nine');
    await made.advance(MAX_DEADLINE_MS + 2_000);
    for (const from of names) made.ask('huts', from);
    await made.settle();
    assert.is(made.issuer.slotsUsedOn('e-0'), SLOTS, 'all after the run-by');
  },
);

function openTicket(ticketId: string) {
  return {ticketId, executorId: 'e-0', team: 'huts', runByMs: 5_000};
}

tickets('serves one term only', async () => {
  const made = harness();
  await fill(made, 1);
  const ask = {deadlineMs: 100};
  const other = new IssuerHarness(made.clock, 2, () => made.issuer);
  const refused = other.ask('huts', ONE, ask);
  await made.settle();
  assert.is(refused.refusal, 'notOwner');
});

function claimOf(key: string, issuedMs = 0): RequestClaim {
  const claimId = 'c-1';
  return {type: 'requestClaim', shard: 'north-1', key, claimId, issuedMs};
}

function claimResult(detector: DuplicateDetector, claim: RequestClaim): string {
  try {
    return detector.claim(claim) ? 'new' : 'recorded';
  } catch (err) {
    return toFailure(err).kind;
  }
}

promiseTest(
  tickets,
  'at-most-once',
  'duplicates are detected for the whole claim window',
  async () => {
    const clock = new ManualClock(1_000_000);
    const detector = new DuplicateDetector(clock, 1);
    assert.is(claimResult(detector, claimOf('a')), 'new');
    await clock.advance(REQUEST_CLAIM_WINDOW_MS - 1);
    const repeat = {...claimOf('a'), claimId: 'c-2'};
    assert.is(claimResult(detector, repeat), 'duplicateId');
    detector.release({...repeat, type: 'requestRelease'});
    assert.is(claimResult(detector, repeat), 'duplicateId');
    detector.release({...claimOf('a'), type: 'requestRelease'});
    assert.is(claimResult(detector, claimOf('a')), 'new');
    const issuedMs = clock.wallMs() - REQUEST_CLAIM_WINDOW_MS;
    assert.is(claimResult(detector, claimOf('old', issuedMs)), 'duplicateId');
  },
);

promiseTest(
  tickets,
  'at-most-once',
  'without earlier claims only ids that cannot be older are confirmed',
  async () => {
    const clock = new ManualClock(1_000_000);
    const later = new DuplicateDetector(clock, 2);
    const before = clock.wallMs() - 1;
    await clock.advance(10_000);
    assert.is(claimResult(later, claimOf('a')), 'recorded');
    assert.is(claimResult(later, claimOf('b', before)), 'recorded');
    assert.is(claimResult(later, claimOf('c', clock.wallMs())), 'new');
    await clock.advance(UNTIMED_ID_WINDOW_MS);
    assert.is(claimResult(later, claimOf('d')), 'new');
  },
);

promiseTest(
  tickets,
  'at-most-once',
  'duplicates of claims from the previous owner are detected',
  async () => {
    const clock = new ManualClock(1_000_000);
    const first = new DuplicateDetector(clock, 1);
    assert.is(claimResult(first, claimOf('a')), 'new');
    await clock.advance(1_000);
    const second = new DuplicateDetector(clock, 2);
    second.importClaims(first.exportClaims('north-1'));
    assert.is(claimResult(second, claimOf('b')), 'new');
    const repeat = {...claimOf('a'), claimId: 'c-2'};
    assert.is(claimResult(second, repeat), 'duplicateId');
    const fourth = new DuplicateDetector(clock, 4);
    fourth.importClaims(second.exportClaims('north-1'));
    assert.is(claimResult(fourth, repeat), 'recorded');
  },
);

promiseTest(
  tickets,
  'at-most-once',
  'ids are confirmed once all long-running gateways listed their claims',
  async () => {
    const made = new IssuerHarness(new ManualClock(1_000_000), 2);
    made.issuer.setGatewayCount(2);
    const claimAt = (key: string, claimId: string): boolean | string => {
      try {
        return made.issuer.claim({...claimOf(key), claimId}, 2).isVouched;
      } catch (err) {
        return toFailure(err).kind;
      }
    };
    const passed = {key: 'a', claimId: 'c-1', ageMs: 5_000};
    made.issuer.addGatewayClaims(ONE, [passed], UNTIMED_ID_WINDOW_MS);
    assert.is(claimAt('b', 'c-2'), false);
    made.issuer.addGatewayClaims(TWO, [], UNTIMED_ID_WINDOW_MS - 1);
    assert.is(claimAt('b', 'c-2'), false);
    made.issuer.addGatewayClaims(TWO, [], UNTIMED_ID_WINDOW_MS);
    assert.is(claimAt('b', 'c-2'), true);
    assert.is(claimAt('a', 'c-3'), 'duplicateId');
    await made.settle();
  },
);

// The former owner passed on a claim whose release it had not read.
promiseTest(
  tickets,
  'not-run-true',
  'a claim that was released before it is passed on stays released',
  async () => {
    const clock = new ManualClock(1_000_000);
    const first = new DuplicateDetector(clock, 1);
    assert.is(claimResult(first, claimOf('a')), 'new');
    const second = new DuplicateDetector(clock, 2);
    second.release({...claimOf('a'), type: 'requestRelease'});
    second.importClaims(first.exportClaims('north-1'));
    const repeat = {...claimOf('a'), claimId: 'c-2'};
    assert.is(claimResult(second, repeat), 'new');
    const other = {...claimOf('a'), claimId: 'c-3'};
    assert.is(claimResult(second, other), 'duplicateId');
  },
);

// No request of the term had come before the release.
promiseTest(
  tickets,
  'not-run-true',
  'a release before the first claim of a term counts',
  async () => {
    const made = new IssuerHarness(new ManualClock(1_000_000), 2);
    const former = new DuplicateDetector(made.clock, 1);
    assert.is(claimResult(former, claimOf('a')), 'new');
    made.issuer.importClaims(former.exportClaims('north-1'));
    made.issuer.release({...claimOf('a'), type: 'requestRelease'});
    const repeat = {...claimOf('a'), claimId: 'c-2'};
    assert.is(made.issuer.claim(repeat, 2).isVouched, true);
    await made.settle();
  },
);

tickets(
  'a detector that wrongly assumes the first term misses a duplicate',
  async () => {
    const clock = new ManualClock(1_000_000);
    assert.is(
      claimResult(new DuplicateDetector(clock, 1), claimOf('a')),
      'new',
    );
    assert.is(
      claimResult(new DuplicateDetector(clock, 1), claimOf('a')),
      'new',
    );
  },
);

tickets.run();
