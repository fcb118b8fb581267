/** What may run unseen after a takeover, by team. */
import {
  addResources,
  NO_RESOURCES,
  RESOURCE_NAMES,
  scaleResources,
  type Resources,
} from '@dragonflyward/common';
import type {ShardState} from '@dragonflyward/state';
import type {JobBook} from './job-book.js';
import type {WorkerTask} from './worker-task.js';

/**
 * Bounds what each team may have running on workers that have not answered:
 * all its missing tasks, but no more than those workers hold.
 *
 * @param workers all workers; undefined while they may not all be known
 * @example
 * const held = boundHeldWork(fold, book, workers);
 */
export function boundHeldWork(
  fold: ShardState,
  book: JobBook,
  workers: readonly WorkerTask[] | undefined,
): ReadonlyMap<string, Resources> {
  const missing = sumMissing(fold, book);
  if (workers === undefined) return missing;
  const room = workers
    .filter(worker => !worker.hasAnswered)
    .map(worker => worker.capacity)
    .reduce(addResources, NO_RESOURCES);
  const held = new Map<string, Resources>();
  for (const [team, sum] of missing) held.set(team, minResources(sum, room));
  return held;
}

function sumMissing(
  fold: ShardState,
  book: JobBook,
): ReadonlyMap<string, Resources> {
  const held = new Map<string, Resources>();
  for (const entry of fold.jobs.values()) {
    if (entry.end !== null) continue;
    const {team, size} = entry.spec;
    const missing = book.missingIndexes(entry).length;
    const sum = held.get(team) ?? NO_RESOURCES;
    held.set(team, addResources(sum, scaleResources(size, missing)));
  }
  return held;
}

function minResources(a: Resources, b: Resources): Resources {
  const least = {...a};
  for (const name of RESOURCE_NAMES) least[name] = Math.min(a[name], b[name]);
  return least;
}
