/** Waiting on conditions within a bound. */
import {setTimeout as sleep} from 'node:timers/promises';
import {raise} from '@dragonflyward/common';

const CHECK_PERIOD_MS = 50;

/** What a check returns once it is met. */
export type Met<T> = Exclude<T, false | null | undefined>;

/**
 * Waits until the check returns a value that is neither false nor undefined;
 * a check that throws counts as not yet met.
 *
 * @throws deadlinePassed, with what was waited for
 * @example
 * await waitUntil('two workers', 5_000, () => workers.size === 2);
 */
export async function waitUntil<T>(
  what: string,
  boundMs: number,
  check: () => T | Promise<T>,
): Promise<Met<T>> {
  const endMs = performance.now() + boundMs;
  let last = '';
  while (performance.now() < endMs) {
    try {
      const value = await check();
      if (value !== false && value != null) return value as Met<T>;
    } catch (err) {
      last = String(err);
    }
    await sleep(CHECK_PERIOD_MS);
  }
  return raise('deadlinePassed', `${what} within ${boundMs} ms ${last}`);
}
