/** Run numbers of a new owner are above all that an earlier owner gave. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {Behaviour} from './fake-executor.js';
import {Rig, STEP, type CellNode} from './rig.js';

const SETTLE_MS = 3000;
/** Time from the death of an owner to the claim of the next one, in ms. */
const CLAIM_DELAY_MS = 900;
/** Most steps of 10 ms until a run is started. */
const MAX_STEPS = 2000;
/** Long enough for all retries of a failed task, in ms. */
const RETRIES_MS = 8000;
const RUN_MS = 100;
/** Long enough to reach an executor that was cut off, in ms. */
const LONG_RUN_MS = 3000;
const LASTING = {...STEP, isService: true};

/** All runs end in failure, after a time that the test sets. */
class FailingRuns {
  ms = RUN_MS;
  readonly numbers: number[] = [];

  readonly behave: Behaviour = (_task, run) => {
    if (this.numbers.at(-1) !== run) this.numbers.push(run);
    return {ms: this.ms, how: 'failed'};
  };
}

async function startOwner(rig: Rig): Promise<CellNode> {
  const node = rig.newNode('v0');
  void rig.claim(node);
  await rig.run(SETTLE_MS);
  return node;
}

/** Advances the clock until so many runs have been started. */
async function awaitRuns(rig: Rig, count: number): Promise<void> {
  for (let i = 0; i < MAX_STEPS && rig.checker.starts < count; i += 1) {
    await rig.run(10);
  }
  assert.is(rig.checker.starts, count);
}

/** Lets another VM claim the cell of an owner that was killed. */
async function replace(rig: Rig, former: CellNode): Promise<CellNode> {
  rig.kill(former);
  await rig.run(CLAIM_DELAY_MS);
  const node = rig.newNode('v1');
  void rig.claim(node);
  return node;
}

const numbers = suite('run numbers of a term');

// An executor refuses a run number that it has stopped or seen end.
numbers('are not refused by the executor that ran the task', async () => {
  const runs = new FailingRuns();
  const rig = new Rig(1, runs.behave);
  const former = await startOwner(rig);
  rig.submit('job', [LASTING], [former]);
  await awaitRuns(rig, 4);
  await rig.run(RUN_MS + 50);
  runs.ms = LONG_RUN_MS;
  await replace(rig, former);
  await rig.run(SETTLE_MS);
  const refused = rig.logLines.filter(line => line.includes('startFailed'));
  assert.equal(refused, []);
  const given = runs.numbers;
  assert.ok((given.at(-1) ?? 0) > Math.max(...given.slice(0, -1)), `${given}`);
});

// Failed runs are told apart by their numbers.
numbers('let no failed run count as one of an earlier owner', async () => {
  const runs = new FailingRuns();
  const rig = new Rig(2, runs.behave);
  const former = await startOwner(rig);
  rig.submit('job', [STEP], [former]);
  await awaitRuns(rig, 2);
  const cut = rig.executors.find(each => each.runs.size > 0);
  assert.ok(cut);
  cut.isDisconnected = true;
  runs.ms = LONG_RUN_MS;
  await replace(rig, former);
  await awaitRuns(rig, 3);
  // The end of the former owner's run is listed before that of the new one.
  cut.isDisconnected = false;
  await rig.run(RETRIES_MS);
  assert.is(rig.rows.get('job')?.phase, 'failed');
  assert.is(rig.checker.starts, 3);
  assert.equal(rig.checker.violations, []);
});

numbers.run();
