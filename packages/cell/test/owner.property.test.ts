/**
 * Owners crash, lose connections and are superseded; executors crash, lose
 * connections and carry out orders late.
 */
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ignoringStore, Rig, STEP, type CellNode} from './rig.js';

/** CELL_SEED and CELL_RUNS set another seed and more runs for a long search. */
const SEED = Number(process.env['CELL_SEED'] ?? 20261204);
const EXECUTORS = 4;
const RUNS = Number(process.env['CELL_RUNS'] ?? 40);
/** Time without a heartbeat after which other VMs claim the cell, in ms. */
const HEARTBEAT_WAIT_MS = 800;
/** By then, no executor counts as having just started, in ms. */
const START_AGE_MS = 20_000;
/** Long enough for all leases and retries to end, in ms. */
const RECOVERY_MS = 70_000;

type Fault =
  | {readonly kind: 'submit'; readonly tasks: number; readonly steps: number}
  | {readonly kind: 'cancel'; readonly job: number}
  | {readonly kind: 'kill'}
  | {readonly kind: 'supersede'}
  | {readonly kind: 'disconnectOwner'; readonly isDisconnected: boolean}
  | {readonly kind: 'store'; readonly isRefusing: boolean}
  | {readonly kind: 'loseAnswers'; readonly count: number}
  | {
      readonly kind: 'disconnect';
      readonly executor: number;
      readonly isDisconnected: boolean;
    }
  | {readonly kind: 'crash'; readonly executor: number}
  | {readonly kind: 'end'; readonly executor: number}
  | {readonly kind: 'recover'; readonly executor: number}
  /** Only owners that claim the cell later cannot reach the executor. */
  | {
      readonly kind: 'hide';
      readonly executor: number;
      readonly isHidden: boolean;
    }
  | {
      readonly kind: 'delayOrders';
      readonly executor: number;
      readonly count: number;
    }
  | {readonly kind: 'wait'; readonly ms: number};

const executor = fc.nat({max: EXECUTORS - 1});
const anyFault: fc.Arbitrary<Fault> = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('submit' as const),
      tasks: fc.integer({min: 1, max: 5}),
      steps: fc.integer({min: 1, max: 3}),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      ms: fc.integer({min: 20, max: 1500}),
    }),
  },
  fc.record({kind: fc.constant('cancel' as const), job: fc.nat({max: 8})}),
  fc.record({kind: fc.constant('kill' as const)}),
  fc.record({kind: fc.constant('supersede' as const)}),
  fc.record({
    kind: fc.constant('disconnectOwner' as const),
    isDisconnected: fc.boolean(),
  }),
  fc.record({kind: fc.constant('store' as const), isRefusing: fc.boolean()}),
  fc.record({
    kind: fc.constant('loseAnswers' as const),
    count: fc.integer({min: 1, max: 3}),
  }),
  fc.record({
    kind: fc.constant('disconnect' as const),
    executor,
    isDisconnected: fc.boolean(),
  }),
  fc.record({kind: fc.constant('crash' as const), executor}),
  fc.record({kind: fc.constant('end' as const), executor}),
  fc.record({kind: fc.constant('recover' as const), executor}),
  fc.record({
    kind: fc.constant('hide' as const),
    executor,
    isHidden: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant('delayOrders' as const),
    executor,
    count: fc.integer({min: 1, max: 3}),
  }),
);

/** Runs of every second job take this multiple of the time. */
const LONG_RUN_FACTOR = 5;

/** The task with index 2 fails in its first run. */
function behave(
  task: string,
  run: number,
): {ms: number; how: 'done' | 'failed'} {
  const index = Number(task.split('.')[3]);
  const isFailing = index === 2 && run === 1;
  const factor = /^job\d*[13579]\./.test(task) ? LONG_RUN_FACTOR : 1;
  const ms = factor * (200 + 300 * index);
  return {ms, how: isFailing ? 'failed' : 'done'};
}

/** Applies faults to one cell. */
class Scenario {
  readonly rig = new Rig(EXECUTORS, behave);
  readonly jobs: string[] = [];
  private readonly nodes: CellNode[] = [];
  /** Ids of executors that owners cannot reach if they claim the cell now. */
  private readonly hidden = new Set<string>();

  async start(): Promise<void> {
    await this.claim();
    await this.rig.run(START_AGE_MS);
  }

