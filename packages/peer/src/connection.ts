/** A connection between two processes: asks, replies, notices, heartbeats. */
import net from 'node:net';
import {raise, toFailure, DragonflywardError} from '@dragonflyward/common';
import {
  encodeFrame,
  encodeShortLived,
  FrameReader,
  MAX_FRAME_BYTES,
} from './framing.js';
import type {
  FailureReply,
  Frame,
  GatewayProtocol,
  PeerProtocol,
} from './messages.js';
import {OpenAsks} from './open-asks.js';
import {PendingAsks, type AskOptions} from './pending-asks.js';
import {selectLongQueues, SMALL_QUEUE_BYTES} from './queue-limit.js';
import {SendQueue} from './send-queue.js';

/** Default time without received data after which a connection is closed. */
export const HEARTBEAT_TIMEOUT_MS = 2_000;
/** How often each side sends a heartbeat. */
export const HEARTBEAT_PERIOD_MS = 500;
const CONNECT_TIMEOUT_MS = 1_000;
/** Bytes queued on one connection whose peer does not read. */
const MAX_BUFFERED_BYTES = 32 * 1024 * 1024;
/** Time after which a connection without a hello is closed. */
const HELLO_TIMEOUT_MS = 5_000;
/** Longest frame before the hello, which takes about 200 bytes. */
const MAX_HELLO_BYTES = 65_536;
/** Asks of one peer that are answered at a time; then reading is paused. */
const MAX_OPEN_ASKS = 1_000;
/** A longer reply is sent in parts to a peer that takes them. */
const MAX_WHOLE_REPLY_BYTES = 32 * 1024;
/** Bytes of incomplete frames on all accepted connections of a server. */
const MAX_ACCEPTED_BYTES = 32 * 1024 * 1024;
/** Part of the accepted connections that may be without a hello. */
const UNKNOWN_FRACTION = 0.5;

/** The peer of a connection, as described by its hello. */
export type PeerInfo<P extends PeerProtocol = GatewayProtocol> = Omit<
  P['hello'],
  'type'
>;

/** The limit for which a connection was closed or not accepted. */
export type PeerLimit =
  | 'connections'
  | 'incompleteFrames'
  | 'queuedBytes'
  | 'openAsks'
  | 'helloTimeout';

/** Handles the messages and connection changes of peers. */
export abstract class PeerHandler<P extends PeerProtocol = GatewayProtocol> {
  /** Time without received data after which a connection is closed. */
  readonly heartbeatTimeoutMs: number = HEARTBEAT_TIMEOUT_MS;
  /** The asks of all connections that are being answered. */
  readonly openAsks = new OpenAsks();

  /** Returns the hello that describes this process to its peers. */
  abstract hello(): P['hello'];
  /** Returns the heartbeat to send now. */
  abstract heartbeat(): P['notice'];
  /** Answers an ask; a thrown error becomes a failure reply. */
  abstract handleAsk(from: PeerInfo<P>, ask: P['ask']): Promise<P['reply']>;
  /** Handles a notice; heartbeats are notices too. */
  abstract handleNotice(from: PeerInfo<P>, notice: P['notice']): void;
  /** Called when the peer's hello has arrived. */
  abstract onPeerUp(connection: PeerConnection<P>): void;
  /** Called when a connection that was up has closed. */
  abstract onPeerDown(connection: PeerConnection<P>): void;
  /** Called for a frame that is invalid, or a notice that was not handled. */
  onMessageError: (from: PeerInfo<P> | undefined, err: unknown) => void = () =>
    undefined;
  /** Called for each connection that a limit closes, before it is closed. */
  onLimitExceeded: (limit: PeerLimit) => void = () => undefined;
}

/** Checks of a server that concern all its connections. */
interface SharedLimits {
  /** Called while a connection holds an incomplete frame. */
  readonly onHeld: () => void;
  /** Called after a write to a connection that has a long queue. */
  readonly onLongQueue: () => void;
}

