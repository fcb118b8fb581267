/** Interface for sending requests to executors. */
import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';

/** The address at which an executor listens. */
export interface ExecutorAddress {
  readonly executorId: string;
  readonly ip: string;
  readonly port: number;
}

/** A request body: the part read so far, and the rest if there is more. */
export interface ExecutorBody {
  readonly prefix: Buffer;
  readonly rest: AsyncIterable<Buffer> | null;
}

/** A request to an executor. */
export interface ExecutorRequest {
  readonly headers: OutgoingHttpHeaders;
  readonly body: ExecutorBody;
  /** Whether an idle connection, which may be dead, may be reused. */
  readonly mayReuse: boolean;
  /**
   * Called immediately before the first byte is sent. It may throw to send
   * nothing; it returns the headers that depend on the time.
   */
  readonly beforeFirstByte: () => Readonly<Record<string, string>>;
  /** Aborts the request; `send` then throws the signal's reason. */
  readonly signal: AbortSignal;
}

/** The head of an executor's response, and its body as a stream. */
export interface ExecutorResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Whether the executor reported that it accepts no new work. */
  readonly isDraining: boolean;
  /** Yields the body; throws targetLost if it is truncated. */
  readonly body: AsyncIterator<Buffer>;
  /** Returns the bytes sent and received so far for this request. */
  readonly trafficBytes: () => number;
  /** Discards the response and closes its connection. */
  readonly discard: () => void;
}

/** Sends requests to executors. */
export abstract class ExecutorClient {
  /**
   * Sends a request and waits for the head of its response.
   *
   * @throws targetRefused when nothing was sent, targetLost when a byte may
   *     have been sent, or the error of `beforeFirstByte` or of the signal
   */
  abstract send(
    address: ExecutorAddress,
    req: ExecutorRequest,
  ): Promise<ExecutorResponse>;

  /** Sets the maximum number of idle connections to each executor. */
  abstract setMaxIdleConnections(connections: number): void;

  /** Closes all idle connections. */
  abstract close(): void;
}
