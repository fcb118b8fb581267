/** Loads settings in JSON with comments and validates them by a schema. */
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

/** JSON Schema of a program's settings. */
export type SettingsSchema<T> = JSONSchemaType<T> | Readonly<object>;

/**
 * Loads and validates a settings file.
 *
 * @throws settingsInvalid, with the file, line, key and allowed values
 * @example
 * const cfg = loadSettings<GatewaySettings>('gateway.jsonc', SCHEMA);
 */
export function loadSettings<T>(file: string, schema: SettingsSchema<T>): T {
  const text = readSettingsFile(file);
  return parseSettings<T>(file, text, schema);
}

/** The sources of a program's settings. */
export interface SettingsSources {
  /** Path of the settings file; empty if there is none. */
  readonly file: string;
  /** Flags of the form `key.path=value`. */
  readonly flags: readonly string[];
  readonly env: Readonly<NodeJS.ProcessEnv>;
}

/**
 * Loads a program's settings. Environment variables override the file, and
 * flags override both.
 *
 * @throws settingsInvalid, with the source, the key and the allowed values
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
 * Parses and validates the text of a settings file.
 *
 * @throws settingsInvalid, with the file, line, key and allowed values
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
    const reason = printParseErrorCode(parseError.error);
    return raise('settingsInvalid', `${file}:${line}: ${reason}`);
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

interface SettingsDocument {
  readonly file: string;
  readonly text: string;
  readonly root: Node;
  readonly overrides: readonly SettingsOverride[];
}

function describeError(
  document: SettingsDocument,
  err: ErrorObject | undefined,
): string {
  if (err === undefined) return `${document.file}: unknown error`;
  const path = parseJsonPointer(err.instancePath);
  const params = err.params as Readonly<Record<string, unknown>>;
  const unknownKey = params['additionalProperty'];
  const keyPath = typeof unknownKey === 'string' ? [...path, unknownKey] : path;
  const key = keyPath.length === 0 ? '(top level)' : keyPath.join('.');
  const origin = originOf(document, keyPath);
  return `${origin}: key "${key}" ${err.message ?? ''}${formatAllowed(params)}`;
}

/** Returns the file and line, or the override, that set a value. */
function originOf(
  document: SettingsDocument,
  path: readonly (string | number)[],
): string {
  const {file, text, root, overrides} = document;
  const key = path.join('.');
  const override = overrides.findLast(({path: p}) => p.join('.') === key);
  if (override !== undefined) return override.origin;
  const node = findNodeAtLocation(root, [...path]) ?? root;
  return `${file}:${lineAt(text, node.offset)}`;
}

function formatAllowed(params: Readonly<Record<string, unknown>>): string {
  const values = params['allowedValues'];
  return Array.isArray(values) ? ` (${values.join(', ')})` : '';
}

function parseJsonPointer(pointer: string): (string | number)[] {
  return pointer
    .split('/')
    .slice(1)
    .map(part => part.replaceAll('~1', '/').replaceAll('~0', '~'))
    .map(part => (/^\d+$/.test(part) ? Number(part) : part));
}

function lineAt(text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length;
}
