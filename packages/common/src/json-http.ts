/** JSON calls over Node's HTTP client, and helpers for JSON servers. */
import http from 'node:http';
import {raise} from './errors.js';

const MAX_JSON_BYTES = 64 * 1024 * 1024;

/** An answer with its parsed JSON body. */
export interface JsonReply {
  readonly status: number;
  readonly body: unknown;
  /** The version that the server gave the answer; empty where it gave none. */
  readonly etag: string;
}

/** A JSON call. */
export interface JsonCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly url: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs: number;
  readonly agent?: http.Agent;
  /** Ends the call early; it then fails as if the connection were lost. */
  readonly signal?: AbortSignal;
}

/**
 * Sends a JSON call and reads the whole JSON answer.
 *
 * @throws peerDown before a connection stands, peerLost after it
 * @example
 * const res = await callJson({method: 'GET', url, timeoutMs: 1000});
 */
export function callJson(call: JsonCall): Promise<JsonReply> {
  return new Promise((resolve, reject) => {
    const payload = call.body === undefined ? '' : JSON.stringify(call.body);
    const headers = {
      ...call.headers,
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(payload).toString(),
    };
    const req = http.request(call.url, {
      method: call.method,
      headers,
      agent: call.agent ?? http.globalAgent,
      ...(call.signal === undefined ? {} : {signal: call.signal}),
    });
    let isConnected = false;
    const timer = setTimeout(() => {
      req.destroy(new Error(`no answer in ${call.timeoutMs} ms`));
    }, call.timeoutMs);
    const finish = (): void => {
      clearTimeout(timer);
    };
    req.on('socket', socket => {
      if (!socket.connecting) isConnected = true;
      else socket.once('connect', () => (isConnected = true));
    });
    req.on('error', err => {
      finish();
      const kind = isConnected ? 'peerLost' : 'peerDown';
      try {
        raise(kind, `${call.method} ${call.url}: ${err.message}`);
      } catch (failure) {
        reject(failure as Error);
      }
    });
    req.on('response', res => {
      readJson(res)
        .then(body => {
          const etag = res.headers.etag ?? '';
          resolve({status: res.statusCode ?? 0, body, etag});
        }, reject)
        .finally(finish);
    });
    req.end(payload);
  });
}

/**
 * Reads a whole stream as JSON; an empty one reads as undefined.
 *
 * @throws badJson, bodyTooLarge, peerLost when it is cut short
 * @example
 * const body = await readJson(req, 65536);
 */
export async function readJson(
  stream: http.IncomingMessage,
  maxBytes = MAX_JSON_BYTES,
): Promise<unknown> {
  const bytes = await readBytes(stream, maxBytes);
  if (bytes.length === 0) return undefined;
  try {
    return JSON.parse(bytes.toString('utf8')) as unknown;
  } catch {
    return raise('badJson', `${bytes.length} bytes`);
  }
}

/**
 * Reads a whole stream within a bound.
 *
 * @throws bodyTooLarge, peerLost when it is cut short
 * @example
 * const bytes = await readBytes(req, 65536);
 */
export async function readBytes(
  stream: http.IncomingMessage,
  maxBytes: number,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of stream as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > maxBytes) raise('bodyTooLarge', `over ${maxBytes} bytes`);
      chunks.push(chunk);
    }
  } catch (err) {
    if (size > maxBytes) throw err;
    return raise('peerLost', 'the body was cut short');
  }
  if (!stream.complete) return raise('peerLost', 'the body was cut short');
  return Buffer.concat(chunks);
}

/**
 * Writes a JSON answer.
 *
 * @example
 * sendJson(res, 200, {status: 'ready'});
 */
export function sendJson(
  res: http.ServerResponse,
  status: number,
  body: unknown,
): void {
  const payload = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(payload),
  });
  res.end(payload);
}
