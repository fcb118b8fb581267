/** Reads a body in two steps: a prefix of limited size, then the rest. */
import type {IncomingMessage} from 'node:http';
import {raise} from '@dragonflyward/common';
import {rejectOnAbort} from './request-lifetime.js';

/** The first bytes of a body, and whether they are the whole body. */
export interface BodyPrefix {
  readonly bytes: Buffer;
  readonly isWhole: boolean;
}

/**
 * Reads chunks until they exceed `maxBytes` or the body ends.
 *
 * @throws the signal's reason, or the error of the iterator
 * @example
 * const prefix = await readPrefix(chunks, 65536, lifetime.signal);
 */
export async function readPrefix(
  chunks: AsyncIterator<Buffer>,
  maxBytes: number,
  signal: AbortSignal,
): Promise<BodyPrefix> {
  const parts: Buffer[] = [];
  let size = 0;
  while (size <= maxBytes) {
    const next = await rejectOnAbort(chunks.next(), signal);
    if (next.done === true) return {bytes: Buffer.concat(parts), isWhole: true};
    parts.push(next.value);
    size += next.value.length;
  }
  return {bytes: Buffer.concat(parts), isWhole: false};
}

/**
 * Yields the remaining chunks.
 *
 * @example
 * for await (const chunk of readRest(chunks)) res.write(chunk);
 */
export async function* readRest(
  chunks: AsyncIterator<Buffer>,
): AsyncGenerator<Buffer> {
  for (;;) {
    const next = await chunks.next();
    if (next.done === true) return;
    yield next.value;
  }
}

/**
 * Yields the body of a caller's request, up to the size that the queue allows.
 *
 * @throws bodyTooLarge, or peerLost if the caller disconnects
 * @example
 * const chunks = readCallerBody(req, queue.maxBodyBytes);
 */
export async function* readCallerBody(
  req: IncomingMessage,
  maxBytes: number,
): AsyncGenerator<Buffer> {
  const declaredBytes = Number(req.headers['content-length'] ?? 0);
  if (declaredBytes > maxBytes) raise('bodyTooLarge', `over ${maxBytes} bytes`);
  let size = 0;
  const chunks = req.iterator({destroyOnReturn: false});
  try {
    for await (const chunk of chunks as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > maxBytes) break;
      yield chunk;
    }
  } catch {
    return raise('peerLost', 'the caller sent an incomplete body');
  }
  if (size > maxBytes) raise('bodyTooLarge', `over ${maxBytes} bytes`);
  if (!req.complete) raise('peerLost', 'the caller sent an incomplete body');
}
