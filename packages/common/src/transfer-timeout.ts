/** Timeout of an HTTP call: in total, or since the last data arrived. */

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
      this.expire(`no response within ${timeoutMs} ms`);
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
      this.expireUnlessReceived(idleTimeoutMs);
    }, idleTimeoutMs);
  }

  /** After a stall of the process, data may wait that has not been read. */
  private expireUnlessReceived(idleTimeoutMs: number): void {
    const {parts} = this;
    setImmediate(() => {
      if (this.isStopped || this.parts > parts) return;
      this.expire(`no data for ${idleTimeoutMs} ms`);
    });
  }

  private expire(reason: string): void {
    this.onTimeout(`${reason}, ${this.receivedBytes} bytes received`);
  }
}
