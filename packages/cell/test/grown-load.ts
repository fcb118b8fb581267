/** A random load with the figures of the users' largest deployment. */
import type {Queue, StepSpec, TaskState} from '@dragonflyward/cell';
import {QUEUE, STEP} from './rig.js';
import {hash, LoadSimulation, type RunPlan} from './load-simulation.js';

const VM_COUNT = 35;
/** Factors on the capacity of the executors of the one service. */
const SMALL_SIZES = [1, 1, 0.5, 2];

interface Kind {
  readonly queue: Queue;
  readonly perSecond: number;
  /** Share of the executors on which a step is permitted. */
  readonly permittedShare: number;
  /** Share of the runs that fail, and of the jobs whose runs all fail. */
  readonly failedShare: number;
  readonly poisonShare: number;
  readonly newSteps: (random: Random) => readonly StepSpec[];
}

/** Random numbers of a seed. */
export class Random {
  constructor(private value: number) {}

  /** A number from 0 to 1. */
  next(): number {
    this.value = (this.value * 1_664_525 + 1_013_904_223) % 4_294_967_296;
    return this.value / 4_294_967_296;
  }

  /** A number with the mean and a relative spread, at most `max`. */
  around(mean: number, spread: number, max: number): number {
    const normal =
      Math.sqrt(-2 * Math.log(1 - this.next())) *
      Math.cos(2 * Math.PI * this.next());
    const sigma = Math.sqrt(Math.log(1 + spread * spread));
    return Math.min(max, mean * Math.exp(sigma * normal - sigma ** 2 / 2));
  }

  count(mean: number, spread: number, max: number): number {
    return Math.max(1, Math.round(this.around(mean, spread, max)));
  }

  pick<T>(values: readonly [T, ...T[]]): T {
    return values[Math.floor(this.next() * values.length)] ?? values[0];
  }
}

function newQueue(
  name: string,
  service: string,
  priority: number,
  change: Partial<Queue>,
): Queue {
  return {...QUEUE, name, service, priority, ...change};
}

function newAdvice(decisionMs: number, perExecutorMs: number): Queue['advice'] {
  return {decisionMs, perExecutorMs, validityMs: 2000};
}

function size(cpuMilli: number, memMb: number, accel = 0): StepSpec['size'] {
  return {cpuMilli, memMb, accel, slots: 0};
}

/** The most tasks of a step on one executor, for a share of the steps. */
function maxPerExecutor(random: Random, share: number): number {
  return random.next() < share ? random.pick([1, 2]) : 0;
}

export const QUOTE = newQueue('quote', 'small', 0, {
  maxAttempts: 2,
  stretch: 1.5,
  objectiveMs: 600,
  advice: newAdvice(19, 0.27),
});
export const CUTLIST = newQueue('cutlist', 'small', 2, {
  stretch: 4,
  objectiveMs: 3000,
  advice: newAdvice(160, 2.2),
});
export const GRAINSCAN = newQueue('grainscan', 'large', 1, {
  maxAttempts: 2,
  stretch: 2.2,
  objectiveMs: 1200,
  advice: newAdvice(550, 7.9),
});
export const ORDERWATCH = newQueue('orderwatch', 'small', 1, {
  maxAttempts: 2,
  stretch: 2.2,
  objectiveMs: 3000,
  advice: newAdvice(560, 8),
});
export const KILNPLAN = newQueue('kilnplan', 'large', 2, {
  stretch: 4,
  objectiveMs: 3000,
  advice: newAdvice(150, 2.1),
});

