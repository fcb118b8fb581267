/** What the gateway says to schedulers, and takes in from them. */
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
import type {TicketBook} from './ticket-registry.js';

/** What the handler works with. */
export interface GatewayPeersParts {
  readonly self: ProcessRef;
  readonly events: EventRing;
  readonly owners: OwnerDirectory;
  readonly book: TicketBook;
  readonly claimsAt: (shard: string) => readonly PassedClaim[];
  readonly upMs: () => number;
  readonly configOffset: () => number;
  readonly configAgeMs: () => number;
  readonly isDraining: () => boolean;
  /** Called with the shards of an owner after each of its heartbeats. */
  readonly onOwner: (shards: readonly string[]) => void;
}

/** Answers schedulers. */
export class GatewayPeers extends PeerHandler {
  constructor(private readonly parts: GatewayPeersParts) {
    super();
  }

  override hello(): Hello {
    return {type: 'hello', role: 'gateway', process: this.parts.self};
  }

  override heartbeat(): Heartbeat {
    return {
      type: 'heartbeat',
      at: this.parts.events.hybrid.tick(),
      owns: [],
      configOffset: this.parts.configOffset(),
      configAgeMs: this.parts.configAgeMs(),
      isDraining: this.parts.isDraining(),
    };
  }

  override answer(_from: PeerInfo, ask: PeerAsk): Promise<PeerReply> {
    if (ask.type !== 'openTicketsAsk') return raise('badRequest', ask.type);
    const tickets = this.parts.book.list(ask);
    const claims = this.parts.claimsAt(ask.shard);
    const upMs = this.parts.upMs();
    return Promise.resolve({type: 'openTickets', tickets, claims, upMs});
  }

  override notice(from: PeerInfo, notice: PeerNotice): void {
    if (notice.type !== 'heartbeat') return;
    this.parts.events.hybrid.observe(notice.at);
    this.parts.owners.note(from.process.vm, notice.owns);
    this.parts.onOwner(notice.owns.map(({shard}) => shard));
  }

  override peerUp({info}: PeerConnection): void {
    this.parts.events.add('peerUp', {}, info?.process.vm);
  }

  override peerDown({info}: PeerConnection): void {
    if (info === undefined) return;
    this.parts.owners.drop(info.process.vm);
    this.parts.events.add('peerDown', {}, info.process.vm);
  }
}
