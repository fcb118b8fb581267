/** Handles messages from gateways and from other schedulers. */
import {raise, type HybridClock, type ProcessRef} from '@dragonflyward/common';
import {
  PeerHandler,
  type DemandReport,
  type Heartbeat,
  type Hello,
  type OwnedShard,
  type PeerAsk,
  type PeerConnection,
  type PeerInfo,
  type PeerNotice,
  type PeerReply,
} from '@dragonflyward/peer';
import type {ConfigFeed} from './config-feed.js';
import type {Membership} from './membership.js';
import type {ShardOwner} from './shard-owner.js';
import type {ShardReplica} from './shard-replica.js';

/** Dependencies of the handler. */
export interface SchedulerPeerHandlerParts {
  readonly self: ProcessRef;
  readonly hybridClock: HybridClock;
  readonly membership: Membership;
  readonly config: () => ConfigFeed;
  readonly shards: ReadonlyMap<string, ShardReplica>;
  readonly isDraining: () => boolean;
  /** Records the demand of another shard; used to plan the allowances. */
  readonly recordDemand: (report: DemandReport) => void;
}

/** Routes each message to the shard that it names. */
export class SchedulerPeerHandler extends PeerHandler {
  constructor(private readonly parts: SchedulerPeerHandlerParts) {
    super();
  }

  override hello(): Hello {
    return {type: 'hello', role: 'scheduler', process: this.parts.self};
  }

  override heartbeat(): Heartbeat {
    return {
      type: 'heartbeat',
      at: this.parts.hybridClock.tick(),
      owns: [...this.ownedShards()],
      configOffset: this.parts.config().state.nextOffset,
      configAgeMs: this.parts.config().readAgeMs(),
      isDraining: this.parts.isDraining(),
    };
  }

  override async handleAsk(from: PeerInfo, ask: PeerAsk): Promise<PeerReply> {
    switch (ask.type) {
      case 'ticketAsk': {
        const {issuer, owner} = this.requireActive(ask.shard);
        return issuer.ask(from.process, ask, owner.term());
      }
      case 'requestClaim': {
        const {issuer, owner} = this.requireActive(ask.shard);
        return issuer.claim(ask, owner.term());
      }
      case 'requestClaims':
        await this.parts.shards.get(ask.shard)?.importClaims(ask);
        return {type: 'done'};
      case 'jobSubmit':
        await this.requireActive(ask.shard).owner.jobs.submit(ask);
        return {type: 'jobAccepted', jobId: ask.jobId, shard: ask.shard};
      case 'jobAsk': {
        const {owner} = this.requireActive(ask.shard);
        return {type: 'job', status: owner.jobs.status(ask.jobId)};
      }
      case 'jobListAsk': {
        const {owner} = this.requireActive(ask.shard);
        return {type: 'jobs', jobs: owner.jobs.list(ask)};
      }
      case 'jobCancel':
        await this.requireActive(ask.shard).owner.jobs.cancel(ask.jobId);
        return {type: 'done'};
      case 'promiseAsk': {
        const found = this.parts.shards.get(ask.shard);
        const isGiven =
          found?.ownership.answerPromise(ask, from.process) ?? false;
        return {type: 'promise', isGiven};
      }
      case 'configTailAsk':
        return this.parts.config().tailFrom(ask.from);
      default:
        return raise('badRequest', ask.type);
    }
  }

  override handleNotice(from: PeerInfo, notice: PeerNotice): void {
    if (notice.type === 'heartbeat') {
      this.parts.hybridClock.observe(notice.at);
      return this.parts.membership.recordHeartbeat(from, notice);
    }
    if (notice.type === 'demandReport') {
      return this.parts.recordDemand(notice);
    }
    const issuer = this.parts.shards.get(notice.shard)?.issuer;
    if (notice.type === 'requestRelease') return issuer?.release(notice);
    issuer?.close(from.process, notice);
  }

  override onPeerUp(connection: PeerConnection): void {
    this.parts.membership.addConnection(connection);
  }

  override onPeerDown(connection: PeerConnection): void {
    this.parts.membership.removeConnection(connection);
  }

  private *ownedShards(): Generator<OwnedShard> {
    for (const [shard, replica] of this.parts.shards) {
      if (replica.isActive) yield {shard, term: replica.ownership.term};
    }
  }

  private requireActive(shard: string): ActiveShard {
    const found = this.parts.shards.get(shard);
    const {owner, issuer} = found ?? {};
    if (!found?.isActive || !owner || !issuer) return raise('notOwner', shard);
    return {owner, issuer};
  }
}

interface ActiveShard {
  readonly owner: ShardOwner;
  readonly issuer: NonNullable<ShardReplica['issuer']>;
}
