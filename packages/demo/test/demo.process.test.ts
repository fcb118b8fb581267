/** The demonstration run keeps every promise that it looks at. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {isGood, runDemo} from '../src/index.js';

const DEMO_BOUND_MS = 30_000;

const demo = suite('demo');

demo('ends in time, and nothing is lost or doubled', async () => {
  const startMs = performance.now();
  const report = await runDemo(() => undefined);
  assert.ok(isGood(report), JSON.stringify(report));
  assert.ok(performance.now() - startMs < DEMO_BOUND_MS);
});

demo.run();
