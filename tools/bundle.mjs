// Bundles the program of an entry VM into one file, so that it starts fast.
import {build} from 'esbuild';
import {readdirSync} from 'node:fs';

const alias = {};
for (const name of readdirSync('packages')) {
  alias[`@dragonflyward/${name}`] = `./packages/${name}/src/index.ts`;
}

await build({
  entryPoints: {'dragonflyward-vm': 'platform/src/main.ts'},
  outdir: 'target',
  outExtension: {'.js': '.cjs'},
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  alias,
  logLevel: 'warning',
});
