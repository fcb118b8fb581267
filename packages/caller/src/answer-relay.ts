/** Relays the answer of an executor to the caller. */
import {once} from 'node:events';
import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';
import {raise} from '@dragonflyward/common';
import type {ExecutorResponse} from '@dragonflyward/target';
import {readPrefix, readRest} from './body-reader.js';
import {selectEndToEndHeaders} from './relay-headers.js';

/** An answer up to this size is read completely before it is relayed. */
export const BUFFERED_ANSWER_BYTES = 64 * 1024;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/**
 * Checks the request id of an answer, if the executor returned one.
 *
 * @throws targetLost
 * @example
 * checkRequestId(answer, 'r-17');
 */
export function checkRequestId(
  answer: ExecutorResponse,
  requestId: string,
): void {
  const echoedId = answer.headers['x-request-id'];
  if (echoedId === undefined || echoedId === requestId) return;
  answer.discard();
  raise('targetLost', 'the answer belongs to another request');
}

/**
 * Relays an answer. If it is truncated, this throws without ending the answer
 * to the caller, which therefore never looks complete.
 *
 * @throws targetLost, or the signal's reason
 * @example
 * await relayAnswer(answer, res, 'r-17', lifetime.signal);
 */
export async function relayAnswer(
  answer: ExecutorResponse,
  res: ServerResponse,
  requestId: string,
  signal: AbortSignal,
): Promise<void> {
  const prefix = await readPrefix(answer.body, BUFFERED_ANSWER_BYTES, signal);
  const headers = makeHeaders(answer, requestId);
  if (prefix.isWhole) {
    const length = hasBody(answer)
      ? {'content-length': prefix.bytes.length}
      : {};
    res.writeHead(answer.status, {...headers, ...length});
    res.end(prefix.bytes);
    return;
  }
  const length = answer.headers['content-length'];
  const lengthHeader = length === undefined ? {} : {'content-length': length};
  res.writeHead(answer.status, {...headers, ...lengthHeader});
  await write(res, prefix.bytes, signal);
  for await (const chunk of readRest(answer.body)) {
    signal.throwIfAborted();
    await write(res, chunk, signal);
  }
  res.end();
}

function makeHeaders(
  answer: ExecutorResponse,
  requestId: string,
): OutgoingHttpHeaders {
  return {
    ...selectEndToEndHeaders(answer.headers),
    'x-request-id': requestId,
    'x-outcome': 'done',
  };
}

function hasBody({status}: ExecutorResponse): boolean {
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
