/** Tickets: order, bounds, leaving executors, takeover and request ids. */
import {ManualClock, toFailure} from '@dragonflyward/common';
import {promiseTest} from '@dragonflyward/common/promise-test';
import type {RequestClaim} from '@dragonflyward/peer';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  CLAIM_WINDOW_MS,
  RequestHome,
  UNTIMED_WINDOW_MS,
} from '../src/ticket-home.js';
import {
  DeskHarness,
  executor,
  gateway,
  MAX_DEADLINE_MS,
  MAX_WAITING,
  SLOTS,
} from './desk-harness.js';

const desk = suite('ticket desk');
const ONE = gateway('vm-1');
const TWO = gateway('vm-2');

function harness(executors = 1, allowance = 100): DeskHarness {
  const made = new DeskHarness();
  const ids = Array.from({length: executors}, (_, i) => `e-${i}`);
  made.desk.setExecutors(ids.map(id => executor(id)));
  for (const team of ['roofs', 'huts']) made.desk.setAllowance(team, allowance);
  return made;
}

async function fill(made: DeskHarness, count = SLOTS): Promise<void> {
  for (let i = 0; i < count; i += 1) made.ask('huts', ONE);
  await made.settle();
}

desk('gives each slot once and the next when one is free', async () => {
  const made = harness();
  await fill(made, SLOTS + 1);
  assert.is(made.granted(), SLOTS);
  const [first] = made.asks;
  if (first !== undefined) made.close(first, 'done');
  await made.settle();
  assert.is(made.granted(), SLOTS + 1);
});

