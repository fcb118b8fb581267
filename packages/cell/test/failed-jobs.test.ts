/** Only ends `failed` count as attempts of a job that is shown as failed. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Rig, STEP} from './rig.js';

const EXECUTORS = 8;
const SETTLE_MS = 3000;
const POLL_MS = 50;
/** Time that a run works before its executor crashes, in ms. */
const WORKING_MS = 2000;
/** How long an executor is down, in ms. */
const DOWN_MS = 3000;
const CRASHES = 3;
/** Most time until a run has worked for a while, in ms. */
const MAX_WAIT_MS = 60_000;
const LONG_MS = 12_000;
const LASTING_MS = 900_000;
const JOB = 'job';
const TASK = `${JOB}.0.0.0`;

const failedJobs = suite('jobs that are shown as failed');

for (const isService of [false, true]) {
  const kind = isService ? 'lasting' : 'long';
  failedJobs(
    `are none whose executors crash while a ${kind} task works`,
    async () => {
      const ms = isService ? LASTING_MS : LONG_MS;
      const rig = new Rig(EXECUTORS, () => ({ms, how: 'done'}));
      const node = rig.newNode('v0');
      void rig.claim(node);
      await rig.run(SETTLE_MS);
      rig.submit(JOB, [{...STEP, isService}], [node]);
      for (let crash = 0; crash < CRASHES; crash += 1) {
        await crashExecutor(rig);
      }
      await rig.run(SETTLE_MS + LONG_MS);
      const phase = rig.rows.get(JOB)?.phase;
      assert.is(phase, isService ? 'running' : 'completed');
      const isAtWork = rig.executors.some(({runs}) => runs.has(TASK));
      assert.is(isAtWork, isService);
      assert.equal(rig.checker.violations, []);
    },
  );
}

/** Crashes the executor of the task once its run has worked for a while. */
async function crashExecutor(rig: Rig): Promise<void> {
  for (let ms = 0; ms < MAX_WAIT_MS; ms += POLL_MS) {
    const nowMs = rig.clock.monotonicMs();
    const used = rig.executors.find(({runs}) => {
      const run = runs.get(TASK);
      return run !== undefined && nowMs - run.startedMs >= WORKING_MS;
    });
    if (used !== undefined) {
      used.crash();
      await rig.run(DOWN_MS);
      used.recover();
      return;
    }
    await rig.run(POLL_MS);
  }
  assert.unreachable('no run has worked for long enough');
}

failedJobs.run();
