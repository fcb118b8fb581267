/** Promises to the owner of a shard, and claims to replace it. */
import {isSameProcess, newId, toFailure} from '@dragonflyward/common';
import type {ProcessRef} from '@dragonflyward/common';
import {StallDetector} from './stall-detector.js';
import {chooseSuccessors} from './successors.js';
import {
  CLOCK_DRIFT_MARGIN,
  TAIL_MAX_AGE_MS,
  POLL_INTERVAL_MS,
  type PromiseRequest,
  type OwnershipOptions,
} from './ownership-types.js';
import {RECORD_VERSION, shardStream, type ClaimRecord} from './records.js';

/** Delay between successive claimants, so that they do not claim at once. */
export const CLAIM_STAGGER_MS = 500;
/** A running VM appears in the list of VMs within this time of its start. */
export const VM_LIST_LAG_MS = 10_000;
/** How long an owner may run without acting, after the wait of a claimant. */
export const OWNER_IDLE_TIMEOUT_MS = 5_000;
const CLAIM_RETRY_MS = 1_000;

/** Why a process may claim a shard. */
export type ClaimReason =
  | 'neverOwned'
  | 'ownRestart'
  | 'ownerSilent'
  | 'ownerStalled'
  | 'ownerIdle'
  | 'ownerGone'
  | 'successorsGone';

interface GivenPromise {
  readonly term: number;
  readonly untilMs: number;
}

/** Preconditions of a sent claim whose outcome may be unknown. */
interface SentClaim {
  readonly term: number;
  readonly listVersion: number;
}

/**
 * Gives promises to the owner, and claims the shard when it has a reason to.
 */
export class Claimant {
  private promise: GivenPromise = {term: 0, untilMs: -Infinity};
  private sentClaims: readonly SentClaim[] = [];
  private readonly startMs: number;
  /** VMs that were in the list of VMs at some time. */
  private readonly seenVms = new Set<string>();
  private readonly stallDetector: StallDetector;
  /** Term of the owner read last, and when that owner was first read. */
  private knownTerm = 0;
  private ownerSinceMs: number;
  /** When the owner was last known to act, or was first read. */
  private ownerActedMs: number;

  constructor(private readonly options: OwnershipOptions) {
    this.startMs = options.clock.monotonicMs();
    this.ownerSinceMs = this.startMs;
    this.ownerActedMs = this.startMs;
    this.stallDetector = new StallDetector(options);
  }

  /** Claims the shard whenever there is a reason, until told to stop. */
  async run(shouldRun: () => boolean): Promise<void> {
    const {clock} = this.options;
    while (shouldRun()) {
      this.updateObservations();
      this.stallDetector.updateLogStatus();
      const reason = this.claimReason();
      if (reason !== undefined) await this.claim(reason);
      await clock.sleep(
        reason === undefined ? POLL_INTERVAL_MS : CLAIM_RETRY_MS,
      );
    }
  }

  /** Promises not to claim, unless a claim of this process may be pending. */
  answerPromise(request: PromiseRequest, from: ProcessRef): boolean {
    const {state, self, clock} = this.options;
    if (!state.isComplete || state.owner === null) return false;
    if (!isSameProcess(state.owner, from)) return false;
    if (request.term !== state.term) return false;
    if (request.listVersion !== state.listVersion) return false;
    if (!state.successors.some(p => isSameProcess(p, self))) return false;
    if (this.isClaimPending()) return false;
    this.stallDetector.recordPromiseRequest();
    if (this.stallDetector.isStalled()) return false;
    const untilMs =
      clock.monotonicMs() + request.forMs * (1 + CLOCK_DRIFT_MARGIN);
    this.promise = {term: request.term, untilMs};
    return true;
  }

  /** The reason for which this process may claim now, if there is one. */
  claimReason(): ClaimReason | undefined {
    const {state, self, tail, clock} = this.options;
    const nowMs = clock.monotonicMs();
    if (!state.isComplete) return undefined;
    if (!tail.isUp) return undefined;
    if (nowMs - tail.lastCaughtUpMs > TAIL_MAX_AGE_MS) return undefined;
    if (state.owner === null) return this.reasonWithoutOwner(nowMs);
    if (state.owner.vm === self.vm) return this.reasonAfterRestart(state.owner);
    if (this.isBoundByPromise(nowMs)) return undefined;
    return this.reasonToReplace(state.owner);
  }

