/** Overrides of a settings file by environment variables and flags. */
import {raise} from './errors.js';

/** Prefix of the environment variables that override settings. */
export const ENVIRONMENT_PREFIX = 'DRAGONFLYWARD_';

/** A value that replaces the one in the settings file. */
export interface SettingsOverride {
  /** Path of the key, outermost segment first. */
  readonly path: readonly string[];
  readonly value: unknown;
  /** Source of the value, for error messages. */
  readonly origin: string;
}

interface SchemaNode {
  readonly type?: string;
  readonly properties?: Readonly<Record<string, SchemaNode>>;
}

interface SchemaLeaf {
  readonly path: readonly string[];
  readonly type: string;
}

/**
 * Yields the overrides that the environment sets for keys of the schema.
 *
 * `timing.taskLeaseMs` is read from `DRAGONFLYWARD_TIMING_TASK_LEASE_MS`.
 *
 * @example
 * const overrides = [...environmentOverrides(SCHEMA, process.env)];
 */
export function* environmentOverrides(
  schema: Readonly<object>,
  env: Readonly<NodeJS.ProcessEnv>,
): Generator<SettingsOverride> {
  for (const leaf of listLeaves(schema as SchemaNode, [])) {
    const name = variableName(leaf.path);
    const text = env[name];
    if (text === undefined) continue;
    const value = parseValue(text, leaf.type);
    yield {path: leaf.path, value, origin: `environment variable ${name}`};
  }
}

/**
 * Parses flags of the form `key.path=value`.
 *
 * @throws settingsInvalid for a malformed flag or an unknown key
 * @example
 * const overrides = [...flagOverrides(SCHEMA, ['logLevel=debug'])];
 */
export function* flagOverrides(
  schema: Readonly<object>,
  flags: readonly string[],
): Generator<SettingsOverride> {
  const leaves = [...listLeaves(schema as SchemaNode, [])];
  for (const flag of flags) {
    const separatorIndex = flag.indexOf('=');
    const key = flag.slice(0, Math.max(0, separatorIndex));
    const leaf = leaves.find(({path}) => path.join('.') === key);
    const origin = `flag --set ${key}`;
    if (leaf === undefined) {
      raise(
        'settingsInvalid',
        `--set ${flag}: expected KEY=VALUE with a known key`,
      );
    }
    const value = parseValue(flag.slice(separatorIndex + 1), leaf.type);
    yield {path: leaf.path, value, origin};
  }
}

/**
 * Returns a copy of the settings with the overrides applied, in order.
 *
 * @example
 * const value = applyOverrides(parsed, overrides);
 */
export function applyOverrides(
  settings: unknown,
  overrides: readonly SettingsOverride[],
): unknown {
  return overrides.reduce(
    (value, {path, value: leaf}) => setAtPath(value, path, leaf),
    settings,
  );
}

function setAtPath(
  value: unknown,
  path: readonly string[],
  leaf: unknown,
): unknown {
  const [key, ...rest] = path;
  if (key === undefined) return leaf;
  const section = isSection(value) ? value : {};
  return {...section, [key]: setAtPath(section[key], rest, leaf)};
}

function isSection(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function* listLeaves(
  node: SchemaNode,
  path: readonly string[],
): Generator<SchemaLeaf> {
  if (node.properties === undefined) {
    yield {path, type: node.type ?? 'string'};
    return;
  }
  for (const [key, child] of Object.entries(node.properties)) {
    yield* listLeaves(child, [...path, key]);
  }
}

function variableName(path: readonly string[]): string {
  const words = path.map(part => part.replace(/([A-Z])/g, '_$1'));
  return ENVIRONMENT_PREFIX + words.join('_').toUpperCase();
}

/** Text that is not valid JSON stays a string, for the schema to reject. */
function parseValue(text: string, type: string): unknown {
  if (type === 'string') return text;
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return text;
  }
}
