/** A random load with the figures of the users' largest deployment. */
import {STEP} from './rig.js';
import type {LoadSimulation} from './load-simulation.js';
import {
  maxPerExecutor,
  newAdvice,
  newQueue,
  newRandomLoad,
  size,
  type Kind,
} from './random-load.js';

const VM_COUNT = 35;
/** Factors on the capacity of the executors of the one service. */
const SMALL_SIZES = [1, 1, 0.5, 2];

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
  const rateOf = (): number => rate;
  const options = {seed, kinds: KINDS, vmCount, rateOf, endMs};
  const simulation = newRandomLoad(options);
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
  return simulation;
}
