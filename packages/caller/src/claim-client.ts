/** Claims request ids at the owners of two shards. */
import {
  DragonflywardError,
  raise,
  rankByHash,
  toFailure,
  type Clock,
} from '@dragonflyward/common';
import type {
  PassedClaim,
  PeerAsk,
  PeerNotice,
  PeerReply,
} from '@dragonflyward/peer';
import {orAborted} from './request-lifetime.js';
import type {ClaimWish, ReleaseWish} from './ticket-source.js';

/** With two homes, the loss of one owner's memory is no loss. */
const HOMES = 2;
const CLAIM_TIMEOUT_MS = 1_000;
const CLAIM_RETRY_MS = 200;
/** How long the claims made here are kept for new owners. */
const KEPT_MS = 120_000;
const MAX_KEPT = 50_000;

/** Reaches the owners of shards. */
export interface OwnerLink {
  ask(shard: string, ask: PeerAsk, timeoutMs: number): Promise<PeerReply>;
  notify(shard: string, notice: PeerNotice): boolean;
}

interface MadeClaim {
  readonly claimId: string;
  readonly atMs: number;
}

/** What the homes said of one claim. */
type HomeWord = 'vouched' | 'recorded' | 'used' | 'silent';

/** The homes of request ids. */
export class ClaimHomes {
  private readonly made = new Map<string, MadeClaim>();

  constructor(
    private readonly link: OwnerLink,
    private readonly clock: Clock,
    private readonly domains: () => readonly string[],
  ) {}

  /**
   * Claims an id: both homes must record it and one must vouch that it is
   * new. Waits for a home without an owner or memory until the signal.
   *
   * @throws duplicateId, or the signal's reason
   * @example
   * await homes.claim({key, claimId, issuedMs: 0}, lifetime.signal);
   */
  async claim(wish: ClaimWish, signal: AbortSignal): Promise<void> {
    this.remember(wish);
    for (;;) {
      const words = await orAborted(this.askAll(wish), signal);
      if (words.includes('used')) return this.refuse(wish);
      if (words.includes('vouched') && !words.includes('silent')) return;
      await orAborted(this.clock.sleep(CLAIM_RETRY_MS), signal);
    }
  }

  /** Lists the claims made here that have the shard as a home. */
  madeAt(shard: string): readonly PassedClaim[] {
    const nowMs = this.clock.monotonicMs();
    return [...this.made]
      .filter(([key]) => this.homesOf(key).includes(shard))
      .map(([key, {claimId, atMs}]) => ({key, claimId, ageMs: nowMs - atMs}));
  }

  /** Gives a claim back. */
  release(wish: ReleaseWish): void {
    if (this.made.get(wish.key)?.claimId === wish.claimId) {
      this.made.delete(wish.key);
    }
    for (const shard of this.homesOf(wish.key)) {
      this.link.notify(shard, {type: 'requestRelease', shard, ...wish});
    }
  }

  private refuse({key, claimId}: ClaimWish): never {
    this.release({key, claimId});
    return raise('duplicateId', 'the id was used');
  }

  private remember({key, claimId}: ClaimWish): void {
    const atMs = this.clock.monotonicMs();
    for (const [old, made] of this.made) {
      const isKept = made.atMs > atMs - KEPT_MS && this.made.size < MAX_KEPT;
      if (isKept) break;
      this.made.delete(old);
    }
    if (!this.made.has(key)) this.made.set(key, {claimId, atMs});
  }

  private askAll(wish: ClaimWish): Promise<readonly HomeWord[]> {
    const homes = this.homesOf(wish.key);
    return Promise.all(homes.map(shard => this.askOne(shard, wish)));
  }

  private async askOne(shard: string, wish: ClaimWish): Promise<HomeWord> {
    const ask = {type: 'requestClaim', shard, ...wish} as const;
    try {
      const reply = await this.link.ask(shard, ask, CLAIM_TIMEOUT_MS);
      if (reply.type !== 'requestClaimed') return 'silent';
      return reply.isVouched ? 'vouched' : 'recorded';
    } catch (err) {
      return isUsed(err) ? 'used' : 'silent';
    }
  }

  private homesOf(key: string): readonly string[] {
    return rankByHash(key, this.domains(), name => name).slice(0, HOMES);
  }
}

function isUsed(err: unknown): boolean {
  return (
    err instanceof DragonflywardError && toFailure(err).kind === 'duplicateId'
  );
}
