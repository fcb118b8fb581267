import {
  DragonflywardError,
  loadProgramSettings,
  parseSettings,
} from '@dragonflyward/common';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';

const SCHEMA = {
  type: 'object',
  additionalProperties: false,
  required: ['port'],
  properties: {
    port: {type: 'integer', minimum: 1},
    level: {enum: ['info', 'debug'], default: 'info'},
  },
};

interface Case {
  readonly name: string;
  readonly text: string;
  readonly message: string;
}

const INVALID_SETTINGS: readonly Case[] = [
  {
    name: 'an unknown key',
    text: '{"port": 1,\n "prot": 2}',
    message: 'f.jsonc:2: key "prot"',
  },
  {
    name: 'a value of the wrong type',
    text: '{\n\n"port": "x"}',
    message: 'f.jsonc:3: key "port" must be integer',
  },
  {
    name: 'a value that is not allowed, with those that are',
    text: '{"port": 1, "level": "loud"}',
    message: '(info, debug)',
  },
  {name: 'a broken file', text: '{"port": 1,,}', message: 'f.jsonc:1:'},
  {name: 'an empty file', text: '', message: 'f.jsonc'},
];

const settings = suite('settings');

settings('reads JSON with comments and fills defaults', () => {
  const text = '{"port": 1, // the port\n}';
  const cfg = parseSettings<object>('f.jsonc', text, SCHEMA);
  assert.equal(cfg, {port: 1, level: 'info'});
});

for (const {name, text, message} of INVALID_SETTINGS) {
  settings(`names file, line and key of ${name}`, () => {
    try {
      parseSettings('f.jsonc', text, SCHEMA);
      assert.unreachable();
    } catch (err) {
      assert.instance(err, DragonflywardError);
      assert.match(String(err), message);
    }
  });
}

settings('lets the environment replace the file, and flags both', () => {
  const env = {DRAGONFLYWARD_PORT: '2', DRAGONFLYWARD_LEVEL: 'debug'};
  const sources = {file: '', flags: ['port=3'], env};
  const cfg = loadProgramSettings<object>(sources, SCHEMA);
  assert.equal(cfg, {port: 3, level: 'debug'});
});

settings('names the override that holds a bad value', () => {
  const env = {DRAGONFLYWARD_PORT: 'x'};
  const bad = () => loadProgramSettings({file: '', flags: [], env}, SCHEMA);
  assert.throws(bad, /environment variable DRAGONFLYWARD_PORT: key "port"/);
  const unknown = () =>
    loadProgramSettings({file: '', flags: ['prot=1'], env: {}}, SCHEMA);
  assert.throws(unknown, /--set prot=1/);
});

settings.run();
