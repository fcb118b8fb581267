/** Brings together what a new owner learns of claimed request ids. */
import type {Clock, ProcessRef} from '@dragonflyward/common';
import type {
  PassedClaim,
  RequestClaim,
  RequestClaimed,
  RequestClaims,
  RequestRelease,
} from '@dragonflyward/peer';
import {RequestHome, UNTIMED_WINDOW_MS} from './ticket-home.js';

/** The home of one shard's request ids, once the term is known. */
export class TicketClaims {
  private home: RequestHome | undefined;
  private inherited: RequestClaims | undefined;
  private readonly listed: PassedClaim[] = [];
  private readonly vouching = new Set<string>();
  private gateways = 1;

  constructor(private readonly clock: Clock) {}

  /** Starts the home of a term with what was learned before. */
  begin(term: number): void {
    this.home = new RequestHome(this.clock, term);
    if (this.inherited !== undefined) this.home.inherit(this.inherited);
    this.merge();
  }

  /** Sets how many gateways may have made claims. */
  setGateways(count: number): void {
    this.gateways = count;
  }

  /** Takes in the claims that a gateway made at former owners. */
  adopt(from: ProcessRef, claims: readonly PassedClaim[], upMs: number): void {
    this.listed.push(...claims);
    if (upMs >= UNTIMED_WINDOW_MS) this.vouching.add(from.vm);
    this.merge();
  }

  /** Takes in the claims that the owner before has passed on. */
  inherit(passed: RequestClaims): void {
    this.inherited = passed;
    this.home?.inherit(passed);
  }

  /**
   * Claims an id; to be called once the term is known.
   *
   * @throws duplicateId, queueFull
   */
  claim(ask: RequestClaim): RequestClaimed {
    const isVouched = this.home?.claim(ask) ?? false;
    return {type: 'requestClaimed', isVouched};
  }

  /** Gives a claim back. */
  release(notice: RequestRelease): void {
    this.home?.release(notice);
  }

  /** Lists the claims for the next owner; undefined before the term. */
  passOn(shard: string): RequestClaims | undefined {
    return this.home?.passOn(shard);
  }

  private merge(): void {
    if (this.home === undefined) return;
    this.home.merge(this.listed.splice(0));
    if (this.vouching.size >= this.gateways) this.home.noteWhole();
  }
}
