/** Gets tickets from the owners of shards. */
import {
  DragonflywardError,
  raise,
  toFailure,
  type Clock,
  type ErrorKind,
} from '@dragonflyward/common';
import type {
  PassedClaim,
  PeerAsk,
  PeerConnection,
  PeerMesh,
  PeerNotice,
  PeerReply,
  Ticket,
  TicketClose,
} from '@dragonflyward/peer';
import {ClaimHomes} from './claim-client.js';
import type {OwnerDirectory} from './owner-directory.js';
import {orAborted} from './request-lifetime.js';
import type {TicketBook} from './ticket-registry.js';
import {
  TicketSource,
  type ClaimWish,
  type HeldTicket,
  type ReleaseWish,
  type TicketWish,
} from './ticket-source.js';
import type {ServingShard, VmView} from './vm-view.js';

/** How much longer than its deadline an ask waits for the owner's word. */
const REPLY_MARGIN_MS = 500;
/** Another region is asked only while at least this much time is left. */
const MIN_SPILL_MS = 200;
/** Refusals after which the next shard is asked. */
const SPILL_KINDS: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'noTarget',
  'queueFull',
  'notOwner',
  'peerDown',
  'peerLost',
]);

/** What the source works with. */
export interface MeshTicketParts {
  readonly clock: Clock;
  readonly mesh: PeerMesh;
  readonly owners: OwnerDirectory;
  readonly book: TicketBook;
  readonly vms: VmView;
}

/** Tickets over the connections to schedulers. */
export class MeshTickets extends TicketSource {
  private readonly homes: ClaimHomes;

  constructor(private readonly parts: MeshTicketParts) {
    super();
    const {clock, vms} = parts;
    this.homes = new ClaimHomes(this, clock, () => vms.domains());
  }

  /**
   * Asks the shards in order of their distance.
   *
   * @throws the refusal of the nearest shard
   */
  override async take(
    wish: TicketWish,
    signal: AbortSignal,
  ): Promise<HeldTicket> {
    const {clock, vms} = this.parts;
    const endMs = clock.monotonicMs() + wish.deadlineMs;
    let nearest: unknown;
    for (const shard of vms.shardsOf(wish.service)) {
      const deadlineMs = Math.floor(endMs - clock.monotonicMs());
      if (deadlineMs <= 0) break;
      if (shard.isCrossRegion && deadlineMs < MIN_SPILL_MS) break;
      try {
        return await this.takeFrom(shard, {...wish, deadlineMs}, signal);
      } catch (err) {
        if (signal.aborted) throw err;
        if (!SPILL_KINDS.has(toFailure(err).kind)) throw err;
        nearest ??= err;
      }
    }
    if (nearest instanceof Error) throw asNotRun(nearest);
    return raise('noTarget', wish.service);
  }

  override close(use: Omit<TicketClose, 'type'>): void {
    const close: TicketClose = {type: 'ticketClose', ...use};
    this.parts.book.close(close);
    if (!this.notify(close.shard, close)) this.parts.book.keepUnsent(close);
  }

  override claim(wish: ClaimWish, signal: AbortSignal): Promise<void> {
    return this.homes.claim(wish, signal);
  }

  override release(wish: ReleaseWish): void {
    this.homes.release(wish);
  }

  /** Lists the claims made here that have the shard as a home. */
  claimsAt(shard: string): readonly PassedClaim[] {
    return this.homes.madeAt(shard);
  }

  /** Sends the closes that waited for an owner. */
  sendKept(shard: string): void {
    for (const close of this.parts.book.takeUnsent(shard)) {
      if (!this.notify(shard, close)) this.parts.book.keepUnsent(close);
    }
  }

  /**
   * Asks a shard's owner.
   *
   * @throws notOwner where none is known, or what the owner refuses with
   */
  async ask(
    shard: string,
    ask: PeerAsk,
    timeoutMs: number,
  ): Promise<PeerReply> {
    const connection = this.connectionTo(shard);
    if (connection === undefined) return raise('notOwner', shard);
    return connection.ask(ask, timeoutMs);
  }

  /** Tells a shard's owner; returns whether there is one. */
  notify(shard: string, notice: PeerNotice): boolean {
    const connection = this.connectionTo(shard);
    connection?.notify(notice);
    return connection !== undefined;
  }

  private async takeFrom(
    {shard, isCrossRegion}: ServingShard,
    wish: TicketWish,
    signal: AbortSignal,
  ): Promise<HeldTicket> {
    const askedMs = this.parts.clock.monotonicMs();
    const ask = {type: 'ticketAsk', shard, ...wish} as const;
    const timeoutMs = wish.deadlineMs + REPLY_MARGIN_MS;
    const ticket = this.ask(shard, ask, timeoutMs).then(reply =>
      this.enter(reply, wish.team, askedMs),
    );
    try {
      return {ticket: await orAborted(ticket, signal), askedMs, isCrossRegion};
    } catch (err) {
      if (signal.aborted) void ticket.then(late => this.giveBack(late), ignore);
      throw err;
    }
  }

  private enter(reply: PeerReply, team: string, askedMs: number): Ticket {
    if (reply.type !== 'ticket') return raise('peerLost', reply.type);
    this.parts.book.add(reply, team, askedMs);
    return reply;
  }

  private giveBack({ticketId, shard, executorId}: Ticket): void {
    const use = 'notSent';
    this.close({ticketId, shard, executorId, use, isDraining: false});
  }

  private connectionTo(shard: string): PeerConnection | undefined {
    const owner = this.parts.owners.ownerOf(shard);
    if (owner === undefined) return undefined;
    return this.parts.mesh.connectionTo(owner.vm);
  }
}

/** No ticket came, so nothing was sent, whatever became of the ask. */
function asNotRun(err: Error): Error {
  const {kind, detail} = toFailure(err);
  if (kind !== 'peerLost') return err;
  return new DragonflywardError('peerDown', detail);
}

function ignore(): void {
  return;
}
