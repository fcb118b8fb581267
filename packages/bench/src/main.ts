/** Runs one benchmark by its name: `npm run bench -- NAME [--json]`. */
import {Command} from 'commander';
import {BENCHES} from './benches.js';

const names = Object.keys(BENCHES).join(', ');
const program = new Command('bench')
  .description('Measures one part of the system')
  .argument('<name>', `one of: ${names}`)
  .option('--json', 'print the figures as one last line of JSON', false)
  .action(async (name: string, options: {readonly json: boolean}) => {
    const bench = BENCHES[name];
    if (bench === undefined) return program.error(`unknown benchmark: ${name}`);
    const figures = await bench(line => process.stdout.write(`${line}\n`));
    if (options.json) process.stdout.write(`${JSON.stringify(figures)}\n`);
  });

await program.parseAsync();
