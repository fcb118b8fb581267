/**
 * The wall clocks of VMs and executors step while jobs, lasting tasks and
 * series run and owners are lost: a time that was read before a step, or by
 * another machine, must neither lose a task nor let one run twice.
 */
import type {Repetition, StepSpec} from '@dragonflyward/cell';
import {encode} from 'cbor-x';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {Behaviour, FakeExecutor} from './fake-executor.js';
import {
  EXECUTORS_TOPIC,
  ignoringStore,
  ONCE,
  QUEUE,
  Rig,
  STEP,
  VmClock,
  type CellNode,
} from './rig.js';

/** CELL_SEED and CELL_RUNS set another seed and more runs for a long search. */
const SEED = Number(process.env['CELL_SEED'] ?? 20261206);
const RUNS = Number(process.env['CELL_RUNS'] ?? 50);
const EXECUTORS = 4;
const VMS = 4;
/** The largest step of a wall clock, in ms. */
const MAX_STEP_MS = 10_000;
/** Time without a heartbeat after which other VMs claim the cell, in ms. */
const HEARTBEAT_WAIT_MS = 800;
/** The longest time between a reading and the claim that rests on it, in ms. */
const LONG_CLAIM_WAIT_MS = 1250;
/**
 * By then the owner has reached all executors, in ms. It is less than most steps
 * so that an executor may restart with an earlier start time than before.
 */
const START_MS = 3000;
/** By then the store lists an executor, and the owner has read it, in ms. */
const LISTED_MS = 2000;
/** The interval at which an owner reads what the store lists, in ms. */
const READ_MS = 420;
/** Longer than the leases of an owner and of its executors together, in ms. */
const LEASES_MS = 10_000;
/** Long enough for all leases and retries to end, in ms. */
const RECOVERY_MS = 40_000;
/** Ids of jobs of lasting tasks start with it. */
const LASTING = 'lasting';
/** How long a lasting task runs, in ms: beyond the scenario. */
const LASTING_MS = 10_000_000;

const vm = fc.nat({max: VMS - 1});
const executor = fc.nat({max: EXECUTORS - 1});
const stepMs = fc.integer({min: -MAX_STEP_MS, max: MAX_STEP_MS});
const waitMs = fc.constantFrom(0, HEARTBEAT_WAIT_MS, LONG_CLAIM_WAIT_MS);
const faultInPlace = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({kind: fc.constant('stepVm' as const), vm, stepMs}),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('stepExecutor' as const),
      executor,
      stepMs,
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      ms: fc.integer({min: 20, max: 3000}),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      ms: fc.constant(LEASES_MS),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('submit' as const),
      vm,
      tasks: fc.integer({min: 1, max: 4}),
      steps: fc.integer({min: 1, max: 2}),
    }),
  },
  fc.record({
    kind: fc.constant('submitGang' as const),
    vm,
    tasks: fc.integer({min: 2, max: EXECUTORS}),
  }),
  fc.record({
    kind: fc.constant('submitLasting' as const),
    vm,
    tasks: fc.integer({min: 1, max: 2}),
  }),
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('submitSeries' as const),
      vm,
      times: fc.integer({min: 2, max: 6}),
      delayMs: fc.integer({min: 0, max: 3000}),
      intervalMs: fc.integer({min: 200, max: 1500}),
    }),
  },
  fc.record({kind: fc.constant('kill' as const), waitMs}),
  /** The owner loses the store, and its wall clock steps; another VM claims. */
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('supersede' as const),
      waitMs,
      stepMs: fc.constantFrom(-MAX_STEP_MS, -MAX_STEP_MS, 0, MAX_STEP_MS),
    }),
  },
  fc.record({kind: fc.constant('handOver' as const)}),
  fc.record({kind: fc.constant('restartVms' as const)}),
  fc.record({kind: fc.constant('restart' as const), executor}),
  fc.record({kind: fc.constant('end' as const), executor}),
  fc.record({kind: fc.constant('recover' as const), executor}),
  fc.record({
    kind: fc.constant('disconnect' as const),
    executor,
    isDisconnected: fc.boolean(),
  }),
  /** Only owners that take the cell over later cannot reach the executor. */
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('hide' as const),
      executor,
      isHidden: fc.constantFrom(true, true, false),
    }),
  },
);
/** The same, and executors restart at other addresses as their clocks step. */
const anyFault = fc.oneof(
  {weight: 5, arbitrary: faultInPlace},
  fc.record({
    kind: fc.constant('move' as const),
    executor,
    stepMs,
    port: fc.integer({min: 2, max: 9}),
  }),
);
type Fault = typeof anyFault extends fc.Arbitrary<infer T> ? T : never;

