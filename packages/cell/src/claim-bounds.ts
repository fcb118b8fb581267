/** How long the owner that a claim supersedes may still act. */
import {stretchTime} from './former-owners.js';
import {MAX_HEARTBEAT_AGE_MS} from './members.js';

/**
 * The owner's lease for starting tasks. With an older heartbeat it starts
 * nothing unless every VM is connected to it: a VM that claims the cell would
 * have notified it.
 */
export const START_LEASE_MS = 800;

/**
 * The owner's lease on the cell unless every VM is connected to it. It covers
 * the heartbeat of a VM that claims the cell: that may count for 1.2 s and
 * arrive late.
 */
export const UNCONNECTED_LEASE_MS = 3000;

/**
 * A claimant that was connected to the owner this recently, in ms, is among the
 * VMs without which the owner is not connected to all.
 */
const KNOWN_CLAIMANT_MS = 30_000;

/**
 * What the owner told of a record counts from this long ago at most, in ms. A
 * connection that began before the claim may be up on the owner's side only: its
 * first message counts there for 1.2 s, and may arrive as late as the rest of
 * the lease.
 */
const MAX_TOLD_AGO_MS = 1000;

/** How long an owner may start tasks and act, in ms. */
export interface Leases {
  readonly startMs: number;
  readonly actMs: number;
}

/** The leases from the newest heartbeat on, or from an event after it. */
export const LEASES: Leases = {
  startMs: START_LEASE_MS,
  actMs: UNCONNECTED_LEASE_MS,
};

/** When what a claim rests on happened, in ms before it was confirmed. */
export interface ClaimTimes {
  /** When the answer arrived that showed the owner's newest heartbeat. */
  readonly readAgoMs: number;
  /** When the owner had told the claimant of that heartbeat; 0 if it did not. */
  readonly toldAgoMs?: number;
  /** When the claimant was last connected to the owner; Infinity for never. */
  readonly connectedAgoMs: number;
}

/**
 * How long the owner may act after a claim is confirmed, by two arguments.
 * Unless every VM is connected to it, its lease counts from a heartbeat that was
 * stored before the reading, and before the owner told of it: the claim would
 * have failed otherwise. While every VM is connected to it, it has had a
 * heartbeat of the claimant in the last 1.2 s, which was sent before their
 * connection ended. The time in which it may start tasks is too short to cover
 * how late that one may arrive, and counts from the claim.
 *
 * @example
 * const leases = supersededLeases({readAgoMs, connectedAgoMs});
 */
export function supersededLeases({
  readAgoMs,
  toldAgoMs = 0,
  connectedAgoMs,
}: ClaimTimes): Leases {
  // It may not know this VM, and take itself to be connected to all.
  if (connectedAgoMs > KNOWN_CLAIMANT_MS) return LEASES;
  // A heartbeat of this VM that arrives late lets it start tasks for longer.
  const {startMs} = LEASES;
  const storedAgoMs = Math.max(readAgoMs, Math.min(toldAgoMs, MAX_TOLD_AGO_MS));
  const actMs = Math.max(
    stretchTime(UNCONNECTED_LEASE_MS) - Math.min(storedAgoMs, connectedAgoMs),
    // A connection that began before the claim may be up on its side only.
    MAX_HEARTBEAT_AGE_MS,
  );
  return {startMs, actMs: Math.min(actMs, LEASES.actMs)};
}
