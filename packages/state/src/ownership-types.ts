/** Types and timing shared by the owner of a shard and its successors. */
import type {Clock, EventRing, ProcessRef} from '@dragonflyward/common';
import type {LogClient, StreamTail} from '@dragonflyward/log';
import type {ShardState} from './shard-state.js';

/** Request of the owner to a successor: promise not to claim the shard. */
export interface PromiseRequest {
  readonly shard: string;
  readonly term: number;
  readonly listVersion: number;
  /** How long the successor must not claim the shard. */
  readonly forMs: number;
}

/** Access to the other processes that may own the shard. */
export abstract class OwnershipPeers {
  /**
   * Processes that may own the shard, in order of preference, without this one.
   */
  abstract candidates(): readonly ProcessRef[];
  /** Time since the last heartbeat of this incarnation of the process. */
  abstract silentMs(process: ProcessRef): number;
  /** Whether the process's latest heartbeat says that it acts in the term. */
  abstract isActing(process: ProcessRef, term: number): boolean;
  /**
   * Whether the process's VM is in the newest list of VMs; true until the first
   * list was read.
   */
  abstract isListed(process: ProcessRef): boolean;
  /**
   * Requests a promise from exactly this incarnation of the process.
   *
   * @throws peerDown, peerLost
   */
  abstract requestPromise(
    process: ProcessRef,
    request: PromiseRequest,
  ): Promise<boolean>;
}

/** Lease duration and silence timeout of an owner. */
export interface OwnershipTiming {
  readonly ownerLeaseMs: number;
  readonly ownerSilenceMs: number;
}

/** Options of the ownership of one shard. */
export interface OwnershipOptions {
  readonly shard: string;
  readonly self: ProcessRef;
  readonly clock: Clock;
  /** Reads the shard's stream and applies its records to `state`. */
  readonly tail: StreamTail;
  readonly state: ShardState;
  readonly log: LogClient;
  readonly peers: OwnershipPeers;
  readonly timing: OwnershipTiming;
  readonly events: EventRing;
  /** Position of this process in the order of claiming; 0 claims first. */
  readonly rank: number;
}

/** Interval at which conditions are checked again. */
export const POLL_INTERVAL_MS = 100;

/**
 * Largest assumed difference in rate between the monotonic clocks of two VMs.
 */
export const CLOCK_DRIFT_MARGIN = 0.05;

/**
 * A process whose newest read of the stream is older than this neither claims
 * the shard nor writes successor lists.
 */
export const TAIL_MAX_AGE_MS = 10_000;
