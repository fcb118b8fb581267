/** One connection between two processes: asks, replies and heartbeats. */
import net from 'node:net';
import {raise, toFailure, DragonflywardError} from '@dragonflyward/common';
import {encodeFrame, FrameReader} from './framing.js';
import type {
  FailureReply,
  Frame,
  GatewayProtocol,
  PeerProtocol,
} from './messages.js';

/** A connection that is silent for longer is dropped where nothing is said. */
export const SILENCE_BOUND_MS = 2_000;
/** How often each side sends a heartbeat. */
export const HEARTBEAT_PERIOD_MS = 500;
const CONNECT_TIMEOUT_MS = 1_000;
const MAX_BUFFERED_BYTES = 32 * 1024 * 1024;

/** The other end of a connection, as its hello describes it. */
export type PeerInfo<P extends PeerProtocol = GatewayProtocol> = Omit<
  P['hello'],
  'type'
>;

/** What a process does with what its peers send. */
export abstract class PeerHandler<P extends PeerProtocol = GatewayProtocol> {
  /** A connection that is silent for longer is dropped, in ms. */
  readonly silenceBoundMs: number = SILENCE_BOUND_MS;

  /** Describes this process to its peers. */
  abstract hello(): P['hello'];
  /** The current heartbeat. */
  abstract heartbeat(): P['notice'];
  /** Answers an ask; a thrown error becomes a failure reply. */
  abstract answer(from: PeerInfo<P>, ask: P['ask']): Promise<P['reply']>;
  /** Takes in a notice; heartbeats come here too. */
  abstract notice(from: PeerInfo<P>, notice: P['notice']): void;
  /** A connection to the peer stands. */
  abstract peerUp(connection: PeerConnection<P>): void;
  /** The connection to the peer is gone. */
  abstract peerDown(connection: PeerConnection<P>): void;
}

interface PendingAsk<P extends PeerProtocol> {
  readonly resolve: (reply: P['reply']) => void;
  readonly reject: (err: Error) => void;
  readonly timer: NodeJS.Timeout;
}

/** One open connection to a peer. */
export class PeerConnection<P extends PeerProtocol = GatewayProtocol> {
  /** Set by the peer's hello. */
  info: PeerInfo<P> | undefined;
  private readonly reader = new FrameReader<P>();
  private readonly pending = new Map<number, PendingAsk<P>>();
  private readonly heartbeatTimer: NodeJS.Timeout;
  private nextId = 1;
  private lastHeardMs = performance.now();
  private isClosed = false;

