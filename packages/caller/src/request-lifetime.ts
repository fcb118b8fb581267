/** The deadline and the cancellation of one request. */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {DragonflywardError, type Clock} from '@dragonflyward/common';

/** Aborts when the deadline passes or the caller disconnects. */
export class RequestLifetime {
  private readonly controller = new AbortController();
  private readonly timer: NodeJS.Timeout;
  private readonly endMs: number;
  private readonly socket: Socket;
  private isCallerDisconnected = false;

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

  /** Aborted when the request is to be abandoned, with the reason. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** The time left until the deadline. */
  remainingMs(): number {
    return Math.floor(this.endMs - this.clock.monotonicMs());
  }

  /** Whether the request was aborted or its deadline has passed. */
  isOver(): boolean {
    return this.signal.aborted || this.remainingMs() <= 0;
  }

  /** Whether the caller has disconnected. */
  hasCallerDisconnected(): boolean {
    return this.isCallerDisconnected;
  }

  /** Releases the timer and the listeners once the request is finished. */
  end(): void {
    clearTimeout(this.timer);
    this.res.off('close', this.onClose);
    this.socket.off('close', this.onClose);
  }

  private readonly onClose = (): void => {
    this.isCallerDisconnected = true;
    this.abort(new DragonflywardError('peerLost', 'the caller disconnected'));
  };

  private abort(reason: Error): void {
    clearTimeout(this.timer);
    this.controller.abort(reason);
  }
}

/**
 * Waits for a promise, or rejects as soon as the signal is aborted.
 *
 * @throws the signal's reason
 * @example
 * const chunk = await rejectOnAbort(reader.next(), lifetime.signal);
 */
export async function rejectOnAbort<T>(
  promise: Promise<T>,
  signal: AbortSignal,
): Promise<T> {
  signal.throwIfAborted();
  let onAbort = (): void => undefined;
  const aborted = new Promise<never>((_, reject) => {
    onAbort = () => {
      reject(signal.reason as Error);
    };
    signal.addEventListener('abort', onAbort, {once: true});
  });
  try {
    return await Promise.race([promise, aborted]);
  } finally {
    signal.removeEventListener('abort', onAbort);
  }
}
