/** Runs the demonstration and prints a table of its results. */
import {Command} from 'commander';
import {runDemo} from './demo.js';
import {hasPassed, formatTable} from './report.js';

interface Options {
  readonly json?: boolean;
}

const command = new Command('dragonflyward-demo')
  .description("runs both users' workloads on one machine in under 30 s")
  .option('--json', 'print one JSON line at the end')
  .parse();
const {json} = command.opts<Options>();

const startMs = performance.now();
const report = await runDemo(text => {
  const seconds = ((performance.now() - startMs) / 1_000).toFixed(1);
  process.stderr.write(`${seconds.padStart(5)} s  ${text}\n`);
});
for (const line of formatTable(report)) process.stdout.write(`${line}\n`);
if (json) process.stdout.write(`${JSON.stringify(report)}\n`);
process.exitCode = hasPassed(report) ? 0 : 1;
