/** Values that replace those of a settings file: environment, then flags. */
import {raise} from './errors.js';

/** The prefix of all environment variables that override settings. */
export const ENVIRONMENT_PREFIX = 'DRAGONFLYWARD_';

/** One value that replaces what the settings file says. */
export interface SettingsOverride {
  /** Path of the key, outermost first. */
  readonly path: readonly string[];
  readonly value: unknown;
  /** Where it comes from, as an error names it. */
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
 * Lists the overrides that the environment holds for a schema's keys.
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
  for (const leaf of leavesOf(schema as SchemaNode, [])) {
    const name = variableName(leaf.path);
    const text = env[name];
    if (text === undefined) continue;
    const value = readValue(text, leaf.type);
    yield {path: leaf.path, value, origin: `environment variable ${name}`};
  }
}

/**
 * Reads flags of the form `key.path=value`.
 *
 * @throws settingsInvalid where the text has another form or an unknown key
 * @example
 * const overrides = [...flagOverrides(SCHEMA, ['logLevel=debug'])];
 */
export function* flagOverrides(
  schema: Readonly<object>,
  texts: readonly string[],
): Generator<SettingsOverride> {
  const leaves = [...leavesOf(schema as SchemaNode, [])];
  for (const text of texts) {
    const split = text.indexOf('=');
    const key = text.slice(0, Math.max(0, split));
    const leaf = leaves.find(({path}) => path.join('.') === key);
    const origin = `flag --set ${key}`;
    if (leaf === undefined) {
      raise('settingsInvalid', `--set ${text}: want KEY=VALUE of a known key`);
    }
    const value = readValue(text.slice(split + 1), leaf.type);
    yield {path: leaf.path, value, origin};
  }
}

/**
 * Returns a copy of the settings with the overrides put in, in order.
 *
 * @example
 * const value = applyOverrides(parsed, overrides);
 */
export function applyOverrides(
  settings: unknown,
  overrides: readonly SettingsOverride[],
): unknown {
  return overrides.reduce(
    (value, {path, value: leaf}) => withLeaf(value, path, leaf),
    settings,
  );
}

function withLeaf(
  value: unknown,
  path: readonly string[],
  leaf: unknown,
): unknown {
  const [key, ...rest] = path;
  if (key === undefined) return leaf;
  const section = isSection(value) ? value : {};
  return {...section, [key]: withLeaf(section[key], rest, leaf)};
}

function isSection(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function* leavesOf(
  node: SchemaNode,
  path: readonly string[],
): Generator<SchemaLeaf> {
  if (node.properties === undefined) {
    yield {path, type: node.type ?? 'string'};
    return;
  }
  for (const [key, child] of Object.entries(node.properties)) {
    yield* leavesOf(child, [...path, key]);
  }
}

function variableName(path: readonly string[]): string {
  const words = path.map(part => part.replace(/([A-Z])/g, '_$1'));
  return ENVIRONMENT_PREFIX + words.join('_').toUpperCase();
}

/** Text that does not read as the type is left for the schema to refuse. */
function readValue(text: string, type: string): unknown {
  if (type === 'string') return text;
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return text;
  }
}
