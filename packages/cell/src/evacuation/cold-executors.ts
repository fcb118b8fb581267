/**
 * How much load goes to executors that are slow for some time after their
 * start. A failure domain that returns has many of them, all idle.
 */

/** An executor that stays slow for this much longer is entirely cold, in ms. */
const FULLY_COLD_MS = 10_000;
/** Added to the slowness of an executor that is entirely cold. */
const COLD_SLOWNESS = 1.5;
/** Cost of an executor in use; more than what packing takes off, which is 1. */
const USED_COST = 2;

/** What is known of an executor that may be cold. */
interface ColdExecutor {
  /** Until when it is slow, on the owner's monotonic clock; 0 if it is not. */
  readonly coldUntilMs: number;
}

/**
 * Until when an executor that describes itself now stays slow; 0 if it is not.
 *
 * @param nowMs on the owner's monotonic clock
 */
export function coldUntilMs(
  {coldRemainingMs}: {readonly coldRemainingMs: number},
  nowMs: number,
): number {
  return coldRemainingMs > 0 ? Math.max(0, nowMs + coldRemainingMs) : 0;
}

/** How cold an executor is: 1 for entirely, falling to 0 as it warms up. */
export function coldness({coldUntilMs}: ColdExecutor, nowMs: number): number {
  const leftMs = coldUntilMs - nowMs;
  return Math.max(0, Math.min(1, leftMs / FULLY_COLD_MS));
}

/**
 * Cost of placing a task on an executor because it is cold; 0 on a warm one.
 * Warm executors with room go first. Cold ones get the rest in even shares:
 * packed like others, one after the other would be full at once.
 *
 * @param slownessWeight cost of one unit of slowness
 * @param usedShare the share of its scarcest resource that is in use
 * @example
 * cost += coldCost(executor, nowMs, slownessWeight, 1 - freeShare(executor));
 */
export function coldCost(
  executor: ColdExecutor,
  nowMs: number,
  slownessWeight: number,
  usedShare: number,
): number {
  const cold = coldness(executor, nowMs);
  if (cold === 0) return 0;
  return slownessWeight * COLD_SLOWNESS * cold + USED_COST * usedShare;
}

/**
 * Puts cold executors behind others, the coldest last; keeps the order if none
 * is cold.
 *
 * @example
 * const order = coldLast(schedulable, nowMs);
 */
export function coldLast<T extends ColdExecutor>(
  executors: readonly T[],
  nowMs: number,
): readonly T[] {
  if (!executors.some(({coldUntilMs}) => coldUntilMs > nowMs)) return executors;
  return [...executors].sort((a, b) => coldness(a, nowMs) - coldness(b, nowMs));
}
