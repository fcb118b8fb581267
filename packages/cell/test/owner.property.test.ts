/**
 * Owners crash, lose connections and are superseded; executors crash, lose
 * connections and carry out orders late.
 */
import {isSchedulable, type Owner, type StepSpec} from '@dragonflyward/cell';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {Behaviour} from './fake-executor.js';
import {CONFIG, ignoringStore, QUEUE, Rig, STEP, type CellNode} from './rig.js';

/** CELL_SEED and CELL_RUNS set another seed and more runs for a long search. */
const SEED = Number(process.env['CELL_SEED'] ?? 20261204);
const EXECUTORS = 4;
const RUNS = Number(process.env['CELL_RUNS'] ?? 80);
/** Time without a heartbeat after which other VMs claim the cell, in ms. */
const HEARTBEAT_WAIT_MS = 800;
/** The longest time between a reading and the claim that rests on it, in ms. */
const LONG_CLAIM_WAIT_MS = 1250;
/** By then, no executor counts as having just started, in ms. */
const START_AGE_MS = 20_000;
/** The processors of an executor that has not shrunk. */
const FULL_CPU_MILLI = 3000;
/** Long enough for all leases and retries to end, in ms. */
const RECOVERY_MS = 40_000;
/** Longer than the owner lease, in ms. */
const LONG_OUTAGE_MS = 9000;
/** Steps of the wall clock, in ms; an owner may not act after the first. */
const WALL_STEPS_MS = [10_000, 2000, -5000];
/** Ids of jobs of service tasks start with it. */
const SERVICE_PREFIX = 'service';
/** Ids of jobs whose first task crashes its executors start with it. */
const DEADLY_PREFIX = 'deadly';
/** Time after its start at which such a task crashes its executor, in ms. */
const DEADLY_MS = 10;
/** Added for the crashes until such tasks are given up, in ms. */
const CRASHES_MS = 20_000;
/** A service to which the queue is not sent at first. */
const OTHER_SERVICE = 'other';
/** How long a service task runs, in ms: beyond the scenario. */
const SERVICE_MS = 10_000_000;

type Fault =
  | {readonly kind: 'submit'; readonly tasks: number; readonly steps: number}
  | {readonly kind: 'submitGang'; readonly tasks: number}
  | {readonly kind: 'submitService'; readonly tasks: number}
  | {readonly kind: 'submitDeadly'; readonly tasks: number}
  | {readonly kind: 'cancel'; readonly job: number}
  | {readonly kind: 'kill'; readonly waitMs: number}
  | {readonly kind: 'supersede'; readonly waitMs: number}
  /** The owner hands over in an orderly way, some time after it has stopped. */
  | {
      readonly kind: 'handOver';
      readonly pauseMs: number;
      readonly isNoticeLost: boolean;
    }
  /** The owner releases the cell, and another VM claims it. */
  | {readonly kind: 'release'}
  /** VMs whose process was killed run a new one, which connects. */
  | {readonly kind: 'restartVms'}
  | {readonly kind: 'disconnectOwner'; readonly isDisconnected: boolean}
  | {readonly kind: 'store'; readonly isRefusing: boolean}
  | {readonly kind: 'loseAnswers'; readonly count: number}
  | {
      readonly kind: 'disconnect';
      readonly executor: number;
      readonly isDisconnected: boolean;
    }
  | {readonly kind: 'crash'; readonly executor: number}
  | {readonly kind: 'move'; readonly executor: number; readonly port: number}
  | {readonly kind: 'drain'; readonly executor: number}
  | {
      readonly kind: 'resize';
      readonly executor: number;
      readonly cpuMilli: number;
    }
  | {readonly kind: 'outage'}
  | {readonly kind: 'stepWall'; readonly ms: number}
  | {readonly kind: 'end'; readonly executor: number}
  | {readonly kind: 'recover'; readonly executor: number}
  /** Only owners that claim the cell later cannot reach the executor. */
  | {
      readonly kind: 'hide';
      readonly executor: number;
      readonly isHidden: boolean;
    }
  /** The executor refuses starts, and nothing else. */
  | {readonly kind: 'grey'; readonly executor: number; readonly isGrey: boolean}
  /** The queue is sent to a service, which owners in office learn late. */
  | {
      readonly kind: 'sendTo';
      readonly service: string;
      readonly isLate: boolean;
    }
  | {
      readonly kind: 'delayOrders';
      readonly executor: number;
      readonly count: number;
    }
  | {readonly kind: 'wait'; readonly ms: number};

