/**
 * Detects duplicates of requests that are not idempotent.
 *
 * Each request id is claimed at the owners of two shards, chosen by a hash
 * of the id. An owner's history is complete if it is the first owner of its
 * shard, or got the claims of an owner with a complete history, or those of
 * all gateways. Without the claims of its predecessors, an owner can for a
 * while confirm as unused only ids whose timestamp shows that they were
 * issued after it started.
 */
import {raise, type Clock} from '@dragonflyward/common';
import type {
  PassedClaim,
  RequestClaim,
  RequestClaims,
  RequestRelease,
} from '@dragonflyward/peer';

/** How long a claimed id is remembered. */
export const REQUEST_CLAIM_WINDOW_MS = 120_000;
/**
 * How long after its last use a duplicate of an id without a timestamp is
 * still detected if the owners have lost the claims of their predecessors.
 */
export const UNTIMED_ID_WINDOW_MS = 15_000;
/** Largest assumed difference between the clocks of callers and owners. */
export const MAX_CLOCK_SKEW_MS = 2_000;
const MAX_CLAIMS = 200_000;
const FIRST_TERM = 1;

interface Claim {
  readonly claimId: string;
  readonly atMs: number;
}

/** The claims of one shard in one term. */
export class DuplicateDetector {
  private readonly claims = new Map<string, Claim>();
  /** When each released claim was released, by its id; the oldest first. */
  private readonly releasedMs = new Map<string, number>();
  private readonly startedMs: number;
  private readonly startedWallMs: number;
  /** Whether the claims of all earlier owners are known. */
  private isComplete: boolean;

  constructor(
    private readonly clock: Clock,
    private readonly term: number,
  ) {
    this.startedMs = clock.monotonicMs();
    this.startedWallMs = clock.wallMs();
    this.isComplete = term === FIRST_TERM;
  }

  /**
   * Claims an id for one attempt; repeating the same claim has no effect.
   *
   * @returns whether the id is known not to have been used before
   * @throws duplicateId if the id was used, or is older than the window
   * @throws queueFull if too many ids are remembered
   * @example
   * const isVouched = detector.claim(ask);
   */
  claim(ask: RequestClaim): boolean {
    this.dropExpired();
    const known = this.claims.get(ask.key);
    const isVouched = this.canRuleOutReuse(ask.issuedMs);
    if (known?.claimId === ask.claimId) return isVouched;
    if (known !== undefined) return raise('duplicateId', 'the id was used');
    if (this.claims.size >= MAX_CLAIMS) {
      raise('queueFull', 'too many request ids are remembered');
    }
    const atMs = this.clock.monotonicMs();
    this.claims.set(ask.key, {claimId: ask.claimId, atMs});
    return isVouched;
  }

  /**
   * Releases a claim; only the attempt that made it may do so. A former owner
   * or a gateway may pass the claim on only after that.
   */
  release(notice: RequestRelease): void {
    this.dropExpired();
    const [oldest] = this.releasedMs.keys();
    const isFull = this.releasedMs.size >= MAX_CLAIMS;
    if (isFull && oldest !== undefined) this.releasedMs.delete(oldest);
    this.releasedMs.set(notice.claimId, this.clock.monotonicMs());
    const claim = this.claims.get(notice.key);
    if (claim?.claimId === notice.claimId) this.claims.delete(notice.key);
  }

  /** Lists the claims for the next owner. */
  exportClaims(shard: string): RequestClaims {
    const nowMs = this.clock.monotonicMs();
    const claims = [...this.claims].map(([key, {claimId, atMs}]) => ({
      key,
      claimId,
      ageMs: nowMs - atMs,
    }));
    const {term} = this;
    const isWhole = this.hasCompleteHistory();
    return {type: 'requestClaims', shard, term, claims, isWhole};
  }

  /** Adds the claims of the owner of the previous term; ignores all others. */
  importClaims(passed: RequestClaims): void {
    if (passed.term !== this.term - 1) return;
    this.merge(passed.claims);
    if (passed.isWhole) this.isComplete = true;
  }

  /** Adds a gateway's claims; of two claims for an id, the older one wins. */
  merge(claims: readonly PassedClaim[]): void {
    const nowMs = this.clock.monotonicMs();
    const all = [...this.claims];
    for (const {key, claimId, ageMs} of claims) {
      if (this.releasedMs.has(claimId)) continue;
      all.push([key, {claimId, atMs: nowMs - ageMs}]);
    }
    all.sort(([, a], [, b]) => a.atMs - b.atMs);
    this.claims.clear();
    for (const [key, claim] of all) {
      if (!this.claims.has(key)) this.claims.set(key, claim);
    }
  }

  /** Records that the claims of all gateways are known. */
  markComplete(): void {
    this.isComplete = true;
  }

  /** Number of ids that are remembered. */
  size(): number {
    return this.claims.size;
  }

  private hasCompleteHistory(): boolean {
    const ageMs = this.clock.monotonicMs() - this.startedMs;
    return this.isComplete || ageMs >= UNTIMED_ID_WINDOW_MS;
  }

  private canRuleOutReuse(issuedMs: number): boolean {
    if (issuedMs === 0) return this.hasCompleteHistory();
    const oldestMs =
      this.clock.wallMs() - REQUEST_CLAIM_WINDOW_MS + MAX_CLOCK_SKEW_MS;
    if (issuedMs < oldestMs) {
      raise('duplicateId', 'the id is older than what is remembered');
    }
    if (this.hasCompleteHistory()) return true;
    return issuedMs >= this.startedWallMs + MAX_CLOCK_SKEW_MS;
  }

  private dropExpired(): void {
    const beforeMs = this.clock.monotonicMs() - REQUEST_CLAIM_WINDOW_MS;
    for (const [key, claim] of this.claims) {
      if (claim.atMs > beforeMs) break;
      this.claims.delete(key);
    }
    for (const [claimId, atMs] of this.releasedMs) {
      if (atMs > beforeMs) break;
      this.releasedMs.delete(claimId);
    }
  }
}
