/** Selects the connections that hold too many unread bytes. */

/** Bytes queued on all accepted connections of a server together. */
export const MAX_QUEUED_BYTES = 32 * 1024 * 1024;
/**
 * A connection with at most this many queued bytes is not closed for them. A
 * notice to all VMs is one buffer that each connection's queue counts, so small
 * queues on many connections take little memory.
 */
export const SMALL_QUEUE_BYTES = 1024 * 1024;

/** A connection with bytes that its peer has not read. */
export interface QueueHolder {
  readonly queuedBytes: number;
}

/**
 * Selects the connections to close, those with the longest queues first, until
 * the others are within the bound or all have small queues.
 *
 * @example
 * for (const each of selectLongQueues(connections)) each.close();
 */
export function selectLongQueues<T extends QueueHolder>(
  connections: Iterable<T>,
): readonly T[] {
  let totalBytes = 0;
  const long: T[] = [];
  for (const each of connections) {
    totalBytes += each.queuedBytes;
    if (each.queuedBytes > SMALL_QUEUE_BYTES) long.push(each);
  }
  if (totalBytes <= MAX_QUEUED_BYTES) return [];
  long.sort((a, b) => b.queuedBytes - a.queuedBytes);
  let closed = 0;
  for (const {queuedBytes} of long) {
    if (totalBytes <= MAX_QUEUED_BYTES) break;
    totalBytes -= queuedBytes;
    closed += 1;
  }
  return long.slice(0, closed);
}
