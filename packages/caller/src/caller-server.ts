/** The HTTP server for callers, with limits on what it accepts. */
import http from 'node:http';
import type {Socket} from 'node:net';
import {raise, type Metrics} from '@dragonflyward/common';
import {errorBody} from './error-answers.js';

const MAX_HEADER_BYTES = 16 * 1024;
const MAX_HEADERS = 100;
const HEADERS_TIMEOUT_MS = 5_000;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
const CONNECTION_CHECK_PERIOD_MS = 500;
const MAX_CONNECTIONS = 4_096;
/** Maximum number of open requests per connection. */
const MAX_PIPELINED = 8;

/** Limits that tests can lower. */
export interface CallerServerLimits {
  readonly headersTimeoutMs: number;
  /** Time within which a complete request must be received. */
  readonly requestTimeoutMs: number;
  readonly maxConnections: number;
}

/** The default limits. */
export const DEFAULT_CALLER_SERVER_LIMITS: CallerServerLimits = {
  headersTimeoutMs: HEADERS_TIMEOUT_MS,
  requestTimeoutMs: 300_000,
  maxConnections: MAX_CONNECTIONS,
};

type Handler = (req: http.IncomingMessage, res: http.ServerResponse) => void;

/** Accepts the connections of callers. */
export class CallerServer {
  private readonly server: http.Server;
  private readonly responsesBySocket = new WeakMap<
    Socket,
    Set<http.ServerResponse>
  >();
  private readonly openResponses = new Set<http.ServerResponse>();
  private isDraining = false;
  private isClosing = false;

  constructor(
    private readonly handler: Handler,
    private readonly metrics: Metrics,
    limits: CallerServerLimits = DEFAULT_CALLER_SERVER_LIMITS,
  ) {
    this.server = http.createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: limits.headersTimeoutMs,
        requestTimeout: limits.requestTimeoutMs,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        connectionsCheckingInterval: CONNECTION_CHECK_PERIOD_MS,
        insecureHTTPParser: false,
      },
      (req, res) => {
        this.accept(req, res);
      },
    );
    this.server.maxHeadersCount = MAX_HEADERS;
    this.server.maxConnections = limits.maxConnections;
    this.server.on('clientError', (err, socket) => {
      this.refuseConnection(err, socket as Socket);
    });
    this.server.on('drop', () => {
      this.metrics.count('connections_dropped_total');
    });
    metrics.gauge('requests_open', () => this.openResponses.size);
  }

  /** Starts to listen; resolves with the port. */
  listen(ip: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, ip, () => {
        const address = this.server.address();
        const isBound = typeof address === 'object' && address !== null;
        resolve(isBound ? address.port : port);
      });
    });
  }

  /** Closes each connection after its next answer from now on. */
  startDraining(): void {
    this.isDraining = true;
    for (const res of this.openResponses) closeConnectionAfter(res);
  }

  /** Stops accepting connections; resolves once all requests are answered. */
  close(): Promise<void> {
    this.isClosing = true;
    return new Promise(resolve => {
      this.server.close(() => {
        resolve();
      });
      this.server.closeIdleConnections();
    });
  }

  /** The number of open requests. */
  openRequests(): number {
    return this.openResponses.size;
  }

  private accept(req: http.IncomingMessage, res: http.ServerResponse): void {
    const {socket} = req;
    const pending = this.responsesOf(socket);
    if (socket.destroyed) return;
    if (pending.size >= MAX_PIPELINED) return this.destroyPipelined(socket);
    this.openResponses.add(res);
    pending.add(res);
    res.once('close', () => {
      pending.delete(res);
      this.removeResponse(res);
    });
    if (this.isDraining) closeConnectionAfter(res);
    this.handler(req, res);
  }

  /** The open answers of a connection; removed when it closes. */
  private responsesOf(socket: Socket): Set<http.ServerResponse> {
    const found = this.responsesBySocket.get(socket);
    if (found !== undefined) return found;
    const created = new Set<http.ServerResponse>();
    this.responsesBySocket.set(socket, created);
    socket.once('close', () => {
      for (const res of created) this.removeResponse(res);
    });
    return created;
  }

  private removeResponse(res: http.ServerResponse): void {
    this.openResponses.delete(res);
    if (!this.isClosing) return;
    setImmediate(() => {
      this.server.closeIdleConnections();
    });
  }

  /**
   * Destroys a connection with too many pipelined requests, so that nothing
   * more is read from it.
   */
  private destroyPipelined(socket: Socket): void {
    this.metrics.count('connections_refused_total{reason="pipelined"}');
    socket.destroy();
  }

  private refuseConnection(err: NodeJS.ErrnoException, socket: Socket): void {
    const status = refusalStatus(err);
    const reason = err.code ?? 'unknown';
    this.metrics.count(`connections_refused_total{reason="${reason}"}`);
    if (!socket.writable || socket.bytesWritten > 0) {
      return void socket.destroy();
    }
    const detail = `the connection does not carry valid HTTP: ${reason}`;
    const body = JSON.stringify(errorBody({kind: 'badRequest', detail}));
    const head = [
      `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}`,
      'content-type: application/json',
      `content-length: ${Buffer.byteLength(body)}`,
      'connection: close',
    ];
    socket.end(`${head.join('\r\n')}\r\n\r\n${body}`, () => {
      socket.destroy();
    });
  }
}

/** Closes the connection after the answer, unless its headers were sent. */
function closeConnectionAfter(res: http.ServerResponse): void {
  if (!res.headersSent) res.setHeader('connection', 'close');
}

function refusalStatus(err: NodeJS.ErrnoException): number {
  if (err.code === 'HPE_HEADER_OVERFLOW') return 431;
  if (err.code === 'ERR_HTTP_REQUEST_TIMEOUT') return 408;
  return 400;
}

/**
 * Refuses a request with too many header lines: the parser drops those over
 * the limit without an error.
 *
 * @throws badRequest
 * @example
 * checkHeaderCount(req);
 */
export function checkHeaderCount(req: http.IncomingMessage): void {
  if (req.rawHeaders.length < MAX_HEADERS * 2) return;
  raise('badRequest', `more than ${MAX_HEADERS} headers`);
}
