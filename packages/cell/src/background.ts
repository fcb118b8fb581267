/** Work that goes on beside other work: an unexpected error ends only itself. */
import type {Clock} from '@dragonflyward/common';
import type {LogFunction} from './platform.js';
import type {StoredRecord} from './store.js';

/** Delay before work that has ended with an error begins again, in ms. */
const RESTART_DELAY_MS = 200;
/** The most characters of an error in a log line. */
const MAX_ERROR_LENGTH = 500;

/** Describes an error for the log, with the place where it was thrown. */
export function describeError(err: unknown): string {
  const text = err instanceof Error ? (err.stack ?? err.message) : String(err);
  return text.slice(0, MAX_ERROR_LENGTH);
}

/**
 * Logs the error with which the work ends, if any.
 *
 * @example
 * runInBackground('startOrder', loop.start(task, ticket), log);
 */
export function runInBackground(
  task: string,
  work: Promise<unknown>,
  log: LogFunction,
): void {
  work.catch((err: unknown) => {
    log('taskFailed', {task, err: describeError(err)});
  });
}

/**
 * Runs work until it ends; begins it again after an unexpected error.
 *
 * @example
 * void keepRunning('ownerTick', () => this.tickLoop(), {clock, log});
 */
export async function keepRunning(
  task: string,
  work: () => Promise<void>,
  {clock, log}: {readonly clock: Clock; readonly log: LogFunction},
): Promise<void> {
  for (;;) {
    try {
      return await work();
    } catch (err) {
      log('taskFailed', {task, err: describeError(err), isRepeated: true});
      await clock.sleep(RESTART_DELAY_MS);
    }
  }
}

/**
 * Passes records on; one that cannot be applied is logged and left out.
 *
 * @example
 * new Follower(store, clock, options, skipInvalid(log, record => apply(record)));
 */
export function skipInvalid(
  log: LogFunction,
  apply: (record: StoredRecord) => void,
): (record: StoredRecord) => void {
  return record => {
    try {
      apply(record);
    } catch (err) {
      const {key, offset} = record;
      log('recordSkipped', {key, offset, reason: describeError(err)});
    }
  };
}
