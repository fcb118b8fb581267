/** Waits for conditions with a timeout. */
import {setTimeout as sleep} from 'node:timers/promises';
import {raise} from '@dragonflyward/common';

const CHECK_PERIOD_MS = 50;

/** The value of a condition that is met. */
export type ConditionResult<T> = Exclude<T, false | null | undefined>;

/**
 * Polls until the condition returns neither false, null nor undefined. A
 * condition that throws counts as not yet met.
 *
 * @throws deadlinePassed, with the description and the last error
 * @example
 * await waitUntil('two workers', 5_000, () => workers.size === 2);
 */
export async function waitUntil<T>(
  description: string,
  timeoutMs: number,
  condition: () => T | Promise<T>,
): Promise<ConditionResult<T>> {
  const endMs = performance.now() + timeoutMs;
  let lastError = '';
  while (performance.now() < endMs) {
    try {
      const value = await condition();
      if (value !== false && value != null) return value as ConditionResult<T>;
    } catch (err) {
      lastError = String(err);
    }
    await sleep(CHECK_PERIOD_MS);
  }
  return raise(
    'deadlinePassed',
    `${description}: not met within ${timeoutMs} ms ${lastError}`,
  );
}
