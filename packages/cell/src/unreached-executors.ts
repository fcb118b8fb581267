/** The executors that may hold runs that are not known, at one time. */
import type {ExecutorState} from './executor-state.js';
import {servicesOf, taskName, type TaskState} from './job-state.js';
import {
  addAmounts,
  NOTHING_RESERVED,
  type ResourceAmounts,
} from './resource-amounts.js';

/** An executor that may hold unknown runs. */
export interface UnreachedExecutor {
  readonly executor: ExecutorState;
  /** The services under which owners may have used it. */
  readonly services: readonly string[];
  /** The tasks that may run there; undefined if any task may. */
  readonly runs: readonly string[] | undefined;
  /** By when they are expected to have ended. */
  readonly untilMs: number;
}

/**
 * Tells where runs may be that are not known. A task may have one wherever its
 * queue was sent, and where its name was told.
 */
export class UnreachedExecutors {
  /** By service, until when any task that was sent there may run. */
  private readonly anyUntilMs = new Map<string, number>();
  /** By task, until when it may run where its name was told. */
  private readonly namedUntilMs = new Map<string, number>();
  private readonly services = new Set<string>();

  constructor(private readonly executors: readonly UnreachedExecutor[]) {
    for (const {services, runs, untilMs} of executors) {
      for (const service of services) this.services.add(service);
      const untilOf = runs === undefined ? this.anyUntilMs : this.namedUntilMs;
      for (const key of runs ?? services) {
        untilOf.set(key, Math.max(untilOf.get(key) ?? -Infinity, untilMs));
      }
    }
  }

  /** Whether there is none. */
  get isEmpty(): boolean {
    return this.executors.length === 0;
  }

  /** Names of the tasks that may run where they were told to. */
  get taskNames(): Iterable<string> {
    return this.namedUntilMs.keys();
  }

  /**
   * By when unknown runs of a task, if it was started, are expected to have
   * ended; null if there is no executor on which one may be.
   *
   * @example
   * const waitMs = (unreached.untilMs(task) ?? nowMs) - nowMs;
   */
  untilMs(task: TaskState): number | null {
    const anyMs = this.untilOnMs(servicesOf(task.step.occurrence.job));
    if (this.namedUntilMs.size === 0) return anyMs;
    const namedMs = this.namedUntilMs.get(taskName(task));
    if (namedMs === undefined) return anyMs;
    return Math.max(namedMs, anyMs ?? -Infinity);
  }

  /** Until when any task that was sent to the services may run there. */
  untilOnMs(services: readonly string[]): number | null {
    let latestMs: number | null = null;
    for (const service of services) {
      const untilMs = this.anyUntilMs.get(service);
      if (untilMs === undefined) continue;
      latestMs = Math.max(latestMs ?? -Infinity, untilMs);
    }
    return latestMs;
  }

  /** Whether one of them was used under any of the services. */
  serveAny(services: readonly string[]): boolean {
    return services.some(service => this.services.has(service));
  }

  /**
   * Adds up the largest capacities of those of the services: runs may use more
   * than a capacity that has shrunk since they were started.
   */
  capacityOf(services: readonly string[]): ResourceAmounts {
    return this.executors
      .filter(each => each.services.some(service => services.includes(service)))
      .reduce(
        (sum, {executor}) => addAmounts(sum, executor.largestCapacity),
        NOTHING_RESERVED,
      );
  }
}
