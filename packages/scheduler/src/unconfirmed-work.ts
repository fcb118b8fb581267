/** Bounds the tasks that may run unreported after a takeover, by team. */
import {
  addResources,
  NO_RESOURCES,
  RESOURCE_NAMES,
  scaleResources,
  type Resources,
} from '@dragonflyward/common';
import type {ShardState} from '@dragonflyward/state';
import type {JobTracker} from './job-tracker.js';
import type {WorkerSession} from './worker-session.js';

/**
 * Bounds what each team may have running on workers that have not answered:
 * all its unplaced tasks, but no more than the capacity of those workers.
 *
 * @param workers all workers; undefined while they may not all be known
 * @example
 * const bound = boundUnconfirmedWork(shardState, tracker, workers);
 */
export function boundUnconfirmedWork(
  shardState: ShardState,
  tracker: JobTracker,
  workers: readonly WorkerSession[] | undefined,
): ReadonlyMap<string, Resources> {
  const unplaced = sumUnplaced(shardState, tracker);
  if (workers === undefined) return unplaced;
  const limit = workers
    .filter(worker => !worker.hasAnswered)
    .map(worker => worker.capacity)
    .reduce(addResources, NO_RESOURCES);
  const bound = new Map<string, Resources>();
  for (const [team, sum] of unplaced) bound.set(team, minResources(sum, limit));
  return bound;
}

function sumUnplaced(
  shardState: ShardState,
  tracker: JobTracker,
): ReadonlyMap<string, Resources> {
  const sums = new Map<string, Resources>();
  for (const entry of shardState.jobs.values()) {
    if (entry.end !== null) continue;
    const {team, size} = entry.spec;
    const unplaced = tracker.unplacedIndexes(entry).length;
    const sum = sums.get(team) ?? NO_RESOURCES;
    sums.set(team, addResources(sum, scaleResources(size, unplaced)));
  }
  return sums;
}

function minResources(a: Resources, b: Resources): Resources {
  const least = {...a};
  for (const name of RESOURCE_NAMES) least[name] = Math.min(a[name], b[name]);
  return least;
}
