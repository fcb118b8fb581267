/** The tickets that this gateway holds. */
import {raise, type Clock} from '@dragonflyward/common';
import type {
  OpenTicket,
  OpenTicketsAsk,
  Ticket,
  TicketClose,
} from '@dragonflyward/peer';

/** How long a lost close is kept for a shard without an owner. */
const MAX_UNSENT_CLOSES = 10_000;

interface BookEntry {
  readonly ticket: Ticket;
  readonly team: string;
  readonly untilMs: number;
}

/** Open tickets, and closes that no owner could take yet. */
export class TicketBook {
  private readonly open = new Map<string, BookEntry>();
  private readonly terms = new Map<string, number>();
  private unsent: readonly TicketClose[] = [];

  constructor(private readonly clock: Clock) {}

  /**
   * Takes in a ticket that came in.
   *
   * @throws notOwner where a later owner has already asked for the tickets
   */
  add(ticket: Ticket, team: string, askedMs: number): void {
    if (ticket.term < this.termOf(ticket.shard)) {
      raise('notOwner', `term ${ticket.term} of ${ticket.shard} is over`);
    }
    const untilMs = askedMs + ticket.runByMs;
    this.open.set(ticket.ticketId, {ticket, team, untilMs});
  }

  /**
   * Takes a ticket out. One whose executor may still be at work stays until
   * its time has run out, so that a new owner learns of it.
   */
  close(close: TicketClose): void {
    if (close.use === 'unknown' || close.use === 'abandoned') return;
    this.open.delete(close.ticketId);
  }

  /** Keeps a close until the shard has an owner. */
  keepUnsent(close: TicketClose): void {
    this.unsent = [...this.unsent, close].slice(-MAX_UNSENT_CLOSES);
  }

  /** Takes the closes of a shard that were kept. */
  takeUnsent(shard: string): readonly TicketClose[] {
    const taken = this.unsent.filter(close => close.shard === shard);
    if (taken.length === 0) return taken;
    this.unsent = this.unsent.filter(close => close.shard !== shard);
    return taken;
  }

  /**
   * Lists the open tickets of a shard and refuses those of older terms from
   * now on.
   *
   * @throws staleTerm
   */
  list(ask: OpenTicketsAsk): readonly OpenTicket[] {
    if (ask.term < this.termOf(ask.shard)) raise('staleTerm', ask.shard);
    this.terms.set(ask.shard, ask.term);
    return [...this.openOf(ask.shard)];
  }

  /** How many tickets are open. */
  size(): number {
    this.dropExpired();
    return this.open.size;
  }

  /** Drops tickets whose time has run out. */
  dropExpired(): void {
    const nowMs = this.clock.monotonicMs();
    for (const [id, {untilMs}] of this.open) {
      if (untilMs <= nowMs) this.open.delete(id);
    }
  }

  private *openOf(shard: string): Generator<OpenTicket> {
    this.dropExpired();
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
