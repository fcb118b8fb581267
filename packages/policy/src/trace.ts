/** Recorded traces: what a shard had, what was asked of it, what failed. */
import type {Resources} from '@dragonflyward/common';
import type {PolicyQueue, PolicyTeam, PolicyWorker} from './engine.js';

/** Workers that are alike. */
export interface TraceWorkers {
  readonly name: string;
  readonly count: number;
  readonly perRack: number;
  readonly capacity: Resources;
}

/** Jobs that are alike, at even distances. */
export interface TraceJobs {
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
  /** What the caller declares. */
  readonly size: Resources;
  readonly runMs: number;
  /** What is true: the declared value times this; 1 where absent. */
  readonly useFactor?: number;
  readonly runFactor?: number;
  /** Every task of it fails, wherever it runs. */
  readonly isBroken?: boolean;
}

/** Something that happens to the shard. */
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

/** The bounds that a replay has to keep. */
export interface TraceOutcome {
  /** The longest wait for a first start, by name of the jobs. */
  readonly maxWaitMs?: Readonly<Record<string, number>>;
  /** Jobs of which every task has to succeed, by name. */
  readonly succeed?: readonly string[];
  /** Jobs that have to be set aside, by name. */
  readonly setAside?: readonly string[];
  /** Workers that have to be set aside. */
  readonly workersSetAside?: readonly string[];
  /** Whether measured use must stay within the capacity of each worker. */
  readonly noUseAboveCapacity?: boolean;
  /** The least part of the scarcest resource reserved while work waits. */
  readonly minPacking?: number;
  /** How far below its share a team with demand may be on average. */
  readonly maxShareGap?: number;
}

/** One recorded trace with its stated outcome. */
export interface Trace {
  readonly name: string;
  readonly endMs: number;
  /** The time from which packing and shares are measured. */
  readonly measureFromMs: number;
  readonly workers: readonly TraceWorkers[];
  readonly queues: readonly PolicyQueue[];
  readonly teams: readonly PolicyTeam[];
  readonly jobs: readonly TraceJobs[];
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
