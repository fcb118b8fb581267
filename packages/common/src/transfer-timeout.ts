/** Timeout of an HTTP call: in total, or since the last data arrived. */

/** Time for the rest of a response that has begun after a stall, in ms. */
const REST_TIMEOUT_MS = 50;

/** The bounds of one call. */
export interface TransferBounds {
  readonly timeoutMs: number;
  readonly idleTimeoutMs?: number;
  readonly onData?: (bytes: number) => void;
}

/** Calls back once if a bound is exceeded before it is stopped. */
export class TransferTimeout {
  private timer: NodeJS.Timeout;
  private receivedBytes = 0;
  private parts = 0;
  private isStopped = false;

  constructor(
    private readonly bounds: TransferBounds,
    private readonly onTimeout: (reason: string) => void,
  ) {
    const {timeoutMs} = bounds;
    this.timer = setTimeout(() => {
      this.expireUnlessReceived(`no response within ${timeoutMs} ms`);
    }, timeoutMs);
  }

  /** Records that a part has arrived; 0 bytes for the head of the response. */
  recordData(bytes: number): void {
    this.receivedBytes += bytes;
    this.parts += 1;
    this.bounds.onData?.(bytes);
    const {idleTimeoutMs} = this.bounds;
    if (idleTimeoutMs !== undefined) this.restart(idleTimeoutMs);
  }

  /** Ends the supervision. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  private restart(idleTimeoutMs: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => {
      this.expireUnlessReceived(`no data for ${idleTimeoutMs} ms`);
    }, idleTimeoutMs);
  }

  /** After a stall of the process, data may wait that has not been read. */
  private expireUnlessReceived(reason: string): void {
    const {parts} = this;
    setImmediate(() => {
      if (this.isStopped) return;
      if (this.parts === parts) return this.expire(reason);
      // What has arrived now may be all; if not, the rest has little time.
      if (this.bounds.idleTimeoutMs !== undefined) return;
      this.timer = setTimeout(() => this.expire(reason), REST_TIMEOUT_MS);
    });
  }

  private expire(reason: string): void {
    this.onTimeout(`${reason}, ${this.receivedBytes} bytes received`);
  }
}
