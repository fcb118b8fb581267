/** The claim of the id of one request. */
import {DragonflywardError, newId, type ErrorKind} from '@dragonflyward/common';
import type {Access} from './access.js';
import {isNotRun} from './error-answers.js';
import type {RequestSpec} from './request-spec.js';
import type {TicketSource} from './ticket-source.js';

/** Claims a request id once and releases the claim at most once. */
export class IdClaim {
  /**
   * Whether the id has to be claimed: the caller may send it again, and the
   * request is not idempotent.
   */
  readonly isNeeded: boolean;
  private readonly key: string;
  private readonly claimId = newId('c');
  private isClaimed = false;

  constructor(
    private readonly tickets: TicketSource,
    {team, queueName}: Access,
    private readonly spec: RequestSpec,
  ) {
    this.isNeeded = spec.hasCallerId && !spec.isIdempotent;
    this.key = JSON.stringify([team, queueName, spec.requestId]);
  }

  /**
   * Whether a claim is needed but not confirmed yet, so that an earlier request
   * with the id may have run.
   */
  get isUnconfirmed(): boolean {
    return this.isNeeded && !this.isClaimed;
  }

  /**
   * Claims the id.
   *
   * @throws duplicateId, or the signal's reason if a replica did not answer
   */
  async acquire(signal: AbortSignal): Promise<void> {
    const {key, claimId} = this;
    const {issuedMs} = this.spec;
    await this.tickets.claim({key, claimId, issuedMs}, signal);
    this.isClaimed = true;
  }

  /** Releases the claim; only for a request that certainly did not run. */
  release(): void {
    if (!this.isClaimed) return;
    const {key, claimId} = this;
    this.tickets.release({key, claimId});
  }

  /**
   * Converts an error that ends the request before its claim is confirmed. An
   * earlier request with the id may have run, so "not run" is reported only
   * for requests that are malformed or too large.
   */
  toUnclaimedError(kind: ErrorKind, detail: string): Error {
    const isCallerFault = kind === 'bodyTooLarge' || kind === 'badRequest';
    if (isCallerFault || !isNotRun(kind)) {
      return new DragonflywardError(kind, detail);
    }
    return new DragonflywardError('peerLost', `${kind}: ${detail}`);
  }
}
