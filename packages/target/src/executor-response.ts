/** Reads the answers of executors and tells whole ones from cut ones. */
import type http from 'node:http';
import {raise} from '@dragonflyward/common';
import type {ExecutorAnswer} from './executor-client.js';

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/**
 * Wraps an answer whose head has come in.
 *
 * @throws targetLost where the end of the body could not be told from a cut
 * @example
 * const answer = readAnswer(res, req.socket);
 */
export function readAnswer(
  res: http.IncomingMessage,
  trafficBytes: () => number,
): ExecutorAnswer {
  if (!isDelimited(res)) {
    res.destroy();
    return raise('targetLost', 'the answer has no length');
  }
  return {
    status: res.statusCode ?? 0,
    headers: res.headers,
    isDraining: res.headers['x-draining'] === '1',
    body: readWhole(res),
    trafficBytes,
    drop: () => {
      res.destroy();
    },
  };
}

/** Whether the message itself tells where its body ends. */
function isDelimited(res: http.IncomingMessage): boolean {
  if (res.statusCode === NO_CONTENT) return true;
  if (res.statusCode === NOT_MODIFIED) return true;
  if (res.headers['content-length'] !== undefined) return true;
  return /\bchunked\b/i.test(res.headers['transfer-encoding'] ?? '');
}

async function* readWhole(res: http.IncomingMessage): AsyncGenerator<Buffer> {
  try {
    for await (const chunk of res as AsyncIterable<Buffer>) yield chunk;
  } catch (err) {
    const why = err instanceof Error ? err.message : 'unknown';
    return raise('targetLost', `the answer was cut short: ${why}`);
  }
  if (!res.complete) raise('targetLost', 'the answer was cut short');
}
