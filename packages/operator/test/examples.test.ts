import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {
  loadSettings,
  parseSettings,
  PROCESS_SETTINGS_SCHEMA,
} from '@dragonflyward/common';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {loadConfiguration} from '../src/config-commands.js';
import {CTL_SETTINGS_SCHEMA} from '../src/ctl-settings.js';

const SCHEMAS = {
  gateway: PROCESS_SETTINGS_SCHEMA,
  scheduler: PROCESS_SETTINGS_SCHEMA,
  ctl: CTL_SETTINGS_SCHEMA,
  timeline: CTL_SETTINGS_SCHEMA,
} as const;

function fileOf(name: string): string {
  const path = `../../../../examples/${name}.jsonc`;
  return fileURLToPath(new URL(path, import.meta.url));
}

interface SchemaNode {
  readonly properties?: Readonly<Record<string, SchemaNode>>;
}

/** Lists the keys of a schema that a value does not have. */
function* missingKeys(schema: SchemaNode, value: unknown): Generator<string> {
  const entries = Object.entries(schema.properties ?? {});
  for (const [key, child] of entries) {
    const actual = (value as Readonly<Record<string, unknown>>)[key];
    if (actual === undefined) yield key;
    else yield* missingKeys(child, actual);
  }
}

const examples = suite('examples');

for (const [name, schema] of Object.entries(SCHEMAS)) {
  examples(`${name}.jsonc is valid and shows every key`, () => {
    loadSettings(fileOf(name), schema);
    const text = readFileSync(fileOf(name), 'utf8');
    const shown = parseSettings(name, text, {});
    assert.equal([...missingKeys(schema as SchemaNode, shown)], []);
  });
}

examples('configuration.jsonc is valid', () => {
  const {exceptions} = loadConfiguration(fileOf('configuration'));
  assert.ok(exceptions.length > 0);
});

examples.run();
