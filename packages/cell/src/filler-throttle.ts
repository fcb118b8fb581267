/** Throttling of filler tasks that share an executor with service tasks. */

/** Fillers are throttled above this ratio of tail latency to target. */
const THROTTLE_RATIO = 0.8;
/** Fillers are paused above this ratio. */
const PAUSE_RATIO = 1;
/** Fillers are given more processor time below this ratio. */
const INCREASE_RATIO = 0.6;
/** Size of one increase, in percentage points. */
const INCREASE_STEP = 20;

/**
 * Computes the processor percentage that filler tasks may use next. It is
 * halved near the latency target and raised in small steps, so that
 * interference with a service under changing load ends faster than it builds
 * up.
 *
 * @param ratio the highest ratio of tail latency to target on the executor
 * @example
 * nextFillerPercent(100, 0.9); // 50
 */
export function nextFillerPercent(percent: number, ratio: number): number {
  if (ratio > PAUSE_RATIO) return 0;
  if (ratio > THROTTLE_RATIO) return Math.floor(percent / 2);
  if (ratio < INCREASE_RATIO) return Math.min(100, percent + INCREASE_STEP);
  return percent;
}
