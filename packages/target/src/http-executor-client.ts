/** HTTP client of executors, with keep-alive connections. */
import {once} from 'node:events';
import http from 'node:http';
import type net from 'node:net';
import {DragonflywardError, raise} from '@dragonflyward/common';
import {readResponse} from './executor-response.js';
import {
  ExecutorClient,
  type ExecutorAddress,
  type ExecutorResponse,
  type ExecutorBody,
  type ExecutorRequest,
} from './executor-client.js';

const CONNECT_TIMEOUT_MS = 500;
/** A connection that has been idle for longer is not reused. */
const MAX_IDLE_MS = 2_000;
const DEFAULT_IDLE_CONNECTIONS = 4;

/** Connection options of the client. */
export interface HttpExecutorOptions {
  /** Source IP of the connections: that of this process's VM. */
  readonly localAddress?: string;
}

/** Sends requests to executors over HTTP. */
export class HttpExecutorClient extends ExecutorClient {
  private readonly pool = new http.Agent({
    keepAlive: true,
    scheduling: 'lifo',
    maxFreeSockets: DEFAULT_IDLE_CONNECTIONS,
    timeout: MAX_IDLE_MS,
  });
  private readonly singleUseAgent = new http.Agent({keepAlive: false});

  constructor(private readonly options: HttpExecutorOptions = {}) {
    super();
  }

  /**
   * @throws targetRefused when nothing was sent, targetLost when a byte may
   *     have been sent, or the error of `beforeFirstByte` or of the signal
   * @example
   * const response = await executors.send(ticket, request);
   */
  override async send(
    address: ExecutorAddress,
    request: ExecutorRequest,
  ): Promise<ExecutorResponse> {
    const req = this.createRequest(address, request);
    const removeAbortListener = destroyOnAbort(req, request.signal);
    try {
      const socket = await waitForConnection(req, request.signal);
      const lateHeaders = Object.entries(request.beforeFirstByte());
      for (const [name, value] of lateHeaders) req.setHeader(name, value);
      return await exchange(req, socket, request);
    } catch (err) {
      req.destroy();
      if (isUnanswered(err)) this.destroyIdleSockets(address);
      throw err;
    } finally {
      if (req.destroyed) removeAbortListener();
      else req.once('close', removeAbortListener);
    }
  }

  override setMaxIdleConnections(connections: number): void {
    this.pool.maxFreeSockets = connections;
  }

  override close(): void {
    this.pool.destroy();
  }

  private createRequest(
    address: ExecutorAddress,
    request: ExecutorRequest,
  ): http.ClientRequest {
    const req = http.request({
      ...this.targetOptions(address),
      method: 'POST',
      path: '/',
      headers: request.headers,
      agent: request.mayReuse ? this.pool : this.singleUseAgent,
    });
    req.on('error', () => undefined);
    return req;
  }

  /** If one connection to an executor is dead, its idle ones may be too. */
  private destroyIdleSockets(address: ExecutorAddress): void {
    const name = this.pool.getName(this.targetOptions(address));
    for (const socket of this.pool.freeSockets[name] ?? []) socket.destroy();
  }

  private targetOptions(address: ExecutorAddress): TargetOptions {
    const {ip, port} = address;
    const {localAddress} = this.options;
    return localAddress === undefined
      ? {host: ip, port}
      : {host: ip, port, localAddress};
  }
}

interface TargetOptions {
  readonly host: string;
  readonly port: number;
  readonly localAddress?: string;
}

function destroyOnAbort(
  req: http.ClientRequest,
  signal: AbortSignal,
): () => void {
  const destroy = (): void => {
    req.destroy(signal.reason as Error);
  };
  signal.addEventListener('abort', destroy, {once: true});
  return () => {
    signal.removeEventListener('abort', destroy);
  };
}

/** Waits until the request has an open connection; sends nothing yet. */
async function waitForConnection(
  req: http.ClientRequest,
  signal: AbortSignal,
): Promise<net.Socket> {
  const timer = setTimeout(() => {
    req.destroy(new Error('connect timed out'));
  }, CONNECT_TIMEOUT_MS);
  try {
    const socket = await socketOf(req);
    if (socket.connecting) await once(socket, 'connect');
    return socket;
  } catch (err) {
    signal.throwIfAborted();
    return raise('targetRefused', messageOf(err));
  } finally {
    clearTimeout(timer);
  }
}

async function socketOf(req: http.ClientRequest): Promise<net.Socket> {
  if (req.socket !== null) return req.socket;
  const [socket] = (await once(req, 'socket')) as [net.Socket];
  return socket;
}

async function exchange(
  req: http.ClientRequest,
  socket: net.Socket,
  request: ExecutorRequest,
): Promise<ExecutorResponse> {
  const bytesBefore = socket.bytesRead + socket.bytesWritten;
  const responseEvent = once(req, 'response');
  const writing = writeBody(req, request.body);
  writing.catch((err: unknown) => {
    req.destroy(err instanceof Error ? err : undefined);
  });
  try {
    const [res] = (await responseEvent) as [http.IncomingMessage];
    res.once('end', () => {
      if (!req.writableEnded) req.destroy();
    });
    return readResponse(
      res,
      () => socket.bytesRead + socket.bytesWritten - bytesBefore,
    );
  } catch (err) {
    request.signal.throwIfAborted();
    if (err instanceof DragonflywardError) throw err;
    return raise('targetLost', messageOf(err));
  }
}

async function writeBody(
  req: http.ClientRequest,
  body: ExecutorBody,
): Promise<void> {
  if (body.rest === null) {
    req.end(body.prefix);
    return;
  }
  req.write(body.prefix);
  for await (const chunk of body.rest) {
    if (req.destroyed) return;
    if (!req.write(chunk)) await waitForDrain(req);
  }
  req.end();
}

/** Waits until more can be written or the request is closed. */
async function waitForDrain(req: http.ClientRequest): Promise<void> {
  if (req.destroyed) return;
  await Promise.race([once(req, 'drain'), once(req, 'close')]);
}

/** Whether the request was sent but the executor did not respond. */
function isUnanswered(err: unknown): boolean {
  if (!(err instanceof DragonflywardError)) return false;
  return err.kind === 'targetLost' || err.kind === 'deadlinePassed';
}

function messageOf(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}
