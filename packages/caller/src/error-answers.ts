/** Writes answers to callers. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  ERRORS,
  toFailure,
  type ErrorKind,
  type Failure,
  type Outcome,
} from '@dragonflyward/common';

/** The words for an outcome in answers. */
export const OUTCOME_TEXT: Readonly<Record<Outcome, string>> = {
  notRun: 'not run',
  unknown: 'outcome unknown',
};

const RETRY_AFTER_SECONDS = '1';
/** How much of an unread body is discarded so that the answer arrives. */
const MAX_DISCARDED_BYTES = 1024 * 1024;
const MAX_DISCARD_MS = 1_000;

/**
 * Answers with an error of the table.
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
  const said = detail === '' ? text : `${text}: ${detail}`;
  const error = {kind, code, outcome: OUTCOME_TEXT[outcome], detail: said};
  return {error};
}

/** Whether an error of the kind says that nothing was run. */
export function isNotRun(kind: ErrorKind): boolean {
  return ERRORS[kind].outcome === 'notRun';
}

/**
 * Closing with unread bytes would reset the connection and could take the
 * answer with it, so a bounded part of them is read and discarded first.
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
