/** Handles the messages between the gateway and the schedulers. */
import {raise, type EventRing, type ProcessRef} from '@dragonflyward/common';
import {
  PeerHandler,
  type Heartbeat,
  type Hello,
  type PassedClaim,
  type PeerAsk,
  type PeerConnection,
  type PeerInfo,
  type PeerNotice,
  type PeerReply,
} from '@dragonflyward/peer';
import type {OwnerDirectory} from './owner-directory.js';
import type {TicketRegistry} from './ticket-registry.js';

/** The dependencies of a `GatewayPeerHandler`. */
export interface GatewayPeerHandlerParts {
  readonly self: ProcessRef;
  readonly events: EventRing;
  readonly owners: OwnerDirectory;
  readonly registry: TicketRegistry;
  readonly listClaims: (shard: string) => readonly PassedClaim[];
  readonly upMs: () => number;
  readonly configOffset: () => number;
  readonly configAgeMs: () => number;
  readonly isDraining: () => boolean;
  /** Called after each heartbeat of an owner, with the shards that it owns. */
  readonly onOwnerHeartbeat: (shards: readonly string[]) => void;
}

/** Answers schedulers and tracks the owners that they announce. */
export class GatewayPeerHandler extends PeerHandler {
  constructor(private readonly parts: GatewayPeerHandlerParts) {
    super();
  }

  override hello(): Hello {
    return {type: 'hello', role: 'gateway', process: this.parts.self};
  }

  override heartbeat(): Heartbeat {
    return {
      type: 'heartbeat',
      at: this.parts.events.hybridClock.tick(),
      owns: [],
      configOffset: this.parts.configOffset(),
      configAgeMs: this.parts.configAgeMs(),
      isDraining: this.parts.isDraining(),
    };
  }

  override handleAsk(_from: PeerInfo, req: PeerAsk): Promise<PeerReply> {
    if (req.type !== 'openTicketsAsk') return raise('badRequest', req.type);
    const tickets = this.parts.registry.list(req);
    const claims = this.parts.listClaims(req.shard);
    const upMs = this.parts.upMs();
    return Promise.resolve({type: 'openTickets', tickets, claims, upMs});
  }

  override handleNotice(from: PeerInfo, notice: PeerNotice): void {
    if (notice.type !== 'heartbeat') return;
    this.parts.events.hybridClock.observe(notice.at);
    this.parts.owners.update(from.process.vm, notice.owns);
    this.parts.onOwnerHeartbeat(notice.owns.map(({shard}) => shard));
  }

  override onPeerUp({info}: PeerConnection): void {
    this.parts.events.add('peerUp', {}, info?.process.vm);
  }

  override onPeerDown({info}: PeerConnection): void {
    if (info === undefined) return;
    this.parts.owners.remove(info.process.vm);
    this.parts.events.add('peerDown', {}, info.process.vm);
  }
}
