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
  const value: unknown = parse(text, [], {allowTrailingComma: true});
  const ajv = new Ajv({allErrors: false, useDefaults: true});
  const validate = ajv.compile(schema);
  if (validate(value)) return value as T;
  const [err] = validate.errors ?? [];
  return raise('settingsInvalid', describeError(file, text, root, err));
}

function describeError(
  file: string,
  text: string,
  root: Node,
  err: ErrorObject | undefined,
): string {
  if (err === undefined) return `${file}: unknown error`;
  const path = toPath(err.instancePath);
  const params = err.params as Readonly<Record<string, unknown>>;
  const extra = params['additionalProperty'];
  const full = typeof extra === 'string' ? [...path, extra] : path;
  const node = findNodeAtLocation(root, full) ?? root;
  const line = lineAt(text, node.offset);
  const key = full.length === 0 ? '(top level)' : full.join('.');
  return `${file}:${line}: key "${key}" ${err.message ?? ''}${allowed(params)}`;
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
