/**
 * The executors that may still have room in a scheduling round. With hundreds of
 * steps and executors, most of a round would go into looking at full ones.
 */
import type {ExecutorState} from '../executor-state.js';
import type {StepState} from '../job-state.js';
import {
  allocatedAmounts,
  minAmounts,
  NOTHING_RESERVED,
  type ResourceAmounts,
} from '../resource-amounts.js';

/** Resources that are reserved in a round, besides those in use. */
type Reservations = ReadonlyMap<ExecutorState, ResourceAmounts>;

/** The smallest amounts that tasks of the steps of each service take. */
type SmallestTasks = ReadonlyMap<string, ResourceAmounts>;

/**
 * Finds the smallest amounts of each resource that a task of the steps takes,
 * by service.
 *
 * @example
 * const open = new OpenExecutors(smallestTasks(steps));
 */
export function smallestTasks(steps: Iterable<StepState>): SmallestTasks {
  const smallest = new Map<string, ResourceAmounts>();
  for (const {spec, occurrence} of steps) {
    const {service} = occurrence.job.queue;
    const amounts = allocatedAmounts(spec, 1);
    const known = smallest.get(service);
    smallest.set(service, known ? minAmounts(known, amounts) : amounts);
  }
  return smallest;
}

/**
 * Keeps, for each list of executors and each kind of reservations, those on
 * which the smallest task still fits. In a round, what is in use or reserved
 * only grows.
 */
export class OpenExecutors {
  private readonly lists = new Map<
    readonly ExecutorState[],
    Map<Reservations, readonly ExecutorState[]>
  >();

  constructor(private readonly smallest: SmallestTasks) {}

  /**
   * The executors of the list, in its order, that may have room for a task of
   * the service beside what is reserved.
   *
   * @example
   * for (const each of open.in(capacity.schedulable, 'web', reserved)) try(each);
   */
  in(
    executors: readonly ExecutorState[],
    service: string,
    reserved: Reservations,
  ): readonly ExecutorState[] {
    const byReservations = this.lists.get(executors) ?? new Map();
    this.lists.set(executors, byReservations);
    const known = byReservations.get(reserved);
    if (known !== undefined) return known;
    const open = this.findOpen(executors, service, reserved);
    byReservations.set(reserved, open);
    return open;
  }

  /** Leaves out executors that have become full since the list was made. */
  update(
    executors: readonly ExecutorState[],
    service: string,
    reserved: Reservations,
  ): void {
    const byReservations = this.lists.get(executors);
    const known = byReservations?.get(reserved);
    if (byReservations === undefined || known === undefined) return;
    byReservations.set(reserved, this.findOpen(known, service, reserved));
  }

  private findOpen(
    executors: readonly ExecutorState[],
    service: string,
    reserved: Reservations,
  ): readonly ExecutorState[] {
    const smallest = this.smallest.get(service) ?? NOTHING_RESERVED;
    return executors.filter(each =>
      fits(smallest, each, reserved.get(each) ?? NOTHING_RESERVED),
    );
  }
}

function fits(
  {cpuMilli, memMb, accel}: ResourceAmounts,
  {info, usedCpuMilli, usedMemMb, usedAccel}: ExecutorState,
  reserved: ResourceAmounts,
): boolean {
  const {capacity} = info;
  return (
    usedCpuMilli + reserved.cpuMilli + cpuMilli <= capacity.cpuMilli &&
    usedMemMb + reserved.memMb + memMb <= capacity.memMb &&
    usedAccel + reserved.accel + accel <= capacity.accel
  );
}