/** The task with index 2 fails in its first run. */
const behave: Behaviour = (task, run) => {
  if (task.startsWith(LASTING)) return {ms: LASTING_MS, how: 'done'};
  const index = Number(task.split('.')[3]);
  const how = index === 2 && run === 1 ? 'failed' : 'done';
  return {ms: 200 + 700 * index, how};
};

/** Each VM has its own wall clock and runs one process at a time. */
class Scenario {
  readonly rig = new Rig(EXECUTORS, behave);
  readonly jobs: string[] = [];
  private readonly clocks = Array.from(
    {length: VMS},
    () => new VmClock(this.rig.clock),
  );
  private readonly nodes: CellNode[] = [];
  private readonly hidden = new Set<string>();
  /** When the last occurrence of all series is due. */
  private lastDueMs = 0;

  async start(): Promise<void> {
    await this.claim();
    await this.rig.run(START_MS);
  }

  async apply(fault: Fault): Promise<void> {
    const {rig} = this;
    switch (fault.kind) {
      case 'stepVm':
        return this.clockOf(fault.vm).stepWall(fault.stepMs);
      case 'stepExecutor':
        rig.executor(`x${fault.executor}`).wallStepMs += fault.stepMs;
        return;
      case 'wait':
        return rig.run(fault.ms);
      case 'submit':
        return this.submitSteps(fault);
      case 'submitGang':
        return this.submit('gang', fault.vm, [gang(fault.tasks)]);
      case 'submitLasting':
        return this.submitLasting(fault);
      case 'submitSeries':
        return this.submitSeries(fault);
      case 'kill':
        rig.kill(this.newest());
        return this.claim(fault.waitMs);
      case 'supersede':
        this.newest().store.faults.isRefusing = true;
        this.clockOf(this.newestVm()).stepWall(fault.stepMs);
        await rig.run(HEARTBEAT_WAIT_MS);
        return this.claim(fault.waitMs);
      case 'handOver':
        void ignoringStore(rig.handOver(this.newest(), this.addNode()));
        return rig.run(100);
      case 'restartVms':
        return this.restartVms();
      case 'restart':
        rig.executor(`x${fault.executor}`).restart();
        return;
      case 'end':
        rig.executor(`x${fault.executor}`).crash();
        return;
      case 'recover':
        rig.executor(`x${fault.executor}`).recover();
        return;
      case 'move':
        rig.executor(`x${fault.executor}`).wallStepMs += fault.stepMs;
        rig.executor(`x${fault.executor}`).restartAt('', fault.port);
        return;
      case 'disconnect':
        rig.executor(`x${fault.executor}`).isDisconnected =
          fault.isDisconnected;
        return;
      case 'hide':
        if (fault.isHidden) this.hidden.add(`x${fault.executor}`);
        else this.hidden.delete(`x${fault.executor}`);
    }
  }

  /**
   * Ends all faults; from then on the clocks are stable.
   *
   * @param isReclaimed whether a new owner takes over also from a living one
   */
  async recover(isReclaimed: boolean): Promise<void> {
    for (const each of this.rig.executors) {
      each.isDisconnected = false;
      each.recover();
    }
    this.hidden.clear();
    for (const {store, isKilled, unreachable} of this.nodes) {
      store.faults.isRefusing = isKilled;
      unreachable.clear();
    }
    // The heartbeats of a living owner reach the store again.
    if (!isReclaimed) await this.rig.run(HEARTBEAT_WAIT_MS);
    const isOwned = this.nodes.some(each => each.ownership?.mayAct() === true);
    if (isReclaimed || !isOwned) await this.claim();
    // All of its tasks run only if the owner can use each executor.
    this.submit(LASTING, 0, [everywhere(EXECUTORS)]);
    const slowestMs = Math.min(...this.clocks.map(each => each.wallMs()));
    const dueInMs = Math.max(0, this.lastDueMs - slowestMs);
    await this.rig.run(RECOVERY_MS + dueInMs);
  }

  private clockOf(index: number): VmClock {
    const clock = this.clocks[index];
    if (clock === undefined) throw new Error(`no VM ${index}`);
    return clock;
  }

  private newest(): CellNode {
    const node = this.nodes.at(-1);
    if (node === undefined) throw new Error('no node');
    return node;
  }

  private newestVm(): number {
    return (this.nodes.length - 1) % VMS;
  }

  /** The VMs own the cell in turn, each time as a new process. */
  private addNode(): CellNode {
    const index = this.nodes.length % VMS;
    const name = `v${index}`;
    for (const each of this.nodes) if (each.vm === name) this.rig.kill(each);
    const node = this.rig.newNode(name, this.clockOf(index));
    for (const id of this.hidden) node.unreachable.add(id);
    this.nodes.push(node);
    return node;
  }

