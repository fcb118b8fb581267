/** The VMs through which the owner calls the advice service. */
import type {AdviceChannel} from './ticket-requester.js';
import type {CellConnection, Members} from './members.js';

/** Time allowed for the way through a peer, on top of the call, in ms. */
const RELAY_SLACK_MS = 150;

/** What {@link adviceChannels} needs of the owner's VM. */
export interface AdviceChannelDeps {
  readonly vm: string;
  readonly domain: string;
  readonly members: Members;
  /** Calls the service from the owner's own VM. */
  readonly ask: AdviceChannel['ask'];
}

/** Yields the owner's own VM and the connected VMs that are not draining. */
export function* adviceChannels({
  vm,
  domain,
  members,
  ask,
}: AdviceChannelDeps): Generator<AdviceChannel> {
  yield {vm, isInOwnerDomain: true, ask};
  for (const member of members.connected()) {
    if (member.isDraining) continue;
    yield {
      vm: member.address.vm,
      isInOwnerDomain: member.domain === domain,
      ask: (step, executorIds, timeoutMs) =>
        requestThroughPeer(member.connection, step, executorIds, timeoutMs),
    };
  }
}

async function requestThroughPeer(
  connection: CellConnection,
  step: string,
  executorIds: readonly string[],
  timeoutMs: number,
): ReturnType<AdviceChannel['ask']> {
  const ask = {type: 'adviceAsk', step, executorIds, timeoutMs} as const;
  try {
    const reply = await connection.ask(ask, timeoutMs + RELAY_SLACK_MS);
    return reply.type === 'advice' ? reply.tickets : null;
  } catch {
    // A later request goes through another VM; the lost connection is logged
    // where it ends.
    return null;
  }
}
