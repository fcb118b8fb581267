/** Checks of decoded values whose types are not known. */

/** Whether a value of any kind is as expected. */
export type Check = (value: unknown) => boolean;
/** A check for each field of a type. */
export type Checks<T> = {readonly [K in keyof Required<T>]: Check};

export const isText: Check = value => typeof value === 'string';
/** The longest id of a job that another process may name, in characters. */
const MAX_JOB_ID_LENGTH = 1000;
export const isJobId: Check = value =>
  typeof value === 'string' && value.length <= MAX_JOB_ID_LENGTH;
export const isNumber: Check = Number.isFinite;
export const isCount: Check = value =>
  Number.isSafeInteger(value) && (value as number) >= 0;
export const isPositive: Check = value => isCount(value) && value !== 0;
export const isFlag: Check = value => typeof value === 'boolean';

/** Checks each item of a list. */
export function isList(check: Check): Check {
  return value => Array.isArray(value) && value.every(check);
}

/**
 * Checks the fields of an object; others may follow.
 *
 * @example
 * const isLink = isObject<Link>({from: isText, toOffset: isCount});
 */
export function isObject<T>(checks: Checks<T>): Check {
  const names = Object.keys(checks) as (keyof T & string)[];
  return value => {
    if (typeof value !== 'object' || value === null) return false;
    const fields = value as Readonly<Record<string, unknown>>;
    return names.every(name => checks[name](fields[name]));
  };
}

/** A field that an earlier version may have left out. */
export function isOptional(check: Check): Check {
  return value => value === undefined || check(value);
}
