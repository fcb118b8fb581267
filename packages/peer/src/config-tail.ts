/** Fetches configuration records from a peer instead of the log. */
import {raise} from '@dragonflyward/common';
import type {PeerMesh} from './mesh.js';
import type {ConfigTailReply} from './messages.js';

const CONFIG_TAIL_TIMEOUT_MS = 500;

/**
 * Asks the process on a VM for its configuration records from an offset.
 *
 * @throws peerDown, peerLost
 * @example
 * const {records, ageMs, end} = await fetchConfigTail(mesh, 'vm-2', 17);
 */
export async function fetchConfigTail(
  mesh: PeerMesh,
  vm: string,
  from: number,
): Promise<ConfigTailReply> {
  const connection = mesh.connectionTo(vm);
  if (connection === undefined) return raise('peerDown', vm);
  const ask = {type: 'configTailAsk', from} as const;
  const reply = await connection.ask(ask, CONFIG_TAIL_TIMEOUT_MS);
  return reply.type === 'configTail' ? reply : raise('peerLost', reply.type);
}
