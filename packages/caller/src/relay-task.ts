/** The task of one request: body, claim, ticket, attempts, answer. */
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
import type {ExecutorAnswer, ExecutorBody} from '@dragonflyward/target';
import type {Access} from './access.js';
import {relayAnswer} from './answer-relay.js';
import {isNotRun} from './error-answers.js';
import {readCallerBody, readStart, restOf} from './body-reader.js';
import {
  isExecutorFailure,
  RelayAttempt,
  type AttemptParts,
} from './relay-attempt.js';
import {IdClaim} from './id-claim.js';
import {endToEnd} from './relay-headers.js';
import type {RequestLifetime} from './request-lifetime.js';
import type {RelayParts} from './request-relay.js';
import type {RequestSpec} from './request-spec.js';
import type {RetryBudget} from './retry-budget.js';
import type {SilenceBound} from './adaptive-timeout.js';
import type {HeldTicket} from './ticket-source.js';

/** A body up to this size can be sent again. */
export const REPLAYABLE_BODY_BYTES = 64 * 1024;
const MAX_ATTEMPTS = 4;
/** Failures after which another executor may serve the request. */
const RETRIED_KINDS: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'targetRefused',
  'targetLost',
  'deadlineUnmet',
]);

/** What the task of one request works with. */
export interface TaskParts extends RelayParts {
  readonly budget: RetryBudget;
  readonly silence: SilenceBound;
  readonly access: Access;
  readonly spec: RequestSpec;
  readonly lifetime: RequestLifetime;
}

/** Relays one request. */
export class RelayTask {
  private readonly claim: IdClaim;
  private readonly avoid: string[] = [];
  private mayHaveRun = false;
  private isRetryPaid = false;

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
   * @throws a not-run kind only where no byte of the request may have left
   */
  async run(): Promise<void> {
    this.parts.budget.addRequest(this.service);
    try {
      await this.relay();
    } catch (err) {
      if (!this.mayHaveRun) this.claim.release();
      throw this.truthful(err);
    }
  }

  private get service(): string {
    return this.parts.access.queue.service;
  }

  private async relay(): Promise<void> {
    const body = await this.readBody();
    let held = await this.firstTicket();
    for (let attempt = 1; ; attempt += 1) {
      const failure = await this.tryOnce(held, body, attempt);
      if (failure === undefined) return;
      this.avoid.push(held.ticket.executorId);
      this.noteRetry(held);
      held = await this.takeTicket();
    }
  }

  private async readBody(): Promise<ExecutorBody> {
    const {access, lifetime} = this.parts;
    const chunks = readCallerBody(this.req, access.queue.maxBodyBytes);
    const bound = REPLAYABLE_BODY_BYTES;
    const start = await readStart(chunks, bound, lifetime.signal);
    const rest = start.isWhole ? null : restOf(chunks);
    return {prefix: start.bytes, rest};
  }

  /** The claim and the first ticket are asked for at the same time. */
  private async firstTicket(): Promise<HeldTicket> {
    if (!this.claim.isNeeded) return this.takeTicket();
    const ticket = this.takeTicket();
    ticket.catch(ignore);
    try {
      await this.claim.take(this.parts.lifetime.signal);
    } catch (err) {
      void ticket.then(held => {
        this.giveBack(held);
      }, ignore);
      throw err;
    }
    return ticket;
  }

  private takeTicket(): Promise<HeldTicket> {
    const {access, lifetime, spec, tickets} = this.parts;
    const wish = {
      requestId: spec.requestId,
      team: access.team,
      queue: access.queueName,
      service: this.service,
      deadlineMs: lifetime.leftMs(),
      avoid: [...this.avoid],
    };
    return tickets.take(wish, lifetime.signal);
  }