  async apply(fault: Fault): Promise<void> {
    const {rig} = this;
    switch (fault.kind) {
      case 'submit':
        return this.submit(fault.tasks, fault.steps);
      case 'cancel':
        return this.cancel(fault.job);
      case 'wait':
        return rig.run(fault.ms);
      case 'kill':
        rig.kill(this.newest());
        await this.claim();
        return;
      case 'supersede':
        return this.supersede();
      case 'disconnectOwner':
        this.newest().isDisconnected = fault.isDisconnected;
        return;
      case 'store':
        this.newest().store.faults.isRefusing = fault.isRefusing;
        return;
      case 'loseAnswers':
        this.newest().store.faults.lostAnswers = fault.count;
        this.newest().store.faults.lostAppendDelayMs = 700;
        return;
      case 'disconnect':
        rig.executor(`x${fault.executor}`).isDisconnected =
          fault.isDisconnected;
        return;
      case 'crash':
        rig.executor(`x${fault.executor}`).restart();
        return;
      case 'end':
        rig.executor(`x${fault.executor}`).crash();
        return;
      case 'recover':
        rig.executor(`x${fault.executor}`).recover();
        return;
      case 'hide':
        if (fault.isHidden) this.hidden.add(`x${fault.executor}`);
        else this.hidden.delete(`x${fault.executor}`);
        return;
      case 'delayOrders':
        rig.executor(`x${fault.executor}`).delayedOrders = fault.count;
    }
  }

  /** Ends all faults and lets the jobs finish under a new owner. */
  async recover(): Promise<void> {
    for (const each of this.rig.executors) {
      each.isDisconnected = false;
      each.delayedOrders = 0;
      each.recover();
    }
    for (const node of this.nodes) {
      node.store.faults.isRefusing = node.isKilled;
      node.store.faults.lostAnswers = 0;
      node.isDisconnected = false;
      node.unreachable.clear();
    }
    this.hidden.clear();
    await this.claim();
    await this.rig.run(RECOVERY_MS);
  }

  /** The owner loses the store and continues; another one claims the cell. */
  private async supersede(): Promise<void> {
    this.newest().store.faults.isRefusing = true;
    await this.rig.run(HEARTBEAT_WAIT_MS);
    await this.claim();
  }

  private newest(): CellNode {
    const node = this.nodes.at(-1);
    if (node === undefined) throw new Error('no node');
    return node;
  }

  private async claim(): Promise<void> {
    const node = this.rig.newNode(`v${this.nodes.length}`);
    for (const id of this.hidden) node.unreachable.add(id);
    this.nodes.push(node);
    const claimed = ignoringStore(this.rig.claim(node));
    await this.rig.run(100);
    void claimed;
  }

  private submit(tasks: number, steps: number): void {
    const id = `job${this.jobs.length}`;
    const specs = Array.from({length: steps}, (_, i) => ({
      ...STEP,
      count: tasks,
      after: i === 0 ? [] : [i - 1],
    }));
    this.jobs.push(id);
    this.rig.submit(id, specs, this.nodes);
  }

  private cancel(at: number): void {
    const id = this.jobs[at];
    if (id !== undefined) this.rig.cancel(id, this.nodes);
  }
}

export async function runScenario(faults: readonly Fault[]): Promise<Scenario> {
  const scenario = new Scenario();
  await scenario.start();
  for (const fault of faults) await scenario.apply(fault);
  await scenario.recover();
  return scenario;
}

const owner = suite('owner under faults');

owner('breaks no rule and finishes every job', async () => {
  const faults = fc.array(anyFault, {minLength: 5, maxLength: 40});
  const property = fc.asyncProperty(faults, async list => {
    const {rig, jobs} = await runScenario(list);
    assert.equal(rig.checker.violations, []);
    for (const id of jobs) {
      const phase = rig.rows.get(id)?.phase;
      const job = rig.checker.jobs.get(id);
      const isShown = phase === 'completed' || phase === 'cancelled';
      assert.ok(isShown, `${id} is ${phase ?? 'not shown'}`);
      const isDone = job !== undefined && rig.checker.isJobDone(job);
      if (phase === 'completed') assert.ok(isDone, `${id} is not done`);
    }
  });
  await fc.assert(property, {
    seed: SEED,
    numRuns: RUNS,
    includeErrorInReport: true,
  });
});

if (process.argv[2] === undefined) owner.run();
