// Runs formatter, type check, linter and tests, then lists the failed steps.
import {spawnSync} from 'node:child_process';

const STEPS = [
  {name: 'format', cmd: 'npm', args: ['run', '-s', 'check:format']},
  {name: 'types', cmd: 'npx', args: ['--no-install', 'tsc', '-b']},
  {name: 'lint', cmd: 'npm', args: ['run', '-s', 'check:lint']},
  {name: 'tests', cmd: 'node', args: ['tools/run-tests.mjs']},
];

const failed = [];
for (const step of STEPS) {
  const startedMs = Date.now();
  const res = spawnSync(step.cmd, step.args, {stdio: 'inherit'});
  const seconds = ((Date.now() - startedMs) / 1000).toFixed(1);
  const verdict = res.status === 0 ? 'ok' : 'FAILED';
  console.log(`check ${step.name}: ${verdict} (${seconds} s)`);
  if (res.status !== 0) failed.push(step.name);
}
if (failed.length > 0) {
  console.error(`failed checks: ${failed.join(', ')}`);
  process.exit(1);
}
