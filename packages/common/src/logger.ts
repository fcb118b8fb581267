/** The logger of a process, and its periodic line of counters. */
import {pino, type Logger} from 'pino';
import type {Metrics} from './metrics.js';

const COUNTER_LINE_PERIOD_MS = 10_000;
const REDACTED_PATHS = ['key', '*.key', 'authorization', '*.authorization'];

export type {Logger};

/**
 * Creates the logger of a process; it writes JSON lines to standard error.
 *
 * @example
 * const logger = makeLogger('dragonflyward-gateway@vm-1', 'info');
 */
export function makeLogger(process: string, level: string): Logger {
  const options = {name: process, level, redact: REDACTED_PATHS};
  return pino(options, pino.destination({dest: 2, sync: false}));
}

/**
 * Logs all counters as one line at a fixed interval.
 *
 * @returns a function that stops the logging
 * @example
 * const stop = logCounters(logger, metrics);
 */
export function logCounters(logger: Logger, metrics: Metrics): () => void {
  const timer = setInterval(() => {
    logger.info({counters: metrics.snapshot()}, 'counters');
  }, COUNTER_LINE_PERIOD_MS);
  timer.unref();
  return () => {
    clearInterval(timer);
  };
}
