/** When an owner writes its next heartbeat to the store. */
import {START_LEASE_MS} from './claim-bounds.js';
import {OWNER_HEARTBEAT_MS} from './ownership.js';

/** The lease for starts is renewed at least this long before its end, in ms. */
const LEASE_MARGIN_MS = 100;
/** The shortest pause, in ms: a store that is slow gets no more calls. */
const MIN_PAUSE_MS = 20;

/**
 * How long an owner waits after a heartbeat, in ms. The lease for starts counts
 * from when a heartbeat was sent, and the next one takes about as long: on a
 * busy owner the lease would end before each answer if the pause began with the
 * answer before.
 *
 * @param tookMs how long the last heartbeat took, in ms
 * @example
 * await clock.sleep(heartbeatPauseMs(clock.monotonicMs() - sentMs));
 */
export function heartbeatPauseMs(tookMs: number): number {
  const usualMs = OWNER_HEARTBEAT_MS - tookMs;
  const latestMs = START_LEASE_MS - LEASE_MARGIN_MS - 2 * tookMs;
  return Math.max(MIN_PAUSE_MS, Math.min(usualMs, latestMs));
}
