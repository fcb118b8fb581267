/** The claim of one request's id at its home. */
import {DragonflywardError, newId, type ErrorKind} from '@dragonflyward/common';
import type {Access} from './access.js';
import {isNotRun} from './error-answers.js';
import type {RequestSpec} from './request-spec.js';
import type {TicketSource} from './ticket-source.js';

/** Claims an id once and gives the claim back at most once. */
export class IdClaim {
  /** Whether the caller may repeat the id, so that its home must know it. */
  readonly isNeeded: boolean;
  private readonly key: string;
  private readonly claimId = newId('c');
  private isHeld = false;

  constructor(
    private readonly tickets: TicketSource,
    {team, queueName}: Access,
    private readonly spec: RequestSpec,
  ) {
    this.isNeeded = spec.hasOwnId && !spec.isIdempotent;
    this.key = JSON.stringify([team, queueName, spec.requestId]);
  }

  /** Whether it is unknown if an earlier call ran the id. */
  get isMissing(): boolean {
    return this.isNeeded && !this.isHeld;
  }

  /**
   * Claims the id.
   *
   * @throws duplicateId, or the signal's reason where a home gave no answer
   */
  async take(signal: AbortSignal): Promise<void> {
    const {key, claimId} = this;
    const {issuedMs} = this.spec;
    await this.tickets.claim({key, claimId, issuedMs}, signal);
    this.isHeld = true;
  }

  /** Gives the claim back: the request surely did not run. */
  release(): void {
    if (!this.isHeld) return;
    const {key, claimId} = this;
    this.tickets.release({key, claimId});
  }

  /** The error to answer with while the claim is missing. */
  truthful(kind: ErrorKind, detail: string): Error {
    const isOwnFault = kind === 'bodyTooLarge' || kind === 'badRequest';
    if (isOwnFault || !isNotRun(kind)) {
      return new DragonflywardError(kind, detail);
    }
    return new DragonflywardError('peerLost', `${kind}: ${detail}`);
  }
}
