/** Copies an executor's answer to the caller. */
import {once} from 'node:events';
import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';
import {raise} from '@dragonflyward/common';
import type {ExecutorAnswer} from '@dragonflyward/target';
import {readStart, restOf} from './body-reader.js';
import {endToEnd} from './relay-headers.js';

/** An answer up to this size is read whole before any of it is passed on. */
export const BUFFERED_ANSWER_BYTES = 64 * 1024;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/**
 * Checks that the answer belongs to the request, where it tells.
 *
 * @throws targetLost
 * @example
 * checkEcho(answer, 'r-17');
 */
export function checkEcho(answer: ExecutorAnswer, requestId: string): void {
  const echo = answer.headers['x-request-id'];
  if (echo === undefined || echo === requestId) return;
  answer.drop();
  raise('targetLost', 'the answer belongs to another request');
}

/**
 * Passes an answer on; one that is cut short ends in an error, and never in
 * a regular end of the caller's answer.
 *
 * @throws targetLost, or the signal's reason
 * @example
 * await relayAnswer(answer, res, 'r-17', lifetime.signal);
 */
export async function relayAnswer(
  answer: ExecutorAnswer,
  res: ServerResponse,
  requestId: string,
  signal: AbortSignal,
): Promise<void> {
  const start = await readStart(answer.body, BUFFERED_ANSWER_BYTES, signal);
  const headers = headersFor(answer, requestId);
  if (start.isWhole) {
    const length = hasBody(answer)
      ? {'content-length': start.bytes.length}
      : {};
    res.writeHead(answer.status, {...headers, ...length});
    res.end(start.bytes);
    return;
  }
  const length = answer.headers['content-length'];
  const known = length === undefined ? {} : {'content-length': length};
  res.writeHead(answer.status, {...headers, ...known});
  await write(res, start.bytes, signal);
  for await (const chunk of restOf(answer.body)) {
    signal.throwIfAborted();
    await write(res, chunk, signal);
  }
  res.end();
}

function headersFor(
  answer: ExecutorAnswer,
  requestId: string,
): OutgoingHttpHeaders {
  return {
    ...endToEnd(answer.headers),
    'x-request-id': requestId,
    'x-outcome': 'done',
  };
}

function hasBody({status}: ExecutorAnswer): boolean {
  return status !== NO_CONTENT && status !== NOT_MODIFIED;
}

async function write(
  res: ServerResponse,
  chunk: Buffer,
  signal: AbortSignal,
): Promise<void> {
  if (res.write(chunk)) return;
  await once(res, 'drain', {signal}).catch((err: unknown) => {
    signal.throwIfAborted();
    throw err;
  });
}