const KINDS: readonly Kind[] = [
  {
    queue: QUOTE,
    perSecond: 22.5,
    permittedShare: 0.7,
    failedShare: 0.05,
    poisonShare: 0.03,
    newSteps: random => {
      const steps = random.count(1.5, 0.4, 4);
      return [...Array(steps).keys()].map(i => ({
        ...STEP,
        after: i === 0 ? [] : [i - 1],
        count: random.count(9.5, 0.8, 57),
        estimatedMs: random.around(880, 0.5, 2200),
        size: size(
          random.around(2700, 0.45, 8000),
          random.around(9800, 0.6, 29_000),
        ),
        maxPerExecutor: maxPerExecutor(random, 0.12),
      }));
    },
  },
  {
    queue: CUTLIST,
    perSecond: 1.5,
    permittedShare: 0.45,
    failedShare: 0.02,
    poisonShare: 0.03,
    newSteps: random => {
      const steps = random.count(2, 0.4, 5);
      return [...Array(steps).keys()].map(i => ({
        ...STEP,
        after: i === 0 ? [] : [i - 1],
        count: random.count(28, 0.6, 140),
        estimatedMs: random.around(3600, 0.5, 9000),
        size: size(
          random.around(4500, 0.4, 7600),
          random.around(9300, 0.5, 19_000),
        ),
        savesProgress: random.next() < 0.8,
        maxPerExecutor: maxPerExecutor(random, 0.12),
      }));
    },
  },
  {
    queue: GRAINSCAN,
    perSecond: 2.84,
    permittedShare: 0.3,
    failedShare: 0.02,
    poisonShare: 0.03,
    newSteps: random => [
      {
        ...STEP,
        isGang: true,
        count: random.count(4.1, 0.6, 20),
        estimatedMs: random.around(4500, 0.5, 11_000),
        size: size(15_000, 45_000, random.pick([2, 4, 8, 8])),
        savesProgress: random.next() < 0.9,
      },
    ],
  },
  {
    queue: ORDERWATCH,
    perSecond: 0.158,
    permittedShare: 0.3,
    failedShare: 0.1,
    poisonShare: 0,
    newSteps: random => [
      {
        ...STEP,
        isService: true,
        count: random.count(15, 0.8, 90),
        estimatedMs: 620,
        size: size(
          random.around(4500, 0.4, 7600),
          random.around(13_000, 0.5, 25_000),
        ),
        maxPerExecutor: maxPerExecutor(random, 0.6),
      },
    ],
  },
  {
    queue: KILNPLAN,
    perSecond: 3.21,
    permittedShare: 0.45,
    failedShare: 0.02,
    poisonShare: 0,
    newSteps: random => [
      {
        ...STEP,
        count: random.count(13, 0.6, 64),
        estimatedMs: random.around(3800, 0.5, 9400),
        size: size(2800, 8200, 1),
        savesProgress: random.next() < 0.8,
        maxPerExecutor: maxPerExecutor(random, 0.12),
      },
    ],
  },
];

/** What a random load does besides its usual traffic. */
export interface GrownLoadOptions {
  readonly seed: number;
  readonly vmCount?: number;
  /** Factor on the rate of jobs. */
  readonly rate?: number;
  readonly endMs: number;
}

/** Creates a simulation in which the jobs of a random load arrive. */
export function newGrownLoad({
  seed,
  vmCount = VM_COUNT,
  rate = 1,
  endMs,
}: GrownLoadOptions): LoadSimulation {
  const random = new Random(seed);
  const poison = new Set<string>();
  const simulation = new LoadSimulation({
    queues: KINDS.map(({queue}) => queue),
    vmCount,
    isPermitted: (step, executorId) =>
      hash(step + executorId) < permittedShareOf(step),
    planRun: task => planRun(task, poison, random),
  });
  simulation.addExecutors(
    'small',
    174,
    i => {
      const factor = SMALL_SIZES[i % SMALL_SIZES.length] ?? 1;
      return size(16_000 * factor, 65_536 * factor);
    },
    12,
  );
  simulation.addExecutors('large', 68, () => size(32_000, 131_072, 8));
  for (const kind of KINDS) {
    addArrivals(simulation, kind, random, poison, rate, endMs);
  }
  return simulation;
}

function permittedShareOf(step: string): number {
  const kind = KINDS.find(({queue}) => step.startsWith(queue.name));
  return kind?.permittedShare ?? 1;
}

function addArrivals(
  simulation: LoadSimulation,
  {queue, perSecond, poisonShare, newSteps}: Kind,
  random: Random,
  poison: Set<string>,
  rate: number,
  endMs: number,
): void {
  let atMs = simulation.nowMs;
  for (let i = 0; ; i += 1) {
    atMs += (-Math.log(1 - random.next()) * 1000) / (perSecond * rate);
    if (atMs > endMs) return;
    const id = `${queue.name}${i}`;
    if (random.next() < poisonShare) poison.add(id);
    const steps = newSteps(random);
    simulation.at(atMs, () => simulation.addJob(id, queue, steps));
  }
}

function planRun(
  {step}: TaskState,
  poison: ReadonlySet<string>,
  random: Random,
): RunPlan {
  const {isService, estimatedMs} = step.spec;
  const {job} = step.occurrence;
  const kind = KINDS.find(({queue}) => queue.name === job.queue.name);
  const isFailed =
    poison.has(job.id) || random.next() < (kind?.failedShare ?? 0);
  const runMs = estimatedMs * (0.7 + 0.6 * random.next());
  if (isFailed) return {runMs: runMs * random.next(), how: 'failed'};
  return {runMs: isService ? Infinity : runMs, how: 'done'};
}
