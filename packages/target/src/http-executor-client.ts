/** Executors over HTTP, with kept connections. */
import {once} from 'node:events';
import http from 'node:http';
import type net from 'node:net';
import {DragonflywardError, raise} from '@dragonflyward/common';
import {readAnswer} from './executor-response.js';
import {
  ExecutorClient,
  type ExecutorAddress,
  type ExecutorAnswer,
  type ExecutorBody,
  type ExecutorRequest,
} from './executor-client.js';

const CONNECT_TIMEOUT_MS = 500;
/** A connection that was idle for longer is not used again. */
const MAX_IDLE_MS = 2_000;
const DEFAULT_IDLE_CONNECTIONS = 4;

/** How executors are reached. */
export interface HttpExecutorOptions {
  /** The IP that connections come from; this process's VM. */
  readonly localAddress?: string;
}

/** Sends requests to executors over HTTP. */
export class HttpExecutorClient extends ExecutorClient {
  private readonly kept = new http.Agent({
    keepAlive: true,
    scheduling: 'lifo',
    maxFreeSockets: DEFAULT_IDLE_CONNECTIONS,
    timeout: MAX_IDLE_MS,
  });
  private readonly fresh = new http.Agent({keepAlive: false});

  constructor(private readonly options: HttpExecutorOptions = {}) {
    super();
  }

  /**
   * @throws targetRefused when no byte was sent, targetLost when the first
   *     byte may have been, or what `beforeFirstByte` or the signal give
   * @example
   * const answer = await executors.send(ticket, request);
   */
  override async send(
    address: ExecutorAddress,
    request: ExecutorRequest,
  ): Promise<ExecutorAnswer> {
    const req = this.open(address, request);
    const stopWatching = destroyOnAbort(req, request.signal);
    try {
      const socket = await connected(req, request.signal);
      const last = Object.entries(request.beforeFirstByte());
      for (const [name, value] of last) req.setHeader(name, value);
      return await exchange(req, socket, request);
    } catch (err) {
      req.destroy();
      if (isSilent(err)) this.dropIdle(address);
      throw err;
    } finally {
      if (req.destroyed) stopWatching();
      else req.once('close', stopWatching);
    }
  }

  override keepIdle(connections: number): void {
    this.kept.maxFreeSockets = connections;
  }

  override close(): void {
    this.kept.destroy();
  }

  private open(
    address: ExecutorAddress,
    request: ExecutorRequest,
  ): http.ClientRequest {
    const req = http.request({
      ...this.target(address),
      method: 'POST',
      path: '/',
      headers: request.headers,
      agent: request.mayReuse ? this.kept : this.fresh,
    });
    req.on('error', () => undefined);
    return req;
  }

  /** One silent connection to an executor may not be the only one. */
  private dropIdle(address: ExecutorAddress): void {
    const name = this.kept.getName(this.target(address));
    for (const socket of this.kept.freeSockets[name] ?? []) socket.destroy();
  }

  private target(address: ExecutorAddress): TargetOptions {
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
  const giveUp = (): void => {
    req.destroy(signal.reason as Error);
  };
  signal.addEventListener('abort', giveUp, {once: true});
  return () => {
    signal.removeEventListener('abort', giveUp);
  };
}

/** Waits until the request has an open connection; nothing is sent before. */
async function connected(
  req: http.ClientRequest,
  signal: AbortSignal,
): Promise<net.Socket> {
  const timer = setTimeout(() => {
    req.destroy(new Error('no connection in time'));
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
): Promise<ExecutorAnswer> {
  const before = socket.bytesRead + socket.bytesWritten;
  const head = once(req, 'response');
  const writing = writeBody(req, request.body);
  writing.catch((err: unknown) => {
    req.destroy(err instanceof Error ? err : undefined);
  });
  try {
    const [res] = (await head) as [http.IncomingMessage];
    res.once('end', () => {
      if (!req.writableEnded) req.destroy();
    });
    return readAnswer(
      res,
      () => socket.bytesRead + socket.bytesWritten - before,
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
    if (!req.write(chunk)) await drained(req);
  }
  req.end();
}

/** Waits until more can be written, or until nothing more ever can. */
async function drained(req: http.ClientRequest): Promise<void> {
  if (req.destroyed) return;
  await Promise.race([once(req, 'drain'), once(req, 'close')]);
}

/** Whether the request ended with no word from the executor. */
function isSilent(err: unknown): boolean {
  if (!(err instanceof DragonflywardError)) return false;
  return err.kind === 'targetLost' || err.kind === 'deadlinePassed';
}

function messageOf(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}
