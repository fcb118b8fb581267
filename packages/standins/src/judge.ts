/** Judges from the targets' own records whether a promise was broken. */
import {
  addResources,
  fitsIn,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from '@dragonflyward/common';
import type {RequestRun} from './executor-service.js';
import type {TaskRun} from './worker-task.js';

/** All that the targets recorded. */
export interface TargetRecords {
  /** Where and when a worker held more than it has, and by what tasks. */
  readonly overcommits: readonly string[];
  readonly slotBreaches: number;
  readonly tasks: readonly TaskRun[];
  readonly requests: readonly RequestRun[];
}

interface Change {
  readonly atMs: number;
  readonly size: Resources;
  readonly isGain: boolean;
}

/** The job and index of a task; its runs share it. */
export function slotOf(taskId: string): string {
  return taskId.slice(0, taskId.lastIndexOf('.'));
}

/**
 * Finds tasks that ran in two places at one time.
 *
 * @example
 * assert.equal(findDoubleRuns(records.tasks), []);
 */
export function findDoubleRuns(runs: readonly TaskRun[]): readonly string[] {
  const bySlot = groupBy(runs, run => slotOf(run.taskId));
  const isDouble = ([, same]: readonly [string, readonly TaskRun[]]): boolean =>
    hasOverlap(same);
  return [...bySlot].filter(isDouble).map(([slot]) => slot);
}

/** Finds the tasks, of those given jobs, that were started more than once. */
export function findRepeats(
  runs: readonly TaskRun[],
  jobIds: ReadonlySet<string>,
): readonly string[] {
  const once = runs.filter(run => jobIds.has(run.jobId));
  const bySlot = groupBy(once, run => slotOf(run.taskId));
  return [...bySlot].filter(([, same]) => same.length > 1).map(([id]) => id);
}

/** Finds the requests that ran more than once. */
export function findRepeatedRequests(
  runs: readonly RequestRun[],
): readonly string[] {
  const byId = groupBy(runs, run => run.label);
  return [...byId].filter(([, same]) => same.length > 1).map(([id]) => id);
}

/**
 * Finds the teams that had more running than their limit at some time.
 *
 * @example
 * const teams = findLimitBreaches(records, new Map([['roofs', limit]]));
 */
export function findLimitBreaches(
  records: TargetRecords,
  limits: ReadonlyMap<string, Resources>,
): readonly string[] {
  return [...limits]
    .filter(([team, limit]) => {
      const tasks = records.tasks.filter(run => run.team === team);
      const requests = records.requests.filter(run => run.team === team);
      const changes = [
        ...tasks.flatMap(run => [...taskChanges(run)]),
        ...requests.flatMap(run => [...requestChanges(run)]),
      ];
      return exceeds(changes, limit);
    })
    .map(([team]) => team);
}

function exceeds(changes: readonly Change[], limit: Resources): boolean {
  const ordered = [...changes].sort(
    (a, b) => a.atMs - b.atMs || Number(a.isGain) - Number(b.isGain),
  );
  let used = NO_RESOURCES;
  for (const {size, isGain} of ordered) {
    used = isGain ? addResources(used, size) : subtractResources(used, size);
    if (isGain && !fitsIn(used, limit)) return true;
  }
  return false;
}

function* taskChanges(run: TaskRun): Generator<Change> {
  let held: Resources | undefined;
  for (const {sinceMs, size} of run.holdings) {
    if (held !== undefined) yield {atMs: sinceMs, size: held, isGain: false};
    yield {atMs: sinceMs, size, isGain: true};
    held = size;
  }
  if (run.endMs === null || held === undefined) return;
  yield {atMs: run.endMs, size: held, isGain: false};
}

function* requestChanges(run: RequestRun): Generator<Change> {
  const size = {...NO_RESOURCES, slots: 1};
  yield {atMs: run.startMs, size, isGain: true};
  if (run.endMs !== null) yield {atMs: run.endMs, size, isGain: false};
}

function hasOverlap(runs: readonly TaskRun[]): boolean {
  const ordered = [...runs].sort((a, b) => a.startMs - b.startMs);
  return ordered.some((run, i) => {
    const next = ordered[i + 1];
    return next !== undefined && (run.endMs ?? Infinity) > next.startMs;
  });
}

function groupBy<T>(
  items: readonly T[],
  keyOf: (item: T) => string,
): ReadonlyMap<string, readonly T[]> {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const group = groups.get(keyOf(item)) ?? [];
    group.push(item);
    groups.set(keyOf(item), group);
  }
  return groups;
}