  private giveBack({ticket}: HeldTicket): void {
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

  /** Makes one attempt; returns its failure where another may follow. */
  private async tryOnce(
    held: HeldTicket,
    body: ExecutorBody,
    attempt: number,
  ): Promise<Error | undefined> {
    const relay = new RelayAttempt(this.attemptParts(body), held);
    try {
      const answer = await this.sendBounded(relay, body, attempt);
      await this.passOn(answer, body, attempt);
      relay.finish();
      return undefined;
    } catch (err) {
      relay.fail(err);
      if (!this.mayRetry(err, body, attempt)) throw err;
      return err instanceof Error ? err : new Error(String(err));
    } finally {
      this.countTraffic(held, relay.trafficBytes());
    }
  }

  private async sendBounded(
    relay: RelayAttempt,
    body: ExecutorBody,
    attempt: number,
  ): Promise<ExecutorAnswer> {
    const {clock, lifetime, silence} = this.parts;
    const boundMs = silence.boundMs(this.service, lifetime.leftMs());
    const sentMs = clock.monotonicMs();
    const answer = await this.sendWithin(relay, body, attempt, boundMs);
    silence.add(this.service, clock.monotonicMs() - sentMs);
    return answer;
  }

  /** Gives a silent executor up where another attempt is allowed. */
  private async sendWithin(
    relay: RelayAttempt,
    body: ExecutorBody,
    attempt: number,
    boundMs: number,
  ): Promise<ExecutorAnswer> {
    const own = new AbortController();
    const timer = setTimeout(() => {
      const silent = new DragonflywardError('targetLost', 'no answer in time');
      this.isRetryPaid = this.mayRetry(silent, body, attempt);
      if (this.isRetryPaid) own.abort(silent);
    }, boundMs);
    try {
      const {lifetime} = this.parts;
      return await relay.send(AbortSignal.any([lifetime.signal, own.signal]));
    } finally {
      clearTimeout(timer);
    }
  }

  private async passOn(
    answer: ExecutorAnswer,
    body: ExecutorBody,
    attempt: number,
  ): Promise<void> {
    const {lifetime, spec} = this.parts;
    if (isExecutorFailure(answer.status)) {
      const failure = new DragonflywardError('targetLost', 'executor failure');
      this.isRetryPaid = this.mayRetry(failure, body, attempt);
      if (this.isRetryPaid) throw failure;
    }
    await relayAnswer(answer, this.res, spec.requestId, lifetime.signal);
  }

  private mayRetry(err: unknown, body: ExecutorBody, attempt: number): boolean {
    const {budget, lifetime, spec} = this.parts;
    if (!RETRIED_KINDS.has(toFailure(err).kind)) return false;
    if (this.res.headersSent || lifetime.isOver()) return false;
    if (attempt >= MAX_ATTEMPTS) return false;
    if (this.mayHaveRun && !spec.isIdempotent) return false;
    if (this.mayHaveRun && body.rest !== null) return false;
    if (this.isRetryPaid) {
      this.isRetryPaid = false;
      return true;
    }
    return budget.tryTake(this.service);
  }

  private attemptParts(body: ExecutorBody): AttemptParts {
    const {access, spec, lifetime} = this.parts;
    const {clock, tickets, executors} = this.parts;
    return {
      clock,
      tickets,
      executors,
      access,
      lifetime,
      requestId: spec.requestId,
      headers: this.headersFor(body),
      body,
      mayReuse: spec.isIdempotent,
      onFirstByte: () => {
        this.mayHaveRun = true;
      },
    };
  }

  private headersFor(body: ExecutorBody): OutgoingHttpHeaders {
    const {access, spec} = this.parts;
    const declared = this.req.headers['content-length'];
    const length = body.rest === null ? body.prefix.length : declared;
    return {
      ...endToEnd(this.req.headers),
      ...(length === undefined ? {} : {'content-length': length}),
      'x-request-id': spec.requestId,
      'x-team': access.team,
    };
  }

  /** Never lets an error say "not run" of a request that may have run. */
  private truthful(err: unknown): Error {
    const {kind, detail} = toFailure(err);
    const why = `${kind}: ${detail}`;
    if (this.mayHaveRun) {
      if (!isNotRun(kind)) return new DragonflywardError(kind, detail);
      return new DragonflywardError('targetLost', why);
    }
    if (this.claim.isMissing && kind !== 'duplicateId') {
      return this.claim.truthful(kind, detail);
    }
    if (kind === 'deadlinePassed') {
      return new DragonflywardError('deadlineUnmet', detail);
    }
    return new DragonflywardError(kind, detail);
  }

  private noteRetry(held: HeldTicket): void {
    const {metrics, events, spec} = this.parts;
    const executor = held.ticket.executorId;
    metrics.count(`retries_total{service="${this.service}"}`);
    events.add('requestRetried', {request: spec.requestId, executor});
  }

  private countTraffic(held: HeldTicket, bytes: number): void {
    if (!held.isCrossRegion) return;
    const {metrics, access} = this.parts;
    const team = access.team;
    metrics.count(`cross_region_bytes_total{team="${team}"}`, bytes);
    metrics.count(`cross_region_requests_total{team="${team}"}`);
  }
}

function ignore(): void {
  return;
}
