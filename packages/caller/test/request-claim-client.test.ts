/** Claims and releases where the connections to the owners come and go. */
import {ManualClock, raise, toFailure} from '@dragonflyward/common';
import {promiseTest} from '@dragonflyward/common/promise-test';
import type {PeerAsk, PeerNotice, PeerReply} from '@dragonflyward/peer';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  RequestClaimClient,
  type OwnerClient,
} from '../src/request-claim-client.js';

const claims = suite('claims of request ids');
const SHARDS = ['north-1', 'north-2'];
const KEY = 'k';

/** Owners that record claims, behind a connection that can be lost. */
class FakeOwners implements OwnerClient {
  /** The claim of each id, by shard and key. */
  readonly recorded = new Map<string, string>();
  readonly releases: PeerNotice[] = [];
  /** Null without a connection. */
  connection: object | null = {};
  /** Whether what is sent gets lost, as on a connection that has just ended. */
  isLosing = false;

  request(shard: string, ask: PeerAsk): Promise<PeerReply> {
    if (this.connection === null) return raise('notOwner', shard);
    if (ask.type !== 'requestClaim') return raise('badRequest', ask.type);
    const place = `${shard} ${ask.key}`;
    const known = this.recorded.get(place) ?? ask.claimId;
    if (known !== ask.claimId) return raise('duplicateId', ask.key);
    this.recorded.set(place, known);
    return Promise.resolve({type: 'requestClaimed', isVouched: true});
  }

  notify(shard: string, notice: PeerNotice): boolean {
    if (this.connection === null) return false;
    if (this.isLosing || notice.type !== 'requestRelease') return true;
    this.releases.push(notice);
    const place = `${shard} ${notice.key}`;
    if (this.recorded.get(place) !== notice.claimId) return true;
    this.recorded.delete(place);
    return true;
  }

  connectionTo(): object | undefined {
    return this.connection ?? undefined;
  }
}

interface Fixture {
  readonly clock: ManualClock;
  readonly owners: FakeOwners;
  readonly client: RequestClaimClient;
  /** Claims the id; resolves to the error's kind or to `claimed`. */
  readonly claim: (claimId: string) => Promise<string>;
  readonly heartbeat: () => void;
}

function fixture(): Fixture {
  const clock = new ManualClock(1_000_000);
  const owners = new FakeOwners();
  const client = new RequestClaimClient(owners, clock, () => SHARDS);
  const {signal} = new AbortController();
  const claim = async (claimId: string): Promise<string> => {
    try {
      await client.claim({key: KEY, claimId, issuedMs: 0}, signal);
      return 'claimed';
    } catch (err) {
      return toFailure(err).kind;
    }
  };
  const heartbeat = (): void => {
    for (const shard of SHARDS) client.sendPendingReleases(shard);
  };
  return {clock, owners, client, claim, heartbeat};
}

// A refused request was sent again and answered with `duplicateId`.
promiseTest(
  claims,
  'not-run-true',
  'a release without a connection to the owner is sent once there is one',
  async () => {
    const {owners, client, claim, heartbeat} = fixture();
    assert.is(await claim('c-1'), 'claimed');
    owners.connection = null;
    client.release({key: KEY, claimId: 'c-1'});
    owners.connection = {};
    heartbeat();
    assert.is(await claim('c-2'), 'claimed');
  },
);

// The same, where the connection ended before the release was read.
promiseTest(
  claims,
  'not-run-true',
  'a release on a connection that was lost is sent on the next one',
  async () => {
    const {owners, client, claim, heartbeat} = fixture();
    assert.is(await claim('c-1'), 'claimed');
    owners.isLosing = true;
    client.release({key: KEY, claimId: 'c-1'});
    heartbeat();
    owners.isLosing = false;
    owners.connection = {};
    heartbeat();
    assert.is(await claim('c-2'), 'claimed');
  },
);

// A repetition must not release the claim of a later attempt.
promiseTest(
  claims,
  'at-most-once',
  'a repeated release leaves the claim of a later attempt',
  async () => {
    const {owners, client, claim, heartbeat} = fixture();
    assert.is(await claim('c-1'), 'claimed');
    client.release({key: KEY, claimId: 'c-1'});
    assert.is(await claim('c-2'), 'claimed');
    owners.connection = {};
    heartbeat();
    assert.is(owners.releases.length, 2 * SHARDS.length);
    assert.is(await claim('c-3'), 'duplicateId');
  },
);

claims('a release is repeated only while it may have been lost', async () => {
  const {clock, owners, client, claim, heartbeat} = fixture();
  assert.is(await claim('c-1'), 'claimed');
  client.release({key: KEY, claimId: 'c-1'});
  heartbeat();
  assert.is(owners.releases.length, SHARDS.length, 'the same connection');
  await clock.advance(10_000);
  heartbeat();
  owners.connection = {};
  heartbeat();
  assert.is(owners.releases.length, SHARDS.length, 'it was read long ago');
});

claims('a release is kept no longer than owners keep the claim', async () => {
  const {clock, owners, client, claim, heartbeat} = fixture();
  assert.is(await claim('c-1'), 'claimed');
  owners.connection = null;
  client.release({key: KEY, claimId: 'c-1'});
  await clock.advance(121_000);
  owners.connection = {};
  heartbeat();
  assert.is(owners.releases.length, 0);
});

claims.run();
