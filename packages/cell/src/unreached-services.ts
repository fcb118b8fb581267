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
  /** Names of the tasks that may run there; null if any task may. */
  readonly runs: ReadonlySet<string> | null;
}

/** Each service that has such executors. */
export type UnreachedServices = ReadonlyMap<string, UnreachedService>;

const NO_EXECUTORS: UnreachedService = {
  capacity: NOTHING_RESERVED,
  runs: new Set(),
};

/**
 * Adds up the largest capacities of executors that may hold unknown runs: those
 * may use more than a capacity that has shrunk since they were started.
 *
 * @param toldRuns the tasks that may run there; undefined if any task may
 * @example
 * const services = sumServices(executors, each => leases.toldRuns(each));
 */
export function sumServices(
  executors: Iterable<ExecutorState>,
  toldRuns: (executor: ExecutorState) => readonly string[] | undefined,
): UnreachedServices {
  const services = new Map<string, UnreachedService>();
  for (const executor of executors) {
    const {info, largestCapacity} = executor;
    const known = services.get(info.service) ?? NO_EXECUTORS;
    const told = toldRuns(executor);
    const isAnyPossible = known.runs === null || told === undefined;
    services.set(info.service, {
      capacity: addAmounts(known.capacity, largestCapacity),
      runs: isAnyPossible ? null : new Set([...known.runs, ...told]),
    });
  }
  return services;
}
