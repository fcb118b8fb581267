/** Writes error answers to callers. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  ERRORS,
  toFailure,
  type ErrorKind,
  type Failure,
  type Outcome,
} from '@dragonflyward/common';

/** How answers spell each outcome. */
export const OUTCOME_TEXT: Readonly<Record<Outcome, string>> = {
  notRun: 'not run',
  unknown: 'outcome unknown',
};

const RETRY_AFTER_SECONDS = '1';
/** Most bytes of an unread body to discard before the connection closes. */
const MAX_DISCARDED_BYTES = 1024 * 1024;
const MAX_DISCARD_MS = 1_000;

/**
 * Answers with the status and body that the error table has for an error. An
 * answer that has already started is cut off instead.
 *
 * @example
 * sendError(req, res, err);
 */
export function sendError(
  req: IncomingMessage,
  res: ServerResponse,
  err: unknown,
): Failure {
  const failure = toFailure(err);
  if (res.headersSent) {
    res.destroy();
    return failure;
  }
  const payload = JSON.stringify(errorBody(failure));
  const entry = ERRORS[failure.kind];
  res.writeHead(entry.status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(payload),
    'x-outcome': OUTCOME_TEXT[entry.outcome],
    ...(entry.isRetryable ? {'retry-after': RETRY_AFTER_SECONDS} : {}),
    ...(req.complete ? {} : {connection: 'close'}),
  });
  if (req.complete) res.end(payload);
  else void endAfterDiscard(req, res, payload);
  return failure;
}

/** The JSON body of an error answer. */
export function errorBody({kind, detail}: Failure): Readonly<object> {
  const {code, outcome, text} = ERRORS[kind];
  const message = detail === '' ? text : `${text}: ${detail}`;
  const error = {kind, code, outcome: OUTCOME_TEXT[outcome], detail: message};
  return {error};
}

/** Whether errors of this kind report that nothing was run. */
export function isNotRun(kind: ErrorKind): boolean {
  return ERRORS[kind].outcome === 'notRun';
}

/**
 * Reads and discards a limited part of the body before the answer ends:
 * closing with unread bytes would reset the connection, and the caller could
 * lose the answer.
 */
async function endAfterDiscard(
  req: IncomingMessage,
  res: ServerResponse,
  payload: string,
): Promise<void> {
  res.write(payload);
  await new Promise<void>(resolve => {
    const timer = setTimeout(resolve, MAX_DISCARD_MS);
    let size = 0;
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > MAX_DISCARDED_BYTES) resolve();
    });
    for (const event of ['end', 'error', 'close']) req.once(event, resolve);
    req.once('close', () => {
      clearTimeout(timer);
    });
    req.resume();
  });
  res.end();
}
