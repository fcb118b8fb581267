#!/usr/bin/env node
/** The program dragonflyward-scheduler. */
import {runDaemon} from '@dragonflyward/common/daemon';
import {SchedulerProcess} from './scheduler-process.js';

await runDaemon({
  name: 'dragonflyward-scheduler',
  description: 'Owns shards: decides placements and holds task leases',
  make: cfg => new SchedulerProcess(cfg),
});
