/** The demonstration breaks none of the promises that it checks. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {hasPassed, runDemo} from '../src/index.js';

const DEMO_TIMEOUT_MS = 30_000;

const demo = suite('demo');

demo('ends in time, and nothing is lost or doubled', async () => {
  const startMs = performance.now();
  const report = await runDemo(() => undefined);
  assert.ok(hasPassed(report), JSON.stringify(report));
  assert.ok(performance.now() - startMs < DEMO_TIMEOUT_MS);
});

demo.run();