const NO_SHARED_LIMITS: SharedLimits = {
  onHeld: () => undefined,
  onLongQueue: () => undefined,
};

/** An ask of the peer that is being answered. */
interface AnsweredAsk {
  isCancelled: boolean;
}

/** One open connection to a peer. */
export class PeerConnection<P extends PeerProtocol = GatewayProtocol> {
  /** The peer; undefined until its hello has arrived. */
  info: PeerInfo<P> | undefined;
  private readonly reader = new FrameReader<P>();
  private readonly queue: SendQueue;
  private readonly pending = new PendingAsks<P>(id => this.cancelAsk(id));
  private readonly heartbeatTimer: NodeJS.Timeout;
  private readonly openedMs = performance.now();
  private lastReceivedMs = performance.now();
  private isClosed = false;
  private askCount = 0;
  /** Whether the peer takes parts and cancels. */
  private takesParts = false;
  /** The asks of the peer that are being answered, by id. */
  private readonly answered = new Map<number, AnsweredAsk>();

  constructor(
    private readonly socket: net.Socket,
    private readonly handler: PeerHandler<P>,
    private readonly limits: SharedLimits = NO_SHARED_LIMITS,
  ) {
    this.reader.maxFrameBytes = MAX_HELLO_BYTES;
    this.queue = new SendQueue(socket);
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => {
      this.receive(chunk);
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.handleClose();
    });
    this.send({kind: 'hello', hello: handler.hello(), takesParts: true});
    this.heartbeatTimer = setInterval(() => {
      this.onHeartbeatTimer();
    }, HEARTBEAT_PERIOD_MS);
    this.heartbeatTimer.unref();
  }

  /** Bytes of the frame, and of the replies, that are being received. */
  get heldBytes(): number {
    return this.isClosed ? 0 : this.reader.heldBytes + this.pending.bytes;
  }

  /** Bytes that the peer has not read. */
  get queuedBytes(): number {
    return this.isClosed ? 0 : this.queue.bytes;
  }

  /** Whether the connection has not been closed. */
  get isOpen(): boolean {
    return !this.isClosed;
  }

  /**
   * Sends an ask and waits for its reply. A long reply arrives in parts: the
   * timeout then holds for the time between two of them, in ms.
   *
   * @throws peerDown when the ask was not sent, peerLost when no reply came,
   *     or the failure that the peer replied with
   * @example
   * const ticket = await connection.ask(ticketAsk, 500);
   */
  ask(
    ask: P['ask'],
    timeoutMs: number,
    options: AskOptions = {},
  ): Promise<P['reply']> {
    if (this.isClosed || options.signal?.aborted === true) {
      return rejectedWith('peerDown', ask.type);
    }
    const {id, reply} = this.pending.add(ask.type, timeoutMs, options);
    this.send({kind: 'ask', id, ask});
    return reply;
  }

  /** Sends a notice, without confirmation that it arrives. */
  notify(notice: P['notice']): void {
    if (!this.isClosed) this.send({kind: 'notice', notice});
  }

  /** Sends an encoded notice; several connections can share it. */
  notifyEncoded(frame: Buffer): void {
    if (this.isClosed) return;
    this.queue.writeShared(frame);
    this.limitQueue();
  }

  /** Closes the connection; pending asks fail with `peerLost`. */
  close(): void {
    this.socket.destroy();
    this.handleClose();
  }

  /** Closes the connection and tells the handler which limit it exceeded. */
  closeForLimit(limit: PeerLimit): void {
    if (this.isClosed) return;
    this.handler.onLimitExceeded(limit);
    this.close();
  }

  private send(frame: Frame<P>): void {
    this.queue.write(...encodeShortLived<P>(frame));
    this.limitQueue();
  }

  private limitQueue(): void {
    const {queuedBytes} = this;
    if (queuedBytes <= SMALL_QUEUE_BYTES) return;
    if (queuedBytes > MAX_BUFFERED_BYTES) {
      return this.closeForLimit('queuedBytes');
    }
    this.limits.onLongQueue();
  }

  private onHeartbeatTimer(): void {
    const nowMs = performance.now();
    const isUnknown = this.info === undefined;
    if (isUnknown && nowMs - this.openedMs > HELLO_TIMEOUT_MS) {
      return this.closeForLimit('helloTimeout');
    }
    // While reading is paused, nothing can arrive.
    if (this.socket.isPaused()) this.lastReceivedMs = nowMs;
    const silentMs = nowMs - this.lastReceivedMs;
    if (silentMs > this.handler.heartbeatTimeoutMs) return this.close();
    this.notify(this.handler.heartbeat());
  }

  private receive(chunk: Buffer): void {
    this.lastReceivedMs = performance.now();
    try {
      for (const frame of this.reader.push(chunk)) this.dispatch(frame);
    } catch (err) {
      this.handler.onMessageError(this.info, err);
      this.close();
    }
    if (this.heldBytes > 0) this.limits.onHeld();
  }

  private dispatch(frame: Frame<P>): void {
    if (frame.kind === 'hello') {
      return this.handleHello(frame.hello, frame.takesParts === true);
    }
    if (frame.kind === 'reply') {
      return this.pending.settle(frame.id, frame.reply);
    }
    if (frame.kind === 'part') return this.pending.receivePart(frame);
    if (this.info === undefined) return this.close();
    if (frame.kind === 'cancel') return this.stopAnswering(frame.id);
    if (frame.kind === 'notice') {
      return this.handleNotice(this.info, frame.notice);
    }
    void this.answerAsk(frame.id, this.info, frame.ask);
  }

  /** A notice that cannot be handled does not end the connection. */
  private handleNotice(from: PeerInfo<P>, notice: P['notice']): void {
    try {
      this.handler.handleNotice(from, notice);
    } catch (err) {
      this.handler.onMessageError(from, err);
    }
  }

  private handleHello(hello: P['hello'], takesParts: boolean): void {
    if (this.info !== undefined) return;
    this.info = hello;
    this.takesParts = takesParts;
    this.reader.maxFrameBytes = MAX_FRAME_BYTES;
    try {
      this.handler.onPeerUp(this);
    } catch (err) {
      this.info = undefined;
      throw err;
    }
  }

  private cancelAsk(id: number): void {
    if (this.takesParts && !this.isClosed) this.send({kind: 'cancel', id});
  }

  private stopAnswering(id: number): void {
    const answered = this.answered.get(id);
    if (answered !== undefined) answered.isCancelled = true;
    this.queue.dropReply(id);
  }

  private async answerAsk(
    id: number,
    from: PeerInfo<P>,
    ask: P['ask'],
  ): Promise<void> {
    const {openAsks} = this.handler;
    const bytes = this.reader.frameBytes;
    if (this.isClosed || !openAsks.add(this, bytes)) return;
    const answered: AnsweredAsk = {isCancelled: false};
    this.answered.set(id, answered);
    this.askCount += 1;
    if (this.askCount === MAX_OPEN_ASKS) this.socket.pause();
    let reply: P['reply'] | FailureReply;
    try {
      reply = await this.handler.handleAsk(from, ask);
    } catch (err) {
      reply = {type: 'failure', failure: toFailure(err)};
    }
    openAsks.remove(this, bytes);
    this.askCount -= 1;
    if (this.answered.get(id) === answered) this.answered.delete(id);
    if (this.isClosed) return;
    if (!answered.isCancelled) this.sendReply(id, reply);
    if (this.askCount < MAX_OPEN_ASKS) this.socket.resume();
  }

  private sendReply(id: number, reply: P['reply'] | FailureReply): void {
    const [prefix, body] = encodeShortLived<P>({kind: 'reply', id, reply});
    if (this.takesParts && body.length > MAX_WHOLE_REPLY_BYTES) {
      this.queue.writeReply(id, body);
    } else {
      this.queue.write(prefix, body);
    }
    this.limitQueue();
  }

  private handleClose(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.queue.close();
    this.handler.openAsks.forget(this);
    clearInterval(this.heartbeatTimer);
    this.pending.failAll('connection closed');
    if (this.info !== undefined) this.handler.onPeerDown(this);
  }
}

