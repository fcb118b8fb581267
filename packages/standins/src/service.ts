/** Small HTTP servers of which a fault switch decides how they answer. */
import http from 'node:http';
import {raise, readJson, sendJson, toFailure} from '@dragonflyward/common';

/** A call as a stand-in sees it. */
export interface Call {
  readonly method: string;
  readonly path: string;
  readonly parts: readonly string[];
  readonly query: URLSearchParams;
  readonly body: unknown;
  readonly clientIp: string;
}

/** How a call is answered: fully, never, or by a cut connection. */
export type Reply =
  | {readonly kind: 'json'; readonly status: number; readonly body: unknown}
  | {readonly kind: 'silent'}
  | {readonly kind: 'cut'};

export const SILENT: Reply = {kind: 'silent'};
export const CUT: Reply = {kind: 'cut'};

/**
 * Makes a whole JSON reply.
 *
 * @example
 * return json({offset: 17});
 */
export function json(body: unknown, status = 200): Reply {
  return {kind: 'json', status, body};
}

/** Answers the calls of one stand-in. */
export abstract class Service {
  abstract handle(call: Call): Promise<Reply>;
}

/**
 * Serves a stand-in.
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
    void answer(service, req, res);
  });
  await listen(server, ip, port);
}

/** Waits until a server listens. */
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

async function answer(
  service: Service,
  req: http.IncomingMessage,
  res: http.ServerResponse,
): Promise<void> {
  try {
    const reply = await service.handle(await readCall(req));
    if (reply.kind === 'cut') return void req.socket.destroy();
    if (reply.kind === 'json') sendJson(res, reply.status, reply.body);
  } catch (err) {
    sendJson(res, 400, {error: toFailure(err).detail});
  }
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
 * Reads a number of a query.
 *
 * @example
 * const from = numberOf(call.query, 'from', 0);
 */
export function numberOf(
  query: URLSearchParams,
  name: string,
  fallback: number,
): number {
  const value = Number(query.get(name) ?? fallback);
  if (!Number.isFinite(value)) raise('badRequest', name);
  return value;
}
