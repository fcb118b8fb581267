/** How long one request may take, and who ends it early. */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {DragonflywardError, type Clock} from '@dragonflyward/common';

/** Ends when the deadline passes or the caller has gone. */
export class RequestLifetime {
  private readonly controller = new AbortController();
  private readonly timer: NodeJS.Timeout;
  private readonly endMs: number;
  private readonly socket: Socket;
  private isCallerGone = false;

  constructor(
    private readonly clock: Clock,
    deadlineMs: number,
    private readonly res: ServerResponse,
  ) {
    this.socket = res.req.socket;
    this.endMs = clock.monotonicMs() + deadlineMs;
    this.timer = setTimeout(() => {
      this.abort(new DragonflywardError('deadlinePassed', `${deadlineMs} ms`));
    }, deadlineMs);
    res.once('close', this.onClose);
    this.socket.once('close', this.onClose);
  }

  /** Aborted once the request is to be given up; tells why. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** What is left until the deadline. */
  leftMs(): number {
    return Math.floor(this.endMs - this.clock.monotonicMs());
  }

  /** Whether the request is still wanted. */
  isOver(): boolean {
    return this.signal.aborted || this.leftMs() <= 0;
  }

  /** Whether no one is left to be answered. */
  hasLostCaller(): boolean {
    return this.isCallerGone;
  }

  /** Frees the timer; the request is answered. */
  end(): void {
    clearTimeout(this.timer);
    this.res.off('close', this.onClose);
    this.socket.off('close', this.onClose);
  }

  private readonly onClose = (): void => {
    this.isCallerGone = true;
    this.abort(new DragonflywardError('peerLost', 'the caller has gone'));
  };

  private abort(reason: Error): void {
    clearTimeout(this.timer);
    this.controller.abort(reason);
  }
}

/**
 * Waits for a promise, but no longer than until the signal.
 *
 * @throws the signal's reason
 * @example
 * const chunk = await orAborted(reader.next(), lifetime.signal);
 */
export async function orAborted<T>(
  promise: Promise<T>,
  signal: AbortSignal,
): Promise<T> {
  signal.throwIfAborted();
  let stop = (): void => undefined;
  const aborted = new Promise<never>((_, reject) => {
    stop = () => {
      reject(signal.reason as Error);
    };
    signal.addEventListener('abort', stop, {once: true});
  });
  try {
    return await Promise.race([promise, aborted]);
  } finally {
    signal.removeEventListener('abort', stop);
  }
}
