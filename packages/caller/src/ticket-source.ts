/** Where the gateway gets its tickets from. */
import type {
  RequestClaim,
  RequestRelease,
  Ticket,
  TicketAsk,
  TicketClose,
} from '@dragonflyward/peer';

/** What a ticket is wanted for; the source chooses the shard. */
export type TicketWish = Omit<TicketAsk, 'type' | 'shard'>;

/** A ticket with the time of its ask by the gateway's monotonic clock. */
export interface HeldTicket {
  readonly ticket: Ticket;
  readonly askedMs: number;
  /** Whether the executor is in another region than the gateway. */
  readonly isCrossRegion: boolean;
}

/** A claim of a request id at its home. */
export type ClaimWish = Omit<RequestClaim, 'type' | 'shard'>;

/** Gives a claim back. */
export type ReleaseWish = Omit<RequestRelease, 'type' | 'shard'>;

/** Gets and gives back tickets, and claims request ids. */
export abstract class TicketSource {
  /**
   * Gets a ticket, in the own region first.
   *
   * @throws noTarget, queueFull, teamLimit, deadlineUnmet, notOwner, peerDown
   */
  abstract take(wish: TicketWish, signal: AbortSignal): Promise<HeldTicket>;

  /** Gives a ticket back. */
  abstract close(close: Omit<TicketClose, 'type'>): void;

  /**
   * Claims a request id at its homes.
   *
   * @throws duplicateId, or the signal's reason where a home gave no answer
   */
  abstract claim(wish: ClaimWish, signal: AbortSignal): Promise<void>;

  /** Gives a claim back: the request surely did not run. */
  abstract release(wish: ReleaseWish): void;
}
