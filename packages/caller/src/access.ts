/** Authorizes requests by their team key. */
import type {IncomingHttpHeaders} from 'node:http';
import {raise} from '@dragonflyward/common';
import type {QueueConfig} from '@dragonflyward/state';
import type {ConfigView} from './config-view.js';

const BEARER_PATTERN = /^Bearer ([^\s]+)$/;
const MAX_KEY_LENGTH = 512;

/** The team of requests without a key, which only open queues accept. */
export const NO_TEAM = '';

/** The access of one request to a queue; rechecked before the first byte. */
export interface Access {
  readonly queueName: string;
  readonly queue: QueueConfig;
  readonly team: string;
  /** Throws if the key was withdrawn or the configuration is too old. */
  readonly check: () => void;
}

/**
 * Authorizes a request to a queue.
 *
 * @throws configStale, queueUnknown, keyMissing, keyUnknown
 * @example
 * const access = authorize(config, 'quotes', req.headers);
 */
export function authorize(
  config: ConfigView,
  queueName: string,
  headers: IncomingHttpHeaders,
): Access {
  const key = readKey(headers);
  const queue = findPermittedQueue(config, queueName, key);
  const team = key === undefined ? NO_TEAM : findTeam(config, key);
  return {
    queueName,
    queue,
    team,
    check: () => {
      recheckAccess(config, queueName, key, team);
    },
  };
}

/**
 * Finds the team of a request by its key, without reference to a queue.
 *
 * @throws configStale, keyMissing, keyUnknown
 * @example
 * const team = authenticateTeam(config, req.headers);
 */
export function authenticateTeam(
  config: ConfigView,
  headers: IncomingHttpHeaders,
): string {
  if (!config.isFresh()) raise('configStale', 'the log was not read recently');
  const key = readKey(headers);
  if (key === undefined) return raise('keyMissing', 'authorization');
  return findTeam(config, key);
}

function recheckAccess(
  config: ConfigView,
  queueName: string,
  key: string | undefined,
  team: string,
): void {
  findPermittedQueue(config, queueName, key);
  if (key === undefined) return;
  if (config.teamOfKey(key) !== team) raise('keyUnknown', 'withdrawn');
}

/**
 * Finds the queue if the request may use it. An open queue accepts requests
 * without a key even if the configuration is too old.
 */
function findPermittedQueue(
  config: ConfigView,
  queueName: string,
  key: string | undefined,
): QueueConfig {
  const queue = config.queue(queueName);
  if (key === undefined && queue?.isOpen === true) return queue;
  if (!config.isFresh()) raise('configStale', 'the log was not read recently');
  if (queue === undefined) return raise('queueUnknown', queueName);
  if (key === undefined) return raise('keyMissing', queueName);
  return queue;
}

function findTeam(config: ConfigView, key: string): string {
  const team = config.teamOfKey(key);
  if (team === undefined) return raise('keyUnknown', 'no valid key');
  return team;
}

function readKey(headers: IncomingHttpHeaders): string | undefined {
  const text = headers.authorization;
  if (text === undefined) return undefined;
  if (text.length > MAX_KEY_LENGTH) raise('badRequest', 'the key is too long');
  const match = BEARER_PATTERN.exec(text);
  if (match?.[1] === undefined) return raise('badRequest', 'not a bearer key');
  return match[1];
}
