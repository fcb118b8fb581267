/** Graceful shutdown on termination signals. */

/** Exit code of a shutdown that failed, timed out or was interrupted. */
export const FORCED_EXIT_CODE = 70;

/**
 * Runs the shutdown on the first SIGTERM or SIGINT and then exits with 0. A
 * second signal, a failed shutdown or the timeout exits at once with
 * `FORCED_EXIT_CODE`.
 *
 * @example
 * onTermination(async () => gateway.drain(), 30_000);
 */
export function onTermination(
  shutdown: () => Promise<void>,
  timeoutMs: number,
): void {
  let isStopping = false;
  const stop = (): void => {
    if (isStopping) process.exit(FORCED_EXIT_CODE);
    isStopping = true;
    setTimeout(() => process.exit(FORCED_EXIT_CODE), timeoutMs).unref();
    shutdown().then(
      () => process.exit(0),
      () => process.exit(FORCED_EXIT_CODE),
    );
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}
