/** Decides whose work a request is, by its key. */
import type {IncomingHttpHeaders} from 'node:http';
import {raise} from '@dragonflyward/common';
import type {QueueConfig} from '@dragonflyward/state';
import type {ConfigView} from './config-view.js';

const BEARER_PATTERN = /^Bearer ([^\s]+)$/;
const MAX_KEY_LENGTH = 512;

/** The team of requests on open queues that come without a key. */
export const NO_TEAM = '';

/** The right of one request; it is checked again before the first byte. */
export interface Access {
  readonly queueName: string;
  readonly queue: QueueConfig;
  readonly team: string;
  /** Throws once the key was withdrawn or the configuration is too old. */
  readonly check: () => void;
}

/**
 * Lets a request onto a queue.
 *
 * @throws configStale, queueUnknown, keyMissing, keyUnknown
 * @example
 * const access = admit(config, 'quotes', req.headers);
 */
export function admit(
  config: ConfigView,
  queueName: string,
  headers: IncomingHttpHeaders,
): Access {
  const key = keyOf(headers);
  const queue = checkedQueue(config, queueName, key);
  const team = key === undefined ? NO_TEAM : teamOf(config, key);
  return {
    queueName,
    queue,
    team,
    check: () => {
      recheck(config, queueName, key, team);
    },
  };
}

/**
 * Finds the team of a request that names no queue.
 *
 * @throws configStale, keyMissing, keyUnknown
 * @example
 * const team = teamOfHeaders(config, req.headers);
 */
export function teamOfHeaders(
  config: ConfigView,
  headers: IncomingHttpHeaders,
): string {
  if (!config.isFresh()) raise('configStale', 'no recent read of the log');
  const key = keyOf(headers);
  if (key === undefined) return raise('keyMissing', 'authorization');
  return teamOf(config, key);
}

function recheck(
  config: ConfigView,
  queueName: string,
  key: string | undefined,
  team: string,
): void {
  checkedQueue(config, queueName, key);
  if (key === undefined) return;
  if (config.teamOfKey(key) !== team) raise('keyUnknown', 'withdrawn');
}

/** A queue open to all takes work without a key at any age of what is known. */
function checkedQueue(
  config: ConfigView,
  queueName: string,
  key: string | undefined,
): QueueConfig {
  const queue = config.queue(queueName);
  if (key === undefined && queue?.isOpen === true) return queue;
  if (!config.isFresh()) raise('configStale', 'no recent read of the log');
  if (queue === undefined) return raise('queueUnknown', queueName);
  if (key === undefined) return raise('keyMissing', queueName);
  return queue;
}

function teamOf(config: ConfigView, key: string): string {
  const team = config.teamOfKey(key);
  if (team === undefined) return raise('keyUnknown', 'no valid key');
  return team;
}

function keyOf(headers: IncomingHttpHeaders): string | undefined {
  const text = headers.authorization;
  if (text === undefined) return undefined;
  if (text.length > MAX_KEY_LENGTH) raise('badRequest', 'the key is too long');
  const match = BEARER_PATTERN.exec(text);
  if (match?.[1] === undefined) return raise('badRequest', 'not a bearer key');
  return match[1];
}
