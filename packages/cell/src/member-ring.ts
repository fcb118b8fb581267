/** The ring of the VMs in name order, in which each connects to the next ones. */
import type {ListedMember} from './messages.js';

/** Number of VMs besides the owner to which each VM keeps a connection. */
const NEIGHBOUR_COUNT = 2;

/**
 * Yields the next VMs after the named one, to which it connects. All VMs do, so
 * that none is left out.
 *
 * @example
 * const wanted = [...nextInRing(members, self.vm)];
 */
export function* nextInRing(
  members: readonly ListedMember[],
  vm: string,
): Generator<ListedMember> {
  const sorted = sortByName(members);
  const at = sorted.findIndex(each => each.vm === vm);
  for (let i = 1; i <= NEIGHBOUR_COUNT && i < sorted.length; i += 1) {
    const next = sorted[(at + i) % sorted.length];
    if (next !== undefined) yield next;
  }
}

/**
 * Yields the names of the VMs on both sides of the named one, with which it has
 * a connection, whoever began it. Yields nothing if it is not in the ring.
 *
 * @example
 * const names = new Set(neighbourNames(members, self.vm));
 */
export function* neighbourNames(
  members: readonly ListedMember[],
  vm: string,
): Generator<string> {
  const sorted = sortByName(members);
  const at = sorted.findIndex(each => each.vm === vm);
  for (let i = -NEIGHBOUR_COUNT; i <= NEIGHBOUR_COUNT; i += 1) {
    const next = sorted.at((at + i) % sorted.length);
    if (at >= 0 && next !== undefined) yield next.vm;
  }
}

function sortByName(members: readonly ListedMember[]): readonly ListedMember[] {
  return [...members].sort((a, b) => a.vm.localeCompare(b.vm));
}
