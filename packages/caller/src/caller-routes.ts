/** Routes the requests of callers to their handlers. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  ERRORS,
  raise,
  type EventRing,
  type Failure,
  type Metrics,
} from '@dragonflyward/common';
import PQueue from 'p-queue';
import {sendError} from './error-answers.js';
import {checkHeaderCount} from './caller-server.js';
import type {JobRoutes} from './job-routes.js';
import type {RequestRelay} from './request-relay.js';

/** Requests handled concurrently; further ones are queued. */
const MAX_OPEN_REQUESTS = 2_000;
const MAX_WAITING_REQUESTS = 1_000;
const BASE_URL = 'http://gateway';

/** The handlers of the routes, and where failures are recorded. */
export interface RouteParts {
  readonly relay: RequestRelay;
  readonly jobs: JobRoutes;
  readonly metrics: Metrics;
  readonly events: EventRing;
}

/** Routes requests, and limits how many are handled concurrently. */
export class CallerRoutes {
  private readonly queue = new PQueue({concurrency: MAX_OPEN_REQUESTS});

  constructor(private readonly parts: RouteParts) {}

  /**
   * Serves one request; answers with the error if it fails.
   *
   * @example
   * new CallerServer((req, res) => void routes.serve(req, res), metrics);
   */
  async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const startedMs = performance.now();
    try {
      checkHeaderCount(req);
      await this.enqueue(req, res);
      this.parts.metrics.count('requests_total{outcome="done"}');
    } catch (err) {
      this.recordFailure(sendError(req, res, err));
    }
    const tookUs = (performance.now() - startedMs) * 1_000;
    this.parts.metrics.record('request_us', tookUs);
  }

  private async enqueue(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    if (this.queue.size >= MAX_WAITING_REQUESTS) {
      raise('queueFull', 'this gateway has too many requests open');
    }
    await this.queue.add(() => this.route(req, res));
  }

  private route(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const {relay, jobs} = this.parts;
    const url = readUrl(req);
    const [root, version, kind, name, ...others] = url.pathname.split('/');
    const isApi = root === '' && version === 'v1' && others.length === 0;
    if (isApi && kind === 'requests' && name && req.method === 'POST') {
      return relay.serve(req, res, decodeSegment(name));
    }
    if (!isApi || kind !== 'jobs') return raise('routeUnknown', url.pathname);
    if (name === undefined && req.method === 'POST') {
      return jobs.submit(req, res);
    }
    if (name === undefined && req.method === 'GET') {
      return jobs.list(req, res, url.searchParams);
    }
    if (name && req.method === 'GET') {
      return jobs.status(req, res, decodeSegment(name));
    }
    if (name && req.method === 'DELETE') {
      return jobs.cancel(req, res, decodeSegment(name));
    }
    return raise('routeUnknown', `${req.method} ${url.pathname}`);
  }

  private recordFailure({kind, detail}: Failure): void {
    const {metrics, events} = this.parts;
    const {outcome} = ERRORS[kind];
    metrics.count(`requests_total{outcome="${outcome}",kind="${kind}"}`);
    const event = outcome === 'notRun' ? 'requestRefused' : 'requestUnknown';
    events.add(event, {}, `${kind}: ${detail}`);
  }
}

function readUrl(req: IncomingMessage): URL {
  try {
    return new URL(req.url ?? '/', BASE_URL);
  } catch {
    return raise('badRequest', 'the path is malformed');
  }
}

function decodeSegment(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return raise('badRequest', 'the path is malformed');
  }
}
