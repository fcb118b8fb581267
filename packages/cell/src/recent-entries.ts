/** Maps by names that other processes choose, which keep the newest entries. */

/** The most VMs of which something is remembered; a cell has up to 97. */
export const MAX_REMEMBERED_VMS = 1000;
/** The longest name of a VM that connects, in characters. */
export const MAX_VM_NAME_LENGTH = 1000;

/**
 * Sets an entry as the newest; removes the oldest one above the maximum.
 *
 * @example
 * setRecent(lastSeenMs, vm, clock.monotonicMs());
 */
export function setRecent<V>(
  entries: Map<string, V>,
  key: string,
  value: V,
  maxSize = MAX_REMEMBERED_VMS,
): void {
  entries.delete(key);
  entries.set(key, value);
  if (entries.size <= maxSize) return;
  const [oldest] = entries.keys();
  if (oldest !== undefined) entries.delete(oldest);
}
