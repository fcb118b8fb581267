/**
 * Claims request ids at the owners of two shards, the replicas of the id, so
 * that a repetition of the id is detected.
 */
import {
  DragonflywardError,
  raise,
  rankByHash,
  toFailure,
  type Clock,
} from '@dragonflyward/common';
import type {
  PassedClaim,
  PeerAsk,
  PeerNotice,
  PeerReply,
} from '@dragonflyward/peer';
import {rejectOnAbort} from './request-lifetime.js';
import type {ClaimRequest, ReleaseRequest} from './ticket-source.js';
import {UnreadReleases} from './unread-releases.js';

/** Each claim is recorded by two owners, so that losing one loses no claim. */
const CLAIM_REPLICAS = 2;
const CLAIM_TIMEOUT_MS = 1_000;
const CLAIM_RETRY_PERIOD_MS = 200;
/** How long claims are retained, to be passed to new owners. */
const CLAIM_RETENTION_MS = 120_000;
const MAX_RETAINED_CLAIMS = 50_000;

/** Sends messages to shard owners. */
export interface OwnerClient {
  request(
    shard: string,
    request: PeerAsk,
    timeoutMs: number,
  ): Promise<PeerReply>;
  notify(shard: string, notice: PeerNotice): boolean;
  /** The connection that messages to the owner take now, if there is one. */
  connectionTo(shard: string): object | undefined;
}

interface RecordedClaim {
  readonly claimId: string;
  readonly atMs: number;
}

/** How one replica responded; `vouched` confirms that the id is new. */
type ClaimResult = 'vouched' | 'recorded' | 'duplicate' | 'noReply';

/** Claims request ids at their replicas, and retains the claims made. */
export class RequestClaimClient {
  private readonly claims = new Map<string, RecordedClaim>();
  private readonly unread: UnreadReleases;

  constructor(
    private readonly owners: OwnerClient,
    private readonly clock: Clock,
    private readonly listDomains: () => readonly string[],
  ) {
    this.unread = new UnreadReleases(clock, {
      retentionMs: CLAIM_RETENTION_MS,
      maxPerShard: MAX_RETAINED_CLAIMS,
    });
  }

  /**
   * Claims an id: both replicas must record it, and at least one must confirm
   * that the id is new. Retries until then or until the signal is aborted, as
   * a replica may have no owner, or an owner that lacks the earlier claims.
   *
   * @throws duplicateId, or the signal's reason
   * @example
   * await claimClient.claim({key, claimId, issuedMs: 0}, lifetime.signal);
   */
  async claim(request: ClaimRequest, signal: AbortSignal): Promise<void> {
    this.recordClaim(request);
    for (;;) {
      const results = await rejectOnAbort(this.claimAtAll(request), signal);
      if (results.includes('duplicate')) return this.rejectDuplicate(request);
      if (results.includes('vouched') && !results.includes('noReply')) return;
      await rejectOnAbort(this.clock.sleep(CLAIM_RETRY_PERIOD_MS), signal);
    }
  }

  /** Lists the retained claims that the shard is a replica for. */
  listClaims(shard: string): readonly PassedClaim[] {
    const nowMs = this.clock.monotonicMs();
    return [...this.claims]
      .filter(([key]) => this.replicasOf(key).includes(shard))
      .map(([key, {claimId, atMs}]) => ({key, claimId, ageMs: nowMs - atMs}));
  }

  /** Releases a claim at its replicas, now or once they are connected. */
  release(request: ReleaseRequest): void {
    if (this.claims.get(request.key)?.claimId === request.claimId) {
      this.claims.delete(request.key);
    }
    for (const shard of this.replicasOf(request.key)) {
      const release = {type: 'requestRelease', shard, ...request} as const;
      this.unread.add(release, this.owners.connectionTo(shard));
      this.owners.notify(shard, release);
    }
  }

  /** Sends the releases that the owner of a shard may not have read. */
  sendPendingReleases(shard: string): void {
    const connection = this.owners.connectionTo(shard);
    if (connection === undefined) return;
    for (const release of this.unread.take(shard, connection)) {
      this.owners.notify(shard, release);
    }
  }

  private rejectDuplicate({key, claimId}: ClaimRequest): never {
    this.release({key, claimId});
    return raise('duplicateId', 'the id was used');
  }

  private recordClaim({key, claimId}: ClaimRequest): void {
    const atMs = this.clock.monotonicMs();
    for (const [oldKey, claim] of this.claims) {
      const isWithinLimits =
        claim.atMs > atMs - CLAIM_RETENTION_MS &&
        this.claims.size < MAX_RETAINED_CLAIMS;
      if (isWithinLimits) break;
      this.claims.delete(oldKey);
    }
    if (!this.claims.has(key)) this.claims.set(key, {claimId, atMs});
  }

  private claimAtAll(request: ClaimRequest): Promise<readonly ClaimResult[]> {
    const replicas = this.replicasOf(request.key);
    return Promise.all(replicas.map(shard => this.claimAt(shard, request)));
  }

  private async claimAt(
    shard: string,
    request: ClaimRequest,
  ): Promise<ClaimResult> {
    const message = {type: 'requestClaim', shard, ...request} as const;
    try {
      const reply = await this.owners.request(shard, message, CLAIM_TIMEOUT_MS);
      if (reply.type !== 'requestClaimed') return 'noReply';
      return reply.isVouched ? 'vouched' : 'recorded';
    } catch (err) {
      return isDuplicate(err) ? 'duplicate' : 'noReply';
    }
  }

  private replicasOf(key: string): readonly string[] {
    return rankByHash(key, this.listDomains(), name => name).slice(
      0,
      CLAIM_REPLICAS,
    );
  }
}

function isDuplicate(err: unknown): boolean {
  return (
    err instanceof DragonflywardError && toFailure(err).kind === 'duplicateId'
  );
}
