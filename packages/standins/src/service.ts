/** HTTP servers of the stand-ins, whose replies and connections can fail. */
import {createHash} from 'node:crypto';
import http from 'node:http';
import type {Socket} from 'node:net';
import {raise, readJson, sendJson, toFailure} from '@dragonflyward/common';

/** The admin path that mutes the open connections of a stand-in. */
export const MUTE_PATH = '/admin/mute';

/** A parsed HTTP request to a stand-in. */
export interface Call {
  readonly method: string;
  readonly path: string;
  readonly parts: readonly string[];
  readonly query: URLSearchParams;
  readonly body: unknown;
  readonly clientIp: string;
}

/** A complete JSON answer. */
export interface JsonAnswer {
  readonly kind: 'json';
  readonly status: number;
  readonly body: unknown;
}

/** A complete answer, no answer, or a closed connection. */
export type Reply =
  JsonAnswer | {readonly kind: 'silent'} | {readonly kind: 'cut'};

const NOT_MODIFIED = 304;

export const SILENT_REPLY: Reply = {kind: 'silent'};
export const CUT_REPLY: Reply = {kind: 'cut'};

/**
 * Makes a complete JSON reply.
 *
 * @example
 * return jsonReply({offset: 17});
 */
export function jsonReply(body: unknown, status = 200): Reply {
  return {kind: 'json', status, body};
}

/** Handles the calls to one stand-in. */
export abstract class Service {
  abstract handle(call: Call): Promise<Reply>;
}

/** Tracks the open connections of a server, some of which may be muted. */
export class Connections {
  private readonly open = new Set<Socket>();
  private readonly muted = new WeakSet<Socket>();

  constructor(server: http.Server) {
    server.on('connection', socket => {
      this.open.add(socket);
      socket.once('close', () => this.open.delete(socket));
    });
  }

  /** Whether requests on this connection must be ignored. */
  isMuted(socket: Socket): boolean {
    return this.muted.has(socket);
  }

  /** Mutes all open connections but one; new connections work. */
  muteAllExcept(kept: Socket): void {
    for (const socket of this.open) if (socket !== kept) this.muted.add(socket);
  }
}

/**
 * Starts the HTTP server of a stand-in.
 *
 * @example
 * await serve('127.0.0.1', 7000, new LogService());
 */
export async function serve(
  ip: string,
  port: number,
  service: Service,
): Promise<void> {
  const server = http.createServer((req, res) => {
    if (connections.isMuted(req.socket)) return;
    if (req.url === MUTE_PATH) return handleMute(connections, req, res);
    void respond(service, req, res);
  });
  const connections = new Connections(server);
  await listen(server, ip, port);
}

/** Mutes the open connections of a server except the caller's. */
export function handleMute(
  connections: Connections,
  req: http.IncomingMessage,
  res: http.ServerResponse,
): void {
  connections.muteAllExcept(req.socket);
  sendJson(res, 200, {});
}

/** Starts listening and waits until the server does. */
export function listen(
  server: http.Server,
  ip: string,
  port: number,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, resolve);
  });
}

async function respond(
  service: Service,
  req: http.IncomingMessage,
  res: http.ServerResponse,
): Promise<void> {
  try {
    const reply = await service.handle(await readCall(req));
    if (reply.kind === 'cut') return void req.socket.destroy();
    if (reply.kind === 'json') sendWithEtag(req, res, reply);
  } catch (err) {
    sendJson(res, 400, {error: toFailure(err).detail});
  }
}

/** Sends status 304 without a body if the client's ETag still matches. */
function sendWithEtag(
  req: http.IncomingMessage,
  res: http.ServerResponse,
  {status, body}: JsonAnswer,
): void {
  const text = JSON.stringify(body);
  const etag = `"${createHash('sha256').update(text).digest('base64url')}"`;
  res.setHeader('etag', etag);
  if (req.headers['if-none-match'] !== etag) return sendJson(res, status, body);
  res.writeHead(NOT_MODIFIED);
  res.end();
}

async function readCall(req: http.IncomingMessage): Promise<Call> {
  const url = new URL(req.url ?? '/', 'http://standin');
  return {
    method: req.method ?? 'GET',
    path: url.pathname,
    parts: url.pathname.split('/').slice(1).map(decodeURIComponent),
    query: url.searchParams,
    body: await readJson(req),
    clientIp: req.socket.remoteAddress ?? '',
  };
}

/**
 * Reads a number from the query string.
 *
 * @throws badRequest if the value is not a finite number
 * @example
 * const from = numberParam(call.query, 'from', 0);
 */
export function numberParam(
  query: URLSearchParams,
  name: string,
  fallback: number,
): number {
  const value = Number(query.get(name) ?? fallback);
  if (!Number.isFinite(value)) raise('badRequest', name);
  return value;
}