const executor = fc.nat({max: EXECUTORS - 1});
const grey = fc.record({
  kind: fc.constant('grey' as const),
  executor,
  isGrey: fc.boolean(),
});
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
  fc.record({
    kind: fc.constant('kill' as const),
    waitMs: fc.constantFrom(0, 0, LONG_CLAIM_WAIT_MS),
  }),
  fc.record({
    kind: fc.constant('supersede' as const),
    waitMs: fc.constantFrom(0, HEARTBEAT_WAIT_MS, LONG_CLAIM_WAIT_MS),
  }),
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('handOver' as const),
      pauseMs: fc.constantFrom(0, 0, 300, 2000),
      isNoticeLost: fc.constantFrom(false, false, true),
    }),
  },
  fc.record({kind: fc.constant('release' as const)}),
  fc.record({kind: fc.constant('restartVms' as const)}),
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
    kind: fc.constant('move' as const),
    executor,
    port: fc.integer({min: 2, max: 9}),
  }),
  fc.record({kind: fc.constant('drain' as const), executor}),
  fc.record({
    kind: fc.constant('resize' as const),
    executor,
    cpuMilli: fc.constantFrom(0, 1000, 2500, FULL_CPU_MILLI),
  }),
  fc.record({kind: fc.constant('outage' as const)}),
  fc.record({
    kind: fc.constant('stepWall' as const),
    ms: fc.constantFrom(...WALL_STEPS_MS),
  }),
  fc.record({
    kind: fc.constant('submitGang' as const),
    tasks: fc.integer({min: 2, max: 3}),
  }),
  fc.record({
    kind: fc.constant('submitService' as const),
    tasks: fc.integer({min: 1, max: 2}),
  }),
  fc.record({
    kind: fc.constant('submitDeadly' as const),
    tasks: fc.integer({min: 1, max: 3}),
  }),
  fc.record({
    kind: fc.constant('delayOrders' as const),
    executor,
    count: fc.integer({min: 1, max: 3}),
  }),
  grey,
);

/** Owners follow one another while executors are lost and found. */
const chainFault: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({
    kind: fc.constant('submitService' as const),
    tasks: fc.integer({min: 1, max: 2}),
  }),
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      ms: fc.integer({min: 50, max: 3000}),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('handOver' as const),
      pauseMs: fc.constantFrom(0, 0, 300),
      isNoticeLost: fc.constantFrom(false, false, false, true),
    }),
  },
  fc.record({kind: fc.constant('release' as const)}),
  fc.record({
    kind: fc.constant('kill' as const),
    waitMs: fc.constantFrom(0, 0, LONG_CLAIM_WAIT_MS),
  }),
  fc.record({
    kind: fc.constant('supersede' as const),
    waitMs: fc.constantFrom(0, HEARTBEAT_WAIT_MS, LONG_CLAIM_WAIT_MS),
  }),
  fc.record({kind: fc.constant('restartVms' as const)}),
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('disconnect' as const),
      executor,
      isDisconnected: fc.constantFrom(true, true, true, false),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('hide' as const),
      executor,
      isHidden: fc.constantFrom(true, true, true, false),
    }),
  },
  fc.record({kind: fc.constant('crash' as const), executor}),
  fc.record({kind: fc.constant('end' as const), executor}),
  fc.record({kind: fc.constant('recover' as const), executor}),
  fc.record({
    kind: fc.constant('delayOrders' as const),
    executor,
    count: fc.integer({min: 1, max: 3}),
  }),
);

/** The same while the queue is sent from one service to another. */
const movedFault: fc.Arbitrary<Fault> = fc.oneof(
  {weight: 8, arbitrary: chainFault},
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('sendTo' as const),
      service: fc.constantFrom(QUEUE.service, OTHER_SERVICE),
      isLate: fc.boolean(),
    }),
  },
  fc.record({
    kind: fc.constant('submit' as const),
    tasks: fc.integer({min: 1, max: 3}),
    steps: fc.integer({min: 1, max: 2}),
  }),
  grey,
);

/** The executors of a scenario. */
interface Pool {
  readonly serviceOf: (executorId: string) => string;
  /** The most jobs of service tasks, which keep their room. */
  readonly maxLastingJobs: number;
}

