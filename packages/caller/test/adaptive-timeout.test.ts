import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ServiceTimeouts} from '../src/service-timeouts.js';

const REMAINING_MS = 8_000;
const MIN_SAMPLES = 50;

const timeouts = suite('adaptive timeout');

timeouts('leaves time for another attempt at an unknown service', () => {
  const timeout = new ServiceTimeouts();
  timeout.recordLatency('quote', 40);
  assert.is(timeout.timeoutMs('quote', REMAINING_MS), REMAINING_MS / 2);
});

timeouts('follows the latency once it is known', () => {
  const timeout = new ServiceTimeouts();
  for (let i = 0; i < MIN_SAMPLES; i += 1) timeout.recordLatency('quote', 40);
  assert.is(timeout.timeoutMs('quote', REMAINING_MS), 1_000);
});

timeouts.run();
