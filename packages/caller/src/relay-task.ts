/** Relays one request: body, id claim, ticket, attempts and answer. */
import type {
  IncomingMessage,
  OutgoingHttpHeaders,
  ServerResponse,
} from 'node:http';
import {
  DragonflywardError,
  toFailure,
  type ErrorKind,
} from '@dragonflyward/common';
import type {ExecutorResponse, ExecutorBody} from '@dragonflyward/target';
import type {Access} from './access.js';
import {relayAnswer} from './answer-relay.js';
import {isNotRun} from './error-answers.js';
import {readCallerBody, readPrefix, readRest} from './body-reader.js';
import {
  isExecutorFailure,
  RelayAttempt,
  type AttemptParts,
} from './relay-attempt.js';
import {IdClaim} from './id-claim.js';
import {selectEndToEndHeaders} from './relay-headers.js';
import type {RequestLifetime} from './request-lifetime.js';
import type {RelayParts} from './request-relay.js';
import type {RequestSpec} from './request-spec.js';
import type {RetryBudget} from './retry-budget.js';
import type {ServiceTimeouts} from './service-timeouts.js';
import type {TicketGrant} from './ticket-source.js';

/** A body up to this size is kept in memory, so that it can be resent. */
export const REPLAYABLE_BODY_BYTES = 64 * 1024;
const MAX_ATTEMPTS = 4;
/** Failures after which the request may be retried at another executor. */
const RETRIED_KINDS: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'targetRefused',
  'targetLost',
  'deadlineUnmet',
]);

/** The dependencies of a `RelayTask` and the request that it relays. */
export interface TaskParts extends RelayParts {
  readonly budget: RetryBudget;
  readonly timeouts: ServiceTimeouts;
  readonly access: Access;
  readonly spec: RequestSpec;
  readonly lifetime: RequestLifetime;
}

/** Relays one request. */
export class RelayTask {
  private readonly claim: IdClaim;
  private readonly avoid: string[] = [];
  private mayHaveRun = false;
  private isRetryReserved = false;

  constructor(
    private readonly parts: TaskParts,
    private readonly req: IncomingMessage,
    private readonly res: ServerResponse,
  ) {
    const {access, spec, tickets} = parts;
    this.claim = new IdClaim(tickets, access, spec);
  }

  /**
   * Relays the request.
   *
   * @throws a kind with the outcome "not run" only if no byte of the request
   *     can have been sent
   */
  async run(): Promise<void> {
    this.parts.budget.addRequest(this.service);
    try {
      await this.relay();
    } catch (err) {
      if (!this.mayHaveRun) this.claim.release();
      throw this.toReportedError(err);
    }
  }

  private get service(): string {
    return this.parts.access.queue.service;
  }

  private async relay(): Promise<void> {
    const body = await this.readBody();
    let grant = await this.acquireFirstTicket();
    for (let attempt = 1; ; attempt += 1) {
      const failure = await this.tryOnce(grant, body, attempt);
      if (failure === undefined) return;
      this.avoid.push(grant.ticket.executorId);
      this.reportRetry(grant);
      grant = await this.acquireTicket();
    }
  }

  private async readBody(): Promise<ExecutorBody> {
    const {access, lifetime} = this.parts;
    const chunks = readCallerBody(this.req, access.queue.maxBodyBytes);
    const maxBytes = REPLAYABLE_BODY_BYTES;
    const prefix = await readPrefix(chunks, maxBytes, lifetime.signal);
    const rest = prefix.isWhole ? null : readRest(chunks);
    return {prefix: prefix.bytes, rest};
  }

  /** Requests the id claim and the first ticket concurrently. */
  private async acquireFirstTicket(): Promise<TicketGrant> {
    if (!this.claim.isNeeded) return this.acquireTicket();
    const ticket = this.acquireTicket();
    ticket.catch(ignore);
    try {
      await this.claim.acquire(this.parts.lifetime.signal);
    } catch (err) {
      void ticket.then(grant => {
        this.returnUnused(grant);
      }, ignore);
      throw err;
    }
    return ticket;
  }

  private acquireTicket(): Promise<TicketGrant> {
    const {access, lifetime, spec, tickets} = this.parts;
    const request = {
      requestId: spec.requestId,
      team: access.team,
      queue: access.queueName,
      service: this.service,
      deadlineMs: lifetime.remainingMs(),
      avoid: [...this.avoid],
    };
    return tickets.acquire(request, lifetime.signal);
  }

  private returnUnused({ticket}: TicketGrant): void {
    const {ticketId, shard, executorId} = ticket;
    const use = 'notSent';
    const close = {
      ticketId,
      shard,
      executorId,
      use,
      isDraining: false,
    } as const;
    this.parts.tickets.close(close);
  }

  /** Makes one attempt; returns its error if the request is to be retried. */
  private async tryOnce(
    grant: TicketGrant,
    body: ExecutorBody,
    attempt: number,
  ): Promise<Error | undefined> {
    const relay = new RelayAttempt(this.makeAttemptParts(body), grant);
    try {
      const answer = await this.sendAndRecordLatency(relay, body, attempt);
      await this.handleAnswer(answer, body, attempt);
      relay.finish();
      return undefined;
    } catch (err) {
      relay.fail(err);
      if (!this.tryTakeRetry(err, body, attempt)) throw err;
      return err instanceof Error ? err : new Error(String(err));
    } finally {
      this.countTraffic(grant, relay.trafficBytes());
    }
  }