  /** Whether a promise of this process to the owner is still in force. */
  protected isBoundByPromise(nowMs: number): boolean {
    const {term, untilMs} = this.promise;
    return term === this.options.state.term && nowMs < untilMs;
  }

  /** Whether a claim that this process sent may still take effect. */
  protected isClaimPending(): boolean {
    const {state} = this.options;
    this.sentClaims = this.sentClaims.filter(
      ({term, listVersion}) =>
        term === state.term && listVersion === state.listVersion,
    );
    return this.sentClaims.length > 0;
  }

  private reasonWithoutOwner(nowMs: number): ClaimReason | undefined {
    const delayMs = this.options.rank * CLAIM_STAGGER_MS;
    return nowMs - this.startMs >= delayMs ? 'neverOwned' : undefined;
  }

  private reasonAfterRestart(owner: ProcessRef): ClaimReason | undefined {
    const {self} = this.options;
    return owner.incarnation < self.incarnation ? 'ownRestart' : undefined;
  }

  private reasonToReplace(owner: ProcessRef): ClaimReason | undefined {
    const {state, self, rank, timing} = this.options;
    const position = state.successors.findIndex(p => p.vm === self.vm);
    const isSuccessor = position >= 0;
    const claimOrder = isSuccessor ? position : state.successors.length + rank;
    const silenceTimeoutMs =
      timing.ownerSilenceMs + claimOrder * CLAIM_STAGGER_MS;
    if (isSuccessor && this.stallDetector.isStalled()) return 'ownerStalled';
    if (isSuccessor && this.isOwnerIdle(claimOrder)) return 'ownerIdle';
    if (this.observedSilenceMs(owner) < silenceTimeoutMs) return undefined;
    if (isSuccessor) return 'ownerSilent';
    if (this.isVmGone(owner)) return 'ownerGone';
    if (state.successors.length === 0) return undefined;
    const areAllGone = state.successors.every(p => this.isVmGone(p));
    return areAllGone ? 'successorsGone' : undefined;
  }

  /**
   * How long the owner was silent. Counts at most from when this process first
   * read of this owner, as it did not listen for it before.
   */
  private observedSilenceMs(owner: ProcessRef): number {
    const {peers, clock} = this.options;
    const listenedMs = clock.monotonicMs() - this.ownerSinceMs;
    return Math.min(peers.silentMs(owner), listenedMs);
  }

  /**
   * Whether the owner is heard but does not act, as one that cannot read that
   * the shard was handed over to it. One that only waits for the log holds off
   * claims by its requests for promises.
   */
  private isOwnerIdle(claimOrder: number): boolean {
    const {clock, timing} = this.options;
    const idleMs = clock.monotonicMs() - this.ownerActedMs;
    const claimWaitMs = timing.ownerLeaseMs * (1 + CLOCK_DRIFT_MARGIN);
    const timeoutMs = claimWaitMs + OWNER_IDLE_TIMEOUT_MS;
    return idleMs >= timeoutMs + claimOrder * CLAIM_STAGGER_MS;
  }

  /** Whether the VM left the list of VMs, or never appeared in it. */
  private isVmGone(process: ProcessRef): boolean {
    const {peers, clock} = this.options;
    if (peers.isListed(process)) return false;
    if (this.seenVms.has(process.vm)) return true;
    return clock.monotonicMs() - this.startMs >= VM_LIST_LAG_MS;
  }

  private updateObservations(): void {
    const {clock, state, peers} = this.options;
    const {owner, term} = state;
    const nowMs = clock.monotonicMs();
    const isNewTerm = term !== this.knownTerm;
    const isActing = owner !== null && peers.isActing(owner, term);
    if (isNewTerm) this.ownerSinceMs = nowMs;
    if (isNewTerm || isActing) this.ownerActedMs = nowMs;
    this.knownTerm = term;
    const owners = owner === null ? [] : [owner];
    for (const process of [...owners, ...state.successors]) {
      if (peers.isListed(process)) this.seenVms.add(process.vm);
    }
  }

  private async claim(reason: ClaimReason): Promise<void> {
    const {state, self, log, peers, shard, events} = this.options;
    const {term, listVersion} = state;
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
    events.add('ownerClaimed', {shard, term: term + 1}, reason);
    try {
      const stream = shardStream(shard);
      await log.append(stream, [{id: newId('claim'), data: record}]);
    } catch (err) {
      if (toFailure(err).kind !== 'logDown') return;
      this.sentClaims = this.sentClaims.filter(claim => claim !== sent);
    }
  }
}
