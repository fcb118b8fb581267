/**
 * Collects the claimed request ids of a shard: those that the previous owner
 * or the gateways report after a takeover, and those claimed in this term.
 */
import type {Clock, ProcessRef} from '@dragonflyward/common';
import type {
  PassedClaim,
  RequestClaim,
  RequestClaimed,
  RequestClaims,
  RequestRelease,
} from '@dragonflyward/peer';
import {DuplicateDetector, UNTIMED_ID_WINDOW_MS} from './duplicate-detector.js';

/** Releases kept until the term starts; the oldest are dropped first. */
const MAX_PENDING_RELEASES = 10_000;

/** The claimed request ids of one shard; confirms none before a term starts. */
export class RequestClaimRegistry {
  private detector: DuplicateDetector | undefined;
  private imported: RequestClaims | undefined;
  private readonly pending: PassedClaim[] = [];
  /** Releases that came before the term started. */
  private readonly pendingReleases: RequestRelease[] = [];
  /** Gateways that listed their claims and ran for the whole window. */
  private readonly reporters = new Set<string>();
  private gatewayCount = 1;

  constructor(private readonly clock: Clock) {}

  /** Starts a term, with the claims that were reported before it. */
  startTerm(term: number): void {
    this.detector = new DuplicateDetector(this.clock, term);
    for (const notice of this.pendingReleases.splice(0)) {
      this.detector.release(notice);
    }
    if (this.imported !== undefined) this.detector.importClaims(this.imported);
    this.merge();
  }

  /** Sets how many gateways may have made claims. */
  setGatewayCount(count: number): void {
    this.gatewayCount = count;
  }

  /** Adds the claims that a gateway made at former owners. */
  addGatewayClaims(
    from: ProcessRef,
    claims: readonly PassedClaim[],
    upMs: number,
  ): void {
    this.pending.push(...claims);
    if (upMs >= UNTIMED_ID_WINDOW_MS) this.reporters.add(from.vm);
    this.merge();
  }

  /** Adds the claims that the previous owner sent. */
  importClaims(passed: RequestClaims): void {
    this.imported = passed;
    this.detector?.importClaims(passed);
  }

  /**
   * Claims an id; requires that the term has started.
   *
   * @throws duplicateId, queueFull
   */
  claim(ask: RequestClaim): RequestClaimed {
    const isVouched = this.detector?.claim(ask) ?? false;
    return {type: 'requestClaimed', isVouched};
  }

  /** Releases a claim. */
  release(notice: RequestRelease): void {
    if (this.detector !== undefined) return this.detector.release(notice);
    if (this.pendingReleases.length >= MAX_PENDING_RELEASES) {
      this.pendingReleases.shift();
    }
    this.pendingReleases.push(notice);
  }

  /** Lists the claims for the next owner; undefined before a term started. */
  exportClaims(shard: string): RequestClaims | undefined {
    return this.detector?.exportClaims(shard);
  }

  private merge(): void {
    if (this.detector === undefined) return;
    this.detector.merge(this.pending.splice(0));
    if (this.reporters.size >= this.gatewayCount) this.detector.markComplete();
  }
}
