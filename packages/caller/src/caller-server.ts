/** The HTTP server that callers reach, with bounds on what it takes. */
import http from 'node:http';
import type {Socket} from 'node:net';
import {raise, type Metrics} from '@dragonflyward/common';
import {errorBody} from './error-answers.js';

const MAX_HEADER_BYTES = 16 * 1024;
const MAX_HEADERS = 100;
const HEADERS_TIMEOUT_MS = 5_000;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
const CHECK_PERIOD_MS = 500;
const MAX_CONNECTIONS = 4_096;
/** Requests that one connection may have open at a time. */
const MAX_PIPELINED = 8;

/** Bounds that tests make shorter. */
export interface CallerServerBounds {
  readonly headersTimeoutMs: number;
  /** The longest time in which a whole request must have come in. */
  readonly requestTimeoutMs: number;
  readonly maxConnections: number;
}

/** The bounds in use. */
export const CALLER_SERVER_BOUNDS: CallerServerBounds = {
  headersTimeoutMs: HEADERS_TIMEOUT_MS,
  requestTimeoutMs: 300_000,
  maxConnections: MAX_CONNECTIONS,
};

type Handler = (req: http.IncomingMessage, res: http.ServerResponse) => void;

/** Takes callers' connections. */
export class CallerServer {
  private readonly server: http.Server;
  private readonly openBySocket = new WeakMap<
    Socket,
    Set<http.ServerResponse>
  >();
  private readonly open = new Set<http.ServerResponse>();
  private isDraining = false;
  private isClosing = false;

  constructor(
    private readonly handler: Handler,
    private readonly metrics: Metrics,
    bounds: CallerServerBounds = CALLER_SERVER_BOUNDS,
  ) {
    this.server = http.createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: bounds.headersTimeoutMs,
        requestTimeout: bounds.requestTimeoutMs,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        connectionsCheckingInterval: CHECK_PERIOD_MS,
        insecureHTTPParser: false,
      },
      (req, res) => {
        this.take(req, res);
      },
    );
    this.server.maxHeadersCount = MAX_HEADERS;
    this.server.maxConnections = bounds.maxConnections;
    this.server.on('clientError', (err, socket) => {
      this.refuse(err, socket as Socket);
    });
    this.server.on('drop', () => {
      this.metrics.count('connections_dropped_total');
    });
    metrics.gauge('requests_open', () => this.open.size);
  }

  /** Starts to listen; returns the port. */
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

  /** From now on each answer is the last one on its connection. */
  startDraining(): void {
    this.isDraining = true;
    for (const res of this.open) endConnectionAfter(res);
  }

  /** Takes no more connections; resolves once all requests are answered. */
  close(): Promise<void> {
    this.isClosing = true;
    return new Promise(resolve => {
      this.server.close(() => {
        resolve();
      });
      this.server.closeIdleConnections();
    });
  }

  /** How many requests are open. */
  openRequests(): number {
    return this.open.size;
  }

  private take(req: http.IncomingMessage, res: http.ServerResponse): void {
    const {socket} = req;
    const ofSocket = this.openOf(socket);
    if (socket.destroyed) return;
    if (ofSocket.size >= MAX_PIPELINED) return this.refusePipelined(socket);
    this.open.add(res);
    ofSocket.add(res);
    res.once('close', () => {
      ofSocket.delete(res);
      this.release(res);
    });
    if (this.isDraining) endConnectionAfter(res);
    this.handler(req, res);
  }

  /** The open requests of a connection; they end with it. */
  private openOf(socket: Socket): Set<http.ServerResponse> {
    const found = this.openBySocket.get(socket);
    if (found !== undefined) return found;
    const made = new Set<http.ServerResponse>();
    this.openBySocket.set(socket, made);
    socket.once('close', () => {
      for (const res of made) this.release(res);
    });
    return made;
  }

  private release(res: http.ServerResponse): void {
    this.open.delete(res);
    if (!this.isClosing) return;
    setImmediate(() => {
      this.server.closeIdleConnections();
    });
  }

  /** Nothing more is read from a connection that sends without waiting. */
  private refusePipelined(socket: Socket): void {
    this.metrics.count('connections_refused_total{reason="pipelined"}');
    socket.destroy();
  }

  private refuse(err: NodeJS.ErrnoException, socket: Socket): void {
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

/** Makes the answer the last one on its connection, where still possible. */
function endConnectionAfter(res: http.ServerResponse): void {
  if (!res.headersSent) res.setHeader('connection', 'close');
}

function refusalStatus(err: NodeJS.ErrnoException): number {
  if (err.code === 'HPE_HEADER_OVERFLOW') return 431;
  if (err.code === 'ERR_HTTP_REQUEST_TIMEOUT') return 408;
  return 400;
}

/**
 * Refuses a request with more header lines than are kept.
 *
 * @throws badRequest
 * @example
 * checkHeaderCount(req);
 */
export function checkHeaderCount(req: http.IncomingMessage): void {
  if (req.rawHeaders.length < MAX_HEADERS * 2) return;
  raise('badRequest', `more than ${MAX_HEADERS} headers`);
}
