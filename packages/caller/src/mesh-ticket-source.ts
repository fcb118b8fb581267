/** Requests tickets from shard owners over the peer connections. */
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
import {RequestClaimClient} from './request-claim-client.js';
import type {OwnerDirectory} from './owner-directory.js';
import {rejectOnAbort} from './request-lifetime.js';
import type {TicketRegistry} from './ticket-registry.js';
import {
  TicketSource,
  type ClaimRequest,
  type TicketGrant,
  type ReleaseRequest,
  type TicketRequest,
} from './ticket-source.js';
import type {ServingShard, VmView} from './vm-view.js';

/** Extra time beyond the deadline to wait for the owner's reply. */
const REPLY_MARGIN_MS = 500;
/** Another region is tried only while at least this much time is left. */
const MIN_CROSS_REGION_MS = 200;
/** Errors after which the next shard is tried. */
const FALLBACK_KINDS: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'noTarget',
  'queueFull',
  'notOwner',
  'peerDown',
  'peerLost',
]);

/** The dependencies of a `MeshTicketSource`. */
export interface MeshTicketSourceParts {
  readonly clock: Clock;
  readonly mesh: PeerMesh;
  readonly owners: OwnerDirectory;
  readonly registry: TicketRegistry;
  readonly vms: VmView;
}

/** Gets tickets from, and claims request ids at, the connected schedulers. */
export class MeshTicketSource extends TicketSource {
  private readonly claimClient: RequestClaimClient;

  constructor(private readonly parts: MeshTicketSourceParts) {
    super();
    const {clock, vms} = parts;
    this.claimClient = new RequestClaimClient(this, clock, () => vms.domains());
  }

  /**
   * Tries the shards of the service, the nearest first.
   *
   * @throws the error of the nearest shard
   */
  override async acquire(
    request: TicketRequest,
    signal: AbortSignal,
  ): Promise<TicketGrant> {
    const {clock, vms} = this.parts;
    const endMs = clock.monotonicMs() + request.deadlineMs;
    let firstError: unknown;
    for (const shard of vms.shardsForService(request.service)) {
      const deadlineMs = Math.floor(endMs - clock.monotonicMs());
      if (deadlineMs <= 0) break;
      if (shard.isCrossRegion && deadlineMs < MIN_CROSS_REGION_MS) break;
      try {
        return await this.acquireFrom(shard, {...request, deadlineMs}, signal);
      } catch (err) {
        if (signal.aborted) throw err;
        if (!FALLBACK_KINDS.has(toFailure(err).kind)) throw err;
        firstError ??= err;
      }
    }
    if (firstError instanceof Error) throw toNotRunError(firstError);
    return raise('noTarget', request.service);
  }

  override close(use: Omit<TicketClose, 'type'>): void {
    const close: TicketClose = {type: 'ticketClose', ...use};
    this.parts.registry.close(close);
    if (!this.notify(close.shard, close)) this.parts.registry.queueClose(close);
  }

  override claim(request: ClaimRequest, signal: AbortSignal): Promise<void> {
    return this.claimClient.claim(request, signal);
  }

  override release(request: ReleaseRequest): void {
    this.claimClient.release(request);
  }

  /** Lists the claims of this gateway that the shard is a replica for. */
  listClaims(shard: string): readonly PassedClaim[] {
    return this.claimClient.listClaims(shard);
  }

  /** Sends the closes that were queued while the shard had no owner. */
  sendPendingCloses(shard: string): void {
    for (const close of this.parts.registry.takePendingCloses(shard)) {
      if (!this.notify(shard, close)) this.parts.registry.queueClose(close);
    }
  }

  /** Sends the releases that the owner of the shard may not have read. */
  sendPendingReleases(shard: string): void {
    this.claimClient.sendPendingReleases(shard);
  }

  /**
   * Sends a request to the owner of a shard.
   *
   * @throws notOwner if no owner is connected, or the owner's error
   */
  async request(
    shard: string,
    request: PeerAsk,
    timeoutMs: number,
  ): Promise<PeerReply> {
    const connection = this.connectionTo(shard);
    if (connection === undefined) return raise('notOwner', shard);
    return connection.ask(request, timeoutMs);
  }

  /** Notifies the owner of a shard; returns whether one is connected. */
  notify(shard: string, notice: PeerNotice): boolean {
    const connection = this.connectionTo(shard);
    connection?.notify(notice);
    return connection !== undefined;
  }

  /** The open connection to the owner of a shard. */
  connectionTo(shard: string): PeerConnection | undefined {
    const owner = this.parts.owners.ownerOf(shard);
    if (owner === undefined) return undefined;
    return this.parts.mesh.connectionTo(owner.vm);
  }

  private async acquireFrom(
    {shard, isCrossRegion}: ServingShard,
    request: TicketRequest,
    signal: AbortSignal,
  ): Promise<TicketGrant> {
    const requestedMs = this.parts.clock.monotonicMs();
    const message = {type: 'ticketAsk', shard, ...request} as const;
    const timeoutMs = request.deadlineMs + REPLY_MARGIN_MS;
    const ticket = this.request(shard, message, timeoutMs).then(reply =>
      this.register(reply, request.team, requestedMs),
    );
    try {
      return {
        ticket: await rejectOnAbort(ticket, signal),
        requestedMs,
        isCrossRegion,
      };
    } catch (err) {
      if (signal.aborted) void ticket.then(t => this.returnUnused(t), ignore);
      throw err;
    }
  }

  private register(
    reply: PeerReply,
    team: string,
    requestedMs: number,
  ): Ticket {
    if (reply.type !== 'ticket') return raise('peerLost', reply.type);
    this.parts.registry.add(reply, team, requestedMs);
    return reply;
  }

  private returnUnused({ticketId, shard, executorId}: Ticket): void {
    const use = 'notSent';
    this.close({ticketId, shard, executorId, use, isDraining: false});
  }
}

/**
 * Without a ticket nothing was sent to an executor, so a lost reply does not
 * make the outcome unknown.
 */
function toNotRunError(err: Error): Error {
  const {kind, detail} = toFailure(err);
  if (kind !== 'peerLost') return err;
  return new DragonflywardError('peerDown', detail);
}

function ignore(): void {
  return;
}
