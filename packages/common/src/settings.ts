/** Reads settings in JSON with comments and checks them by a schema. */
import {readFileSync} from 'node:fs';
import {Ajv, type ErrorObject, type JSONSchemaType} from 'ajv';
import {
  findNodeAtLocation,
  parse,
  parseTree,
  printParseErrorCode,
  type Node,
  type ParseError,
} from 'jsonc-parser';
import {raise} from './errors.js';
import {
  applyOverrides,
  environmentOverrides,
  flagOverrides,
  type SettingsOverride,
} from './settings-overrides.js';

/** The schema of a program's settings. */
export type SettingsSchema<T> = JSONSchemaType<T> | Readonly<object>;

/**
 * Reads and checks a settings file.
 *
 * @throws settingsInvalid, naming file, line, key and what is allowed
 * @example
 * const cfg = loadSettings<GatewaySettings>('gateway.jsonc', SCHEMA);
 */
export function loadSettings<T>(file: string, schema: SettingsSchema<T>): T {
  const text = readSettingsFile(file);
  return parseSettings<T>(file, text, schema);
}

/** Where a program's settings come from besides its file. */
export interface SettingsSources {
  /** The settings file; empty where none is given. */
  readonly file: string;
  /** Flags of the form `key.path=value`. */
  readonly flags: readonly string[];
  readonly env: Readonly<NodeJS.ProcessEnv>;
}

/**
 * Reads a program's settings: file, then environment, then flags; each
 * replaces the values of those before it.
 *
 * @throws settingsInvalid, naming the source, the key and what is allowed
 * @example
 * const sources = {file, flags: ['logLevel=debug'], env: process.env};
 * const cfg = loadProgramSettings<ProcessSettings>(sources, SCHEMA);
 */
export function loadProgramSettings<T>(
  sources: SettingsSources,
  schema: Readonly<object>,
): T {
  const {file, flags, env} = sources;
  const text = file === '' ? '{}' : readSettingsFile(file);
  const overrides = [
    ...environmentOverrides(schema, env),
    ...flagOverrides(schema, flags),
  ];
  return parseSettings<T>(file || 'settings', text, schema, overrides);
}

function readSettingsFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch {
    return raise('settingsInvalid', `${file}: the file cannot be read`);
  }
}

/**
 * Checks the text of a settings file.
 *
 * @throws settingsInvalid, naming file, line, key and what is allowed
 * @example
 * parseSettings('inline', '{"port": 1} // why', SCHEMA);
 */
export function parseSettings<T>(
  file: string,
  text: string,
  schema: SettingsSchema<T>,
  overrides: readonly SettingsOverride[] = [],
): T {
  const parseErrors: ParseError[] = [];
  const root = parseTree(text, parseErrors, {allowTrailingComma: true});
  const [parseError] = parseErrors;
  if (parseError !== undefined) {
    const line = lineAt(text, parseError.offset);
    const what = printParseErrorCode(parseError.error);
    return raise('settingsInvalid', `${file}:${line}: ${what}`);
  }
  if (root === undefined) return raise('settingsInvalid', `${file}: empty`);
  const parsed: unknown = parse(text, [], {allowTrailingComma: true});
  const value = applyOverrides(parsed, overrides);
  const ajv = new Ajv({allErrors: false, useDefaults: true});
  const validate = ajv.compile(schema);
  if (validate(value)) return value as T;
  const [err] = validate.errors ?? [];
  return raise(
    'settingsInvalid',
    describeError({file, text, root, overrides}, err),
  );
}

interface SettingsSource {
  readonly file: string;
  readonly text: string;
  readonly root: Node;
  readonly overrides: readonly SettingsOverride[];
}

function describeError(
  source: SettingsSource,
  err: ErrorObject | undefined,
): string {
  if (err === undefined) return `${source.file}: unknown error`;
  const path = toPath(err.instancePath);
  const params = err.params as Readonly<Record<string, unknown>>;
  const extra = params['additionalProperty'];
  const full = typeof extra === 'string' ? [...path, extra] : path;
  const key = full.length === 0 ? '(top level)' : full.join('.');
  const where = originOf(source, full);
  return `${where}: key "${key}" ${err.message ?? ''}${allowed(params)}`;
}

/** Names the file's line or the override that a value came from. */
function originOf(
  source: SettingsSource,
  path: readonly (string | number)[],
): string {
  const {file, text, root, overrides} = source;
  const key = path.join('.');
  const override = overrides.findLast(({path: p}) => p.join('.') === key);
  if (override !== undefined) return override.origin;
  const node = findNodeAtLocation(root, [...path]) ?? root;
  return `${file}:${lineAt(text, node.offset)}`;
}

function allowed(params: Readonly<Record<string, unknown>>): string {
  const values = params['allowedValues'];
  return Array.isArray(values) ? ` (${values.join(', ')})` : '';
}

function toPath(pointer: string): (string | number)[] {
  return pointer
    .split('/')
    .slice(1)
    .map(part => part.replaceAll('~1', '/').replaceAll('~0', '~'))
    .map(part => (/^\d+$/.test(part) ? Number(part) : part));
}

function lineAt(text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length;
}
