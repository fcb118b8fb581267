/**
 * The home of request ids: finds repeats of requests that are not idempotent.
 *
 * The homes of an id are the owners of two shards, chosen by a hash of the
 * id. The first owner of a shard has seen every claim, and so has one that
 * was given the claims of such an owner, or those of all gateways. Another
 * one has lost the memory of its predecessors: for a while it vouches only
 * for ids that tell that they were made in its own time.
 */
import {raise, type Clock} from '@dragonflyward/common';
import type {
  PassedClaim,
  RequestClaim,
  RequestClaims,
  RequestRelease,
} from '@dragonflyward/peer';

/** How long a claimed id is remembered. */
export const CLAIM_WINDOW_MS = 120_000;
/**
 * How long after its last use a repeat of an id that does not tell its time
 * is found also where its homes have lost their memory.
 */
export const UNTIMED_ID_WINDOW_MS = 15_000;
/** By how much the wall clocks of callers and owners may differ. */
export const MAX_CLOCK_SKEW_MS = 2_000;
const MAX_CLAIMS = 200_000;
const FIRST_TERM = 1;

interface Claim {
  readonly claimId: string;
  readonly atMs: number;
}

/** The claims of one shard under one term. */
export class DuplicateDetector {
  private readonly claims = new Map<string, Claim>();
  private readonly bornMs: number;
  private readonly bornWallMs: number;
  private isWhole: boolean;

  constructor(
    private readonly clock: Clock,
    private readonly term: number,
  ) {
    this.bornMs = clock.monotonicMs();
    this.bornWallMs = clock.wallMs();
    this.isWhole = term === FIRST_TERM;
  }

  /**
   * Claims an id for one attempt; a repeat of the same claim changes nothing.
   *
   * @returns whether the id surely was not used before
   * @throws duplicateId where the id was used, or is older than the memory
   * @throws queueFull where too many ids are remembered
   * @example
   * const isVouched = home.claim(ask);
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

  /** Gives a claim back; only the attempt that made it may do so. */
  release(notice: RequestRelease): void {
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

  /** Takes in the claims of the owner before. */
  importClaims(passed: RequestClaims): void {
    if (passed.term !== this.term - 1) return;
    this.merge(passed.claims);
    if (passed.isWhole) this.isWhole = true;
  }

  /** Takes in the claims of a gateway; older ones come before own ones. */
  merge(claims: readonly PassedClaim[]): void {
    const nowMs = this.clock.monotonicMs();
    const all = [...this.claims];
    for (const {key, claimId, ageMs} of claims) {
      all.push([key, {claimId, atMs: nowMs - ageMs}]);
    }
    all.sort(([, a], [, b]) => a.atMs - b.atMs);
    this.claims.clear();
    for (const [key, claim] of all) {
      if (!this.claims.has(key)) this.claims.set(key, claim);
    }
  }

  /** Takes in that the claims of all gateways are known. */
  markComplete(): void {
    this.isWhole = true;
  }

  /** How many ids are remembered. */
  size(): number {
    return this.claims.size;
  }

  private hasCompleteHistory(): boolean {
    const ageMs = this.clock.monotonicMs() - this.bornMs;
    return this.isWhole || ageMs >= UNTIMED_ID_WINDOW_MS;
  }

  private canRuleOutReuse(issuedMs: number): boolean {
    if (issuedMs === 0) return this.hasCompleteHistory();
    const oldestMs = this.clock.wallMs() - CLAIM_WINDOW_MS + MAX_CLOCK_SKEW_MS;
    if (issuedMs < oldestMs) {
      raise('duplicateId', 'the id is older than what is remembered');
    }
    if (this.hasCompleteHistory()) return true;
    return issuedMs >= this.bornWallMs + MAX_CLOCK_SKEW_MS;
  }

  private dropExpired(): void {
    const beforeMs = this.clock.monotonicMs() - CLAIM_WINDOW_MS;
    for (const [key, claim] of this.claims) {
      if (claim.atMs > beforeMs) return;
      this.claims.delete(key);
    }
  }
}
