/** Arithmetic on amounts of resources that the placement needs. */
import {
  NO_RESOURCES,
  RESOURCE_NAMES,
  type Resources,
} from '@dragonflyward/common';

/**
 * The largest part of the total that an amount takes of any one resource.
 *
 * @example
 * const share = dominantShare(team.used, cell.total); // 0.25
 */
export function dominantShare(amount: Resources, total: Resources): number {
  let share = 0;
  for (const name of RESOURCE_NAMES) {
    const part = amount[name];
    if (part <= 0) continue;
    share = Math.max(share, total[name] > 0 ? part / total[name] : 1);
  }
  return share;
}

/**
 * How many amounts of one size fit in the room.
 *
 * @example
 * const tasks = countFits(job.size, worker.free);
 */
export function countFits(size: Resources, room: Resources): number {
  let count = Infinity;
  for (const name of RESOURCE_NAMES) {
    if (size[name] === 0) {
      if (room[name] < 0) return 0;
      continue;
    }
    count = Math.min(count, Math.floor(room[name] / size[name]));
  }
  return Math.max(0, count);
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
