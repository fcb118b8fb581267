/** Rendezvous hashing: a stable order of members for each key. */
import {createHash} from 'node:crypto';

const WEIGHT_BYTES = 6;

/**
 * Orders the members by their weight for the key, highest first.
 *
 * @example
 * const [home] = rankByHash(jobId, domains, name => name);
 */
export function rankByHash<T>(
  key: string,
  members: readonly T[],
  nameOf: (member: T) => string,
): T[] {
  const weighed = members.map(member => {
    const weight = weigh(key, nameOf(member));
    return {member, weight};
  });
  weighed.sort((a, b) => b.weight - a.weight);
  return weighed.map(({member}) => member);
}

function weigh(key: string, name: string): number {
  const digest = createHash('sha256').update(`${key}\n${name}`).digest();
  return digest.readUIntBE(0, WEIGHT_BYTES);
}
