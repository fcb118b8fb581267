/** Checks the JSON of a submitted job. */
import {raise, type Resources} from '@dragonflyward/common';

const ID_PATTERN = /^[\w.~-]{1,128}$/;
const MAX_TASKS = 100_000;

/** A job as its caller wrote it. */
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
 * Reads a job.
 *
 * @throws badRequest, naming the field
 * @example
 * const job = readJob(await readJson(req, MAX_JOB_BYTES));
 */
export function readJob(body: unknown): JobRequest {
  const fields = fieldsOf(body, 'the body');
  const unknown = Object.keys(fields).find(name => !FIELD_NAMES.has(name));
  if (unknown !== undefined) raise('badRequest', `unknown field "${unknown}"`);
  const tasks = whole(fields, 'tasks', 1);
  if (tasks < 1 || tasks > MAX_TASKS) {
    raise('badRequest', `"tasks" is not within 1 and ${MAX_TASKS}`);
  }
  return {
    id: name(fields, 'id'),
    domain: name(fields, 'domain'),
    queue: name(fields, 'queue') ?? raise('badRequest', '"queue" is missing'),
    tasks,
    isGang: flag(fields, 'isGang'),
    isService: flag(fields, 'isService'),
    isIdempotent: flag(fields, 'isIdempotent'),
    size: sizeOf(fields['size']),
    runMs: whole(fields, 'runMs', 0),
    payload: fields['payload'] ?? null,
  };
}

function sizeOf(value: unknown): Resources {
  const fields = fieldsOf(value, '"size"');
  return {
    cpuMilli: whole(fields, 'cpuMilli', 0),
    memMb: whole(fields, 'memMb', 0),
    accel: whole(fields, 'accel', 0),
    slots: 0,
  };
}

function fieldsOf(value: unknown, what: string): Fields {
  if (typeof value === 'object' && value !== null && !Array.isArray(value)) {
    return value as Fields;
  }
  return raise('badRequest', `${what} is not an object`);
}

function name(fields: Fields, field: string): string | undefined {
  const value = fields[field];
  if (value === undefined) return undefined;
  if (typeof value === 'string' && ID_PATTERN.test(value)) return value;
  return raise('badRequest', `"${field}" is not a name`);
}

function whole(fields: Fields, field: string, missing: number): number {
  const value = fields[field] ?? missing;
  if (Number.isSafeInteger(value) && Number(value) >= 0) return Number(value);
  return raise('badRequest', `"${field}" is not a whole number`);
}

function flag(fields: Fields, field: string): boolean {
  const value = fields[field] ?? false;
  if (typeof value === 'boolean') return value;
  return raise('badRequest', `"${field}" is neither true nor false`);
}
