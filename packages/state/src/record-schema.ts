/** Validates records, so that all readers skip the same ones. */
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

function objectSchema(properties: Properties): object {
  return {type: 'object', required: Object.keys(properties), properties};
}

function recordSchema(type: string, properties: Properties): object {
  return objectSchema({
    v: {const: RECORD_VERSION},
    type: {const: type},
    ...properties,
  });
}

const PROCESS = objectSchema({vm: NAME, incarnation: COUNT});
const PROCESSES = {type: 'array', items: PROCESS} as const;

const RESOURCES = objectSchema({
  cpuMilli: COUNT,
  memMb: COUNT,
  accel: COUNT,
  slots: COUNT,
});

const JOB = objectSchema({
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

const SNAPSHOT = recordSchema('snapshot', {
  snapshotId: NAME,
  covers: COUNT,
  part: COUNT,
  parts: {type: 'integer', minimum: 1},
  body: TEXT,
});

const SHARD_RECORD_SCHEMAS = [
  recordSchema('claim', {
    prevTerm: COUNT,
    prevListVersion: COUNT,
    owner: PROCESS,
    successors: PROCESSES,
  }),
  recordSchema('successors', {
    term: COUNT,
    prevListVersion: COUNT,
    successors: PROCESSES,
  }),
  recordSchema('handover', {
    term: COUNT,
    owner: PROCESS,
    successors: PROCESSES,
  }),
  recordSchema('jobAccepted', {
    term: COUNT,
    acceptedMs: {type: 'number'},
    job: JOB,
  }),
  recordSchema('taskStarting', {
    term: COUNT,
    jobId: NAME,
    taskIndex: COUNT,
    taskId: NAME,
    workerId: NAME,
  }),
  recordSchema('taskEnded', {
    term: COUNT,
    jobId: NAME,
    taskIndex: COUNT,
    result: TEXT,
  }),
  recordSchema('jobEnded', {
    term: COUNT,
    jobId: NAME,
    end: JOB_END,
    reason: TEXT,
  }),
  SNAPSHOT,
];

const CONFIG_RECORD_SCHEMAS = [
  recordSchema('config', {
    base: {type: 'integer', minimum: -1},
    author: TEXT,
    reason: TEXT,
    configuration: {type: 'object'},
  }),
  recordSchema('keyGranted', {
    author: TEXT,
    key: objectSchema({keyId: NAME, team: NAME, digest: NAME}),
  }),
  recordSchema('keyWithdrawn', {author: TEXT, keyId: NAME, reason: TEXT}),
  SNAPSHOT,
];

const ALLOWANCE = objectSchema({team: NAME, shard: NAME, amount: RESOURCES});

const ALLOWANCE_RECORD_SCHEMAS = [
  recordSchema('allowances', {
    prevVersion: COUNT,
    term: COUNT,
    changes: {type: 'array', items: ALLOWANCE},
  }),
  recordSchema('allowanceAck', {shard: NAME, term: COUNT, version: COUNT}),
  SNAPSHOT,
];

interface TypedSchema {
  readonly properties: {readonly type: {readonly const: string}};
}

/** Validates the records of one stream. */
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
   * Returns the record if it is valid and of a known version.
   *
   * @example
   * const record = checker.check(logRecord.data);
   * if (record === undefined) return 'skipped';
   */
  check(data: unknown): T | undefined {
    if (!isTyped(data)) return undefined;
    const validate = this.validators.get(data.type);
    return validate?.(data) ? (data as T) : undefined;
  }
}

function isTyped(data: unknown): data is {readonly type: string} {
  if (typeof data !== 'object' || data === null) return false;
  return 'type' in data && typeof data.type === 'string';
}

/** Validates the records of a shard's stream. */
export const SHARD_RECORDS = new RecordChecker<ShardRecord>(
  SHARD_RECORD_SCHEMAS,
);

/** Validates the records of the configuration stream. */
export const CONFIG_RECORDS = new RecordChecker<ConfigStreamRecord>(
  CONFIG_RECORD_SCHEMAS,
);

/** Validates the records of the allowance stream. */
export const ALLOWANCE_RECORDS = new RecordChecker<AllowanceStreamRecord>(
  ALLOWANCE_RECORD_SCHEMAS,
);