const ONE_SERVICE: Pool = {
  serviceOf: () => QUEUE.service,
  maxLastingJobs: 3,
};

/** Every second executor is of the other service. */
const TWO_SERVICES: Pool = {
  serviceOf: id =>
    Number(id.slice(1)) % 2 === 0 ? QUEUE.service : OTHER_SERVICE,
  maxLastingJobs: 2,
};

/** Runs of every second job take this multiple of the time. */
const LONG_RUN_FACTOR = 5;

/** The task with index 2 fails in its first run; service tasks never end. */
function behave(task: string, run: number): ReturnType<Behaviour> {
  if (task.startsWith(SERVICE_PREFIX)) return {ms: SERVICE_MS, how: 'done'};
  const index = Number(task.split('.')[3]);
  const isDeadly = task.startsWith(DEADLY_PREFIX) && index === 0;
  if (isDeadly) return {ms: DEADLY_MS, how: 'crash'};
  const isFailing = index === 2 && run === 1;
  const factor = /^job\d*[13579]\./.test(task) ? LONG_RUN_FACTOR : 1;
  const ms = factor * (200 + 300 * index);
  return {ms, how: isFailing ? 'failed' : 'done'};
}

/** Applies faults to one cell. */
class Scenario {
  readonly rig: Rig;
  readonly jobs: string[] = [];
  private readonly nodes: CellNode[] = [];
  /** Ids of executors that owners cannot reach if they claim the cell now. */
  private readonly hidden = new Set<string>();

  constructor(private readonly pool: Pool) {
    this.rig = new Rig(EXECUTORS, behave, CONFIG, pool.serviceOf);
  }

  async start(): Promise<void> {
    await this.claim();
    await this.rig.run(START_AGE_MS);
  }

  async apply(fault: Fault): Promise<void> {
    const {rig} = this;
    switch (fault.kind) {
      case 'submit':
        return this.submit(fault.tasks, fault.steps);
      case 'submitGang':
        return this.submitJob('gang', [gang(fault.tasks)]);
      case 'submitService':
        return this.submitService(fault.tasks);
      case 'submitDeadly':
        return this.submitJob(DEADLY_PREFIX, [{...STEP, count: fault.tasks}]);
      case 'cancel':
        return this.cancel(fault.job);
      case 'wait':
        return rig.run(fault.ms);
      case 'kill':
        rig.kill(this.newest());
        return this.claim(fault.waitMs);
      case 'supersede':
        return this.supersede(fault.waitMs);
      case 'handOver':
        return this.handOver(fault.pauseMs, fault.isNoticeLost);
      case 'release':
        return this.release();
      case 'restartVms':
        return this.restartVms();
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
      case 'move':
        rig.executor(`x${fault.executor}`).restartAt('', fault.port);
        return;
      case 'drain':
        rig.executor(`x${fault.executor}`).isDraining = true;
        return;
      case 'resize':
        rig.executor(`x${fault.executor}`).setCapacity({
          cpuMilli: fault.cpuMilli,
        });
        return;
      case 'outage':
        return this.loseStore();
      case 'stepWall':
        rig.clock.stepWall(fault.ms);
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
      case 'grey':
        rig.executor(`x${fault.executor}`).isGrey = fault.isGrey;
        return;
      case 'sendTo':
        return this.sendTo(fault.service, fault.isLate);
      case 'delayOrders':
        rig.executor(`x${fault.executor}`).delayedOrders = fault.count;
    }
  }

