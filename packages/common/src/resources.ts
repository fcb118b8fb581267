/** Resource amounts of workers, executors and tasks. */

/** An amount of each resource, in whole numbers. */
export interface Resources {
  /** Thousandths of a processor core. */
  readonly cpuMilli: number;
  /** Memory in MiB. */
  readonly memMb: number;
  /** Whole accelerators. */
  readonly accel: number;
  /** Request slots of executors. */
  readonly slots: number;
}

/** All resource names, in a fixed order. */
export const RESOURCE_NAMES = ['cpuMilli', 'memMb', 'accel', 'slots'] as const;

/** Zero of every resource. */
export const NO_RESOURCES: Resources = {
  cpuMilli: 0,
  memMb: 0,
  accel: 0,
  slots: 0,
};

/**
 * Adds two amounts.
 *
 * @example
 * const used = addResources(a, b);
 */
export function addResources(a: Resources, b: Resources): Resources {
  return {
    cpuMilli: a.cpuMilli + b.cpuMilli,
    memMb: a.memMb + b.memMb,
    accel: a.accel + b.accel,
    slots: a.slots + b.slots,
  };
}

/**
 * Subtracts the second amount from the first; the result may be negative.
 *
 * @example
 * const free = subtractResources(capacity, used);
 */
export function subtractResources(a: Resources, b: Resources): Resources {
  return {
    cpuMilli: a.cpuMilli - b.cpuMilli,
    memMb: a.memMb - b.memMb,
    accel: a.accel - b.accel,
    slots: a.slots - b.slots,
  };
}

/**
 * Multiplies each resource of an amount by a factor and rounds down.
 *
 * @example
 * const half = scaleResources(capacity, 0.5);
 */
export function scaleResources(a: Resources, factor: number): Resources {
  return {
    cpuMilli: Math.floor(a.cpuMilli * factor),
    memMb: Math.floor(a.memMb * factor),
    accel: Math.floor(a.accel * factor),
    slots: Math.floor(a.slots * factor),
  };
}

/**
 * Tells whether the available resources cover the required ones.
 *
 * @example
 * if (!fitsIn(task.size, free)) continue;
 */
export function fitsIn(required: Resources, available: Resources): boolean {
  return (
    required.cpuMilli <= available.cpuMilli &&
    required.memMb <= available.memMb &&
    required.accel <= available.accel &&
    required.slots <= available.slots
  );
}
