// Runs the compiled test files, several at a time, and prints the totals.
// Files named *.process.test.js start processes and run one after another.
import {spawn} from 'node:child_process';
import {existsSync, readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';

const PARALLEL_FILES = 4;
const FILE_TIMEOUT_MS = 300_000;

/** Lists the compiled test files whose path contains the filter. */
export function listTests(filter) {
  const files = [];
  const packages = readdirSync('packages').sort();
  for (const root of [
    ...packages.map(name => join('packages', name)),
    'platform',
  ]) {
    const dir = join(root, 'test');
    if (!existsSync(dir)) continue;
    for (const entry of readdirSync(dir).sort()) {
      if (!entry.endsWith('.test.ts')) continue;
      const path = join(root, 'dist/test', entry);
      files.push(path.replace(/\.ts$/, '.js'));
    }
  }
  return files.filter(file => file.includes(filter));
}

/** Runs one test file; returns its counts, failed tests and output. */
export function runFile(file) {
  return new Promise(resolve => {
    const child = spawn(process.execPath, ['--enable-source-maps', file], {
      env: {...process.env, NO_COLOR: '1', FORCE_COLOR: '0'},
    });
    let output = '';
    child.stdout.on('data', chunk => (output += chunk));
    child.stderr.on('data', chunk => (output += chunk));
    const timer = setTimeout(() => child.kill('SIGKILL'), FILE_TIMEOUT_MS);
    child.on('close', code => {
      clearTimeout(timer);
      resolve(readCounts(file, code, output));
    });
  });
}

function readCounts(file, code, output) {
  const passed = sumOf(output, /Passed:\s+(\d+)/g);
  const total = sumOf(output, /Total:\s+(\d+)/g);
  const skipped = sumOf(output, /Skipped:\s+(\d+)/g);
  const isFileBroken = code !== 0 && passed === total;
  const failed = total - passed + (isFileBroken ? 1 : 0);
  const names = [...output.matchAll(/FAIL {2}(.*)/g)].map(m => m[1].trim());
  // If a hook throws, uvu names no test and still exits with code 0.
  if (failed > names.length) names.push('(file)');
  return {file, passed, failed, skipped, names, output};
}

function sumOf(text, pattern) {
  return [...text.matchAll(pattern)].reduce((sum, m) => sum + Number(m[1]), 0);
}

/** Reads the known failures: "test: FILE | NAME" lines of KNOWN-RED.txt. */
function readKnownFailures() {
  if (!existsSync('KNOWN-RED.txt')) return [];
  return readFileSync('KNOWN-RED.txt', 'utf8')
    .split('\n')
    .filter(line => line.startsWith('test: '))
    .map(line => line.slice('test: '.length).trim());
}

async function runAll(files, parallel, results) {
  const queue = [...files];
  const worker = async () => {
    for (let file = queue.shift(); file; file = queue.shift()) {
      const res = await runFile(file);
      results.push(res);
      const verdict = res.failed === 0 ? 'ok  ' : 'FAIL';
      console.log(`${verdict} ${file} (${res.passed} passed)`);
      if (res.failed > 0) console.log(res.output);
    }
  };
  await Promise.all(Array.from({length: parallel}, worker));
}

async function main() {
  const files = listTests(process.argv[2] ?? '');
  const isProcessTest = file => file.includes('.process.test.');
  const results = [];
  const plain = files.filter(file => !isProcessTest(file));
  await runAll(plain, PARALLEL_FILES, results);
  await runAll(files.filter(isProcessTest), 1, results);
  const knownFailures = readKnownFailures();
  const failedTests = results.flatMap(res =>
    res.names.map(name => `${res.file} | ${name}`),
  );
  const unexpected = failedTests.filter(id => !knownFailures.includes(id));
  for (const id of failedTests) {
    console.log(`${knownFailures.includes(id) ? 'known red' : 'red'}: ${id}`);
  }
  const passed = results.reduce((sum, res) => sum + res.passed, 0);
  const skipped = results.reduce((sum, res) => sum + res.skipped, 0);
  console.log(
    `${passed} passed, ${unexpected.length} failed, ${skipped} skipped`,
  );
  const hasNoPasses = passed === 0;
  process.exit(unexpected.length > 0 || hasNoPasses ? 1 : 0);
}

if (process.argv[1].endsWith('run-tests.mjs')) await main();
