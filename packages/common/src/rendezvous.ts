/** Rendezvous hashing: a stable ranking of members for each key. */
import {createHash} from 'node:crypto';

const WEIGHT_BYTES = 6;

/**
 * Ranks the members by their hash weight for the key, highest first.
 *
 * @example
 * const [replica] = rankByHash(requestId, domains, name => name);
 */
export function rankByHash<T>(
  key: string,
  members: readonly T[],
  nameOf: (member: T) => string,
): T[] {
  return members
    .map(member => ({member, weight: weightOf(key, nameOf(member))}))
    .sort((a, b) => b.weight - a.weight)
    .map(({member}) => member);
}

function weightOf(key: string, name: string): number {
  const digest = createHash('sha256').update(`${key}\n${name}`).digest();
  return digest.readUIntBE(0, WEIGHT_BYTES);
}
