/** Registers the tests of the guarantees to users, for `npm run prove`. */

/** The guarantees that the project promises its users, each with a short id. */
export const PROMISE_IDS = [
  'overcommit',
  'one-place',
  'team-key',
  'team-limit',
  'whole-answer',
  'not-run-true',
  'at-most-once',
  'leaving-target',
  'graceful-stop',
  'config-in-force',
] as const;

/** The id of one guarantee. */
export type PromiseId = (typeof PROMISE_IDS)[number];

/** Environment variable that limits a run to the tests of guarantees. */
export const PROVE_VARIABLE = 'DRAGONFLYWARD_PROVE';

type TestBody<C> = (context: C) => Promise<void> | void;
type AddTest<C> = (name: string, body: TestBody<C>) => void;

/** The subset of uvu's suite interface that is used here. */
export interface PromiseSuite<C> {
  (name: string, body: TestBody<C>): void;
  readonly only: AddTest<C>;
}

/**
 * Adds a test of a guarantee to a uvu suite and prints its result.
 *
 * @example
 * promiseTest(shard, 'overcommit', 'adopts what runs', async () => {…});
 */
export function promiseTest<C>(
  suite: PromiseSuite<C>,
  promise: PromiseId,
  name: string,
  body: TestBody<C>,
): void {
  report(promise, 'declared', name);
  const add = process.env[PROVE_VARIABLE] === undefined ? suite : suite.only;
  add(name, async context => {
    try {
      await body(context);
    } catch (err) {
      report(promise, 'failed', name);
      throw err;
    }
    report(promise, 'passed', name);
  });
}

type TestState = 'declared' | 'passed' | 'failed';

function report(promise: PromiseId, state: TestState, name: string): void {
  process.stdout.write(`\npromise ${promise} ${state} ${name}\n`);
}
