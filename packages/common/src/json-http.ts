/** JSON requests over Node's HTTP client, and helpers for JSON servers. */
import http from 'node:http';
import type net from 'node:net';
import {DragonflywardError, raise, toFailure} from './errors.js';
import {GrowingBuffer, type BlockPool} from './growing-buffer.js';
import {TransferTimeout} from './transfer-timeout.js';

const MAX_BODY_BYTES = 64 * 1024 * 1024;

/** A response with its parsed JSON body. */
export interface JsonReply {
  readonly status: number;
  readonly body: unknown;
  /** The ETag header; empty if the response has none. */
  readonly etag: string;
}

/** The longest response that is read. */
export interface ResponseLimit {
  readonly maxBytes: number;
  /** Called with the URL when a response is longer; the call then fails. */
  readonly onExceeded: (url: string) => void;
}

/** A request with a JSON body. */
export interface JsonCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly url: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs: number;
  readonly agent?: http.Agent;
  /** 64 MB if missing. */
  readonly responseLimit?: ResponseLimit;
  /** Aborts the call, which then fails like a lost connection. */
  readonly signal?: AbortSignal;
  /**
   * Called with the connection before anything is sent; if it returns false,
   * the call fails as one that was not sent.
   */
  readonly acceptSocket?: (socket: net.Socket) => boolean;
}

/** How the response to a large read is awaited. */
export interface TransferOptions {
  /**
   * Longest time without data once the response has begun, in ms; the call's
   * timeout then holds until it begins only. If missing, it holds for all.
   */
  readonly idleTimeoutMs?: number;
  /** Called with 0 when the response begins, then with the size of each part. */
  readonly onData?: (bytes: number) => void;
  /** Aborts the call, which then fails like a lost connection. */
  readonly signal?: AbortSignal;
}

const DEFAULT_LIMIT: ResponseLimit = {
  maxBytes: MAX_BODY_BYTES,
  onExceeded: () => undefined,
};

/** A request with a raw body. */
export interface BytesCall extends Omit<JsonCall, 'body'>, TransferOptions {
  readonly body: Buffer;
}

/** A response with its raw body. */
export interface BytesReply {
  readonly status: number;
  readonly body: Buffer;
  readonly headers: http.IncomingHttpHeaders;
}

/**
 * Sends a JSON request and reads the whole JSON response.
 *
 * @throws peerDown before a connection is established, peerLost afterwards
 * @example
 * const res = await callJson({method: 'GET', url, timeoutMs: 1000});
 */
export async function callJson(call: JsonCall): Promise<JsonReply> {
  const payload = call.body === undefined ? '' : JSON.stringify(call.body);
  const headers = {...call.headers, 'content-type': 'application/json'};
  const body = Buffer.from(payload);
  const reply = await callBytes({...call, headers, body});
  const {status} = reply;
  const etag = reply.headers.etag ?? '';
  return {status, body: parseJson(reply.body), etag};
}

/**
 * Sends a request and reads the whole response.
 *
 * @throws peerDown before a connection is established, peerLost afterwards
 * @example
 * const res = await callBytes({method: 'POST', url, body, timeoutMs: 1000});
 */
export function callBytes(call: BytesCall): Promise<BytesReply> {
  return new Promise((resolve, reject) => {
    const length = call.body.length.toString();
    const req = http.request({
      ...splitUrl(call.url),
      method: call.method,
      headers: {...call.headers, 'content-length': length},
      agent: call.agent ?? http.globalAgent,
      ...(call.signal === undefined ? {} : {signal: call.signal}),
    });
    let isConnected = false;
    const fail = (reason: string, cause?: Error): void => {
      const kind = isConnected ? 'peerLost' : 'peerDown';
      const detail = `${call.method} ${call.url}: ${reason}`;
      reject(new DragonflywardError(kind, detail, {cause}));
    };
    const timeout = new TransferTimeout(call, reason => {
      fail(reason);
      req.destroy();
    });
    req.on('socket', socket => {
      if (call.acceptSocket?.(socket) === false) {
        timeout.stop();
        fail('the connection is not the one to be used');
        req.destroy();
        return;
      }
      if (!socket.connecting) isConnected = true;
      else socket.once('connect', () => (isConnected = true));
    });
    req.on('error', err => {
      timeout.stop();
      fail(err.message, err);
    });
    req.on('response', res => {
      timeout.recordData(0);
      const {maxBytes, onExceeded} = call.responseLimit ?? DEFAULT_LIMIT;
      readBytes(res, maxBytes, bytes => timeout.recordData(bytes))
        .then(body => {
          const {headers} = res;
          resolve({status: res.statusCode ?? 0, body, headers});
        })
        .catch((err: unknown) => {
          req.destroy();
          if (toFailure(err).kind === 'bodyTooLarge') onExceeded(call.url);
          reject(err as Error);
        })
        .finally(() => timeout.stop());
    });
    req.end(call.body);
  });
}

/** `http://IP:PORT/path`, as in nearly all calls. */
const PLAIN_URL = /^http:\/\/([\d.]+):(\d+)(\/.*)$/;

/** The options of a request for a URL; parsing a URL in full is slow. */
function splitUrl(url: string): http.RequestOptions {
  const [, host, port, path] = PLAIN_URL.exec(url) ?? [];
  if (host !== undefined && path !== undefined) return {host, port, path};
  const {hostname, port: other, pathname, search} = new URL(url);
  return {host: hostname, port: other, path: pathname + search};
}

/**
 * Reads a whole body as JSON; an empty body yields undefined.
 *
 * @throws badJson, bodyTooLarge, peerLost when the body is truncated
 * @example
 * const body = await readJson(req, 65536);
 */
export async function readJson(
  stream: http.IncomingMessage,
  maxBytes = MAX_BODY_BYTES,
): Promise<unknown> {
  return parseJson(await readBytes(stream, maxBytes));
}

function parseJson(bytes: Buffer): unknown {
  if (bytes.length === 0) return undefined;
  try {
    return JSON.parse(bytes.toString('utf8')) as unknown;
  } catch {
    return raise('badJson', `${bytes.length} bytes`);
  }
}

/**
 * Reads a whole body of at most the given size.
 *
 * @param onChunk called with the size of each part, and the memory in use
 * @throws bodyTooLarge, peerLost when the body is truncated
 * @example
 * const bytes = await readBytes(req, 65536);
 */
export function readBytes(
  stream: http.IncomingMessage,
  maxBytes: number,
  onChunk: (bytes: number, capacity: number) => void = () => undefined,
  pool: BlockPool | null = null,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const body = new GrowingBuffer(pool);
    const fail = (kind: 'bodyTooLarge' | 'peerLost', detail: string): void => {
      stream.off('data', take);
      body.clear();
      reject(new DragonflywardError(kind, detail));
    };
    const take = (chunk: Buffer): void => {
      if (body.length + chunk.length > maxBytes) {
        // The rest is discarded, so that a server can answer.
        fail('bodyTooLarge', `over ${maxBytes} bytes`);
        stream.resume();
        return;
      }
      body.append(chunk);
      onChunk(chunk.length, body.capacity);
    };
    stream.on('data', take);
    let isComplete = false;
    stream.once('end', () => {
      isComplete = stream.complete;
      if (isComplete) resolve(body.toBuffer());
    });
    const checkComplete = (): void => {
      if (!isComplete) fail('peerLost', 'the body was truncated');
    };
    stream.once('error', checkComplete);
    stream.once('close', checkComplete);
  });
}

/**
 * Sends a JSON response.
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
