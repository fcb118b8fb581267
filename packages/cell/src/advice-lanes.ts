/** The VMs through which the owner asks the advice service. */
import type {AdviceLane} from './advice-desk.js';
import type {CellConnection, Members} from './members.js';

/** Time that an answer of a peer may take on top of the call itself, in ms. */
const LANE_SLACK_MS = 150;

/** What the lanes need of the owner's VM. */
export interface LaneDeps {
  readonly vm: string;
  readonly domain: string;
  readonly members: Members;
  /** Asks the service from the owner's own VM. */
  readonly ask: AdviceLane['ask'];
}

/** The owner's own VM and those that are connected to it. */
export function* adviceLanes({
  vm,
  domain,
  members,
  ask,
}: LaneDeps): Generator<AdviceLane> {
  yield {vm, isNear: true, ask};
  for (const member of members.connected()) {
    if (member.isDraining) continue;
    yield {
      vm: member.address.vm,
      isNear: member.domain === domain,
      ask: (step, executorIds, timeoutMs) =>
        askPeer(member.connection, step, executorIds, timeoutMs),
    };
  }
}

async function askPeer(
  connection: CellConnection,
  step: string,
  executorIds: readonly string[],
  timeoutMs: number,
): ReturnType<AdviceLane['ask']> {
  const ask = {type: 'adviceAsk', step, executorIds, timeoutMs} as const;
  try {
    const reply = await connection.ask(ask, timeoutMs + LANE_SLACK_MS);
    return reply.type === 'advice' ? reply.tickets : null;
  } catch {
    // The desk asks another VM; the lost connection is logged where it ends.
    return null;
  }
}
