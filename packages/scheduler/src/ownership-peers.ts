/** The connection of shard ownership to the other schedulers. */
import {raise, type ProcessRef} from '@dragonflyward/common';
import type {PeerMesh} from '@dragonflyward/peer';
import {OwnershipPeers, type PromiseRequest} from '@dragonflyward/state';
import type {Membership} from './membership.js';

const PROMISE_TIMEOUT_MS = 800;
const MAX_CANDIDATE_SILENCE_MS = 2_500;

/** Implements the peers of shard ownership on the peer mesh. */
export class MeshOwnershipPeers extends OwnershipPeers {
  constructor(
    private readonly shard: string,
    private readonly membership: Membership,
    private readonly mesh: PeerMesh,
  ) {
    super();
  }

  override candidates(): readonly ProcessRef[] {
    return this.membership.otherFollowers(this.shard, MAX_CANDIDATE_SILENCE_MS);
  }

  override silentMs(process: ProcessRef): number {
    return this.membership.silentMs(process);
  }

  override isActing(process: ProcessRef, term: number): boolean {
    return this.membership.isOwner(process, {shard: this.shard, term});
  }

  override isListed(process: ProcessRef): boolean {
    return this.membership.isListed(process);
  }

  override async requestPromise(
    process: ProcessRef,
    ask: PromiseRequest,
  ): Promise<boolean> {
    const connection = this.mesh.connectionTo(process.vm);
    const info = connection?.info;
    const isSame = info?.process.incarnation === process.incarnation;
    if (connection === undefined || !isSame) {
      return raise('peerDown', process.vm);
    }
    const reply = await connection.ask(
      {type: 'promiseAsk', ...ask},
      PROMISE_TIMEOUT_MS,
    );
    return reply.type === 'promise' && reply.isGiven;
  }
}