/**
 * Sends a notice to several peers; it is encoded once.
 *
 * @example
 * notifyAll(members.map(each => each.connection), notice);
 */
export function notifyAll<P extends PeerProtocol = GatewayProtocol>(
  connections: Iterable<PeerConnection<P>>,
  notice: P['notice'],
): void {
  const frame = encodeFrame<P>({kind: 'notice', notice});
  for (const each of connections) each.notifyEncoded(frame);
}

function rejectedWith(kind: 'peerDown', detail: string): Promise<never> {
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
    const rejectWith = (reason: string): void => {
      socket.destroy();
      try {
        raise('peerDown', `${ip}:${port}: ${reason}`);
      } catch (err) {
        reject(err as Error);
      }
    };
    const timer = setTimeout(() => {
      rejectWith('connect timed out');
    }, CONNECT_TIMEOUT_MS);
    socket.once('error', err => {
      clearTimeout(timer);
      rejectWith(err.message);
    });
    socket.once('connect', () => {
      clearTimeout(timer);
      resolve(new PeerConnection<P>(socket, handler));
    });
  });
}

/** Connections that a server has accepted, within limits. */
class AcceptedConnections<P extends PeerProtocol> {
  private readonly open = new Set<PeerConnection<P>>();

  constructor(
    private readonly handler: PeerHandler<P>,
    private readonly maxConnections: number,
  ) {}

