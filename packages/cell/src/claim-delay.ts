/** How long a VM waits before it claims the cell, so that the best is first. */

/** A VM waits this multiple of its store round trip before it claims. */
const CLAIM_DELAY_RTT_FACTOR = 4;
/** Upper bound of that delay, in ms. */
export const MAX_CLAIM_DELAY_MS = 250;
/** By how much another VM may notice later that there is no owner, in ms. */
const MAX_NOTICE_DELAY_MS = 100;
/** Time that a claim usually takes to be stored, in ms. */
const CLAIM_MS = 50;
/** Extra delay of a VM that knows of a VM with more cores, in ms. */
const SMALL_VM_DELAY_MS = MAX_CLAIM_DELAY_MS + MAX_NOTICE_DELAY_MS + CLAIM_MS;
/** Extra delay of a VM that could start nothing yet, in ms. */
const NO_CONFIG_DELAY_MS = MAX_NOTICE_DELAY_MS + CLAIM_MS;

/** Extra delay of a VM whose last load failed: longer than all others, in ms. */
const FAILED_LOAD_DELAY_MS =
  MAX_CLAIM_DELAY_MS + SMALL_VM_DELAY_MS + NO_CONFIG_DELAY_MS;

/** What a VM knows of itself and of others before it claims. */
export interface Claimant {
  /** The round trip of its newest call to the store, in ms. */
  readonly rttMs: number;
  /** Whether a VM with more cores is connected or listed that may own it. */
  readonly isLargerKnown: boolean;
  readonly hasConfig: boolean;
  /** Whether the last load of the state failed here, however long ago. */
  readonly hasFailed: boolean;
}

/**
 * Returns the delay in ms. VMs with a short round trip claim first, so that
 * claims do not race; but after the larger ones had their turn.
 *
 * @example
 * await clock.sleep(claimDelayMs(claimant));
 */
export function claimDelayMs({
  rttMs,
  isLargerKnown,
  hasConfig,
  hasFailed,
}: Claimant): number {
  return (
    Math.min(MAX_CLAIM_DELAY_MS, rttMs * CLAIM_DELAY_RTT_FACTOR) +
    (isLargerKnown ? SMALL_VM_DELAY_MS : 0) +
    (hasConfig ? 0 : NO_CONFIG_DELAY_MS) +
    (hasFailed ? FAILED_LOAD_DELAY_MS : 0)
  );
}
