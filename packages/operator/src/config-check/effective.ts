/** Queues and teams as the processes see them, with exceptions applied. */
import type {JsonPath} from '@dragonflyward/common';
import {
  applyExceptions,
  type Configuration,
  type QueueConfig,
  type TeamConfig,
} from '@dragonflyward/state';

/**
 * Returns the queues with the exceptions applied.
 *
 * @example
 * const service = effectiveQueues(cfg).get('quotes')?.service;
 */
export function effectiveQueues({
  defaults,
  exceptions,
}: Configuration): ReadonlyMap<string, QueueConfig> {
  return applyExceptions(defaults.queues, 'queue', exceptions);
}

/**
 * Returns the teams with the exceptions applied.
 *
 * @example
 * const limit = effectiveTeams(cfg).get('roofs')?.limit;
 */
export function effectiveTeams({
  defaults,
  exceptions,
}: Configuration): ReadonlyMap<string, TeamConfig> {
  return applyExceptions(defaults.teams, 'team', exceptions);
}

/**
 * Returns the path of the value that decides a field: the last exception that
 * sets it, or the default.
 *
 * @example
 * sourceOf(cfg, 'team', 'roofs', 'share'); // ['exceptions', 0, 'set', 'share']
 */
export function sourceOf(
  {exceptions}: Configuration,
  kind: 'queue' | 'team',
  name: string,
  field: string,
): JsonPath {
  const i = exceptions.findLastIndex(
    ({scope, set}) => scope[kind] === name && Object.hasOwn(set, field),
  );
  if (i >= 0) return ['exceptions', i, 'set', field];
  const entry = ['defaults', `${kind}s`, name];
  return field === '' ? entry : [...entry, field];
}
