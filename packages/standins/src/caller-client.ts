/** An HTTP client that sends requests and jobs as a caller does. */
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

/** The outcome of a request or job submission, as its caller sees it. */
export type Outcome =
  /** A complete answer to this request. */
  | 'answered'
  /** Refused with "not run", finally or until the deadline passed. */
  | 'refused'
  /** Answered with "outcome unknown". */
  | 'unknown'
  /** No answer, a truncated one, or the answer to another request. */
  | 'lost';

/** One request. */
export interface RequestCall {
  readonly queue: string;
  readonly key: string;
  readonly isIdempotent: boolean;
  readonly deadlineMs: number;
  readonly sleepMs: number;
  /** Whether the caller sets the request id, which lets it retry safely. */
  readonly hasOwnId?: boolean;
}

/** The result of a request, as its caller sees it. */
export interface RequestResult {
  /** Sent in the request's body and recorded by the executors. */
  readonly label: string;
  readonly outcome: Outcome;
  readonly status: number;
  readonly kind: string;
  readonly tookMs: number;
}

/** A job as its caller submits it. */
export type JobCall = Omit<JobSpec, 'jobId' | 'team'> & {
  readonly id: string;
  readonly domain?: string;
};

/** The result of a job submission, as its caller sees it. */
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

/** Sends each call to the gateway that `pick` returns. */
export class CallerClient {
  private readonly clients = new Map<string, JsonClient>();

  constructor(private readonly pick: () => string) {}

  /**
   * Sends a request; retries retryable "not run" refusals until the deadline.
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
   * Submits a job. Retries also unknown outcomes: the job id makes this safe.
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

  /** Reads a job's status; undefined if the gateway didn't return it. */
  async status(key: string, jobId: string): Promise<JobStatus | undefined> {
    const path = `/v1/jobs/${encodeURIComponent(jobId)}`;
    const headers = authorization(key);
    const timeoutMs = STATUS_TIMEOUT_MS;
    const attempt = await this.call('GET', path, timeoutMs, undefined, headers);
    const isAnswered = attempt.outcome === 'answered';
    return isAnswered ? (attempt.body as JobStatus) : undefined;
  }

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

/** Makes a version 7 UUID, which contains the time of its creation. */
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
