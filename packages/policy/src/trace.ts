/** Traces: workers, jobs and faults of a shard, with the expected outcome. */
import type {Resources} from '@dragonflyward/common';
import type {PolicyQueue, PolicyTeam, PolicyWorker} from './engine.js';

/** A group of identical workers. */
export interface TraceWorkerGroup {
  readonly name: string;
  readonly count: number;
  readonly perRack: number;
  readonly capacity: Resources;
}

/** A group of identical jobs, submitted at a fixed interval. */
export interface TraceJobGroup {
  readonly name: string;
  readonly team: string;
  readonly queue: string;
  readonly count: number;
  readonly firstMs: number;
  readonly everyMs: number;
  readonly tasks: number;
  readonly isGang?: boolean;
  readonly isService?: boolean;
  readonly isIdempotent?: boolean;
  /** The size that the caller declares for each task. */
  readonly size: Resources;
  readonly runMs: number;
  /** The actual use and run time as multiples of the declared; default 1. */
  readonly useFactor?: number;
  readonly runFactor?: number;
  /** Whether every task fails on every worker. */
  readonly isBroken?: boolean;
}

/** A cancellation or a fault of a worker. */
export type TraceFault =
  | {
      readonly kind: 'cancel';
      readonly atMs: number;
      readonly jobs: string;
    }
  | {
      readonly kind: 'workerFails' | 'workerRecovers' | 'workerGone';
      readonly atMs: number;
      readonly workerId: string;
    }
  | {
      readonly kind: 'workerLeaves';
      readonly atMs: number;
      readonly workerId: string;
    };

/** The outcome that a replay must reach. */
export interface TraceOutcome {
  /** The longest wait for the first start of a task, by job group. */
  readonly maxWaitMs?: Readonly<Record<string, number>>;
  /** Job groups of which every task must succeed. */
  readonly succeed?: readonly string[];
  /** Job groups that must be set aside. */
  readonly setAside?: readonly string[];
  /** Workers that must be quarantined. */
  readonly workersSetAside?: readonly string[];
  /** Whether measured use must stay within the capacity of each worker. */
  readonly noUseAboveCapacity?: boolean;
  /** Minimum fraction of the scarcest resource reserved while work waits. */
  readonly minPacking?: number;
  /** How far a team's mean use may be from its share, as a fraction of it. */
  readonly maxShareGap?: number;
}

/** A trace with its expected outcome. */
export interface Trace {
  readonly name: string;
  readonly endMs: number;
  /** When the measurement of packing and shares begins. */
  readonly measureFromMs: number;
  readonly workers: readonly TraceWorkerGroup[];
  readonly queues: readonly PolicyQueue[];
  readonly teams: readonly PolicyTeam[];
  readonly jobs: readonly TraceJobGroup[];
  readonly faults: readonly TraceFault[];
  readonly outcome: TraceOutcome;
}

/**
 * The workers that a trace describes.
 *
 * @example
 * for (const worker of workersOf(trace)) engine.setWorker(worker);
 */
export function* workersOf(trace: Trace): Generator<PolicyWorker> {
  for (const {name, count, perRack, capacity} of trace.workers) {
    for (let i = 0; i < count; i += 1) {
      const rack = `${name}-rack-${Math.floor(i / perRack)}`;
      yield {workerId: `${name}-${i}`, rack, capacity, condition: 'ready'};
    }
  }
}
