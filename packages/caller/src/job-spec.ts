/** Validates the JSON of a submitted job. */
import {raise, type Resources} from '@dragonflyward/common';

const ID_PATTERN = /^[\w.~-]{1,128}$/;
const MAX_TASKS = 100_000;

/** A job as the caller submitted it. */
export interface JobRequest {
  readonly id: string | undefined;
  readonly domain: string | undefined;
  readonly queue: string;
  readonly tasks: number;
  readonly isGang: boolean;
  readonly isService: boolean;
  readonly isIdempotent: boolean;
  readonly size: Resources;
  readonly runMs: number;
  readonly payload: unknown;
}

type Fields = Readonly<Record<string, unknown>>;

const FIELD_NAMES: ReadonlySet<string> = new Set([
  'id',
  'domain',
  'queue',
  'tasks',
  'isGang',
  'isService',
  'isIdempotent',
  'size',
  'runMs',
  'payload',
]);

/**
 * Validates and parses a job.
 *
 * @throws badRequest, naming the field
 * @example
 * const job = readJob(await readJson(req, MAX_JOB_BYTES));
 */
export function readJob(body: unknown): JobRequest {
  const fields = readFields(body, 'the body');
  const unknown = Object.keys(fields).find(name => !FIELD_NAMES.has(name));
  if (unknown !== undefined) raise('badRequest', `unknown field "${unknown}"`);
  const tasks = readWholeNumber(fields, 'tasks', 1);
  if (tasks < 1 || tasks > MAX_TASKS) {
    raise('badRequest', `"tasks" is not within 1 and ${MAX_TASKS}`);
  }
  return {
    id: readName(fields, 'id'),
    domain: readName(fields, 'domain'),
    queue:
      readName(fields, 'queue') ?? raise('badRequest', '"queue" is missing'),
    tasks,
    isGang: readFlag(fields, 'isGang'),
    isService: readFlag(fields, 'isService'),
    isIdempotent: readFlag(fields, 'isIdempotent'),
    size: readSize(fields['size']),
    runMs: readWholeNumber(fields, 'runMs', 0),
    payload: fields['payload'] ?? null,
  };
}

function readSize(value: unknown): Resources {
  const fields = readFields(value, '"size"');
  return {
    cpuMilli: readWholeNumber(fields, 'cpuMilli', 0),
    memMb: readWholeNumber(fields, 'memMb', 0),
    accel: readWholeNumber(fields, 'accel', 0),
    slots: 0,
  };
}

function readFields(value: unknown, label: string): Fields {
  if (typeof value === 'object' && value !== null && !Array.isArray(value)) {
    return value as Fields;
  }
  return raise('badRequest', `${label} is not an object`);
}

function readName(fields: Fields, field: string): string | undefined {
  const value = fields[field];
  if (value === undefined) return undefined;
  if (typeof value === 'string' && ID_PATTERN.test(value)) return value;
  return raise('badRequest', `"${field}" is not a name`);
}

function readWholeNumber(
  fields: Fields,
  field: string,
  fallback: number,
): number {
  const value = fields[field] ?? fallback;
  if (Number.isSafeInteger(value) && Number(value) >= 0) return Number(value);
  return raise('badRequest', `"${field}" is not a whole number`);
}

function readFlag(fields: Fields, field: string): boolean {
  const value = fields[field] ?? false;
  if (typeof value === 'boolean') return value;
  return raise('badRequest', `"${field}" is neither true nor false`);
}
