/** Asks that wait for their replies, of which long ones arrive in parts. */
import {DragonflywardError, GrowingBuffer, raise} from '@dragonflyward/common';
import {decodeFrame, MAX_FRAME_BYTES} from './framing.js';
import type {FailureReply, PeerProtocol, ReplyPart} from './messages.js';

/** How the reply to an ask is awaited. */
export interface AskOptions {
  /** Called with the size of each part of a long reply that arrives. */
  readonly onData?: (bytes: number) => void;
  /** Ends the wait; the peer sends no more of the reply. */
  readonly signal?: AbortSignal;
}

interface PendingAsk<P extends PeerProtocol> {
  readonly resolve: (reply: P['reply']) => void;
  readonly reject: (err: Error) => void;
  readonly onData: (bytes: number) => void;
  /** Starts the timeout again. */
  readonly restartTimer: () => void;
  /** Ends the timeout and the wait for the signal. */
  readonly stop: () => void;
  readonly received: GrowingBuffer;
}

/** The asks of one connection, by id. */
export class PendingAsks<P extends PeerProtocol> {
  private readonly asks = new Map<number, PendingAsk<P>>();
  private nextId = 1;
  private receivedBytes = 0;

  /** Called with the id of an ask that no longer waits for its reply. */
  constructor(private readonly onGivenUp: (id: number) => void) {}

  /** Bytes of the replies that have arrived in part. */
  get bytes(): number {
    return this.receivedBytes;
  }

  /**
   * Adds an ask.
   *
   * @param timeoutMs time until the reply, or its next part, in ms
   * @returns its id, and the reply; rejects with peerLost, or with the failure
   *     that the peer replied with
   * @example
   * const {id, reply} = asks.add('ticketAsk', 500);
   */
  add(
    type: P['ask']['type'],
    timeoutMs: number,
    {onData = () => undefined, signal}: AskOptions = {},
  ): {readonly id: number; readonly reply: Promise<P['reply']>} {
    const id = this.nextId;
    this.nextId += 1;
    const reply = new Promise<P['reply']>((resolve, reject) => {
      const giveUp = (reason: string): void => {
        this.remove(id);
        reject(new DragonflywardError('peerLost', `${type} ${reason}`));
        this.onGivenUp(id);
      };
      const onAbort = (): void => giveUp('was ended');
      const timer = setTimeout(() => giveUp('timed out'), timeoutMs);
      signal?.addEventListener('abort', onAbort);
      this.asks.set(id, {
        resolve,
        reject,
        onData,
        restartTimer: () => timer.refresh(),
        stop: () => {
          clearTimeout(timer);
          signal?.removeEventListener('abort', onAbort);
        },
        received: new GrowingBuffer(),
      });
    });
    return {id, reply};
  }

  /**
   * Adds a part of a reply; the last one completes it.
   *
   * @throws badRequest if the reply is too long or not valid
   * @example
   * if (frame.kind === 'part') asks.receivePart(frame);
   */
  receivePart({id, isLast, bytes}: ReplyPart): void {
    const ask = this.asks.get(id);
    if (ask === undefined) return;
    const {received} = ask;
    received.append(bytes);
    this.receivedBytes += bytes.length;
    if (received.length > MAX_FRAME_BYTES) {
      return raise('badRequest', `reply of over ${MAX_FRAME_BYTES} B`);
    }
    ask.restartTimer();
    ask.onData(bytes.length);
    if (!isLast) return;
    this.remove(id);
    const frame = decodeFrame<P>(received.toBuffer());
    if (frame.kind === 'reply') settle(ask, frame.reply);
  }

  /** Ends an ask with its reply. */
  settle(id: number, reply: P['reply'] | FailureReply): void {
    const ask = this.remove(id);
    if (ask !== undefined) settle(ask, reply);
  }

  /** Fails all asks with `peerLost`. */
  failAll(reason: string): void {
    for (const id of [...this.asks.keys()]) {
      const ask = this.remove(id);
      ask?.reject(new DragonflywardError('peerLost', reason));
    }
  }

  private remove(id: number): PendingAsk<P> | undefined {
    const ask = this.asks.get(id);
    if (ask === undefined) return undefined;
    this.asks.delete(id);
    this.receivedBytes -= ask.received.length;
    ask.stop();
    return ask;
  }
}

function settle<P extends PeerProtocol>(
  {resolve, reject}: PendingAsk<P>,
  reply: P['reply'] | FailureReply,
): void {
  if (!isFailureReply(reply)) return resolve(reply);
  const {kind, detail} = reply.failure;
  reject(new DragonflywardError(kind, detail));
}

function isFailureReply(reply: {readonly type: string}): reply is FailureReply {
  return reply.type === 'failure';
}