  add(socket: net.Socket): void {
    const connection = new PeerConnection<P>(socket, this.handler, {
      onHeld: () => this.closeLargest(),
      onLongQueue: () => this.closeLongQueues(),
    });
    this.open.add(connection);
    socket.once('close', () => this.open.delete(connection));
    this.closeOldestUnknown();
  }

  /** A process sends its hello at once; the others have shown no peer. */
  private closeOldestUnknown(): void {
    const unknown = [...this.open].filter(({info}) => info === undefined);
    if (unknown.length <= this.maxConnections * UNKNOWN_FRACTION) return;
    unknown[0]?.closeForLimit('connections');
  }

  private closeLargest(): void {
    let heldBytes = 0;
    let largest: PeerConnection<P> | null = null;
    for (const each of this.open) {
      heldBytes += each.heldBytes;
      if (each.heldBytes > (largest?.heldBytes ?? 0)) largest = each;
    }
    if (heldBytes > MAX_ACCEPTED_BYTES) {
      largest?.closeForLimit('incompleteFrames');
    }
  }

  /**
   * A write to a connection with a small queue may exceed the bound; the next
   * write to one with a long queue, at the latest its heartbeat, enforces it.
   */
  private closeLongQueues(): void {
    for (const each of selectLongQueues(this.open)) {
      each.closeForLimit('queuedBytes');
    }
  }
}

/**
 * Accepts connections from peers.
 *
 * @param maxConnections a connection without a hello is closed in favour of a
 *     later one, so that others can connect
 * @example
 * const server = await listenPeers('127.0.0.1', 8090, handler);
 */
export function listenPeers<P extends PeerProtocol = GatewayProtocol>(
  ip: string,
  port: number,
  handler: PeerHandler<P>,
  maxConnections = Infinity,
): Promise<net.Server> {
  const accepted = new AcceptedConnections<P>(handler, maxConnections);
  const server = net.createServer(socket => accepted.add(socket));
  if (maxConnections < Infinity) server.maxConnections = maxConnections;
  server.on('drop', () => handler.onLimitExceeded('connections'));
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, () => {
      resolve(server);
    });
  });
}
