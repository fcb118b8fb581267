/** Arithmetic on amounts of resources that the placement needs. */
import {NO_RESOURCES, type Resources} from '@dragonflyward/common';

/**
 * The largest part of the total that an amount takes of any one resource.
 *
 * @example
 * const share = dominantShare(team.used, cell.total); // 0.25
 */
export function dominantShare(amount: Resources, total: Resources): number {
  return Math.max(
    partOf(amount.cpuMilli, total.cpuMilli),
    partOf(amount.memMb, total.memMb),
    partOf(amount.accel, total.accel),
    partOf(amount.slots, total.slots),
  );
}

function partOf(amount: number, total: number): number {
  if (amount <= 0) return 0;
  return total > 0 ? amount / total : 1;
}

/**
 * How many amounts of one size fit in the room.
 *
 * @example
 * const tasks = countFits(job.size, worker.free);
 */
export function countFits(size: Resources, room: Resources): number {
  return Math.min(
    countPart(size.cpuMilli, room.cpuMilli),
    countPart(size.memMb, room.memMb),
    countPart(size.accel, room.accel),
    countPart(size.slots, room.slots),
  );
}

function countPart(size: number, room: number): number {
  if (room < size) return 0;
  return size === 0 ? Infinity : Math.floor(room / size);
}

/**
 * A text that is equal for equal amounts.
 *
 * @example
 * blocked.add(sizeKey(job.size));
 */
export function sizeKey(size: Resources): string {
  return `${size.cpuMilli}/${size.memMb}/${size.accel}/${size.slots}`;
}

/**
 * Tells whether two amounts are equal.
 *
 * @example
 * if (isSameSize(task.size, wanted)) return;
 */
export function isSameSize(a: Resources, b: Resources): boolean {
  return (
    a.cpuMilli === b.cpuMilli &&
    a.memMb === b.memMb &&
    a.accel === b.accel &&
    a.slots === b.slots
  );
}

/**
 * Tells whether an amount is nothing.
 *
 * @example
 * if (isNothing(worker.held)) return worker.free;
 */
export function isNothing(amount: Resources): boolean {
  return isSameSize(amount, NO_RESOURCES);
}

/**
 * The larger part of each resource.
 *
 * @example
 * largest = mostOf(largest, worker.capacity);
 */
export function mostOf(a: Resources, b: Resources): Resources {
  return {
    cpuMilli: Math.max(a.cpuMilli, b.cpuMilli),
    memMb: Math.max(a.memMb, b.memMb),
    accel: Math.max(a.accel, b.accel),
    slots: Math.max(a.slots, b.slots),
  };
}
