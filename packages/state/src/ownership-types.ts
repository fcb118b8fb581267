/** What the owner of a shard and its successors need of each other. */
import type {Clock, EventRing, ProcessRef} from '@dragonflyward/common';
import type {LogClient, StreamTail} from '@dragonflyward/log';
import type {ShardState} from './shard-state.js';

/** What an owner asks of each listed successor. */
export interface OwnershipAsk {
  readonly shard: string;
  readonly term: number;
  readonly listVersion: number;
  /** The successor is not to claim for this long. */
  readonly forMs: number;
}

/** The other processes, as far as ownership depends on them. */
export abstract class OwnershipPeers {
  /** Those who may own the shard, best first; without this process. */
  abstract candidates(): readonly ProcessRef[];
  /** How long this run of the process was not heard. */
  abstract silentMs(process: ProcessRef): number;
  /**
   * Whether the newest list of VMs that was read holds the process's VM;
   * true while no list was read.
   */
  abstract isListed(process: ProcessRef): boolean;
  /**
   * Asks this very run of the process for a promise.
   *
   * @throws peerDown, peerLost
   */
  abstract askPromise(process: ProcessRef, ask: OwnershipAsk): Promise<boolean>;
}

/** How long proofs and silences last. */
export interface OwnershipTiming {
  readonly ownerLeaseMs: number;
  readonly ownerSilenceMs: number;
}

/** What the ownership of one shard needs. */
export interface OwnershipOptions {
  readonly shard: string;
  readonly self: ProcessRef;
  readonly clock: Clock;
  /** Follows the shard's stream into `fold`. */
  readonly tail: StreamTail;
  readonly fold: ShardState;
  readonly log: LogClient;
  readonly peers: OwnershipPeers;
  readonly timing: OwnershipTiming;
  readonly events: EventRing;
  /** This process's place among those that may claim; 0 goes first. */
  readonly rank: number;
}

/** How often conditions are looked at again. */
export const TICK_MS = 100;

/** By how much monotonic clocks of two VMs may differ in rate. */
export const CLOCK_RATE_MARGIN = 0.05;

/** A tail whose newest read is older takes no part in claims and lists. */
export const TAIL_MAX_AGE_MS = 10_000;
