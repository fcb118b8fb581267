/** Runs a process until a termination signal, then its graceful shutdown. */

/** Exit code when a shutdown was cut short by a second signal or its bound. */
export const FORCED_EXIT_CODE = 70;

/**
 * Calls the given shutdown once at the first SIGTERM or SIGINT and exits 0
 * after it; a second signal, or the bound in milliseconds, exits at once.
 *
 * @example
 * onTermination(async () => gateway.drain(), 30_000);
 */
export function onTermination(
  shutdown: () => Promise<void>,
  boundMs: number,
): void {
  let isStopping = false;
  const stop = (): void => {
    if (isStopping) process.exit(FORCED_EXIT_CODE);
    isStopping = true;
    setTimeout(() => process.exit(FORCED_EXIT_CODE), boundMs).unref();
    shutdown().then(
      () => process.exit(0),
      () => process.exit(FORCED_EXIT_CODE),
    );
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}
