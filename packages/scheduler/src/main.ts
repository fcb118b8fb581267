#!/usr/bin/env node
/** The program dragonflyward-scheduler. */
import {
  loadSettings,
  onTermination,
  PROCESS_SETTINGS_SCHEMA,
  toFailure,
  type ProcessSettings,
} from '@dragonflyward/common';
import {Command} from 'commander';
import {SchedulerProcess} from './scheduler-process.js';

const SETTINGS_EXIT_CODE = 78;

interface Flags {
  readonly settings: string;
}

const command = new Command('dragonflyward-scheduler')
  .description('Owns shards: decides placements and holds task leases')
  .requiredOption('--settings <file>', 'settings in JSON with comments')
  .action(async (flags: Flags) => {
    const cfg = loadSettings<ProcessSettings>(
      flags.settings,
      PROCESS_SETTINGS_SCHEMA,
    );
    const scheduler = new SchedulerProcess(cfg);
    await scheduler.start();
    onTermination(() => scheduler.drain(), cfg.timing.drainBoundMs);
  });

command.parseAsync().catch((err: unknown) => {
  const {kind, detail} = toFailure(err);
  process.stderr.write(`dragonflyward-scheduler: ${kind}: ${detail}\n`);
  process.exit(SETTINGS_EXIT_CODE);
});
