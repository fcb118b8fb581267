import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {SilenceBound} from '../src/adaptive-timeout.js';

const LEFT_MS = 8_000;
const KNOWN_SAMPLES = 50;

const silence = suite('silence bound');

silence('leaves time for another attempt at an unknown service', () => {
  const bound = new SilenceBound();
  bound.add('quote', 40);
  assert.is(bound.boundMs('quote', LEFT_MS), LEFT_MS / 2);
});

silence('follows the latency once it is known', () => {
  const bound = new SilenceBound();
  for (let i = 0; i < KNOWN_SAMPLES; i += 1) bound.add('quote', 40);
  assert.is(bound.boundMs('quote', LEFT_MS), 1_000);
});

silence.run();
