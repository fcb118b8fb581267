/** Finds limits that contradict each other. */
import {RESOURCE_NAMES, type Resources} from '@dragonflyward/common';
import {MAX_JOB_BYTES, type Configuration} from '@dragonflyward/state';
import {effectiveQueues, effectiveTeams, sourceOf} from './effective.js';
import type {Finding} from './finding.js';
import type {Inventory} from './inventory.js';
import {ROUNDING, teamFractions, toPercent} from './team-shares.js';

/**
 * Finds limits that contradict each other, whatever the VMs are.
 *
 * @example
 * const findings = [...findContradictions(cfg)];
 */
export function* findContradictions(cfg: Configuration): Generator<Finding> {
  const queues = effectiveQueues(cfg);
  for (const [name, {service, maxWaiting, maxBodyBytes}] of queues) {
    if (maxWaiting === 0) {
      const path = sourceOf(cfg, 'queue', name, 'maxWaiting');
      const message = `queue "${name}": maxWaiting 0 refuses all work`;
      yield {kind: 'closedQueue', path, message};
    }
    if (service === '' && maxBodyBytes !== MAX_JOB_BYTES) {
      const path = sourceOf(cfg, 'queue', name, 'maxBodyBytes');
      const message =
        maxBodyBytes < MAX_JOB_BYTES
          ? `queue "${name}": jobs of up to ${MAX_JOB_BYTES} bytes are stored, over its maxBodyBytes ${maxBodyBytes}`
          : `queue "${name}": jobs over ${MAX_JOB_BYTES} bytes are refused, below its maxBodyBytes ${maxBodyBytes}`;
      yield {kind: 'bodyLimit', path, message};
    }
  }
  for (const [name, {limit}] of effectiveTeams(cfg)) {
    if (!isEmpty(limit)) continue;
    const path = sourceOf(cfg, 'team', name, 'limit');
    const message = `team "${name}": has a share, but its limit is 0 of every resource`;
    yield {kind: 'emptyLimit', path, message};
  }
}

/**
 * Finds teams whose limit keeps them below their share of the inventory, in
 * whichever resource they use most.
 *
 * @example
 * const findings = [...findUnreachableShares(cfg, inventory)];
 */
export function* findUnreachableShares(
  cfg: Configuration,
  {total}: Inventory,
): Generator<Finding> {
  const fractions = teamFractions(cfg);
  for (const [name, {limit}] of effectiveTeams(cfg)) {
    if (isEmpty(limit)) continue;
    const parts = RESOURCE_NAMES.map(resource =>
      total[resource] > 0 ? limit[resource] / total[resource] : 0,
    );
    const reachable = Math.max(...parts);
    const due = fractions.get(name) ?? 0;
    if (reachable + ROUNDING >= due) continue;
    const path = sourceOf(cfg, 'team', name, 'limit');
    const message = `team "${name}": its share is ${toPercent(due)} of a full fleet, its limit ${toPercent(reachable)} of the inventory at most`;
    yield {kind: 'unreachableShare', path, message};
  }
}

function isEmpty(limit: Resources): boolean {
  return RESOURCE_NAMES.every(resource => limit[resource] === 0);
}
