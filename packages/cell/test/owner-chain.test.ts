/** How long tasks wait while the cell changes its owner several times. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Rig, STEP, type CellNode} from './rig.js';

const LONG_RUN_MS = 600_000;
/** By then, no executor counts as having just started, in ms. */
const START_AGE_MS = 21_000;
const SETTLE_MS = 3000;
/** Time from the death of an owner to the claim of the next one, in ms. */
const CLAIM_DELAY_MS = 900;
/** How long an owner acts after another VM has claimed the cell, in ms. */
const SUPERSEDED_MS = 3100;
/** The lease that an owner gives, with the margin for clocks, in ms. */
const LEASE_MS = 6500;
/** Long enough to start a task that need not wait any more, in ms. */
const START_MS = 1000;
const LASTING = {...STEP, isService: true};
const SPREAD = {...LASTING, count: 3, maxPerExecutor: 1};

interface Chain {
  readonly rig: Rig;
  readonly owner: CellNode;
  /** The task whose executor is lost. */
  readonly task: string;
}

/** An owner under which a task runs on x1, and none on x3. */
async function startOwner(): Promise<Chain> {
  const rig = new Rig(4, () => ({ms: LONG_RUN_MS, how: 'failed'}));
  const owner = rig.newNode('v0');
  void rig.claim(owner);
  await rig.run(START_AGE_MS);
  rig.submit('early', [SPREAD], [owner]);
  await rig.run(SETTLE_MS);
  const [task = ''] = rig.executor('x1').runs.keys();
  assert.is.not(task, '');
  return {rig, owner, task};
}

/** Hands the cell over to one VM after the other. */
async function handOverAlong(
  rig: Rig,
  from: CellNode,
  vms: readonly string[],
  intervalMs: number,
): Promise<CellNode> {
  let owner = from;
  for (const vm of vms) {
    const next = rig.newNode(vm);
    void rig.handOver(owner, next);
    await rig.run(intervalMs);
    owner = next;
  }
  return owner;
}

function countRuns(rig: Rig, task: string): number {
  return rig.executors.filter(({runs}) => runs.has(task)).length;
}

/** Runs the clock to a time after a start; fails if the task runs late. */
async function expectRunBy(
  {rig, task}: Chain,
  startMs: number,
  boundMs: number,
): Promise<void> {
  await rig.run(startMs + boundMs - rig.clock.monotonicMs());
  assert.equal(rig.checker.violations, []);
  assert.is(countRuns(rig, task), 1, `${task} has no run`);
}

const chain = suite('chains of owners');

// The executor leaves for good, and each owner is a VM that is shut down next.
chain('restarts a lasting task once its lease has ended', async () => {
  const started = await startOwner();
  const {rig, owner} = started;
  rig.executor('x1').crash();
  await rig.run(300);
  const handoverMs = rig.clock.monotonicMs();
  await handOverAlong(rig, owner, ['v1', 'v2', 'v3'], 2000);
  await expectRunBy(started, handoverMs, LEASE_MS + START_MS);
});

chain(
  'restarts a lasting task after a killed owner and handovers',
  async () => {
    const started = await startOwner();
    const {rig, owner} = started;
    rig.executor('x1').crash();
    await rig.run(300);
    rig.kill(owner);
    await rig.run(CLAIM_DELAY_MS);
    const claimMs = rig.clock.monotonicMs();
    const second = rig.newNode('v1');
    void rig.claim(second);
    await rig.run(2000);
    await handOverAlong(rig, second, ['v2', 'v3', 'v4'], 2500);
    await expectRunBy(started, claimMs, SUPERSEDED_MS + LEASE_MS + START_MS);
  },
);

chain.run();
