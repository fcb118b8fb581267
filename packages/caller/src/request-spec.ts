/** Reads what a caller says of its request in the headers. */
import type {IncomingHttpHeaders} from 'node:http';
import {newId, raise} from '@dragonflyward/common';

const ID_PATTERN = /^[\w.:~-]{1,128}$/;
const DURATION_PATTERN = /^\d{1,9}$/;
const UUID_V7_PATTERN =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const HEX = 16;

/** What the headers of a request say. */
export interface RequestSpec {
  readonly requestId: string;
  /** Whether the caller chose the id, and may repeat it. */
  readonly hasOwnId: boolean;
  /** When the id was made, in wall time; 0 where it does not tell. */
  readonly issuedMs: number;
  readonly isIdempotent: boolean;
  /** How long the caller waits, bounded by the queue. */
  readonly deadlineMs: number;
}

/**
 * Reads the headers of a request.
 *
 * @throws badRequest
 * @example
 * const spec = readSpec(req.headers, queue.maxDeadlineMs);
 */
export function readSpec(
  headers: IncomingHttpHeaders,
  maxDeadlineMs: number,
): RequestSpec {
  const ownId = readId(headers);
  const requestId = ownId ?? newId('r');
  return {
    requestId,
    hasOwnId: ownId !== undefined,
    issuedMs: issuedAt(requestId),
    isIdempotent: readFlag(headers, 'x-idempotent'),
    deadlineMs: readDeadline(headers, maxDeadlineMs),
  };
}

/** Reads the time that a version 7 UUID tells; 0 for other ids. */
export function issuedAt(id: string): number {
  const match = UUID_V7_PATTERN.exec(id);
  if (match === null) return 0;
  return Number.parseInt(`${match[1]}${match[2]}`, HEX);
}

/**
 * Reads how long the caller waits; the queue's longest time without a word.
 *
 * @throws badRequest
 * @example
 * const deadlineMs = readDeadline(req.headers, 10_000);
 */
export function readDeadline(
  headers: IncomingHttpHeaders,
  maxDeadlineMs: number,
): number {
  const text = single(headers, 'x-deadline-ms');
  if (text === undefined) return maxDeadlineMs;
  if (!DURATION_PATTERN.test(text)) {
    return raise('badRequest', 'x-deadline-ms is not a whole number');
  }
  return Math.min(Number(text), maxDeadlineMs);
}

function readId(headers: IncomingHttpHeaders): string | undefined {
  const text = single(headers, 'x-request-id');
  if (text === undefined) return undefined;
  if (!ID_PATTERN.test(text)) return raise('badRequest', 'x-request-id');
  return text;
}

function readFlag(headers: IncomingHttpHeaders, name: string): boolean {
  const text = single(headers, name);
  if (text === undefined || text === 'false') return false;
  if (text === 'true') return true;
  return raise('badRequest', `${name} is neither true nor false`);
}

function single(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  if (Array.isArray(value)) return raise('badRequest', `${name} given twice`);
  return value;
}