  private async sendAndRecordLatency(
    relay: RelayAttempt,
    body: ExecutorBody,
    attempt: number,
  ): Promise<ExecutorResponse> {
    const {clock, lifetime, timeouts} = this.parts;
    const timeoutMs = timeouts.timeoutMs(this.service, lifetime.remainingMs());
    const sentMs = clock.monotonicMs();
    const answer = await this.sendWithTimeout(relay, body, attempt, timeoutMs);
    timeouts.recordLatency(this.service, clock.monotonicMs() - sentMs);
    return answer;
  }

  /** Aborts an attempt that exceeds the timeout, if a retry is allowed. */
  private async sendWithTimeout(
    relay: RelayAttempt,
    body: ExecutorBody,
    attempt: number,
    timeoutMs: number,
  ): Promise<ExecutorResponse> {
    const timeoutController = new AbortController();
    const timer = setTimeout(() => {
      const timeoutError = new DragonflywardError(
        'targetLost',
        'no answer in time',
      );
      this.isRetryReserved = this.tryTakeRetry(timeoutError, body, attempt);
      if (this.isRetryReserved) timeoutController.abort(timeoutError);
    }, timeoutMs);
    try {
      const {lifetime} = this.parts;
      return await relay.send(
        AbortSignal.any([lifetime.signal, timeoutController.signal]),
      );
    } finally {
      clearTimeout(timer);
    }
  }

  private async handleAnswer(
    answer: ExecutorResponse,
    body: ExecutorBody,
    attempt: number,
  ): Promise<void> {
    const {lifetime, spec} = this.parts;
    if (isExecutorFailure(answer.status)) {
      const failure = new DragonflywardError(
        'targetLost',
        'the executor answered with a server error',
      );
      this.isRetryReserved = this.tryTakeRetry(failure, body, attempt);
      if (this.isRetryReserved) throw failure;
    }
    await relayAnswer(answer, this.res, spec.requestId, lifetime.signal);
  }

  /**
   * Returns whether the request may be retried after an error. Takes the retry
   * from the budget, unless one was taken for this attempt already.
   */
  private tryTakeRetry(
    err: unknown,
    body: ExecutorBody,
    attempt: number,
  ): boolean {
    const {budget, lifetime, spec} = this.parts;
    if (!RETRIED_KINDS.has(toFailure(err).kind)) return false;
    if (this.res.headersSent || lifetime.isOver()) return false;
    if (attempt >= MAX_ATTEMPTS) return false;
    if (this.mayHaveRun && !spec.isIdempotent) return false;
    if (this.mayHaveRun && body.rest !== null) return false;
    if (this.isRetryReserved) {
      this.isRetryReserved = false;
      return true;
    }
    return budget.tryTake(this.service);
  }

  private makeAttemptParts(body: ExecutorBody): AttemptParts {
    const {access, spec, lifetime} = this.parts;
    const {clock, tickets, executors} = this.parts;
    return {
      clock,
      tickets,
      executors,
      access,
      lifetime,
      requestId: spec.requestId,
      headers: this.makeHeaders(body),
      body,
      mayReuse: spec.isIdempotent,
      onFirstByte: () => {
        this.mayHaveRun = true;
      },
    };
  }

  private makeHeaders(body: ExecutorBody): OutgoingHttpHeaders {
    const {access, spec} = this.parts;
    const declared = this.req.headers['content-length'];
    const length = body.rest === null ? body.prefix.length : declared;
    return {
      ...selectEndToEndHeaders(this.req.headers),
      ...(length === undefined ? {} : {'content-length': length}),
      'x-request-id': spec.requestId,
      'x-team': access.team,
    };
  }

  /** Never reports "not run" for a request that may have run. */
  private toReportedError(err: unknown): Error {
    const {kind, detail} = toFailure(err);
    const message = `${kind}: ${detail}`;
    if (this.mayHaveRun) {
      if (!isNotRun(kind)) return new DragonflywardError(kind, detail);
      return new DragonflywardError('targetLost', message);
    }
    if (this.claim.isUnconfirmed && kind !== 'duplicateId') {
      return this.claim.toUnclaimedError(kind, detail);
    }
    if (kind === 'deadlinePassed') {
      return new DragonflywardError('deadlineUnmet', detail);
    }
    return new DragonflywardError(kind, detail);
  }

  private reportRetry(grant: TicketGrant): void {
    const {metrics, events, spec} = this.parts;
    const executor = grant.ticket.executorId;
    metrics.count(`retries_total{service="${this.service}"}`);
    events.add('requestRetried', {request: spec.requestId, executor});
  }

  private countTraffic(grant: TicketGrant, bytes: number): void {
    if (!grant.isCrossRegion) return;
    const {metrics, access} = this.parts;
    const team = access.team;
    metrics.count(`cross_region_bytes_total{team="${team}"}`, bytes);
    metrics.count(`cross_region_requests_total{team="${team}"}`);
  }
}

function ignore(): void {
  return;
}
