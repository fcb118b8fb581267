// Runs only the promise tests and prints their counts by promise.
// With --json, the last line is {"promises":[{name,passed,failed,skipped}]}.
import {existsSync, readFileSync} from 'node:fs';
import {PROMISE_IDS, PROVE_VARIABLE} from '@dragonflyward/common/promise-test';
import {listTests, runFile} from './run-tests.mjs';

const REPORT_LINE = /^promise (\S+) (declared|passed|failed|skipped) (.*)$/gm;
const NAME_WIDTH = 18;
const COUNT_WIDTH = 8;

function isPromiseFile(file) {
  const source = file.replace('/dist/', '/').replace(/\.js$/, '.ts');
  if (!existsSync(source)) return false;
  return readFileSync(source, 'utf8').includes('/promise-test');
}

/** Parses the lines on declared promise tests and their ends. */
function readReports(output) {
  return [...output.matchAll(REPORT_LINE)].map(match => {
    const [, promise, state, name] = match;
    return {promise, state, name: name.trim()};
  });
}

function emptyCount() {
  return {declared: 0, passed: 0, failed: 0, skipped: 0};
}

/** Counts the reports of one test file by promise. */
function countReports(reports) {
  const counts = new Map();
  for (const {promise, state} of reports) {
    const count = counts.get(promise) ?? emptyCount();
    count[state] += 1;
    counts.set(promise, count);
  }
  return counts;
}

/** Adds one file's counts; a test that never ended counts as failed. */
function addCounts(totals, counts) {
  for (const [promise, count] of counts) {
    const total = totals.get(promise) ?? emptyCount();
    const unfinished = count.declared - count.passed - count.failed;
    total.declared += count.declared;
    total.passed += count.passed;
    total.failed += count.failed + unfinished;
    total.skipped += count.skipped;
    totals.set(promise, total);
  }
}

function formatRow(name, passed, failed, skipped) {
  const cells = [passed, failed, skipped].map(cell =>
    String(cell).padStart(COUNT_WIDTH),
  );
  return name.padEnd(NAME_WIDTH) + cells.join('');
}

function printTable(totals) {
  console.log(formatRow('promise', 'passed', 'failed', 'skipped'));
  for (const id of PROMISE_IDS) {
    const total = totals.get(id) ?? emptyCount();
    const note = total.passed === 0 ? '  no test passed' : '';
    const {passed, failed, skipped} = total;
    console.log(formatRow(id, passed, failed, skipped) + note);
  }
}

function printJson(totals) {
  const promises = [...totals].map(([name, total]) => {
    const {passed, failed, skipped} = total;
    return {name, passed, failed, skipped};
  });
  console.log(JSON.stringify({promises}));
}

function printFile(res) {
  const verdict = res.failed === 0 ? 'ok  ' : 'FAIL';
  console.log(`${verdict} ${res.file} (${res.passed} passed)`);
  if (res.failed > 0) console.log(res.output);
}

async function main() {
  process.env[PROVE_VARIABLE] = '1';
  const totals = new Map();
  let hasBrokenFile = false;
  for (const file of listTests('').filter(isPromiseFile)) {
    const res = await runFile(file);
    printFile(res);
    hasBrokenFile ||= res.failed > 0;
    addCounts(totals, countReports(readReports(res.output)));
  }
  printTable(totals);
  const isProved = id => {
    const total = totals.get(id) ?? emptyCount();
    return total.passed > 0 && total.failed === 0;
  };
  const isAllProved = !hasBrokenFile && PROMISE_IDS.every(isProved);
  if (process.argv.includes('--json')) printJson(totals);
  process.exitCode = isAllProved ? 0 : 1;
}

await main();
