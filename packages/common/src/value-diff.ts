/** Computes the differences between two JSON values. */
import {isDeepStrictEqual} from 'node:util';

/** One value that differs; undefined on the side that lacks it. */
export interface Difference {
  readonly path: string;
  readonly before: unknown;
  readonly after: unknown;
}

/**
 * Lists the differing values, sorted by path.
 *
 * @example
 * for (const change of diffValues(inForce, draft)) print(change.path);
 */
export function* diffValues(
  before: unknown,
  after: unknown,
  path = '',
): Generator<Difference> {
  if (isDeepStrictEqual(before, after)) return;
  if (!isRecord(before) || !isRecord(after)) {
    yield {path, before, after};
    return;
  }
  const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])];
  for (const key of keys.sort()) {
    const childPath = path === '' ? key : `${path}.${key}`;
    yield* diffValues(before[key], after[key], childPath);
  }
}

/**
 * Formats a difference as one line.
 *
 * @example
 * formatDifference({path: 'a', before: 1, after: 2}); // 'a: 1 -> 2'
 */
export function formatDifference({path, before, after}: Difference): string {
  if (before === undefined) return `+ ${path}: ${JSON.stringify(after)}`;
  if (after === undefined) return `- ${path}: ${JSON.stringify(before)}`;
  return `~ ${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
