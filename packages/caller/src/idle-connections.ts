/** How many idle connections to an executor one gateway may keep. */
import type {VmEntry} from '@dragonflyward/vms';

/** Connections left for requests, as multiples of an executor's slots. */
const SLOTS_FACTOR = 2;

/**
 * Divides what the executors' connections leave beside the requests among
 * all gateways.
 *
 * @example
 * idleConnections(executors, 9); // 5 at 64 connections and 8 slots
 */
export function idleConnections(
  executors: readonly VmEntry[],
  gateways: number,
): number {
  const spare = executors.map(
    ({connections, capacity}) => connections - SLOTS_FACTOR * capacity.slots,
  );
  const least = Math.min(...spare, Infinity);
  if (!Number.isFinite(least)) return 0;
  return Math.max(0, Math.floor(least / Math.max(1, gateways)));
}
