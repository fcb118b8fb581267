/** Records of owners and handover notices that another writer left half. */
import {ManualClock, Metrics} from '@dragonflyward/common';
import {
  claimCell,
  Election,
  LEASES,
  Members,
  OWNER_TOPIC,
  readOwner,
  type HandoverNotice,
  type MemberHandler,
  type Ownership,
} from '@dragonflyward/cell';
import {encode} from 'cbor-x';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {MemoryStore, StoreClient} from './memory-store.js';
import {Cell} from './processes.js';

const SEED = 20261206;
const RUNS = 200;
const STEP_MS = 10;
/** Longer than all leases of a former owner, in ms. */
const CLAIM_MS = 30_000;
const SETTLE_MS = 5000;

const ADDRESS = {vm: 'o', ip: '', port: 0, incarnation: 1};
const NAMED = {id: 'x', agoMs: 1};
const FORMER = {vm: 'f', incarnation: 1, startMs: -9000, actMs: -9000};
const WHOLE = {
  ...ADDRESS,
  term: 1,
  isReleased: false,
  areFormerStopped: true,
  formerOwners: [{...FORMER, heldIds: ['x']}],
  orders: {executors: [NAMED], others: NAMED},
  heldOrders: [NAMED],
  heldOthers: NAMED,
};

/** Wrong for each field of the record, and for those of its parts. */
const WRONG = fc.constantFrom<unknown>(null, 0.5, NaN, [7], [{}], {
  executors: 7,
});

/** The whole record with one field replaced. */
const malformedRecords = fc
  .tuple(
    // Other numbers than counts are incarnations as well.
    fc.constantFrom(...Object.keys(WHOLE).filter(key => key !== 'incarnation')),
    WRONG,
  )
  .map(([name, wrong]) => ({...WHOLE, [name]: wrong}));
const malformedBytes = fc.oneof(
  malformedRecords.map(record => Uint8Array.from(encode(record))),
  // One byte less is no whole record.
  fc.nat().map(end => {
    const bytes = Uint8Array.from(encode(WHOLE));
    // None at all deletes the record.
    return bytes.subarray(0, 1 + (end % (bytes.length - 1)));
  }),
);

class Claims {
  readonly clock = new ManualClock(1000);
  readonly memory = new MemoryStore();

  append(value: Uint8Array): void {
    this.memory.append(OWNER_TOPIC, [{key: 'cell', value}], {});
  }

  async claim(vm: string): Promise<Ownership> {
    const {clock} = this;
    const store = new StoreClient(this.memory, clock);
    const reading = readOwner(store, clock);
    await clock.advance(STEP_MS);
    const claiming = claimCell(store, clock, {...ADDRESS, vm}, await reading);
    await clock.advance(STEP_MS);
    const ownership = await claiming;
    assert.ok(ownership);
    return ownership;
  }
}

const records = suite('records of owners that are not whole');

records('let no term fall, and their owner act for its leases', async () => {
  const property = fc.asyncProperty(
    fc.integer({min: 1, max: 5}),
    malformedBytes,
    async (count, bytes) => {
      const claims = new Claims();
      let term = 0;
      for (let i = 0; i < count; i += 1) {
        term = (await claims.claim(`v${i}`)).term;
      }
      claims.append(bytes);
      const next = await claims.claim('next');
      assert.ok(next.term > term, `term ${next.term} after ${term}`);
      const actMs = next.formerActUntilMs - claims.clock.monotonicMs();
      const startMs = next.formerStartUntilMs - claims.clock.monotonicMs();
      // The claim was confirmed up to one step of the clock ago.
      assert.ok(actMs >= LEASES.actMs - STEP_MS, `${actMs} ms`);
      assert.ok(startMs >= LEASES.startMs - STEP_MS, `${startMs} ms`);
      const untilMs = next.formerOrders('x').untilMs;
      assert.ok(untilMs >= next.formerActUntilMs, `${untilMs} ms`);
      const after = await claims.claim('after');
      assert.is(after.term, next.term + 1);
    },
  );
  await fc.assert(property, {seed: SEED, numRuns: RUNS});
});

records('with a term beyond all numbers do not hold the terms', async () => {
  const claims = new Claims();
  const {term} = await claims.claim('a');
  const record = {...WHOLE, term: Number.MAX_SAFE_INTEGER};
  claims.append(Uint8Array.from(encode(record)));
  const next = await claims.claim('b');
  const after = await claims.claim('c');
  assert.ok(next.term > term && after.term > next.term);
  assert.ok(Number.isSafeInteger(after.term + 1), `${after.term}`);
});

for (const record of [{}, {...WHOLE, formerOwners: 7}]) {
  const what = 'term' in record ? 'with a term' : 'without a term';
  records(`${what} end an owner at work, and one acts again`, async () => {
    const cell = new Cell([]);
    for (const vm of ['a', 'b']) cell.start({vm, domain: 'd', cores: 1});
    await cell.clock.advance(SETTLE_MS);
    const {term} = cell.owner?.election ?? {term: 0};
    assert.is(cell.claims, 1);
    const value = Uint8Array.from(encode(record));
    cell.memory.append(OWNER_TOPIC, [{key: 'cell', value}], {});
    await cell.clock.advance(CLAIM_MS);
    assert.ok(cell.actingOwner !== '', 'no owner');
    assert.ok((cell.owner?.election.term ?? 0) > term);
    assert.is(cell.claims, 2);
  });
}

const HANDOVER = {
  type: 'handover',
  term: 9,
  areFormerStopped: true,
  endOffset: 0,
} as const;

for (const fields of [
  {formerOwners: [{...FORMER, actMs: 'x'}]},
  {orders: {executors: [], others: {...NAMED, agoMs: null}}},
  {endOffset: -1},
  {term: '9'},
]) {
  const name = JSON.stringify(fields);
  records(`make no VM the owner by a notice: ${name}`, async () => {
    const clock = new ManualClock(1000);
    const store = new StoreClient(new MemoryStore(), clock);
    const lines: string[] = [];
    const self = {...ADDRESS, vm: 'v'};
    const election = new Election(
      {
        self,
        domain: 'd',
        cores: 1,
        members: new Members(self, {} as MemberHandler, [], clock),
        store,
        clock,
        metrics: new Metrics(),
        log: event => lines.push(event),
      },
      {
        becomeOwner: () => Promise.resolve(true),
        loadProgressMs: () => clock.monotonicMs(),
        executorSilence: () => ({silent: 0, total: 0}),
        hasConfig: () => true,
        stopActing: () => undefined,
        describeOrders: () => null,
        discardOwner: () => undefined,
        setDetached: () => undefined,
        announce: () => undefined,
      },
    );
    const notice = {...HANDOVER, ...fields} as unknown as HandoverNotice;
    election.acceptHandover(notice);
    await clock.advance(STEP_MS);
    assert.equal(lines, ['handoverIgnored']);
    assert.is(election.isOwner, false);
    // A whole one is accepted.
    election.acceptHandover(HANDOVER);
    assert.is(election.isOwner, true);
  });
}

records.run();
