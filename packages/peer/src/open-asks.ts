/** Bounds the bytes of the asks that a process answers. */

/** Bytes of open asks of one connection; the longest frame has as many. */
export const MAX_ASK_BYTES = 16 * 1024 * 1024;
/** Bytes of the open asks of all connections together. */
export const MAX_ALL_ASK_BYTES = 32 * 1024 * 1024;
/** A connection with fewer bytes of open asks is not closed for the total. */
const SMALL_BYTES = 1024 * 1024;

/** A connection whose asks are answered. */
export interface AskingConnection {
  closeForLimit(limit: 'openAsks'): void;
}

/**
 * Counts the bytes of asks until they are answered, also those of connections
 * that have closed meanwhile: an ask that is being handled stays in memory.
 */
export class OpenAsks {
  /** The bytes of each open connection. */
  private readonly bytesOf = new Map<AskingConnection, number>();
  private totalBytes = 0;

  /** Bytes of all open asks. */
  get bytes(): number {
    return this.totalBytes;
  }

  /**
   * Adds an ask that has arrived. Where a bound is exceeded, closes its
   * connection, or the one with the most bytes of all.
   *
   * @returns whether the ask is to be handled
   * @example
   * if (!openAsks.add(connection, frameBytes)) return;
   */
  add(connection: AskingConnection, bytes: number): boolean {
    const heldBytes = (this.bytesOf.get(connection) ?? 0) + bytes;
    this.bytesOf.set(connection, heldBytes);
    this.totalBytes += bytes;
    if (heldBytes > MAX_ASK_BYTES) this.close(connection);
    else if (this.totalBytes > MAX_ALL_ASK_BYTES) this.closeLargest();
    if (this.bytesOf.has(connection)) return true;
    this.totalBytes -= bytes;
    return false;
  }

  /** Removes an ask that is answered. */
  remove(connection: AskingConnection, bytes: number): void {
    this.totalBytes -= bytes;
    const heldBytes = this.bytesOf.get(connection);
    if (heldBytes === undefined) return;
    if (heldBytes > bytes) this.bytesOf.set(connection, heldBytes - bytes);
    else this.bytesOf.delete(connection);
  }

  /** Drops the account of a closed connection; its asks count in the total. */
  forget(connection: AskingConnection): void {
    this.bytesOf.delete(connection);
  }

  /** With only small connections left, the total may be exceeded. */
  private closeLargest(): void {
    let largest: AskingConnection | null = null;
    let largestBytes = SMALL_BYTES;
    for (const [each, bytes] of this.bytesOf) {
      if (bytes <= largestBytes) continue;
      largest = each;
      largestBytes = bytes;
    }
    if (largest !== null) this.close(largest);
  }

  private close(connection: AskingConnection): void {
    connection.closeForLimit('openAsks');
    this.forget(connection);
  }
}
