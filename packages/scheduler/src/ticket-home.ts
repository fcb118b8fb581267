/**
 * The home of request ids: finds repeats of requests that are not idempotent.
 *
 * An id's home is the owner of one shard, chosen by a hash of the id. The
 * first owner of a shard has seen every claim. A later one has lost the
 * memory of its predecessors: it refuses ids made before its term, and for a
 * while all ids that do not tell when they were made.
 */
import {raise, type Clock} from '@dragonflyward/common';
import type {RequestClaim, RequestRelease} from '@dragonflyward/peer';

/** How long a claimed id is remembered. */
export const CLAIM_WINDOW_MS = 120_000;
/** By how much the wall clocks of callers and owners may differ. */
export const WALL_SKEW_MS = 2_000;
const MAX_CLAIMS = 200_000;
const FIRST_TERM = 1;

interface Claim {
  readonly claimId: string;
  readonly atMs: number;
}

/** The claims of one shard under one term. */
export class RequestHome {
  private readonly claims = new Map<string, Claim>();
  private readonly bornMs: number;
  private readonly bornWallMs: number;

  constructor(
    private readonly clock: Clock,
    private readonly term: number,
  ) {
    this.bornMs = clock.monotonicMs();
    this.bornWallMs = clock.wallMs();
  }

  /**
   * Claims an id for one attempt.
   *
   * @throws duplicateId where the id was used, or may have been
   * @throws queueFull where too many ids are remembered
   * @example
   * home.claim({type: 'requestClaim', shard, key, claimId, issuedMs: 0});
   */
  claim(ask: RequestClaim): void {
    this.forgetOld();
    if (this.claims.has(ask.key)) raise('duplicateId', 'the id was used');
    this.checkAge(ask.issuedMs);
    if (this.claims.size >= MAX_CLAIMS) {
      raise('queueFull', 'too many request ids are remembered');
    }
    const atMs = this.clock.monotonicMs();
    this.claims.set(ask.key, {claimId: ask.claimId, atMs});
  }

  /** Gives a claim back; only the attempt that made it may do so. */
  release(notice: RequestRelease): void {
    const claim = this.claims.get(notice.key);
    if (claim?.claimId === notice.claimId) this.claims.delete(notice.key);
  }

  /** How many ids are remembered. */
  size(): number {
    return this.claims.size;
  }

  private checkAge(issuedMs: number): void {
    if (issuedMs > 0) return this.checkIssued(issuedMs);
    if (this.term === FIRST_TERM) return;
    const ageMs = this.clock.monotonicMs() - this.bornMs;
    if (ageMs >= CLAIM_WINDOW_MS) return;
    raise('duplicateId', 'the home is new and the id tells no time of issue');
  }

  private checkIssued(issuedMs: number): void {
    const nowMs = this.clock.wallMs();
    if (issuedMs < nowMs - CLAIM_WINDOW_MS + WALL_SKEW_MS) {
      raise('duplicateId', 'the id is older than what is remembered');
    }
    if (this.term === FIRST_TERM) return;
    if (issuedMs >= this.bornWallMs + WALL_SKEW_MS) return;
    raise('duplicateId', 'the id may be older than its home');
  }

  private forgetOld(): void {
    const beforeMs = this.clock.monotonicMs() - CLAIM_WINDOW_MS;
    for (const [key, claim] of this.claims) {
      if (claim.atMs > beforeMs) return;
      this.claims.delete(key);
    }
  }
}
