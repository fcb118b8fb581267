/** Executors as the rest of the system sees them. */
import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';

/** Where an executor listens. */
export interface ExecutorAddress {
  readonly executorId: string;
  readonly ip: string;
  readonly port: number;
}

/** The body of a request: its start, and the rest where it is longer. */
export interface ExecutorBody {
  readonly prefix: Buffer;
  readonly rest: AsyncIterable<Buffer> | null;
}

/** One request to one executor. */
export interface ExecutorRequest {
  readonly headers: OutgoingHttpHeaders;
  readonly body: ExecutorBody;
  /** Whether a kept connection may be used, which may have gone silent. */
  readonly mayReuse: boolean;
  /**
   * Called immediately before the first byte; throws to send none, or
   * returns headers that depend on the time.
   */
  readonly beforeFirstByte: () => Readonly<Record<string, string>>;
  /** Gives the request up; its reason is what `send` then throws. */
  readonly signal: AbortSignal;
}

/** The head of an executor's answer, and its body as it comes in. */
export interface ExecutorAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Whether the executor said that it takes no new work. */
  readonly isDraining: boolean;
  /** Yields the body; throws targetLost where it is cut short. */
  readonly body: AsyncIterator<Buffer>;
  /** Bytes sent and received so far for this request. */
  readonly trafficBytes: () => number;
  /** Drops the answer and its connection. */
  readonly drop: () => void;
}

/** Sends requests to executors. */
export abstract class ExecutorClient {
  /**
   * Sends a request and waits for the head of its answer.
   *
   * @throws targetRefused when no byte was sent, targetLost when the first
   *     byte may have been, or what `beforeFirstByte` or the signal give
   */
  abstract send(
    address: ExecutorAddress,
    req: ExecutorRequest,
  ): Promise<ExecutorAnswer>;

  /** Sets how many idle connections to one executor may be kept. */
  abstract keepIdle(connections: number): void;

  /** Ends all idle connections. */
  abstract close(): void;
}
