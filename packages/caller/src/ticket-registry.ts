/** The open tickets of this gateway. */
import {raise, type Clock} from '@dragonflyward/common';
import type {
  OpenTicket,
  OpenTicketsAsk,
  Ticket,
  TicketClose,
} from '@dragonflyward/peer';

/** Closes kept for shards without an owner; the oldest are dropped first. */
const MAX_PENDING_CLOSES = 10_000;

interface RegisteredTicket {
  readonly ticket: Ticket;
  readonly team: string;
  readonly untilMs: number;
}

/** Open tickets, and the closes that could not be sent to an owner yet. */
export class TicketRegistry {
  private readonly open = new Map<string, RegisteredTicket>();
  private readonly terms = new Map<string, number>();
  private pendingCloses: readonly TicketClose[] = [];

  constructor(private readonly clock: Clock) {}

  /**
   * Registers a ticket; its time limits count from the request for it.
   *
   * @throws notOwner if a later owner has already listed the open tickets
   */
  add(ticket: Ticket, team: string, requestedMs: number): void {
    if (ticket.term < this.termOf(ticket.shard)) {
      raise('notOwner', `term ${ticket.term} of ${ticket.shard} is over`);
    }
    const untilMs = requestedMs + ticket.runByMs;
    this.open.set(ticket.ticketId, {ticket, team, untilMs});
  }

  /**
   * Removes a ticket. One whose executor may still be working on the request
   * stays until it expires, so that a new owner counts its slot as taken.
   */
  close(close: TicketClose): void {
    if (close.use === 'unknown' || close.use === 'abandoned') return;
    this.open.delete(close.ticketId);
  }

  /** Queues a close until the shard has an owner. */
  queueClose(close: TicketClose): void {
    this.pendingCloses = [...this.pendingCloses, close].slice(
      -MAX_PENDING_CLOSES,
    );
  }

  /** Removes and returns the queued closes of a shard. */
  takePendingCloses(shard: string): readonly TicketClose[] {
    const closes = this.pendingCloses.filter(close => close.shard === shard);
    if (closes.length === 0) return closes;
    this.pendingCloses = this.pendingCloses.filter(
      close => close.shard !== shard,
    );
    return closes;
  }

  /**
   * Lists the open tickets of a shard. From then on, new tickets of older
   * terms are refused.
   *
   * @throws staleTerm if an owner of a later term has already asked
   */
  list(req: OpenTicketsAsk): readonly OpenTicket[] {
    if (req.term < this.termOf(req.shard)) raise('staleTerm', req.shard);
    this.terms.set(req.shard, req.term);
    return [...this.listOpen(req.shard)];
  }

  /** The number of open tickets. */
  size(): number {
    this.removeExpired();
    return this.open.size;
  }

  /** Removes the tickets that have expired. */
  removeExpired(): void {
    const nowMs = this.clock.monotonicMs();
    for (const [id, {untilMs}] of this.open) {
      if (untilMs <= nowMs) this.open.delete(id);
    }
  }

  private *listOpen(shard: string): Generator<OpenTicket> {
    this.removeExpired();
    const nowMs = this.clock.monotonicMs();
    for (const {ticket, team, untilMs} of this.open.values()) {
      if (ticket.shard !== shard) continue;
      const {ticketId, executorId} = ticket;
      yield {ticketId, executorId, team, runByMs: untilMs - nowMs};
    }
  }

  private termOf(shard: string): number {
    return this.terms.get(shard) ?? 0;
  }
}
