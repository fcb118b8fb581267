/** Chooses the VM to which an owner hands the cell. */
import type {Member} from './members.js';

/** A VM without a heartbeat for nearly two periods may be gone, in ms. */
const MAX_SILENCE_MS = 900;
/** Time within which a VM that has restarted is not restarted again, in ms. */
const ROLL_MS = 600_000;

/** The owner that hands the cell over. */
export interface Predecessor {
  readonly domain: string;
  /** The time on its monotonic clock. */
  readonly nowMs: number;
}

/** Whether a VM claims the cell or accepts it for long. */
export function mayOwn({
  isStoreOk,
  isDraining,
  hasLoadFailed,
}: Member): boolean {
  return isStoreOk && !isDraining && !hasLoadFailed;
}

/**
 * Whether a VM has what it needs to start tasks, seems to be running and has
 * not failed to load the state lately.
 *
 * @example
 * const isReady = canActAtOnce(member, clock.monotonicMs());
 */
export function canActAtOnce(
  {configVersion, heartbeatAt, hasLoadFailed}: Member,
  nowMs: number,
): boolean {
  if (configVersion < 0 || hasLoadFailed) return false;
  return nowMs - heartbeatAt.monotonicMs < MAX_SILENCE_MS;
}

/**
 * Returns the best successor, or null for none: a VM that can act at once, then
 * the one with most cores, then one that was seen to shut down and start again
 * lately, then one in the domain of the owner.
 *
 * @example
 * const successor = chooseSuccessor(members.connected(), {domain, nowMs});
 */
export function chooseSuccessor(
  members: Iterable<Member>,
  {domain, nowMs}: Predecessor,
): Member | null {
  const ranked = [...members]
    .filter(({isStoreOk, isDraining}) => isStoreOk && !isDraining)
    .map(member => ({
      member,
      isLocal: member.domain === domain,
      isReady: canActAtOnce(member, nowMs),
      isRestarted: nowMs - member.restartedMs < ROLL_MS,
    }));
  ranked.sort(
    (a, b) =>
      Number(b.isReady) - Number(a.isReady) ||
      b.member.cores - a.member.cores ||
      Number(b.isRestarted) - Number(a.isRestarted) ||
      Number(b.isLocal) - Number(a.isLocal),
  );
  return ranked[0]?.member ?? null;
}
