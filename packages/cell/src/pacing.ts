/** How much the tasks that fill may work beside tasks with a target. */

/** Above this part of the target, tasks that fill are slowed down. */
const SLOW_DOWN_RATIO = 0.8;
/** Above this part of the target, tasks that fill stand still. */
const STAND_STILL_RATIO = 1;
/** Below this part of the target, tasks that fill get more. */
const SPEED_UP_RATIO = 0.6;
/** What tasks that fill get back at once, in percent. */
const SPEED_UP_STEP = 20;

/**
 * The percentage at which tasks that fill may go on. Halves it near the
 * target and raises it in steps, so that a disturbance that follows the load
 * of the service is undone faster than it is caused.
 *
 * @param ratio the worst tail latency on the executor against its target
 * @example
 * nextFillPercent(100, 0.9); // 50
 */
export function nextFillPercent(percent: number, ratio: number): number {
  if (ratio > STAND_STILL_RATIO) return 0;
  if (ratio > SLOW_DOWN_RATIO) return Math.floor(percent / 2);
  if (ratio < SPEED_UP_RATIO) return Math.min(100, percent + SPEED_UP_STEP);
  return percent;
}
