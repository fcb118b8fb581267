/** The services that have executors with runs that are not known. */
import type {ExecutorState} from './executor-state.js';
import {
  addAmounts,
  NOTHING_RESERVED,
  type ResourceAmounts,
} from './resource-amounts.js';

/** The executors of a service that may hold unknown runs. */
export interface UnreachedService {
  readonly capacity: ResourceAmounts;
  /** Until when any task may run there; null if only those named may. */
  readonly anyUntilMs: number | null;
  /** Until when the tasks that may run there by name may do so. */
  readonly namedUntilMs: ReadonlyMap<string, number>;
}

/** Each service that has such executors. */
export type UnreachedServices = ReadonlyMap<string, UnreachedService>;

/** An executor that may hold unknown runs. */
export interface UnreachedExecutor {
  readonly executor: ExecutorState;
  /** The tasks that may run there; undefined if any task may. */
  readonly runs: readonly string[] | undefined;
  /** By when they are expected to have ended. */
  readonly untilMs: number;
}

/**
 * Adds up the largest capacities of executors that may hold unknown runs: those
 * may use more than a capacity that has shrunk since they were started.
 *
 * @example
 * const services = sumServices(unreachedExecutors);
 */
export function sumServices(
  executors: Iterable<UnreachedExecutor>,
): UnreachedServices {
  const services = new Map<string, UnreachedService>();
  const namedBy = new Map<string, Map<string, number>>();
  for (const {executor, runs, untilMs} of executors) {
    const {info, largestCapacity} = executor;
    const {service} = info;
    const known = services.get(service);
    const namedUntilMs = namedBy.get(service) ?? new Map<string, number>();
    namedBy.set(service, namedUntilMs);
    for (const name of runs ?? []) {
      const knownMs = namedUntilMs.get(name) ?? -Infinity;
      namedUntilMs.set(name, Math.max(knownMs, untilMs));
    }
    const anyMs = known?.anyUntilMs ?? null;
    services.set(service, {
      capacity: addAmounts(
        known?.capacity ?? NOTHING_RESERVED,
        largestCapacity,
      ),
      anyUntilMs:
        runs === undefined ? Math.max(anyMs ?? -Infinity, untilMs) : anyMs,
      namedUntilMs,
    });
  }
  return services;
}
