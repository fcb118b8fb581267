#!/usr/bin/env node
/** The program dragonflyward-gateway. */
import {runDaemon} from '@dragonflyward/common/daemon';
import {Gateway} from './gateway.js';

await runDaemon({
  name: 'dragonflyward-gateway',
  description: 'Takes the requests and jobs of callers',
  make: cfg => new Gateway(cfg),
});
