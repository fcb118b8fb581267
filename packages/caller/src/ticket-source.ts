/** The interface through which the gateway gets its tickets. */
import type {
  RequestClaim,
  RequestRelease,
  Ticket,
  TicketAsk,
  TicketClose,
} from '@dragonflyward/peer';

/** A request for a ticket; the source chooses the shard. */
export type TicketRequest = Omit<TicketAsk, 'type' | 'shard'>;

/** A ticket, and when it was requested by the gateway's monotonic clock. */
export interface TicketGrant {
  readonly ticket: Ticket;
  readonly requestedMs: number;
  /** Whether the executor is in another region than the gateway. */
  readonly isCrossRegion: boolean;
}

/** A claim of a request id, without the shard that records it. */
export type ClaimRequest = Omit<RequestClaim, 'type' | 'shard'>;

/** The release of a claim. */
export type ReleaseRequest = Omit<RequestRelease, 'type' | 'shard'>;

/** Acquires and closes tickets, claims and releases request ids. */
export abstract class TicketSource {
  /**
   * Acquires a ticket, preferably for an executor of the own region.
   *
   * @throws noTarget, queueFull, teamLimit, deadlineUnmet, notOwner, peerDown
   */
  abstract acquire(
    request: TicketRequest,
    signal: AbortSignal,
  ): Promise<TicketGrant>;

  /** Closes a ticket and reports how it was used. */
  abstract close(close: Omit<TicketClose, 'type'>): void;

  /**
   * Claims a request id at its replicas, the shards that record its claims.
   *
   * @throws duplicateId, or the signal's reason if a replica did not answer
   */
  abstract claim(request: ClaimRequest, signal: AbortSignal): Promise<void>;

  /** Releases the claim of a request that certainly did not run. */
  abstract release(request: ReleaseRequest): void;
}
