/**
 * A random load with the figures of a deployment that several organisations
 * share: most work is urgent, and every step needs tickets of an advice service
 * that the VMs reach in up to 60 ms one way.
 */
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

const SERVICE = 'cutline';
const EXECUTOR_COUNT = 33;
export const ADVICE_VM_COUNT = 8;
const EXECUTOR_CORES = 16;
/** One way to the advice service through each VM, in ms. */
const ONE_WAY_MS = [31, 32, 32, 34, 36, 61, 62, 64];

export const PROOF = newQueue('proof', SERVICE, 0, {
  maxAttempts: 3,
  stretch: 1.5,
  objectiveMs: 600,
  advice: newAdvice(7.4, 0.11),
});
export const LAYOUT = newQueue('layout', SERVICE, 1, {
  maxAttempts: 3,
  stretch: 2.2,
  objectiveMs: 1200,
  advice: newAdvice(510, 7.2),
});
export const BATCH = newQueue('batch', SERVICE, 2, {
  maxAttempts: 3,
  stretch: 4,
  objectiveMs: 3000,
  advice: newAdvice(53, 0.75),
});

const KINDS: readonly Kind[] = [
  {
    queue: PROOF,
    perSecond: 33.8,
    permittedShare: 0.7,
    failedShare: 0.02,
    poisonShare: 0.03,
    newSteps: random => [
      {
        ...STEP,
        isGang: random.next() < 0.3,
        count: random.count(2, 0.8, 12),
        estimatedMs: random.around(640, 0.5, 1600),
        size: size(
          random.around(1400, 0.45, 4200),
          random.around(2000, 0.6, 6000),
        ),
      },
    ],
  },
  {
    queue: LAYOUT,
    perSecond: 1.03,
    permittedShare: 0.3,
    failedShare: 0.02,
    poisonShare: 0.01,
    newSteps: random =>
      [...Array(random.count(1.2, 0.4, 3)).keys()].map(i => ({
        ...STEP,
        after: i === 0 ? [] : [i - 1],
        isGang: true,
        count: random.count(6.4, 0.6, 32),
        estimatedMs: random.around(6200, 0.5, 16_000),
        size: size(
          random.around(4500, 0.4, 7600),
          random.around(6400, 0.5, 13_000),
        ),
        savesProgress: random.next() < 0.5,
      })),
  },
  {
    queue: BATCH,
    perSecond: 4.78,
    permittedShare: 0.45,
    failedShare: 0.005,
    poisonShare: 0,
    newSteps: random =>
      [...Array(random.count(1.5, 0.4, 4)).keys()].map(i => ({
        ...STEP,
        after: i === 0 ? [] : [i - 1],
        count: random.count(10, 0.8, 60),
        estimatedMs: random.around(2200, 0.5, 5400),
        size: size(
          random.around(980, 0.45, 2900),
          random.around(1400, 0.6, 4200),
        ),
        savesProgress: random.next() < 0.8,
        maxPerExecutor: maxPerExecutor(random, 0.12),
      })),
  },
];

/** What a load does besides its usual traffic. */
export interface SharedLoadOptions {
  readonly seed: number;
  /** When more work comes than usual. */
  readonly burst: {
    readonly fromMs: number;
    readonly untilMs: number;
    /** Factor on the rate of proofs. */
    readonly proofs: number;
    /** Factor on the rate of all kinds, as of a large organisation. */
    readonly all: number;
  };
  readonly endMs: number;
  readonly executorCores?: number;
}

/** Creates a simulation in which the jobs of a random load arrive. */
export function newSharedLoad({
  seed,
  burst,
  endMs,
  executorCores = EXECUTOR_CORES,
}: SharedLoadOptions): LoadSimulation {
  const simulation = newRandomLoad({
    seed,
    kinds: KINDS,
    vmCount: ADVICE_VM_COUNT,
    adviceOneWayMs: vm => ONE_WAY_MS[vm] ?? 0,
    rateOf: ({queue}, atMs) => {
      const isBurst = atMs >= burst.fromMs && atMs < burst.untilMs;
      if (!isBurst) return 1;
      return burst.all * (queue.name === PROOF.name ? burst.proofs : 1);
    },
    endMs,
  });
  simulation.addExecutors(SERVICE, EXECUTOR_COUNT, () =>
    size(executorCores * 1000, executorCores * 2048),
  );
  return simulation;
}
