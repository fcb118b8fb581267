/** One attempt to have a request answered by one executor. */
import {
  raise,
  toFailure,
  type Clock,
  type Failure,
} from '@dragonflyward/common';
import type {TicketUse} from '@dragonflyward/peer';
import type {
  ExecutorAnswer,
  ExecutorBody,
  ExecutorClient,
} from '@dragonflyward/target';
import type {OutgoingHttpHeaders} from 'node:http';
import type {Access} from './access.js';
import {checkEcho} from './answer-relay.js';
import type {RequestLifetime} from './request-lifetime.js';
import type {HeldTicket, TicketSource} from './ticket-source.js';

const FIRST_SERVER_ERROR = 500;

/** What an attempt works with. */
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
  /** Called when the first byte is about to leave. */
  readonly onFirstByte: () => void;
}

/** Sends one request on one ticket, and gives the ticket back once. */
export class RelayAttempt {
  private isSent = false;
  private isDraining = false;
  private answer: ExecutorAnswer | undefined;

  constructor(
    private readonly parts: AttemptParts,
    private readonly held: HeldTicket,
  ) {}

  /**
   * Sends the request and waits for the head of its answer.
   *
   * @throws not-run kinds when no byte was sent, else targetLost or
   *     deadlinePassed
   */
  async send(signal: AbortSignal): Promise<ExecutorAnswer> {
    const {executors, headers, body, mayReuse} = this.parts;
    const {executorId, ip, port} = this.held.ticket;
    const address = {executorId, ip, port};
    const answer = await executors.send(address, {
      headers,
      body,
      mayReuse,
      beforeFirstByte: () => this.checkStart(),
      signal,
    });
    this.answer = answer;
    this.isDraining = answer.isDraining;
    if (this.parts.lifetime.leftMs() <= 0) {
      raise('deadlinePassed', 'the answer came too late');
    }
    checkEcho(answer, this.parts.requestId);
    return answer;
  }

  /** Gives the ticket back after the whole answer was read. */
  finish(): void {
    const status = this.answer?.status ?? 0;
    const hasFailed = isExecutorFailure(status);
    this.close(hasFailed ? 'failed' : 'done');
  }

  /** Gives the ticket back after an error. */
  fail(err: unknown): void {
    this.answer?.drop();
    this.close(this.useAfter(toFailure(err)));
  }

  /** Bytes that the attempt moved. */
  trafficBytes(): number {
    return this.answer?.trafficBytes() ?? this.parts.body.prefix.length;
  }

  /**
   * The last check before the first byte, by the monotonic clock: a process
   * that was paused finds out here.
   */
  protected checkStart(): Readonly<Record<string, string>> {
    const {clock, access, lifetime} = this.parts;
    const {ticket, askedMs} = this.held;
    const ageMs = clock.monotonicMs() - askedMs;
    if (ageMs >= ticket.startByMs) raise('deadlineUnmet', 'the ticket lapsed');
    if (ageMs >= ticket.runByMs) raise('deadlineUnmet', 'the ticket ran out');
    const leftMs = lifetime.leftMs();
    if (leftMs <= 0) raise('deadlineUnmet', 'no time is left');
    access.check();
    this.isSent = true;
    this.parts.onFirstByte();
    return {'x-deadline-ms': String(leftMs)};
  }

  private useAfter(failure: Failure): TicketUse {
    if (!this.isSent) {
      return failure.kind === 'targetRefused' ? 'failed' : 'notSent';
    }
    if (isExecutorFailure(this.answer?.status ?? 0)) return 'failed';
    return this.parts.lifetime.hasLostCaller() ? 'abandoned' : 'unknown';
  }

  private close(use: TicketUse): void {
    const {ticketId, shard, executorId} = this.held.ticket;
    const {isDraining} = this;
    this.parts.tickets.close({ticketId, shard, executorId, use, isDraining});
  }
}

/** Whether the status says that the executor could not do its work. */
export function isExecutorFailure(status: number): boolean {
  return status >= FIRST_SERVER_ERROR;
}
