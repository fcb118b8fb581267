/** Validates a complete configuration before it is published or applied. */
import {fail, Ok, type Fallible} from '@dragonflyward/common';
import {Ajv, type ErrorObject, type ValidateFunction} from 'ajv';
import type {Configuration, Exception} from './config-types.js';

const MAX_NAME_LENGTH = 128;
const MAX_BODY_BYTES = 64 * 1024 * 1024;
const MAX_DEADLINE_MS = 24 * 60 * 60_000;
/** More than an operator reads at once; bounds the output for a wrong file. */
const MAX_LISTED_PROBLEMS = 100;

const COUNT = {type: 'integer', minimum: 0} as const;
const FLAG = {type: 'boolean'} as const;
const TEXT = {type: 'string'} as const;
const SHARE = {type: 'number', exclusiveMinimum: 0} as const;
const NAME = {
  type: 'string',
  pattern: '^[A-Za-z0-9][A-Za-z0-9._-]*$',
  maxLength: MAX_NAME_LENGTH,
} as const;
/** The VM list names domains, with any text that is not empty. */
const DOMAIN = {type: 'string', minLength: 1} as const;
const REASON = {type: 'string', pattern: '\\S'} as const;

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
export const CONFIGURATION_SCHEMA = strictObject(
  {
    defaults: strictObject({
      queues: mapOf(strictObject(QUEUE_PROPERTIES)),
      organisations: mapOf(strictObject({share: SHARE})),
      teams: mapOf(strictObject(TEAM_PROPERTIES)),
    }),
    exceptions: {type: 'array', items: exceptionSchema()},
  },
  {
    closedDomains: {
      type: 'array',
      items: strictObject({domain: DOMAIN, reason: REASON}),
    },
  },
);

function strictObject(
  requiredProperties: Properties,
  optionalProperties: Properties = {},
): object {
  const required = Object.keys(requiredProperties);
  const properties = {...requiredProperties, ...optionalProperties};
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
    reason: REASON,
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
  if (problem !== undefined) return fail('configInvalid', problem.detail);
  return Ok(value);
}

/** One reason why a configuration is not valid. */
export interface ConfigurationProblem {
  /** Path of the value, outermost segment first. */
  readonly path: readonly (string | number)[];
  readonly detail: string;
}

/**
 * Lists why a configuration is not valid; empty exactly if
 * `validateConfiguration` accepts it. References are checked only if the
 * schema is met, and at most `MAX_LISTED_PROBLEMS` are listed.
 *
 * @example
 * for (const {detail} of listConfigurationProblems(value)) print(detail);
 */
export function listConfigurationProblems(
  value: unknown,
): readonly ConfigurationProblem[] {
  const validated = validateConfiguration(value);
  if (validated.isOk()) return [];
  const problems = matchesSchema(value)
    ? [...findProblems(value)]
    : listSchemaProblems(value);
  const {detail} = validated.error;
  const all = problems.length > 0 ? problems : [{path: [], detail}];
  return all.slice(0, MAX_LISTED_PROBLEMS);
}

let allSchemaErrors: ValidateFunction | undefined;

function listSchemaProblems(value: unknown): readonly ConfigurationProblem[] {
  // Compiled on first use, as only the check needs it.
  allSchemaErrors ??= new Ajv({allErrors: true}).compile(CONFIGURATION_SCHEMA);
  if (allSchemaErrors(value)) return [];
  return (allSchemaErrors.errors ?? []).map(err => ({
    path: pathOfError(err),
    detail: describeSchemaError(err),
  }));
}

function pathOfError(err: ErrorObject): ConfigurationProblem['path'] {
  const path = err.instancePath
    .split('/')
    .slice(1)
    .map(part => part.replaceAll('~1', '/').replaceAll('~0', '~'))
    .map((part, i, parts) => (isIndex(parts, i) ? Number(part) : part));
  const params = err.params as Readonly<Record<string, unknown>>;
  const key = params['additionalProperty'] ?? params['propertyName'];
  return typeof key === 'string' ? [...path, key] : path;
}

/** The arrays of a configuration are `exceptions` and `closedDomains`. */
function isIndex([first]: readonly string[], i: number): boolean {
  return i === 1 && (first === 'exceptions' || first === 'closedDomains');
}

function* findProblems(cfg: Configuration): Generator<ConfigurationProblem> {
  const {teams, organisations} = cfg.defaults;
  for (const [name, {organisation}] of Object.entries(teams)) {
    if (Object.hasOwn(organisations, organisation)) continue;
    const detail = `defaults.teams.${name}: no organisation "${organisation}"`;
    yield {path: ['defaults', 'teams', name, 'organisation'], detail};
  }
  const ids = new Set<string>();
  for (const [i, exception] of cfg.exceptions.entries()) {
    const path = ['exceptions', i];
    const {id} = exception;
    if (ids.has(id)) {
      const detail = `exceptions: duplicate id "${id}"`;
      yield {path: [...path, 'id'], detail};
    }
    ids.add(id);
    for (const detail of findExceptionProblems(cfg, exception)) {
      yield {path, detail};
    }
  }
  yield* findRepeatedDomains(cfg);
}

function* findRepeatedDomains({
  closedDomains = [],
}: Configuration): Generator<ConfigurationProblem> {
  const domains = new Set<string>();
  for (const [i, {domain}] of closedDomains.entries()) {
    if (domains.has(domain)) {
      const detail = `closedDomains: duplicate domain "${domain}"`;
      yield {path: ['closedDomains', i, 'domain'], detail};
    }
    domains.add(domain);
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
