/** Finds entries that never have an effect. */
import {RESOURCE_NAMES} from '@dragonflyward/common';
import type {Configuration} from '@dragonflyward/state';
import {effectiveQueues, effectiveTeams, sourceOf} from './effective.js';
import type {Finding} from './finding.js';
import type {Inventory} from './inventory.js';

/**
 * Finds entries that never have an effect, whatever the VMs are.
 *
 * @example
 * const findings = [...findUnmatched(cfg)];
 */
export function* findUnmatched(cfg: Configuration): Generator<Finding> {
  yield* findShadowedValues(cfg);
  const used = new Set(
    [...effectiveTeams(cfg).values()].map(({organisation}) => organisation),
  );
  for (const name of Object.keys(cfg.defaults.organisations)) {
    if (used.has(name)) continue;
    const path = ['defaults', 'organisations', name];
    const message = `organisation "${name}" has no team; its share is unused`;
    yield {kind: 'unusedOrganisation', path, message};
  }
}

/** The last exception in the list decides; going backwards, it comes first. */
function* findShadowedValues({exceptions}: Configuration): Generator<Finding> {
  const deciding = new Map<string, string>();
  for (const [i, {id, scope, set}] of [...exceptions.entries()].reverse()) {
    for (const key of Object.keys(set)) {
      const target = JSON.stringify([scope.queue, scope.team, key]);
      const by = deciding.get(target);
      if (by === undefined) {
        deciding.set(target, id);
        continue;
      }
      const path = ['exceptions', i, 'set', key];
      const message = `exception "${id}": the later exception "${by}" also sets "${key}"`;
      yield {kind: 'shadowedException', path, message};
    }
  }
}

/**
 * Finds queues and limits that no VM of the inventory can serve.
 *
 * @example
 * const findings = [...findUnmet(cfg, inventory)];
 */
export function* findUnmet(
  cfg: Configuration,
  {total, services, hasWorkers}: Inventory,
): Generator<Finding> {
  for (const [name, {service}] of effectiveQueues(cfg)) {
    const isMet = service === '' ? hasWorkers : services.has(service);
    if (isMet) continue;
    const path = sourceOf(cfg, 'queue', name, 'service');
    const lack =
      service === '' ? 'no worker' : `no executor of the service "${service}"`;
    const message = `queue "${name}": the inventory has ${lack}`;
    yield {kind: 'unmetQueue', path, message};
  }
  for (const [name, {limit}] of effectiveTeams(cfg)) {
    for (const resource of RESOURCE_NAMES) {
      if (limit[resource] === 0 || total[resource] > 0) continue;
      const path = [...sourceOf(cfg, 'team', name, 'limit'), resource];
      const message = `team "${name}": no VM of the inventory has "${resource}"`;
      yield {kind: 'unmetResource', path, message};
    }
  }
}