  private async claim(delayMs = 0): Promise<void> {
    const node = this.addNode();
    node.connectedMs = this.rig.clock.monotonicMs();
    void ignoringStore(this.rig.claim(node, delayMs));
    await this.rig.run(delayMs + 100);
  }

  /** VMs whose owner was killed run a new process, which connects. */
  private restartVms(): void {
    const ended = this.nodes.filter(({isKilled}) => isKilled);
    for (const {vm: name, clock} of ended) {
      const process = {vm: name, ip: '', port: 0, incarnation: clock.wallMs()};
      this.newest().ownership?.recordProcess(process);
    }
  }

  private submitSteps(job: {vm: number; tasks: number; steps: number}): void {
    const steps = Array.from({length: job.steps}, (_, i) => ({
      ...STEP,
      count: job.tasks,
      after: i === 0 ? [] : [i - 1],
    }));
    this.submit('job', job.vm, steps);
  }

  private submitLasting(job: {vm: number; tasks: number}): void {
    // More than one on an executor could leave no room for a gang.
    if (this.jobs.some(id => id.startsWith(LASTING))) return;
    this.submit(LASTING, job.vm, [everywhere(job.tasks)]);
  }

  private submitSeries(job: {
    vm: number;
    times: number;
    delayMs: number;
    intervalMs: number;
  }): void {
    const {times, delayMs, intervalMs} = job;
    const firstMs = this.clockOf(job.vm).wallMs() + delayMs;
    const lastMs = firstMs + (times - 1) * intervalMs;
    this.lastDueMs = Math.max(this.lastDueMs, lastMs);
    const steps = [STEP, {...STEP, after: [0]}];
    this.submit('series', job.vm, steps, {times, firstMs, intervalMs});
  }

  private submit(
    prefix: string,
    acceptingVm: number,
    steps: readonly StepSpec[],
    repetition: Repetition = ONCE,
  ): void {
    const id = `${prefix}${this.jobs.length}`;
    this.jobs.push(id);
    const clock = this.clockOf(acceptingVm);
    this.rig.submit(id, steps, this.nodes, QUEUE, repetition, clock);
  }
}

function gang(count: number): StepSpec {
  return {...STEP, count, isGang: true, maxPerExecutor: 1};
}

/** Lasting tasks, each on an executor of its own. */
function everywhere(count: number): StepSpec {
  return {...STEP, count, isService: true, maxPerExecutor: 1};
}

/** Finite jobs have ended, and all tasks of lasting jobs run. */
function checkJob({rig}: Scenario, id: string): void {
  const phase = rig.rows.get(id)?.phase;
  const job = rig.checker.jobs.get(id);
  assert.ok(job, `${id} was not submitted`);
  if (phase === 'failed') {
    assert.ok(rig.checker.mayBeGivenUp(job), `${id} is failed without cause`);
    return;
  }
  const isLasting = id.startsWith(LASTING);
  assert.is(phase, isLasting ? 'running' : 'completed', id);
  const [count = 0] = job.counts;
  const expected = isLasting ? count : 0;
  assert.is(rig.checker.countRunning(job), expected, `${id}: tasks that run`);
  assert.ok(isLasting || rig.checker.isJobDone(job), `${id} is not done`);
}

const wallClock = suite('steps of wall clocks');

/** Faults break no rule, and afterwards every job ends. */
async function checkFaults(fault: fc.Arbitrary<Fault>): Promise<void> {
  const faults = fc.array(fault, {minLength: 8, maxLength: 40});
  const property = fc.asyncProperty(
    faults,
    fc.boolean(),
    async (list, isReclaimed) => {
      const scenario = new Scenario();
      await scenario.start();
      for (const each of list) await scenario.apply(each);
      await scenario.recover(isReclaimed);
      assert.equal(scenario.rig.checker.violations, []);
      for (const id of scenario.jobs) checkJob(scenario, id);
    },
  );
  await fc.assert(property, {
    seed: SEED,
    numRuns: RUNS,
    // Shrinking takes longer than the runs; a long search shrinks.
    endOnFailure: process.env['CELL_SEED'] === undefined,
    includeErrorInReport: true,
  });
}

wallClock('lose no task and repeat none while executors stay in place', () =>
  checkFaults(faultInPlace),
);

wallClock('lose no task and repeat none while executors move', () =>
  checkFaults(anyFault),
);