  /**
   * Ends all faults and lets the jobs finish.
   *
   * @param isReclaimed whether a new owner takes over also from a living one
   */
  async recover(isReclaimed: boolean): Promise<void> {
    for (const each of this.rig.executors) {
      each.isDisconnected = false;
      each.isDraining = false;
      each.isGrey = false;
      each.setCapacity({cpuMilli: FULL_CPU_MILLI});
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
    for (const {owner} of this.nodes) owner?.setConfig(this.rig.config);
    // The heartbeats of a living owner reach the store again.
    if (!isReclaimed) await this.rig.run(HEARTBEAT_WAIT_MS);
    if (isReclaimed || this.actingOwner() === null) await this.claim();
    const hasDeadly = this.jobs.some(id => id.startsWith(DEADLY_PREFIX));
    await this.rig.run(RECOVERY_MS + (hasDeadly ? CRASHES_MS : 0));
  }

  /** The owner that may act; null for none. */
  actingOwner(): Owner | null {
    const node = this.nodes.find(each => each.ownership?.mayAct() === true);
    return node?.owner ?? null;
  }

  /** The owner continues without the store for longer than its lease. */
  private async loseStore(): Promise<void> {
    const {faults} = this.newest().store;
    faults.isRefusing = true;
    await this.rig.run(LONG_OUTAGE_MS);
    faults.isRefusing = this.newest().isKilled;
  }

  /**
   * The owner loses the store and continues; another one claims the cell.
   *
   * @param waitMs how long that one waits between its reading and its claim
   */
  private async supersede(waitMs: number): Promise<void> {
    this.newest().store.faults.isRefusing = true;
    await this.rig.run(Math.max(0, HEARTBEAT_WAIT_MS - waitMs));
    await this.claim(waitMs);
  }

  private async handOver(
    pauseMs: number,
    isNoticeLost: boolean,
  ): Promise<void> {
    const former = this.newest();
    const node = this.addNode();
    const options = {pauseMs, isNoticeLost};
    void ignoringStore(this.rig.handOver(former, node, options));
    await this.rig.run(pauseMs + 100);
    if (!isNoticeLost) return;
    // It finds its own record in the store and claims the cell.
    await this.rig.run(HEARTBEAT_WAIT_MS);
    void ignoringStore(this.rig.claim(node));
    await this.rig.run(100);
  }

  private async release(): Promise<void> {
    void ignoringStore(this.rig.release(this.newest()));
    await this.rig.run(100);
    await this.claim();
  }

  private sendTo(service: string, isLate: boolean): void {
    const {rig} = this;
    const version = rig.config.version + 1;
    rig.config = {...CONFIG, version, queues: [{...QUEUE, service}]};
    if (isLate) return;
    for (const {owner} of this.nodes) owner?.setConfig(rig.config);
  }

  private restartVms(): void {
    const {ownership} = this.newest();
    for (const {vm, incarnation, isKilled} of this.nodes) {
      const process = {vm, ip: '', port: 0, incarnation: incarnation + 1};
      if (isKilled) ownership?.recordProcess(process);
    }
  }

  private newest(): CellNode {
    const node = this.nodes.at(-1);
    if (node === undefined) throw new Error('no node');
    return node;
  }

  /** Every second process is the next one of a VM whose process was killed. */
  private addNode(): CellNode {
    const count = this.nodes.length;
    const ended = this.nodes.filter(({isKilled}) => isKilled).at(-1);
    const isNext = count % 2 === 0 && ended !== undefined;
    const node = this.rig.newNode(isNext ? ended.vm : `v${count}`);
    for (const id of this.hidden) node.unreachable.add(id);
    this.nodes.push(node);
    return node;
  }

  private async claim(waitMs = 0): Promise<void> {
    const node = this.addNode();
    node.connectedMs = this.rig.clock.monotonicMs();
    const claimed = ignoringStore(this.rig.claim(node, waitMs));
    await this.rig.run(waitMs + 100);
    void claimed;
  }

  private submit(tasks: number, steps: number): void {
    const specs = Array.from({length: steps}, (_, i) => ({
      ...STEP,
      count: tasks,
      after: i === 0 ? [] : [i - 1],
    }));
    this.submitJob('job', specs);
  }

  private submitService(count: number): void {
    const services = this.jobs.filter(id => id.startsWith(SERVICE_PREFIX));
    if (services.length >= this.pool.maxLastingJobs) return;
    this.submitJob(SERVICE_PREFIX, [{...STEP, count, isService: true}]);
  }

  private submitJob(prefix: string, steps: readonly StepSpec[]): void {
    const id = `${prefix}${this.jobs.length}`;
    this.jobs.push(id);
    this.rig.submit(id, steps, this.nodes);
  }

  private cancel(at: number): void {
    const id = this.jobs[at];
    if (id !== undefined) this.rig.cancel(id, this.nodes);
  }
}

function gang(count: number): StepSpec {
  return {...STEP, count, isGang: true, maxPerExecutor: 1};
}

export async function runScenario(
  faults: readonly Fault[],
  isReclaimed: boolean,
  pool = ONE_SERVICE,
): Promise<Scenario> {
  const scenario = new Scenario(pool);
  await scenario.start();
  for (const fault of faults) await scenario.apply(fault);
  await scenario.recover(isReclaimed);
  return scenario;
}

/** Finite jobs have ended, and all tasks of services run. */
function checkJob({rig}: Scenario, id: string): void {
  const phase = rig.rows.get(id)?.phase;
  const job = rig.checker.jobs.get(id);
  if (job === undefined) throw new Error(`${id} was not submitted`);
  const runningCount = rig.checker.countRunning(job);
  if (id.startsWith(SERVICE_PREFIX) && phase === 'running') {
    const [count = 0] = job.counts;
    assert.is(runningCount, count, `${id}: tasks that run`);
    return;
  }
  if (phase === 'failed') {
    assert.ok(rig.checker.mayBeGivenUp(job), `${id} is failed without cause`);
    return;
  }
  const isShown =
    phase === 'cancelled' ||
    (phase === 'completed' && !id.startsWith(DEADLY_PREFIX));
  assert.ok(isShown, `${id} is ${phase ?? 'not shown'}`);
  assert.is(runningCount, 0, `${id}: tasks that run after its end`);
  const isDone = rig.checker.isJobDone(job);
  if (phase === 'completed') assert.ok(isDone, `${id} is not done`);
}

/** The owner can use every executor, and nothing on it stands still. */
function checkExecutors({rig}: Scenario, {state}: Owner): void {
  const nowMs = rig.clock.monotonicMs();
  assert.is(state.executors.size, EXECUTORS);
  for (const each of state.executors.values()) {
    const {id} = each.info;
    assert.ok(isSchedulable(each, nowMs), `${id} is not schedulable`);
    assert.is(each.orphans.size, 0, `${id}: orphan runs`);
    for (const {phase, step} of each.tasks) {
      assert.is(phase, 'running', `${id}: ${step.occurrence.job.id}`);
    }
    const usedCpuMilli = each.tasks.size * STEP.size.cpuMilli;
    assert.is(each.usedCpuMilli, usedCpuMilli, `${id}: processor in use`);
  }
}

const owner = suite('owner under faults');

/** Faults break no rule, and afterwards every job is finished. */
async function checkFaults(
  fault: fc.Arbitrary<Fault>,
  prefix: readonly Fault[] = [],
  pool = ONE_SERVICE,
): Promise<void> {
  const faults = fc.array(fault, {minLength: 5, maxLength: 40});
  const property = fc.asyncProperty(
    faults,
    fc.boolean(),
    async (list, isReclaimed) => {
      const all = [...prefix, ...list];
      const scenario = await runScenario(all, isReclaimed, pool);
      const {rig, jobs} = scenario;
      assert.equal(rig.checker.violations, []);
      for (const id of jobs) checkJob(scenario, id);
      const acting = scenario.actingOwner();
      if (acting === null) throw new Error('no owner may act');
      checkExecutors(scenario, acting);
    },
  );
  await fc.assert(property, {
    seed: SEED,
    numRuns: RUNS,
    includeErrorInReport: true,
  });
}

owner('breaks no rule and finishes every job', () => checkFaults(anyFault));

owner('breaks no rule while owners follow one another', () =>
  checkFaults(chainFault, [
    {kind: 'submitService', tasks: 2},
    {kind: 'submitService', tasks: 2},
    {kind: 'wait', ms: 500},
  ]),
);

owner('breaks no rule while its queue is sent to other services', () =>
  checkFaults(
    movedFault,
    [
      {kind: 'submitService', tasks: 2},
      {kind: 'submit', tasks: 2, steps: 2},
      {kind: 'wait', ms: 500},
    ],
    TWO_SERVICES,
  ),
);

// The end was stored by an append whose answer was lost, and the handover that
// followed has no effect: the next owner loads it and has nothing left to do.
owner(
  'shows the end of a job whose owner was lost as it stored it',
  async () => {
    const scenario = await runScenario(
      [
        {kind: 'submitGang', tasks: 2},
        {kind: 'wait', ms: 283},
        {kind: 'loseAnswers', count: 2},
        {kind: 'handOver', pauseMs: 0, isNoticeLost: false},
        {kind: 'kill', waitMs: LONG_CLAIM_WAIT_MS},
      ],
      false,
    );
    assert.equal(scenario.rig.checker.violations, []);
    for (const id of scenario.jobs) checkJob(scenario, id);
  },
);

if (process.argv[2] === undefined) owner.run();
