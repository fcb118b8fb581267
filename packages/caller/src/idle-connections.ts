/** Computes how many idle connections per executor a gateway may keep. */
import type {VmEntry} from '@dragonflyward/vms';

/** Connections reserved for running requests, per slot of an executor. */
const CONNECTIONS_PER_SLOT = 2;

/**
 * Divides the connections that executors do not need for running requests
 * among all gateways. The executor with the fewest determines the result.
 *
 * @example
 * idleConnectionsPerExecutor(executors, 9); // 5 at 64 connections and 8 slots
 */
export function idleConnectionsPerExecutor(
  executors: readonly VmEntry[],
  gateways: number,
): number {
  const spare = executors.map(
    ({connections, capacity}) =>
      connections - CONNECTIONS_PER_SLOT * capacity.slots,
  );
  const minSpare = Math.min(...spare, Infinity);
  if (!Number.isFinite(minSpare)) return 0;
  return Math.max(0, Math.floor(minSpare / Math.max(1, gateways)));
}