desk('serves urgent work before batch work that came earlier', async () => {
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

desk('serves the team with less in use first', async () => {
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

desk('lets batch work that waits long have a turn', async () => {
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
  desk,
  'team-limit',
  'a team gets no slot past its allowance',
  async () => {
    const made = harness(2, 3);
    await fill(made, 5);
    assert.is(made.granted(), 3);
    assert.equal(made.desk.running(), [{team: 'huts', slots: 3}]);
    const none = made.ask('strangers', ONE);
    await made.settle();
    assert.is(none.refusal, 'teamLimit');
  },
);

promiseTest(
  desk,
  'team-limit',
  'requests wait until the first allowances are known',
  async () => {
    const made = new DeskHarness();
    made.desk.setExecutors([executor('e-0')]);
    const early = made.ask('roofs', ONE);
    await made.settle();
    assert.not(early.ticket);
    assert.not(early.refusal);
    made.desk.setAllowance('roofs', 1);
    await made.settle();
    assert.ok(early.ticket);
  },
);

desk('bounds what waits, for each team and in all', async () => {
  const made = harness();
  await fill(made);
  const teams = ['huts', 'roofs', 'third'];
  made.desk.setAllowance('third', 10);
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

desk('refuses at the deadline, and early where it cannot be met', async () => {
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
});

promiseTest(
  desk,
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
    made.desk.setExecutors([executor('e-0'), executor('e-1')]);
    await made.settle();
    assert.is(made.granted(), SLOTS + 1);
    const leaving = ['e-0', 'e-1'].map(id => executor(id, {state: 'leaving'}));
    made.desk.setExecutors(leaving);
    const none = made.ask('roofs', ONE);
    await made.settle();
    assert.is(none.refusal, 'noTarget');
  },
);

desk('retries go to another executor while there is one', async () => {
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

desk('sets an executor aside that fails all it gets', async () => {
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

desk('counts a ticket of unknown outcome until its time is up', async () => {
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

desk('one gateway may use a part of an executor among many', async () => {
  const made = harness();
  made.desk.setGateways(9);
  await fill(made);
  assert.is(made.granted(), 3);
  for (let i = 0; i < SLOTS; i += 1) made.ask('roofs', TWO);
  await made.settle();
  assert.is(made.granted(), 6);
});

promiseTest(
  desk,
  'team-limit',
  'a new owner counts what a silent gateway may hold',
  async () => {
    const made = new DeskHarness(new ManualClock(), 2);
    made.desk.setExecutors([executor('e-0')]);
    made.desk.setGateways(9);
    made.desk.setAllowance('huts', 100);
    const names = Array.from({length: 8}, (_, i) => gateway(`vm-${i}`));
    const tickets = [openTicket('t-1'), openTicket('t-2')];
    for (const from of names) {
      made.desk.adopt(from, from.vm === 'vm-0' ? tickets : []);
    }
    for (const from of names) made.ask('huts', from, {deadlineMs: 9_000});
    await made.settle();
    assert.is(made.granted(), SLOTS - 2 - 4, 'one silent gateway of nine');
    await made.advance(MAX_DEADLINE_MS + 2_000);
    for (const from of names) made.ask('huts', from);
    await made.settle();
    assert.is(made.desk.executorUse('e-0'), SLOTS, 'all after the run-by');
  },
);

function openTicket(ticketId: string) {
  return {ticketId, executorId: 'e-0', team: 'huts', runByMs: 5_000};
}

desk('serves one term only', async () => {
  const made = harness();
  await fill(made, 1);
  const ask = {deadlineMs: 100};
  const other = new DeskHarness(made.clock, 2, () => made.desk);
  const refused = other.ask('huts', ONE, ask);
  await made.settle();
  assert.is(refused.refusal, 'notOwner');
});

function claimOf(key: string, issuedMs = 0): RequestClaim {
  const claimId = 'c-1';
  return {type: 'requestClaim', shard: 'north-1', key, claimId, issuedMs};
}

function claimResult(home: RequestHome, claim: RequestClaim): string {
  try {
    return home.claim(claim) ? 'vouched' : 'recorded';
  } catch (err) {
    return toFailure(err).kind;
  }
}

promiseTest(
  desk,
  'at-most-once',
  'a home finds repeats for as long as it says',
  async () => {
    const clock = new ManualClock(1_000_000);
    const home = new RequestHome(clock, 1);
    assert.is(claimResult(home, claimOf('a')), 'vouched');
    await clock.advance(CLAIM_WINDOW_MS - 1);
    const repeat = {...claimOf('a'), claimId: 'c-2'};
    assert.is(claimResult(home, repeat), 'duplicateId');
    home.release({...repeat, type: 'requestRelease'});
    assert.is(claimResult(home, repeat), 'duplicateId');
    home.release({...claimOf('a'), type: 'requestRelease'});
    assert.is(claimResult(home, claimOf('a')), 'vouched');
    const issuedMs = clock.wallMs() - CLAIM_WINDOW_MS;
    assert.is(claimResult(home, claimOf('old', issuedMs)), 'duplicateId');
  },
);

promiseTest(
  desk,
  'at-most-once',
  'a home without its predecessor’s memory refuses what may be older',
  async () => {
    const clock = new ManualClock(1_000_000);
    const later = new RequestHome(clock, 2);
    const before = clock.wallMs() - 1;
    await clock.advance(10_000);
    assert.is(claimResult(later, claimOf('a')), 'recorded');
    assert.is(claimResult(later, claimOf('b', before)), 'recorded');
    assert.is(claimResult(later, claimOf('c', clock.wallMs())), 'vouched');
    await clock.advance(UNTIMED_WINDOW_MS);
    assert.is(claimResult(later, claimOf('d')), 'vouched');
  },
);

promiseTest(
  desk,
  'at-most-once',
  'a home that was given the claims before it finds their repeats',
  async () => {
    const clock = new ManualClock(1_000_000);
    const first = new RequestHome(clock, 1);
    assert.is(claimResult(first, claimOf('a')), 'vouched');
    await clock.advance(1_000);
    const second = new RequestHome(clock, 2);
    second.inherit(first.passOn('north-1'));
    assert.is(claimResult(second, claimOf('b')), 'vouched');
    const repeat = {...claimOf('a'), claimId: 'c-2'};
    assert.is(claimResult(second, repeat), 'duplicateId');
    const fourth = new RequestHome(clock, 4);
    fourth.inherit(second.passOn('north-1'));
    assert.is(claimResult(fourth, repeat), 'recorded');
  },
);

promiseTest(
  desk,
  'at-most-once',
  'a home vouches once all gateways that are not new listed their claims',
  async () => {
    const made = new DeskHarness(new ManualClock(1_000_000), 2);
    made.desk.setGateways(2);
    const claimAt = (key: string, claimId: string): boolean | string => {
      try {
        return made.desk.claim({...claimOf(key), claimId}, 2).isVouched;
      } catch (err) {
        return toFailure(err).kind;
      }
    };
    const passed = {key: 'a', claimId: 'c-1', ageMs: 5_000};
    made.desk.adoptClaims(ONE, [passed], UNTIMED_WINDOW_MS);
    assert.is(claimAt('b', 'c-2'), false);
    made.desk.adoptClaims(TWO, [], UNTIMED_WINDOW_MS - 1);
    assert.is(claimAt('b', 'c-2'), false);
    made.desk.adoptClaims(TWO, [], UNTIMED_WINDOW_MS);
    assert.is(claimAt('b', 'c-2'), true);
    assert.is(claimAt('a', 'c-3'), 'duplicateId');
    await made.settle();
  },
);

desk('a home that takes itself for the first lets a repeat run', async () => {
  const clock = new ManualClock(1_000_000);
  assert.is(claimResult(new RequestHome(clock, 1), claimOf('a')), 'vouched');
  assert.is(claimResult(new RequestHome(clock, 1), claimOf('a')), 'vouched');
});

desk.run();
