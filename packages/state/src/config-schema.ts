/** Validates a complete configuration before it is published or applied. */
import {fail, Ok, type Fallible} from '@dragonflyward/common';
import {Ajv, type ErrorObject} from 'ajv';
import type {Configuration, Exception} from './config-types.js';

const MAX_NAME_LENGTH = 128;
const MAX_BODY_BYTES = 64 * 1024 * 1024;
const MAX_DEADLINE_MS = 24 * 60 * 60_000;

const COUNT = {type: 'integer', minimum: 0} as const;
const FLAG = {type: 'boolean'} as const;
const TEXT = {type: 'string'} as const;
const SHARE = {type: 'number', exclusiveMinimum: 0} as const;
const NAME = {
  type: 'string',
  pattern: '^[A-Za-z0-9][A-Za-z0-9._-]*$',
  maxLength: MAX_NAME_LENGTH,
} as const;

type Properties = Readonly<Record<string, object>>;

const QUEUE_PROPERTIES = {
  priority: {enum: ['urgent', 'normal', 'batch']},
  service: TEXT,
  isOpen: FLAG,
  maxBodyBytes: {type: 'integer', minimum: 0, maximum: MAX_BODY_BYTES},
  maxDeadlineMs: {type: 'integer', minimum: 1, maximum: MAX_DEADLINE_MS},
  maxWaiting: COUNT,
  policy: {enum: ['pack', 'spread', 'gang']},
} as const;

const TEAM_PROPERTIES = {
  organisation: NAME,
  share: SHARE,
  limit: strictObject({
    cpuMilli: COUNT,
    memMb: COUNT,
    accel: COUNT,
    slots: COUNT,
  }),
} as const;

/** JSON schema of a configuration. */
export const CONFIGURATION_SCHEMA = strictObject({
  defaults: strictObject({
    queues: mapOf(strictObject(QUEUE_PROPERTIES)),
    organisations: mapOf(strictObject({share: SHARE})),
    teams: mapOf(strictObject(TEAM_PROPERTIES)),
  }),
  exceptions: {type: 'array', items: exceptionSchema()},
});

function strictObject(properties: Properties): object {
  const required = Object.keys(properties);
  return {type: 'object', additionalProperties: false, required, properties};
}

function partialObject(properties: Properties): object {
  return {
    type: 'object',
    additionalProperties: false,
    minProperties: 1,
    properties,
  };
}

function mapOf(values: object): object {
  return {type: 'object', propertyNames: NAME, additionalProperties: values};
}

function exceptionSchema(): object {
  const set = partialObject({...QUEUE_PROPERTIES, ...TEAM_PROPERTIES});
  return strictObject({
    id: NAME,
    scope: {...partialObject({queue: NAME, team: NAME}), maxProperties: 1},
    set,
    reason: {type: 'string', pattern: '\\S'},
  });
}

const matchesSchema = new Ajv().compile<Configuration>(CONFIGURATION_SCHEMA);

/**
 * Validates a configuration against the schema and checks its references.
 *
 * @example
 * const checked = validateConfiguration(JSON.parse(text));
 * if (checked.isErr()) console.error(checked.error.detail);
 */
export function validateConfiguration(value: unknown): Fallible<Configuration> {
  if (!matchesSchema(value)) {
    return fail(
      'configInvalid',
      describeSchemaError(matchesSchema.errors?.[0]),
    );
  }
  const [problem] = findProblems(value);
  if (problem !== undefined) return fail('configInvalid', problem);
  return Ok(value);
}

function* findProblems(cfg: Configuration): Generator<string> {
  const {teams, organisations} = cfg.defaults;
  for (const [name, {organisation}] of Object.entries(teams)) {
    if (Object.hasOwn(organisations, organisation)) continue;
    yield `defaults.teams.${name}: no organisation "${organisation}"`;
  }
  const ids = new Set<string>();
  for (const exception of cfg.exceptions) {
    const {id} = exception;
    if (ids.has(id)) yield `exceptions: duplicate id "${id}"`;
    ids.add(id);
    yield* findExceptionProblems(cfg, exception);
  }
}

function* findExceptionProblems(
  cfg: Configuration,
  exception: Exception,
): Generator<string> {
  const {id, scope, set} = exception;
  const {defaults} = cfg;
  const subject = `exception "${id}"`;
  const isQueue = scope.queue !== undefined;
  const name = scope.queue ?? scope.team ?? '';
  const known = isQueue ? defaults.queues : defaults.teams;
  const kind = isQueue ? 'queue' : 'team';
  if (!Object.hasOwn(known, name)) yield `${subject}: no ${kind} "${name}"`;
  const allowed = isQueue ? QUEUE_PROPERTIES : TEAM_PROPERTIES;
  for (const key of Object.keys(set)) {
    if (Object.hasOwn(allowed, key)) continue;
    yield `${subject}: "${key}" cannot be set for a ${kind}`;
  }
  const {organisation} = set;
  if (organisation === undefined) return;
  if (Object.hasOwn(defaults.organisations, organisation)) return;
  yield `${subject}: no organisation "${organisation}"`;
}

function describeSchemaError(err: ErrorObject | undefined): string {
  if (err === undefined) return 'unknown error';
  const path = err.instancePath.slice(1).replaceAll('/', '.');
  const params = err.params as Readonly<Record<string, unknown>>;
  const extraProperty = params['additionalProperty'];
  const name = typeof extraProperty === 'string' ? ` ("${extraProperty}")` : '';
  const allowedValues = params['allowedValues'];
  const allowed = Array.isArray(allowedValues)
    ? ` (${allowedValues.join(', ')})`
    : '';
  return `${path || '(top level)'}: ${err.message ?? ''}${name}${allowed}`;
}
