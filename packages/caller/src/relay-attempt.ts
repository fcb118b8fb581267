/** One attempt to have a request answered by one executor. */
import {
  raise,
  toFailure,
  type Clock,
  type Failure,
} from '@dragonflyward/common';
import type {TicketUse} from '@dragonflyward/peer';
import type {
  ExecutorResponse,
  ExecutorBody,
  ExecutorClient,
} from '@dragonflyward/target';
import type {OutgoingHttpHeaders} from 'node:http';
import type {Access} from './access.js';
import {checkRequestId} from './answer-relay.js';
import type {RequestLifetime} from './request-lifetime.js';
import type {TicketGrant, TicketSource} from './ticket-source.js';

const MIN_SERVER_ERROR_STATUS = 500;

/** The dependencies of an attempt and the request that it sends. */
export interface AttemptParts {
  readonly clock: Clock;
  readonly tickets: TicketSource;
  readonly executors: ExecutorClient;
  readonly access: Access;
  readonly lifetime: RequestLifetime;
  readonly requestId: string;
  readonly headers: OutgoingHttpHeaders;
  readonly body: ExecutorBody;
  readonly mayReuse: boolean;
  /** Called right before the first byte is sent. */
  readonly onFirstByte: () => void;
}

/** Sends a request with one ticket, and closes that ticket once. */
export class RelayAttempt {
  private isSent = false;
  private isDraining = false;
  private answer: ExecutorResponse | undefined;

  constructor(
    private readonly parts: AttemptParts,
    private readonly grant: TicketGrant,
  ) {}

  /**
   * Sends the request and waits for the status and headers of the answer.
   *
   * @throws a kind with the outcome "not run" if no byte was sent, otherwise
   *     targetLost or deadlinePassed
   */
  async send(signal: AbortSignal): Promise<ExecutorResponse> {
    const {executors, headers, body, mayReuse} = this.parts;
    const {executorId, ip, port} = this.grant.ticket;
    const address = {executorId, ip, port};
    const answer = await executors.send(address, {
      headers,
      body,
      mayReuse,
      beforeFirstByte: () => this.checkBeforeFirstByte(),
      signal,
    });
    this.answer = answer;
    this.isDraining = answer.isDraining;
    if (this.parts.lifetime.remainingMs() <= 0) {
      raise('deadlinePassed', 'the answer arrived after the deadline');
    }
    checkRequestId(answer, this.parts.requestId);
    return answer;
  }

  /** Closes the ticket after the whole answer was read. */
  finish(): void {
    const status = this.answer?.status ?? 0;
    const hasFailed = isExecutorFailure(status);
    this.close(hasFailed ? 'failed' : 'done');
  }

  /** Closes the ticket after an error. */
  fail(err: unknown): void {
    this.answer?.discard();
    this.close(this.ticketUseAfter(toFailure(err)));
  }

  /** The bytes that the attempt sent and received. */
  trafficBytes(): number {
    return this.answer?.trafficBytes() ?? this.parts.body.prefix.length;
  }

  /**
   * Checks, right before the first byte, that the ticket, the deadline and
   * the access still hold. The monotonic clock also advances while the process
   * is paused, so a gateway that was paused sends nothing on an expired ticket.
   *
   * @returns the headers whose values depend on the time of sending
   */
  protected checkBeforeFirstByte(): Readonly<Record<string, string>> {
    const {clock, access, lifetime} = this.parts;
    const {ticket, requestedMs} = this.grant;
    const ageMs = clock.monotonicMs() - requestedMs;
    if (ageMs >= ticket.startByMs) raise('deadlineUnmet', 'too late to start');
    if (ageMs >= ticket.runByMs) raise('deadlineUnmet', 'the ticket expired');
    const remainingMs = lifetime.remainingMs();
    if (remainingMs <= 0) raise('deadlineUnmet', 'no time is left');
    access.check();
    this.isSent = true;
    this.parts.onFirstByte();
    return {'x-deadline-ms': String(remainingMs)};
  }

  private ticketUseAfter(failure: Failure): TicketUse {
    if (!this.isSent) {
      return failure.kind === 'targetRefused' ? 'failed' : 'notSent';
    }
    if (isExecutorFailure(this.answer?.status ?? 0)) return 'failed';
    return this.parts.lifetime.hasCallerDisconnected()
      ? 'abandoned'
      : 'unknown';
  }

  private close(use: TicketUse): void {
    const {ticketId, shard, executorId} = this.grant.ticket;
    const {isDraining} = this;
    this.parts.tickets.close({ticketId, shard, executorId, use, isDraining});
  }
}

/** Whether the status (5xx) shows that the executor failed the request. */
export function isExecutorFailure(status: number): boolean {
  return status >= MIN_SERVER_ERROR_STATUS;
}
