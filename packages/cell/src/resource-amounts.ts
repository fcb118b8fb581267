/** Amounts of resources that tasks take of an executor's capacity. */
import {allocatedCpuMilli} from './executor-state.js';
import type {StepSpec} from './types.js';

/** Amounts of an executor's resources. */
export interface ResourceAmounts {
  readonly cpuMilli: number;
  readonly memMb: number;
  readonly accel: number;
}

export const NOTHING_RESERVED: ResourceAmounts = {
  cpuMilli: 0,
  memMb: 0,
  accel: 0,
};

/**
 * Returns what tasks of a step take of the capacity.
 *
 * @example
 * const amounts = allocatedAmounts(step.spec, step.tasks.length);
 */
export function allocatedAmounts(
  spec: StepSpec,
  count: number,
): ResourceAmounts {
  return {
    cpuMilli: count * allocatedCpuMilli(spec),
    memMb: count * spec.size.memMb,
    accel: count * spec.size.accel,
  };
}

/** Copies the amounts of what may have further fields. */
export function toAmounts({
  cpuMilli,
  memMb,
  accel,
}: ResourceAmounts): ResourceAmounts {
  return {cpuMilli, memMb, accel};
}

/** Adds amounts. */
export function addAmounts(
  a: ResourceAmounts,
  b: ResourceAmounts,
): ResourceAmounts {
  return {
    cpuMilli: a.cpuMilli + b.cpuMilli,
    memMb: a.memMb + b.memMb,
    accel: a.accel + b.accel,
  };
}

/** Subtracts amounts. */
export function subtractAmounts(
  a: ResourceAmounts,
  b: ResourceAmounts,
): ResourceAmounts {
  return {
    cpuMilli: a.cpuMilli - b.cpuMilli,
    memMb: a.memMb - b.memMb,
    accel: a.accel - b.accel,
  };
}

/** Returns the smaller amount of each resource. */
export function minAmounts(
  a: ResourceAmounts,
  b: ResourceAmounts,
): ResourceAmounts {
  return {
    cpuMilli: Math.min(a.cpuMilli, b.cpuMilli),
    memMb: Math.min(a.memMb, b.memMb),
    accel: Math.min(a.accel, b.accel),
  };
}

/** Returns the larger amount of each resource. */
export function maxAmounts(
  a: ResourceAmounts,
  b: ResourceAmounts,
): ResourceAmounts {
  return {
    cpuMilli: Math.max(a.cpuMilli, b.cpuMilli),
    memMb: Math.max(a.memMb, b.memMb),
    accel: Math.max(a.accel, b.accel),
  };
}

/** Whether there is more of any resource in `a` than in `b`. */
export function hasMore(a: ResourceAmounts, b: ResourceAmounts): boolean {
  return a.cpuMilli > b.cpuMilli || a.memMb > b.memMb || a.accel > b.accel;
}
