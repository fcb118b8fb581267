/** Parses the request headers that callers set. */
import type {IncomingHttpHeaders} from 'node:http';
import {newId, raise} from '@dragonflyward/common';

const ID_PATTERN = /^[\w.:~-]{1,128}$/;
const DURATION_PATTERN = /^\d{1,9}$/;
const UUID_V7_PATTERN =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const HEX_RADIX = 16;

/** The options of a request, as given in its headers. */
export interface RequestSpec {
  readonly requestId: string;
  /** Whether the caller chose the id and may therefore send it again. */
  readonly hasCallerId: boolean;
  /** Wall time at which the id was created; 0 if the id does not contain it. */
  readonly issuedMs: number;
  readonly isIdempotent: boolean;
  /** How long the caller waits, capped by the queue's maximum. */
  readonly deadlineMs: number;
}

/**
 * Parses the headers of a request.
 *
 * @throws badRequest
 * @example
 * const spec = readRequestSpec(req.headers, queue.maxDeadlineMs);
 */
export function readRequestSpec(
  headers: IncomingHttpHeaders,
  maxDeadlineMs: number,
): RequestSpec {
  const callerId = readId(headers);
  const requestId = callerId ?? newId('r');
  return {
    requestId,
    hasCallerId: callerId !== undefined,
    issuedMs: readIssueTime(requestId),
    isIdempotent: readFlag(headers, 'x-idempotent'),
    deadlineMs: readDeadline(headers, maxDeadlineMs),
  };
}

/** Extracts the timestamp of a version 7 UUID; 0 for other ids. */
export function readIssueTime(id: string): number {
  const match = UUID_V7_PATTERN.exec(id);
  if (match === null) return 0;
  return Number.parseInt(`${match[1]}${match[2]}`, HEX_RADIX);
}

/**
 * Reads how long the caller waits; the queue's maximum if it does not say.
 *
 * @throws badRequest
 * @example
 * const deadlineMs = readDeadline(req.headers, 10_000);
 */
export function readDeadline(
  headers: IncomingHttpHeaders,
  maxDeadlineMs: number,
): number {
  const text = readSingle(headers, 'x-deadline-ms');
  if (text === undefined) return maxDeadlineMs;
  if (!DURATION_PATTERN.test(text)) {
    return raise('badRequest', 'x-deadline-ms is not a whole number');
  }
  return Math.min(Number(text), maxDeadlineMs);
}

function readId(headers: IncomingHttpHeaders): string | undefined {
  const text = readSingle(headers, 'x-request-id');
  if (text === undefined) return undefined;
  if (!ID_PATTERN.test(text)) return raise('badRequest', 'x-request-id');
  return text;
}

function readFlag(headers: IncomingHttpHeaders, name: string): boolean {
  const text = readSingle(headers, name);
  if (text === undefined || text === 'false') return false;
  if (text === 'true') return true;
  return raise('badRequest', `${name} is neither true nor false`);
}

function readSingle(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  if (Array.isArray(value)) return raise('badRequest', `${name} given twice`);
  return value;
}
