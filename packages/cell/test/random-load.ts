/** Random traffic for a load simulation: kinds of jobs with random sizes. */
import type {Queue, StepSpec, TaskState} from '@dragonflyward/cell';
import {QUEUE} from './rig.js';
import {hash, LoadSimulation, type RunPlan} from './load-simulation.js';

/** A kind of job: its queue, how often it comes, and its steps. */
export interface Kind {
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

/** Creates the queue of a kind. */
export function newQueue(
  name: string,
  service: string,
  priority: number,
  change: Partial<Queue>,
): Queue {
  return {...QUEUE, name, service, priority, ...change};
}

/** Creates an advice policy whose tickets are valid for 2 s. */
export function newAdvice(
  decisionMs: number,
  perExecutorMs: number,
): Queue['advice'] {
  return {decisionMs, perExecutorMs, validityMs: 2000};
}

/** Creates the size of a task or the capacity of an executor. */
export function size(
  cpuMilli: number,
  memMb: number,
  accel = 0,
): StepSpec['size'] {
  return {cpuMilli, memMb, accel, slots: 0};
}

/** The most tasks of a step on one executor, for a share of the steps. */
export function maxPerExecutor(random: Random, share: number): number {
  return random.next() < share ? random.pick([1, 2]) : 0;
}

/** What a simulation of random traffic is made of. */
export interface RandomLoadOptions {
  readonly seed: number;
  readonly kinds: readonly Kind[];
  readonly vmCount: number;
  /** Factor on the rate of each kind at a time. */
  readonly rateOf: (kind: Kind, atMs: number) => number;
  readonly endMs: number;
  /** One way to the advice service through each VM, in ms; 0 by default. */
  readonly adviceOneWayMs?: (vm: number) => number;
}

/** Creates a simulation, without executors, in which random jobs arrive. */
export function newRandomLoad(options: RandomLoadOptions): LoadSimulation {
  const {seed, kinds, vmCount, adviceOneWayMs} = options;
  const random = new Random(seed);
  const poison = new Set<string>();
  const simulation = new LoadSimulation({
    queues: kinds.map(({queue}) => queue),
    vmCount,
    adviceOneWayMs,
    isPermitted: (step, executorId) =>
      hash(step + executorId) < permittedShareOf(kinds, step),
    planRun: task => planRun(kinds, task, poison, random),
  });
  for (const kind of kinds) {
    addArrivals(simulation, kind, random, poison, options);
  }
  return simulation;
}

function permittedShareOf(kinds: readonly Kind[], step: string): number {
  const kind = kinds.find(({queue}) => step.startsWith(queue.name));
  return kind?.permittedShare ?? 1;
}

function addArrivals(
  simulation: LoadSimulation,
  kind: Kind,
  random: Random,
  poison: Set<string>,
  {rateOf, endMs}: RandomLoadOptions,
): void {
  const {queue, perSecond, poisonShare, newSteps} = kind;
  let atMs = simulation.nowMs;
  for (let i = 0; ; i += 1) {
    const rate = perSecond * rateOf(kind, atMs);
    atMs += (-Math.log(1 - random.next()) * 1000) / rate;
    if (atMs > endMs) return;
    const id = `${queue.name}${i}`;
    if (random.next() < poisonShare) poison.add(id);
    const steps = newSteps(random);
    simulation.at(atMs, () => simulation.addJob(id, queue, steps));
  }
}

function planRun(
  kinds: readonly Kind[],
  {step}: TaskState,
  poison: ReadonlySet<string>,
  random: Random,
): RunPlan {
  const {isService, estimatedMs} = step.spec;
  const {job} = step.occurrence;
  const kind = kinds.find(({queue}) => queue.name === job.queue.name);
  const isFailed =
    poison.has(job.id) || random.next() < (kind?.failedShare ?? 0);
  const runMs = estimatedMs * (0.7 + 0.6 * random.next());
  if (isFailed) return {runMs: runMs * random.next(), how: 'failed'};
  return {runMs: isService ? Infinity : runMs, how: 'done'};
}