// Its next process gives an earlier start time than the one before if the clock
// was set back in between. A record of that process is not an old one.
for (const stepMs of [-MAX_STEP_MS, MAX_STEP_MS]) {
  wallClock(`keep a moved executor in use, ${stepMs} ms`, async () => {
    const rig = new Rig(2, behave);
    const node = rig.newNode('v0');
    void rig.claim(node);
    await rig.run(START_MS);
    rig.executor('x1').wallStepMs = stepMs;
    rig.executor('x1').restartAt('', 2);
    await rig.run(START_MS);
    rig.submit(LASTING, [everywhere(2)], [node]);
    await rig.run(RECOVERY_MS);
    assert.is(rig.executor('x1').runs.size, 1);
  });

  wallClock(
    `let no late record lead to a former one, ${stepMs} ms`,
    async () => {
      const rig = new Rig(1, behave);
      const node = rig.newNode('v0');
      void rig.claim(node);
      await rig.run(START_MS);
      const x0 = rig.executor('x0');
      const former = {...x0.info, bornMs: x0.bornMs};
      x0.wallStepMs = stepMs;
      x0.restartAt('', 2);
      await rig.run(START_MS);
      rig.isListingPaused = true;
      const records = [{key: 'x0', value: encode(former)}];
      rig.memory.append(EXECUTORS_TOPIC, records, {});
      await rig.run(START_MS);
      rig.submit(LASTING, [everywhere(1)], [node]);
      await rig.run(START_MS);
      assert.is(x0.runs.size, 1);
    },
  );

  // The new process knows no token, and the former owner starts a task there,
  // of which the next owner hears nothing.
  wallClock(`show a restart to the next owner, ${stepMs} ms`, async () => {
    const {rig, former, next} = await takeOver();
    rig.executor('x1').wallStepMs = stepMs;
    rig.executor('x1').restart();
    await startUnseen(rig, former, next);
    await checkWait(rig);
  });

  wallClock(`show a restart that is listed no more, ${stepMs} ms`, async () => {
    const {rig, former, next} = await takeOver();
    rig.executor('x1').wallStepMs = stepMs;
    rig.executor('x1').restart();
    await startUnseen(rig, former, next);
    await rig.run(LISTED_MS);
    rig.executor('x1').isUnlisted = true;
    await checkWait(rig);
  });
}

wallClock('show a restart that repeats an earlier start time', async () => {
  const {rig, former, next} = await takeOver(START_MS + 50);
  const x1 = rig.executor('x1');
  const firstBornMs = x1.bornMs;
  x1.restart();
  rig.listNow('x1');
  await rig.run(READ_MS);
  restartWith(x1, firstBornMs);
  await startUnseen(rig, former, next);
  await checkWait(rig);
});

wallClock(
  'give no longer lease to a process with the same start time',
  async () => {
    const rig = new Rig(2, () => ({ms: LASTING_MS, how: 'done'}));
    const node = rig.newNode('v0');
    void rig.claim(node);
    rig.executor('x0').isDraining = true;
    await rig.run(START_MS);
    rig.submit('job', [STEP], [node]);
    await rig.run(START_MS);
    const x1 = rig.executor('x1');
    restartWith(x1, x1.bornMs);
    await rig.run(START_MS);
    assert.is(x1.runs.size, 1);
    x1.isDisconnected = true;
    rig.executor('x0').isDraining = false;
    await checkWait(rig);
  },
);

/** Restarts the executor with this start time. */
function restartWith(executor: FakeExecutor, bornMs: number) {
  executor.wallStepMs = 0;
  executor.restart();
  executor.wallStepMs = bornMs - executor.bornMs;
  executor.restart();
}

/**
 * The next owner takes over from one that may still start tasks. Each thinks
 * that the other executor is leaving.
 *
 * @param ageMs when the former owner loses the store: right after one of its
 *     heartbeats it may start tasks for longer
 */
async function takeOver(ageMs = START_MS) {
  const rig = new Rig(2, () => ({ms: LASTING_MS, how: 'done'}));
  const former = rig.newNode('v0');
  void rig.claim(former);
  rig.executor('x0').isDraining = true;
  await rig.run(ageMs);
  former.store.faults.isRefusing = true;
  rig.executor('x0').isDraining = false;
  rig.executor('x1').isDraining = true;
  for (const {id} of rig.executors) rig.listNow(id);
  const next = rig.newNode('v1');
  void rig.claim(next);
  await rig.run(200);
  return {rig, former, next};
}

/** The former owner starts a task on x1, which the next one cannot reach. */
async function startUnseen(rig: Rig, former: CellNode, next: CellNode) {
  next.unreachable.add('x1');
  rig.submit('job', [STEP], [former, next]);
  await rig.startAfterRestart(former, 'x1');
  assert.is(rig.executor('x1').runs.size, 1);
}

/** The task is started elsewhere when it can run on x1 no more. */
async function checkWait(rig: Rig) {
  await rig.run(RECOVERY_MS);
  assert.equal(rig.checker.violations, []);
  assert.is(rig.executor('x0').runs.size, 1);
}

wallClock.run();
