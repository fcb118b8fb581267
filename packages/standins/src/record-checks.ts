/** Checks the targets' own records for broken promises to users. */
import {
  addResources,
  fitsIn,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from '@dragonflyward/common';
import type {RequestRun} from './executor-service.js';
import type {TaskRun} from './worker-task.js';

/** The records of all targets. */
export interface TargetRecords {
  /** Worker, time and tasks of each use beyond a worker's capacity. */
  readonly overcommits: readonly string[];
  readonly slotBreaches: number;
  readonly tasks: readonly TaskRun[];
  readonly requests: readonly RequestRun[];
}

interface UsageChange {
  readonly atMs: number;
  readonly size: Resources;
  readonly isAdded: boolean;
}

/** Returns job and index of a task id, without the number of the run. */
export function logicalTaskId(taskId: string): string {
  return taskId.slice(0, taskId.lastIndexOf('.'));
}

/**
 * Finds tasks of which two runs overlapped in time.
 *
 * @example
 * assert.equal(findOverlappingRuns(records.tasks), []);
 */
export function findOverlappingRuns(
  runs: readonly TaskRun[],
): readonly string[] {
  const runsByTask = groupBy(runs, run => logicalTaskId(run.taskId));
  const isOverlapping = ([, group]: readonly [
    string,
    readonly TaskRun[],
  ]): boolean => hasOverlap(group);
  return [...runsByTask].filter(isOverlapping).map(([taskId]) => taskId);
}

/** Finds the tasks of the given jobs that were started more than once. */
export function findRepeatedTasks(
  runs: readonly TaskRun[],
  jobIds: ReadonlySet<string>,
): readonly string[] {
  const jobRuns = runs.filter(run => jobIds.has(run.jobId));
  const runsByTask = groupBy(jobRuns, run => logicalTaskId(run.taskId));
  return [...runsByTask]
    .filter(([, group]) => group.length > 1)
    .map(([id]) => id);
}

/** Finds the requests that ran more than once. */
export function findRepeatedRequests(
  runs: readonly RequestRun[],
): readonly string[] {
  const runsByLabel = groupBy(runs, run => run.label);
  return [...runsByLabel]
    .filter(([, group]) => group.length > 1)
    .map(([label]) => label);
}

/**
 * Finds the teams whose running work exceeded their limit at some time.
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
      return exceedsLimit(changes, limit);
    })
    .map(([team]) => team);
}

function exceedsLimit(
  changes: readonly UsageChange[],
  limit: Resources,
): boolean {
  const ordered = [...changes].sort(
    (a, b) => a.atMs - b.atMs || Number(a.isAdded) - Number(b.isAdded),
  );
  let used = NO_RESOURCES;
  for (const {size, isAdded} of ordered) {
    used = isAdded ? addResources(used, size) : subtractResources(used, size);
    if (isAdded && !fitsIn(used, limit)) return true;
  }
  return false;
}

function* taskChanges(run: TaskRun): Generator<UsageChange> {
  let old: Resources | undefined;
  for (const {sinceMs, size} of run.holdings) {
    if (old !== undefined) yield {atMs: sinceMs, size: old, isAdded: false};
    yield {atMs: sinceMs, size, isAdded: true};
    old = size;
  }
  if (run.endMs === null || old === undefined) return;
  yield {atMs: run.endMs, size: old, isAdded: false};
}

function* requestChanges(run: RequestRun): Generator<UsageChange> {
  const size = {...NO_RESOURCES, slots: 1};
  yield {atMs: run.startMs, size, isAdded: true};
  if (run.endMs !== null) yield {atMs: run.endMs, size, isAdded: false};
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
