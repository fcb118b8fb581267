/** A caller: sends requests and jobs through the balancer. */
import {randomBytes, randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  ERRORS,
  JsonClient,
  toFailure,
  type ErrorKind,
  type JsonReply,
} from '@dragonflyward/common';
import type {JobSpec, JobStatus} from '@dragonflyward/state';

const RETRY_DELAY_MS = 100;
const REPLY_MARGIN_MS = 2_000;
const STATUS_TIMEOUT_MS = 3_000;

/** How a request or a submission ended, as its caller saw it. */
export type Outcome =
  /** Answered whole, with the answer to this request. */
  | 'answered'
  /** Refused with "not run" until the deadline, or for good. */
  | 'refused'
  /** Answered with "outcome unknown". */
  | 'unknown'
  /** No answer, a cut one, or another request's. */
  | 'lost';

/** One request. */
export interface RequestCall {
  readonly queue: string;
  readonly key: string;
  readonly isIdempotent: boolean;
  readonly deadlineMs: number;
  readonly sleepMs: number;
  /** Whether the caller names the request, so that it may repeat it. */
  readonly hasOwnId?: boolean;
}

/** What a caller knows after a request. */
export interface RequestResult {
  /** What the request's body says; the executors record it. */
  readonly label: string;
  readonly outcome: Outcome;
  readonly status: number;
  readonly kind: string;
  readonly tookMs: number;
}

/** One job as its caller submits it. */
export type JobCall = Omit<JobSpec, 'jobId' | 'team'> & {
  readonly id: string;
  readonly domain?: string;
};

/** What a caller knows after a submission. */
export interface SubmitResult {
  readonly outcome: Outcome;
  readonly jobId: string;
  readonly kind: string;
}

interface ErrorBody {
  readonly error?: {readonly kind: ErrorKind; readonly outcome: string};
}

interface Attempt {
  readonly outcome: Outcome;
  readonly status: number;
  readonly kind: string;
  readonly isRetryable: boolean;
  readonly body: unknown;
}

/** Sends through whichever gateway the balancer gives it. */
export class CallerClient {
  private readonly clients = new Map<string, JsonClient>();

  constructor(private readonly pick: () => string) {}

  /**
   * Sends a request; a refusal that says "not run" is sent again.
   *
   * @example
   * const {outcome} = await caller.request(call);
   */
  async request(call: RequestCall): Promise<RequestResult> {
    const {queue, key, deadlineMs, sleepMs, isIdempotent} = call;
    const label = newUuidV7();
    const idHeader = call.hasOwnId ? {'x-request-id': label} : {};
    const startMs = performance.now();
    const body = {sleepMs, echo: label};
    const attempt = await this.retryUntilDeadline(deadlineMs, leftMs =>
      this.call('POST', `/v1/requests/${queue}`, leftMs, body, {
        ...authorization(key),
        ...idHeader,
        'x-deadline-ms': `${Math.floor(leftMs)}`,
        'x-idempotent': `${isIdempotent}`,
      }),
    );
    const {status, kind} = attempt;
    const isOwnAnswer =
      attempt.outcome !== 'answered' || attempt.body === label;
    const outcome = isOwnAnswer ? attempt.outcome : 'lost';
    const tookMs = performance.now() - startMs;
    return {label, outcome, status, kind, tookMs};
  }

  /**
   * Submits a job; its id makes it safe to send it again.
   *
   * @example
   * const {jobId} = await caller.submit(key, job, 10_000);
   */
  async submit(
    key: string,
    job: JobCall,
    deadlineMs: number,
  ): Promise<SubmitResult> {
    const attempt = await this.retryUntilDeadline(deadlineMs, async leftMs => {
      const headers = authorization(key);
      const reply = await this.call('POST', '/v1/jobs', leftMs, job, headers);
      const isUndecided =
        reply.outcome === 'lost' || reply.outcome === 'unknown';
      return isUndecided ? {...reply, isRetryable: true} : reply;
    });
    const {outcome, kind} = attempt;
    const {jobId = ''} = (attempt.body ?? {}) as {readonly jobId?: string};
    return {outcome, jobId, kind};
  }

  /** Reads a job's status; undefined when no gateway told it. */
  async status(key: string, jobId: string): Promise<JobStatus | undefined> {
    const path = `/v1/jobs/${encodeURIComponent(jobId)}`;
    const headers = authorization(key);
    const timeoutMs = STATUS_TIMEOUT_MS;
    const attempt = await this.call('GET', path, timeoutMs, undefined, headers);
    const isAnswered = attempt.outcome === 'answered';
    return isAnswered ? (attempt.body as JobStatus) : undefined;
  }

  /** Cancels a job. */
  async cancel(key: string, jobId: string): Promise<Outcome> {
    const path = `/v1/jobs/${encodeURIComponent(jobId)}`;
    const headers = authorization(key);
    const timeoutMs = STATUS_TIMEOUT_MS;
    const attempt = await this.call(
      'DELETE',
      path,
      timeoutMs,
      undefined,
      headers,
    );
    return attempt.outcome;
  }

  private async retryUntilDeadline(
    deadlineMs: number,
    send: (leftMs: number) => Promise<Attempt>,
  ): Promise<Attempt> {
    const endMs = performance.now() + deadlineMs;
    for (;;) {
      const attempt = await send(endMs - performance.now());
      const leftMs = endMs - performance.now() - RETRY_DELAY_MS;
      if (!attempt.isRetryable || leftMs <= 0) return attempt;
      await sleep(RETRY_DELAY_MS);
    }
  }

  private async call(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    leftMs: number,
    body: unknown,
    headers: Readonly<Record<string, string>>,
  ): Promise<Attempt> {
    const timeoutMs = leftMs + REPLY_MARGIN_MS;
    try {
      const client = this.clientFor(this.pick());
      return classifyReply(
        await client.call(method, path, timeoutMs, body, headers),
      );
    } catch (err) {
      const {kind, detail} = toFailure(err);
      const isUnsent = kind === 'peerDown';
      const outcome = isUnsent ? 'refused' : 'lost';
      const isRetryable = isUnsent;
      return {outcome, status: 0, kind: detail, isRetryable, body: undefined};
    }
  }

  private clientFor(url: string): JsonClient {
    const known = this.clients.get(url);
    if (known !== undefined) return known;
    const client = new JsonClient(url);
    this.clients.set(url, client);
    return client;
  }
}

/** Makes an identifier that tells when it was made: a version 7 UUID. */
function newUuidV7(): string {
  const time = Date.now().toString(16).padStart(12, '0');
  const [, , , variant = '', tail = ''] = randomUUID().split('-');
  const version = randomBytes(2).toString('hex').slice(1);
  return `${time.slice(0, 8)}-${time.slice(8)}-7${version}-${variant}-${tail}`;
}

function authorization(key: string): Readonly<Record<string, string>> {
  return {authorization: `Bearer ${key}`};
}

function classifyReply({status, body}: JsonReply): Attempt {
  const base = {status, body, kind: '', isRetryable: false};
  if (status === 200 || status === 202) return {...base, outcome: 'answered'};
  const {error} = (body ?? {}) as ErrorBody;
  if (error === undefined) return {...base, outcome: 'lost'};
  const {kind} = error;
  if (error.outcome !== 'not run') return {...base, kind, outcome: 'unknown'};
  const {isRetryable} = ERRORS[kind];
  return {...base, kind, isRetryable, outcome: 'refused'};
}
