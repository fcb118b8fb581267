#!/usr/bin/env node
/** Command line of the gateway program. */
import {
  loadSettings,
  onTermination,
  PROCESS_SETTINGS_SCHEMA,
  type ProcessSettings,
} from '@dragonflyward/common';
import {Command} from 'commander';
import {Gateway} from './gateway.js';

interface Options {
  readonly settings: string;
}

const options = new Command('dragonflyward-gateway')
  .description('Takes the requests and jobs of callers')
  .requiredOption('--settings <file>', 'settings in JSON with comments')
  .parse()
  .opts<Options>();

const cfg = loadSettings<ProcessSettings>(
  options.settings,
  PROCESS_SETTINGS_SCHEMA,
);
const gateway = new Gateway(cfg);
onTermination(() => gateway.drain(), cfg.timing.drainBoundMs);
await gateway.start();
