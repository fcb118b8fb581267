/** Random identifiers. */
import {randomBytes} from 'node:crypto';

const ID_BYTES = 12;

/**
 * Creates a random 96-bit identifier with the given prefix; it is unique for
 * all practical purposes.
 *
 * @example
 * const jobId = newId('j'); // 'j-5c1f…'
 */
export function newId(prefix: string): string {
  return `${prefix}-${randomBytes(ID_BYTES).toString('hex')}`;
}
