/** One connection between two processes: asks, replies and heartbeats. */
import net from 'node:net';
import {
  raise,
  toFailure,
  DragonflywardError,
  type ProcessRef,
} from '@dragonflyward/common';
import {encodeFrame, FrameReader} from './framing.js';
import type {
  FailureReply,
  Frame,
  Heartbeat,
  Hello,
  PeerAsk,
  PeerNotice,
  PeerReply,
  PeerRole,
} from './messages.js';

/** A connection that is silent for longer is dropped. */
export const SILENCE_BOUND_MS = 2_000;
/** How often each side sends a heartbeat. */
export const HEARTBEAT_PERIOD_MS = 500;
const CONNECT_TIMEOUT_MS = 1_000;
const MAX_BUFFERED_BYTES = 32 * 1024 * 1024;

/** The other end of a connection. */
export interface PeerInfo {
  readonly role: PeerRole;
  readonly process: ProcessRef;
}

/** What a process does with what its peers send. */
export abstract class PeerHandler {
  /** Describes this process to its peers. */
  abstract hello(): Hello;
  /** The current heartbeat. */
  abstract heartbeat(): Heartbeat;
  /** Answers an ask; a thrown error becomes a failure reply. */
  abstract answer(from: PeerInfo, ask: PeerAsk): Promise<PeerReply>;
  /** Takes in a notice; heartbeats come here too. */
  abstract notice(from: PeerInfo, notice: PeerNotice): void;
  /** A connection to the peer stands. */
  abstract peerUp(connection: PeerConnection): void;
  /** The connection to the peer is gone. */
  abstract peerDown(connection: PeerConnection): void;
}

interface PendingAsk {
  readonly resolve: (reply: PeerReply) => void;
  readonly reject: (err: Error) => void;
  readonly timer: NodeJS.Timeout;
}

/** One open connection to a peer. */
export class PeerConnection {
  /** Set by the peer's hello. */
  info: PeerInfo | undefined;
  private readonly reader = new FrameReader();
  private readonly pending = new Map<number, PendingAsk>();
  private readonly heartbeatTimer: NodeJS.Timeout;
  private nextId = 1;
  private lastHeardMs = performance.now();
  private isClosed = false;

  constructor(
    private readonly socket: net.Socket,
    private readonly handler: PeerHandler,
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
  ask(ask: PeerAsk, timeoutMs: number): Promise<PeerReply> {
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
  notify(notice: PeerNotice): void {
    if (!this.isClosed) this.send({kind: 'notice', notice});
  }

  /** Ends the connection; open asks fail. */
  close(): void {
    this.socket.destroy();
    this.closed();
  }

  private send(frame: Frame): void {
    this.socket.write(encodeFrame(frame));
    if (this.socket.writableLength > MAX_BUFFERED_BYTES) this.close();
  }

  private beat(): void {
    const silentMs = performance.now() - this.lastHeardMs;
    if (silentMs > SILENCE_BOUND_MS) return this.close();
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

  private dispatch(frame: Frame): void {
    if (frame.kind === 'hello') return this.greet(frame.hello);
    if (frame.kind === 'reply') return this.settle(frame.id, frame.reply);
    if (this.info === undefined) return this.close();
    if (frame.kind === 'notice') {
      return this.handler.notice(this.info, frame.notice);
    }
    void this.reply(frame.id, this.info, frame.ask);
  }

  private greet(hello: Hello): void {
    if (this.info !== undefined) return;
    this.info = {role: hello.role, process: hello.process};
    this.handler.peerUp(this);
  }

  private async reply(id: number, from: PeerInfo, ask: PeerAsk): Promise<void> {
    let reply: PeerReply;
    try {
      reply = await this.handler.answer(from, ask);
    } catch (err) {
      reply = {type: 'failure', failure: toFailure(err)};
    }
    if (!this.isClosed) this.send({kind: 'reply', id, reply});
  }

  private settle(id: number, reply: PeerReply): void {
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

function isFailureReply(reply: PeerReply): reply is FailureReply {
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
export function connectPeer(
  ip: string,
  port: number,
  handler: PeerHandler,
): Promise<PeerConnection> {
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
      resolve(new PeerConnection(socket, handler));
    });
  });
}

/**
 * Listens for peers.
 *
 * @example
 * const server = await listenPeers('127.0.0.1', 8090, handler);
 */
export function listenPeers(
  ip: string,
  port: number,
  handler: PeerHandler,
): Promise<net.Server> {
  const server = net.createServer(socket => {
    new PeerConnection(socket, handler);
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, () => {
      resolve(server);
    });
  });
}
