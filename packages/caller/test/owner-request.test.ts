import {
  DragonflywardError,
  ManualClock,
  toFailure,
  type ErrorKind,
} from '@dragonflyward/common';
import {promiseTest} from '@dragonflyward/common/promise-test';
import type {PeerReply} from '@dragonflyward/peer';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {requestFromOwner} from '../src/owner-request.js';

const DEADLINE_MS = 10_000;
const STEP_MS = 100;
const REQUEST = {type: 'jobAsk', shard: 'north-1', jobId: 'north-1:j'} as const;

interface Case {
  readonly name: string;
  readonly kinds: readonly ErrorKind[];
  readonly expected: string;
}

const CASES: readonly Case[] = [
  {name: 'an answer at once', kinds: [], expected: 'done'},
  {
    name: 'a hand-over within the deadline',
    kinds: ['notOwner', 'peerDown', 'notOwner'],
    expected: 'done',
  },
  {
    name: 'a reply that was lost',
    kinds: ['peerLost', 'appendUnknown', 'logDown'],
    expected: 'done',
  },
  {name: 'a refusal', kinds: ['queueFull'], expected: 'queueFull'},
  {
    name: 'a refusal after a lost reply is not told as "not run"',
    kinds: ['peerLost', 'queueFull'],
    expected: 'peerLost',
  },
];

/** Sends a request that fails with each of the kinds before it succeeds. */
async function requestWithFailures(
  kinds: readonly ErrorKind[],
): Promise<string> {
  const clock = new ManualClock();
  const remaining = [...kinds];
  const client = {
    request(): Promise<PeerReply> {
      const kind = remaining.shift();
      if (kind === undefined) return Promise.resolve({type: 'done'});
      return Promise.reject(new DragonflywardError(kind, ''));
    },
  };
  const answer = requestFromOwner(client, clock, REQUEST, DEADLINE_MS).then(
    reply => reply.type,
    (err: unknown) => toFailure(err).kind,
  );
  for (let elapsedMs = 0; elapsedMs < DEADLINE_MS; elapsedMs += STEP_MS) {
    await clock.advance(STEP_MS);
  }
  return answer;
}

const owner = suite('requests to a shard owner');

for (const {name, kinds, expected} of CASES) {
  promiseTest(owner, 'not-run-true', name, async () => {
    assert.is(await requestWithFailures(kinds), expected);
  });
}

owner('ends with the last failure when the deadline is near', async () => {
  const many = Array.from({length: 1_000}, () => 'notOwner' as const);
  assert.is(await requestWithFailures(many), 'notOwner');
});

owner.run();
