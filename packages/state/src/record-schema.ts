/** Checks the shape of records, so that all readers skip the same ones. */
import {Ajv, type ValidateFunction} from 'ajv';
import {
  RECORD_VERSION,
  type AllowanceStreamRecord,
  type ConfigStreamRecord,
  type ShardRecord,
} from './records.js';

type Properties = Readonly<Record<string, object>>;

const TEXT = {type: 'string'} as const;
const NAME = {type: 'string', minLength: 1} as const;
const COUNT = {type: 'integer', minimum: 0} as const;
const FLAG = {type: 'boolean'} as const;
const ANY = {} as const;

function object(properties: Properties): object {
  return {type: 'object', required: Object.keys(properties), properties};
}

function record(type: string, properties: Properties): object {
  return object({
    v: {const: RECORD_VERSION},
    type: {const: type},
    ...properties,
  });
}

const PROCESS = object({vm: NAME, incarnation: COUNT});
const PROCESSES = {type: 'array', items: PROCESS} as const;

const RESOURCES = object({
  cpuMilli: COUNT,
  memMb: COUNT,
  accel: COUNT,
  slots: COUNT,
});

const JOB = object({
  jobId: NAME,
  team: TEXT,
  queue: NAME,
  tasks: {type: 'integer', minimum: 1},
  isGang: FLAG,
  isService: FLAG,
  isIdempotent: FLAG,
  size: RESOURCES,
  runMs: COUNT,
  payload: ANY,
});

const JOB_END = {
  enum: ['succeeded', 'failed', 'cancelled', 'neverRunnable', 'outcomeUnknown'],
} as const;

const SNAPSHOT = record('snapshot', {
  snapshotId: NAME,
  covers: COUNT,
  part: COUNT,
  parts: {type: 'integer', minimum: 1},
  body: TEXT,
});

const SHARD_RECORD_SCHEMAS = [
  record('claim', {
    prevTerm: COUNT,
    prevListVersion: COUNT,
    owner: PROCESS,
    successors: PROCESSES,
  }),
  record('successors', {
    term: COUNT,
    prevListVersion: COUNT,
    successors: PROCESSES,
  }),
  record('handover', {term: COUNT, owner: PROCESS, successors: PROCESSES}),
  record('jobAccepted', {term: COUNT, acceptedMs: {type: 'number'}, job: JOB}),
  record('taskStarting', {
    term: COUNT,
    jobId: NAME,
    taskIndex: COUNT,
    taskId: NAME,
    workerId: NAME,
  }),
  record('taskEnded', {
    term: COUNT,
    jobId: NAME,
    taskIndex: COUNT,
    result: TEXT,
  }),
  record('jobEnded', {term: COUNT, jobId: NAME, end: JOB_END, reason: TEXT}),
  SNAPSHOT,
];

const CONFIG_RECORD_SCHEMAS = [
  record('config', {
    base: {type: 'integer', minimum: -1},
    author: TEXT,
    reason: TEXT,
    configuration: {type: 'object'},
  }),
  record('keyGranted', {
    author: TEXT,
    key: object({keyId: NAME, team: NAME, digest: NAME}),
  }),
  record('keyWithdrawn', {author: TEXT, keyId: NAME, reason: TEXT}),
  SNAPSHOT,
];

const ALLOWANCE = object({team: NAME, shard: NAME, amount: RESOURCES});

const ALLOWANCE_RECORD_SCHEMAS = [
  record('allowances', {
    prevVersion: COUNT,
    term: COUNT,
    changes: {type: 'array', items: ALLOWANCE},
  }),
  record('allowanceAck', {shard: NAME, term: COUNT, version: COUNT}),
  SNAPSHOT,
];

interface TypedSchema {
  readonly properties: {readonly type: {readonly const: string}};
}

/** Tells well-formed records of one stream from others. */
export class RecordChecker<T extends {readonly type: string}> {
  private readonly validators = new Map<string, ValidateFunction>();

  constructor(schemas: readonly object[]) {
    const ajv = new Ajv();
    for (const schema of schemas) {
      const {type} = (schema as TypedSchema).properties;
      this.validators.set(type.const, ajv.compile(schema));
    }
  }

  /**
   * Returns the record if it is well formed and of a known version.
   *
   * @example
   * const record = checker.check(logRecord.data);
   * if (record === undefined) return 'skipped';
   */
  check(data: unknown): T | undefined {
    if (!isTyped(data)) return undefined;
    const isValid = this.validators.get(data.type);
    return isValid?.(data) ? (data as T) : undefined;
  }
}

function isTyped(data: unknown): data is {readonly type: string} {
  if (typeof data !== 'object' || data === null) return false;
  return 'type' in data && typeof data.type === 'string';
}

/** Checks the records of a shard's stream. */
export const SHARD_RECORDS = new RecordChecker<ShardRecord>(
  SHARD_RECORD_SCHEMAS,
);

/** Checks the records of the configuration stream. */
export const CONFIG_RECORDS = new RecordChecker<ConfigStreamRecord>(
  CONFIG_RECORD_SCHEMAS,
);

/** Checks the records of the allowance stream. */
export const ALLOWANCE_RECORDS = new RecordChecker<AllowanceStreamRecord>(
  ALLOWANCE_RECORD_SCHEMAS,
);
