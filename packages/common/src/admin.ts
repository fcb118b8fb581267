/** The admin HTTP server: health, metrics, events and status. */
import http from 'node:http';
import {ERRORS, toFailure} from './errors.js';
import type {EventRing} from './events.js';
import {sendJson} from './json-http.js';
import type {Metrics} from './metrics.js';

/** The data that the admin server of a process exposes. */
export interface AdminSource {
  readonly metrics: Metrics;
  readonly events: EventRing;
  readonly isReady: () => boolean;
  readonly status: () => Readonly<Record<string, unknown>>;
  /**
   * Explains why a job is waiting, or why it runs where it runs.
   *
   * @throws jobUnknown, notOwner
   */
  readonly explain?: (jobId: string) => Readonly<object>;
}

/**
 * Serves `/healthz`, `/readyz`, `/metrics`, `/events`, `/status` and, if the
 * process tracks jobs, `/explain?job=ID`.
 *
 * @returns the server, already listening
 * @example
 * const admin = await serveAdmin('127.0.0.1', 8081, source);
 */
export function serveAdmin(
  ip: string,
  port: number,
  source: AdminSource,
): Promise<http.Server> {
  const server = http.createServer((req, res) => {
    const [path, query] = (req.url ?? '/').split('?');
    if (path === '/healthz') return sendJson(res, 200, {status: 'alive'});
    if (path === '/readyz') return sendReadiness(res, source.isReady());
    if (path === '/metrics') return sendText(res, source.metrics.toText());
    if (path === '/events') return sendJson(res, 200, listEvents(source));
    if (path === '/status') return sendJson(res, 200, source.status());
    if (path === '/explain') return sendExplanation(res, source, query);
    return sendJson(res, 404, {error: 'routeUnknown'});
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, () => {
      resolve(server);
    });
  });
}

function sendReadiness(res: http.ServerResponse, isReady: boolean): void {
  sendJson(res, isReady ? 200 : 503, {ready: isReady});
}

function sendExplanation(
  res: http.ServerResponse,
  {explain}: AdminSource,
  query: string | undefined,
): void {
  const jobId = new URLSearchParams(query).get('job') ?? '';
  try {
    const explanation = explain?.(jobId);
    if (explanation !== undefined) return sendJson(res, 200, explanation);
    return sendJson(res, 404, {error: 'routeUnknown'});
  } catch (err) {
    const {kind, detail} = toFailure(err);
    return sendJson(res, ERRORS[kind].status, {error: kind, detail});
  }
}

function sendText(res: http.ServerResponse, text: string): void {
  res.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
  res.end(text);
}

function listEvents(source: AdminSource): Readonly<object> {
  const dropped = source.events.droppedCount();
  return {dropped, events: [...source.events.list()]};
}