  constructor(
    private readonly socket: net.Socket,
    private readonly handler: PeerHandler<P>,
  ) {
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => {
      this.receive(chunk);
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.closed();
    });
    this.send({kind: 'hello', hello: handler.hello()});
    this.heartbeatTimer = setInterval(() => {
      this.beat();
    }, HEARTBEAT_PERIOD_MS);
    this.heartbeatTimer.unref();
  }

  /** Whether the connection can still be used. */
  get isOpen(): boolean {
    return !this.isClosed;
  }

  /**
   * Sends an ask and waits for its reply.
   *
   * @throws peerDown when it was not sent, peerLost when no reply came,
   *     or the failure that the peer replied with
   * @example
   * const ticket = await connection.ask(ticketAsk, 500);
   */
  ask(ask: P['ask'], timeoutMs: number): Promise<P['reply']> {
    if (this.isClosed) return raiseAsync('peerDown', ask.type);
    const id = this.nextId;
    this.nextId += 1;
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        this.pending.delete(id);
        reject(new DragonflywardError('peerLost', `${ask.type} timed out`));
      }, timeoutMs);
      this.pending.set(id, {resolve, reject, timer});
      this.send({kind: 'ask', id, ask});
    });
  }

  /** Sends a notice; it may be lost. */
  notify(notice: P['notice']): void {
    if (!this.isClosed) this.send({kind: 'notice', notice});
  }

  /** Ends the connection; open asks fail. */
  close(): void {
    this.socket.destroy();
    this.closed();
  }

  private send(frame: Frame<P>): void {
    this.socket.write(encodeFrame<P>(frame));
    if (this.socket.writableLength > MAX_BUFFERED_BYTES) this.close();
  }

  private beat(): void {
    const silentMs = performance.now() - this.lastHeardMs;
    if (silentMs > this.handler.silenceBoundMs) return this.close();
    this.notify(this.handler.heartbeat());
  }

  private receive(chunk: Buffer): void {
    this.lastHeardMs = performance.now();
    try {
      for (const frame of this.reader.push(chunk)) this.dispatch(frame);
    } catch {
      this.close();
    }
  }

  private dispatch(frame: Frame<P>): void {
    if (frame.kind === 'hello') return this.greet(frame.hello);
    if (frame.kind === 'reply') return this.settle(frame.id, frame.reply);
    if (this.info === undefined) return this.close();
    if (frame.kind === 'notice') {
      return this.handler.notice(this.info, frame.notice);
    }
    void this.reply(frame.id, this.info, frame.ask);
  }

  private greet(hello: P['hello']): void {
    if (this.info !== undefined) return;
    this.info = hello;
    this.handler.peerUp(this);
  }

  private async reply(
    id: number,
    from: PeerInfo<P>,
    ask: P['ask'],
  ): Promise<void> {
    let reply: P['reply'] | FailureReply;
    try {
      reply = await this.handler.answer(from, ask);
    } catch (err) {
      reply = {type: 'failure', failure: toFailure(err)};
    }
    if (!this.isClosed) this.send({kind: 'reply', id, reply});
  }

  private settle(id: number, reply: P['reply'] | FailureReply): void {
    const pending = this.pending.get(id);
    if (pending === undefined) return;
    this.pending.delete(id);
    clearTimeout(pending.timer);
    if (isFailureReply(reply)) {
      const {kind, detail} = reply.failure;
      return pending.reject(new DragonflywardError(kind, detail));
    }
    pending.resolve(reply);
  }

  private closed(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    clearInterval(this.heartbeatTimer);
    for (const pending of this.pending.values()) {
      clearTimeout(pending.timer);
      pending.reject(new DragonflywardError('peerLost', 'connection closed'));
    }
    this.pending.clear();
    if (this.info !== undefined) this.handler.peerDown(this);
  }
}

function isFailureReply(reply: {readonly type: string}): reply is FailureReply {
  return reply.type === 'failure';
}

function raiseAsync(kind: 'peerDown', detail: string): Promise<never> {
  return Promise.reject(new DragonflywardError(kind, detail));
}

/**
 * Connects to a peer.
 *
 * @throws peerDown
 * @example
 * const connection = await connectPeer('127.0.0.1', 8090, handler);
 */
export function connectPeer<P extends PeerProtocol = GatewayProtocol>(
  ip: string,
  port: number,
  handler: PeerHandler<P>,
): Promise<PeerConnection<P>> {
  return new Promise((resolve, reject) => {
    const socket = net.connect({host: ip, port});
    const refuse = (why: string): void => {
      socket.destroy();
      try {
        raise('peerDown', `${ip}:${port}: ${why}`);
      } catch (err) {
        reject(err as Error);
      }
    };
    const timer = setTimeout(() => {
      refuse('no connection in time');
    }, CONNECT_TIMEOUT_MS);
    socket.once('error', err => {
      clearTimeout(timer);
      refuse(err.message);
    });
    socket.once('connect', () => {
      clearTimeout(timer);
      resolve(new PeerConnection<P>(socket, handler));
    });
  });
}

/**
 * Listens for peers.
 *
 * @example
 * const server = await listenPeers('127.0.0.1', 8090, handler);
 */
export function listenPeers<P extends PeerProtocol = GatewayProtocol>(
  ip: string,
  port: number,
  handler: PeerHandler<P>,
): Promise<net.Server> {
  const server = net.createServer(socket => {
    new PeerConnection<P>(socket, handler);
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, () => {
      resolve(server);
    });
  });
}
