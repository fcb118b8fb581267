/** A process's side of a shard that it does not own: promises and claims. */
import {isSameProcess, newId, toFailure} from '@dragonflyward/common';
import type {ProcessRef} from '@dragonflyward/common';
import {StallWatch} from './stall-detector.js';
import {chooseSuccessors} from './successors.js';
import {
  CLOCK_RATE_MARGIN,
  TAIL_MAX_AGE_MS,
  TICK_MS,
  type OwnershipAsk,
  type OwnershipOptions,
} from './ownership-types.js';
import {RECORD_VERSION, shardStream, type ClaimRecord} from './records.js';

/** How much longer each further claimant waits than the one before it. */
export const CLAIM_STAGGER_MS = 500;
/** A live VM is in the list of VMs within this time of its start. */
export const VM_LIST_LAG_MS = 10_000;
const CLAIM_RETRY_MS = 1_000;

/** Why a process may claim a shard. */
export type ClaimGround =
  | 'neverOwned'
  | 'ownRestart'
  | 'ownerSilent'
  | 'ownerStalled'
  | 'ownerGone'
  | 'successorsGone';

interface GivenPromise {
  readonly term: number;
  readonly untilMs: number;
}

/** The citations of a claim whose fate may be unknown. */
interface SentClaim {
  readonly term: number;
  readonly listVersion: number;
}

/** Gives promises to the owner, and claims when it has grounds to. */
export class Claimant {
  private promise: GivenPromise = {term: 0, untilMs: -Infinity};
  private sentClaims: readonly SentClaim[] = [];
  private readonly startMs: number;
  /** VMs that the list of VMs has shown. */
  private readonly seenVms = new Set<string>();
  private readonly stall: StallWatch;
  /** The owner that was read last, and when it was first read. */
  private ownerTerm = 0;
  private ownerSinceMs: number;

  constructor(private readonly options: OwnershipOptions) {
    this.startMs = options.clock.monotonicMs();
    this.ownerSinceMs = this.startMs;
    this.stall = new StallWatch(options);
  }

  /** Claims whenever there are grounds, for as long as it is wanted. */
  async run(isWanted: () => boolean): Promise<void> {
    const {clock} = this.options;
    while (isWanted()) {
      this.noteSeen();
      this.stall.update();
      const ground = this.ground();
      if (ground !== undefined) await this.claim(ground);
      await clock.sleep(ground === undefined ? TICK_MS : CLAIM_RETRY_MS);
    }
  }

  /** Promises not to claim, unless it may have done so already. */
  answerPromise(ask: OwnershipAsk, from: ProcessRef): boolean {
    const {fold, self, clock} = this.options;
    if (!fold.isComplete || fold.owner === null) return false;
    if (!isSameProcess(fold.owner, from)) return false;
    if (ask.term !== fold.term) return false;
    if (ask.listVersion !== fold.listVersion) return false;
    if (!fold.successors.some(p => isSameProcess(p, self))) return false;
    if (this.mayHaveClaimed()) return false;
    this.stall.noteAsk();
    if (this.stall.isStalled()) return false;
    const untilMs = clock.monotonicMs() + ask.forMs * (1 + CLOCK_RATE_MARGIN);
    this.promise = {term: ask.term, untilMs};
    return true;
  }

  /** Why this process may claim now, if it may. */
  ground(): ClaimGround | undefined {
    const {fold, self, tail, clock} = this.options;
    const nowMs = clock.monotonicMs();
    if (!fold.isComplete) return undefined;
    if (!tail.isUp) return undefined;
    if (nowMs - tail.lastProofMs > TAIL_MAX_AGE_MS) return undefined;
    if (fold.owner === null) return this.groundWhereNeverOwned(nowMs);
    if (fold.owner.vm === self.vm) return this.groundOfRestart(fold.owner);
    if (this.isBoundByPromise(nowMs)) return undefined;
    return this.groundAgainst(fold.owner);
  }

  /** Whether a promise of this process to the owner still runs. */
  protected isBoundByPromise(nowMs: number): boolean {
    const {term, untilMs} = this.promise;
    return term === this.options.fold.term && nowMs < untilMs;
  }

  /** Whether a claim of this process may yet take effect. */
  protected mayHaveClaimed(): boolean {
    const {fold} = this.options;
    this.sentClaims = this.sentClaims.filter(
      ({term, listVersion}) =>
        term === fold.term && listVersion === fold.listVersion,
    );
    return this.sentClaims.length > 0;
  }

  private groundWhereNeverOwned(nowMs: number): ClaimGround | undefined {
    const delayMs = this.options.rank * CLAIM_STAGGER_MS;
    return nowMs - this.startMs >= delayMs ? 'neverOwned' : undefined;
  }

  private groundOfRestart(owner: ProcessRef): ClaimGround | undefined {
    const {self} = this.options;
    return owner.incarnation < self.incarnation ? 'ownRestart' : undefined;
  }

  private groundAgainst(owner: ProcessRef): ClaimGround | undefined {
    const {fold, self, rank, timing} = this.options;
    const place = fold.successors.findIndex(p => p.vm === self.vm);
    const isSuccessor = place >= 0;
    const turn = isSuccessor ? place : fold.successors.length + rank;
    const boundMs = timing.ownerSilenceMs + turn * CLAIM_STAGGER_MS;
    if (isSuccessor && this.stall.isStalled()) return 'ownerStalled';
    if (this.silentMs(owner) < boundMs) return undefined;
    if (isSuccessor) return 'ownerSilent';
    if (this.isGone(owner)) return 'ownerGone';
    if (fold.successors.length === 0) return undefined;
    const areGone = fold.successors.every(p => this.isGone(p));
    return areGone ? 'successorsGone' : undefined;
  }

  /** Nobody is silent for longer than this process has listened for it. */
  private silentMs(owner: ProcessRef): number {
    const {peers, clock} = this.options;
    const listenedMs = clock.monotonicMs() - this.ownerSinceMs;
    return Math.min(peers.silentMs(owner), listenedMs);
  }

  /** Whether the list of VMs has dropped the VM, or never had it. */
  private isGone(process: ProcessRef): boolean {
    const {peers, clock} = this.options;
    if (peers.isListed(process)) return false;
    if (this.seenVms.has(process.vm)) return true;
    return clock.monotonicMs() - this.startMs >= VM_LIST_LAG_MS;
  }

  private noteSeen(): void {
    const {clock, fold, peers} = this.options;
    if (fold.term !== this.ownerTerm) this.ownerSinceMs = clock.monotonicMs();
    this.ownerTerm = fold.term;
    const named = fold.owner === null ? [] : [fold.owner];
    for (const process of [...named, ...fold.successors]) {
      if (peers.isListed(process)) this.seenVms.add(process.vm);
    }
  }

  private async claim(ground: ClaimGround): Promise<void> {
    const {fold, self, log, peers, shard, events} = this.options;
    const {term, listVersion} = fold;
    const record: ClaimRecord = {
      v: RECORD_VERSION,
      type: 'claim',
      prevTerm: term,
      prevListVersion: listVersion,
      owner: self,
      successors: chooseSuccessors([], peers),
    };
    const sent = {term, listVersion};
    this.sentClaims = [...this.sentClaims, sent];
    events.add('ownerClaimed', {shard, term: term + 1}, ground);
    try {
      const stream = shardStream(shard);
      await log.append(stream, [{id: newId('claim'), data: record}]);
    } catch (err) {
      if (toFailure(err).kind !== 'logDown') return;
      this.sentClaims = this.sentClaims.filter(claim => claim !== sent);
    }
  }
}
