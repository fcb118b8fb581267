/** Reads the responses of executors and detects truncated ones. */
import type http from 'node:http';
import {raise} from '@dragonflyward/common';
import type {ExecutorResponse} from './executor-client.js';

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/**
 * Wraps a response whose head has been received.
 *
 * @throws targetLost if a truncated body could not be detected, because the
 *     response has neither a length nor chunked encoding
 * @example
 * const response = readResponse(res, () => socket.bytesRead);
 */
export function readResponse(
  res: http.IncomingMessage,
  trafficBytes: () => number,
): ExecutorResponse {
  if (!isDelimited(res)) {
    res.destroy();
    return raise('targetLost', 'the response has no length');
  }
  return {
    status: res.statusCode ?? 0,
    headers: res.headers,
    isDraining: res.headers['x-draining'] === '1',
    body: readBody(res),
    trafficBytes,
    discard: () => {
      res.destroy();
    },
  };
}

/** Whether the end of the body is marked by more than a closed connection. */
function isDelimited(res: http.IncomingMessage): boolean {
  if (res.statusCode === NO_CONTENT) return true;
  if (res.statusCode === NOT_MODIFIED) return true;
  if (res.headers['content-length'] !== undefined) return true;
  return /\bchunked\b/i.test(res.headers['transfer-encoding'] ?? '');
}

async function* readBody(res: http.IncomingMessage): AsyncGenerator<Buffer> {
  try {
    for await (const chunk of res as AsyncIterable<Buffer>) yield chunk;
  } catch (err) {
    const reason = err instanceof Error ? err.message : 'unknown';
    return raise('targetLost', `the response was truncated: ${reason}`);
  }
  if (!res.complete) raise('targetLost', 'the response was truncated');
}
