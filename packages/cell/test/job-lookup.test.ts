/** Who answers a lookup for a caller while the owner loads or acts. */
import {ManualClock} from '@dragonflyward/common';
import {
  JobLookup,
  type JobLookupDeps,
  type JobRow,
  type Lookup,
} from '@dragonflyward/cell';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';

const ROW: JobRow = {id: 'j', phase: 'queued', queue: 'q', organisation: ''};
const UNKNOWN: Lookup = {row: null, isSure: false};
const MISSING: Lookup = {row: null, isSure: true};
const FOUND: Lookup = {row: ROW, isSure: true};

/** Looks a job up on a VM that is connected to an owner. */
function find(owner: Lookup, stored: Lookup): Promise<Lookup> {
  const deps: JobLookupDeps = {
    owner: () => null,
    ownerConnection: () => ({
      ask: () => Promise.resolve({type: 'phase', ...owner} as const),
    }),
    term: () => 1,
    storedJobs: {lookup: () => Promise.resolve(stored)},
    clock: new ManualClock(),
    log: () => undefined,
  };
  return new JobLookup(deps).find('j', 1000);
}

const lookups = suite('lookup of a job');

// Callers got no answer while the owner loaded, however long that took.
lookups('asks the store if the owner does not know', async () => {
  const {row, isSure, ...rest} = await find(UNKNOWN, FOUND);
  assert.equal([row, isSure, rest], [ROW, true, {source: 'store', term: 1}]);
});

lookups('leaves the answer to an owner that knows', async () => {
  const rest = {source: 'owner', term: 1};
  assert.equal(await find(MISSING, FOUND), {...MISSING, ...rest});
  assert.equal(await find(FOUND, UNKNOWN), {...FOUND, ...rest});
});

// Callers got 410 for accepted jobs as a new owner began to act.
lookups('asks an owner that begins to act meanwhile', async () => {
  const replies = [UNKNOWN, FOUND];
  const deps: JobLookupDeps = {
    owner: () => null,
    ownerConnection: () => ({
      ask: () => {
        const reply = replies.shift() ?? UNKNOWN;
        return Promise.resolve({type: 'phase', ...reply} as const);
      },
    }),
    term: () => 1,
    storedJobs: {lookup: () => Promise.resolve(UNKNOWN)},
    clock: new ManualClock(),
    log: () => undefined,
  };
  const {row, source} = await new JobLookup(deps).find('j', 1000);
  assert.equal([row, source], [ROW, 'owner']);
});

// Another VM takes it for the owner before it has loaded the state.
lookups('answers as not sure on a VM that loads', async () => {
  const deps = {owner: () => null} as unknown as JobLookupDeps;
  assert.equal(await new JobLookup(deps).answer('j'), UNKNOWN);
});

lookups.run();
