/** Arithmetic on resource amounts. */
import {NO_RESOURCES, type Resources} from '@dragonflyward/common';

/**
 * Returns the dominant share: the largest fraction of the total that an amount
 * takes of any one resource.
 *
 * @example
 * const share = dominantShare(team.used, teams.capacity); // 0.25
 */
export function dominantShare(amount: Resources, total: Resources): number {
  return Math.max(
    fractionOf(amount.cpuMilli, total.cpuMilli),
    fractionOf(amount.memMb, total.memMb),
    fractionOf(amount.accel, total.accel),
    fractionOf(amount.slots, total.slots),
  );
}

function fractionOf(amount: number, total: number): number {
  if (amount <= 0) return 0;
  return total > 0 ? amount / total : 1;
}

/**
 * Returns how many amounts of this size fit in the room.
 *
 * @example
 * const tasks = countFits(job.size, worker.free);
 */
export function countFits(size: Resources, room: Resources): number {
  return Math.min(
    countFitsOfOne(size.cpuMilli, room.cpuMilli),
    countFitsOfOne(size.memMb, room.memMb),
    countFitsOfOne(size.accel, room.accel),
    countFitsOfOne(size.slots, room.slots),
  );
}

function countFitsOfOne(size: number, room: number): number {
  if (room < size) return 0;
  return size === 0 ? Infinity : Math.floor(room / size);
}

/**
 * Returns a map key that is equal for equal amounts.
 *
 * @example
 * blocked.add(sizeKey(job.size));
 */
export function sizeKey(size: Resources): string {
  return `${size.cpuMilli}/${size.memMb}/${size.accel}/${size.slots}`;
}

/**
 * Returns whether two amounts are equal.
 *
 * @example
 * if (isSameAmount(task.size, wanted)) return;
 */
export function isSameAmount(a: Resources, b: Resources): boolean {
  return (
    a.cpuMilli === b.cpuMilli &&
    a.memMb === b.memMb &&
    a.accel === b.accel &&
    a.slots === b.slots
  );
}

/**
 * Returns whether an amount is zero for every resource.
 *
 * @example
 * if (isZeroAmount(worker.held)) return worker.free;
 */
export function isZeroAmount(amount: Resources): boolean {
  return isSameAmount(amount, NO_RESOURCES);
}

/**
 * Returns the maximum of two amounts, resource by resource.
 *
 * @example
 * largest = maxAmount(largest, worker.capacity);
 */
export function maxAmount(a: Resources, b: Resources): Resources {
  return {
    cpuMilli: Math.max(a.cpuMilli, b.cpuMilli),
    memMb: Math.max(a.memMb, b.memMb),
    accel: Math.max(a.accel, b.accel),
    slots: Math.max(a.slots, b.slots),
  };
}
