/** Reads a body in two steps: a bounded start, then the rest. */
import type {IncomingMessage} from 'node:http';
import {raise} from '@dragonflyward/common';
import {orAborted} from './request-lifetime.js';

/** The start of a body, and whether it is all of it. */
export interface BodyStart {
  readonly bytes: Buffer;
  readonly isWhole: boolean;
}

/**
 * Reads chunks until there are more bytes than the bound, or no more.
 *
 * @throws the signal's reason, or what the chunks end with
 * @example
 * const start = await readStart(chunks, 65536, lifetime.signal);
 */
export async function readStart(
  chunks: AsyncIterator<Buffer>,
  maxBytes: number,
  signal: AbortSignal,
): Promise<BodyStart> {
  const parts: Buffer[] = [];
  let size = 0;
  while (size <= maxBytes) {
    const next = await orAborted(chunks.next(), signal);
    if (next.done === true) return {bytes: Buffer.concat(parts), isWhole: true};
    parts.push(next.value);
    size += next.value.length;
  }
  return {bytes: Buffer.concat(parts), isWhole: false};
}

/**
 * Yields what is left of the chunks.
 *
 * @example
 * for await (const chunk of restOf(chunks)) res.write(chunk);
 */
export async function* restOf(
  chunks: AsyncIterator<Buffer>,
): AsyncGenerator<Buffer> {
  for (;;) {
    const next = await chunks.next();
    if (next.done === true) return;
    yield next.value;
  }
}

/**
 * Yields the body of a caller's request within the queue's bound.
 *
 * @throws bodyTooLarge, peerLost when the caller's connection is cut
 * @example
 * const chunks = readCallerBody(req, queue.maxBodyBytes);
 */
export async function* readCallerBody(
  req: IncomingMessage,
  maxBytes: number,
): AsyncGenerator<Buffer> {
  const declared = Number(req.headers['content-length'] ?? 0);
  if (declared > maxBytes) raise('bodyTooLarge', `over ${maxBytes} bytes`);
  let size = 0;
  const chunks = req.iterator({destroyOnReturn: false});
  try {
    for await (const chunk of chunks as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > maxBytes) break;
      yield chunk;
    }
  } catch {
    return raise('peerLost', 'the caller cut its body short');
  }
  if (size > maxBytes) raise('bodyTooLarge', `over ${maxBytes} bytes`);
  if (!req.complete) raise('peerLost', 'the caller cut its body short');
}
