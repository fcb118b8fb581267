/** The right to act for one shard, from claim to hand-over. */
import {
  isSameProcess,
  newId,
  toFailure,
  type ProcessRef,
} from '@dragonflyward/common';
import type {ApplyResult, LogRecord} from '@dragonflyward/log';
import {Claimant} from './claimant.js';
import {OwnerDuties} from './owner-tasks.js';
import {
  CLOCK_RATE_MARGIN,
  TICK_MS,
  type OwnershipAsk,
  type OwnershipOptions,
} from './ownership-types.js';
import {RECORD_VERSION, shardStream, type HandoverRecord} from './records.js';

const HANDOVER_BOUND_MS = 5_000;

/** The term in which this process owns the shard, and from when. */
interface Tenure {
  readonly term: number;
  readonly fromMs: number;
}

/** Takes part in the ownership of one shard for as long as it runs. */
export class ShardOwnership {
  protected readonly claimant: Claimant;
  protected readonly duties: OwnerDuties;
  private tenure: Tenure = {term: 0, fromMs: Infinity};
  private handedOverTerm = 0;
  private isStopped = false;
  private wasActive = false;
  private readonly stopListening: () => void;

  constructor(protected readonly options: OwnershipOptions) {
    this.claimant = this.makeClaimant();
    this.duties = this.makeDuties();
    this.stopListening = options.tail.listen((record, result) => {
      this.noteRecord(record, result);
    });
  }

  /** The shard's current term as far as it was read. */
  get term(): number {
    return this.options.fold.term;
  }

  /** Whether this process is the owner in the log; it may yet not act. */
  get isOwner(): boolean {
    const {fold, self} = this.options;
    if (!fold.isComplete || fold.owner === null) return false;
    return isSameProcess(fold.owner, self);
  }

  /** Claims, keeps and reports the shard until it is stopped. */
  async run(): Promise<void> {
    const isWanted = (): boolean => !this.isStopped;
    await Promise.all([
      this.claimant.run(isWanted),
      this.runDuties(isWanted),
      this.report(isWanted),
    ]);
  }

  /** Ends `run` and gives up the right to act. */
  stop(): void {
    this.isStopped = true;
    this.stopListening();
  }

  /**
   * Whether this process may act for the shard now. Checked right before
   * each send, since the right runs out by itself.
   *
   * @example
   * if (!ownership.mayAct()) raise('notOwner', shard);
   */
  mayAct(): boolean {
    if (this.isStopped || !this.isOwner) return false;
    if (this.tenure.term !== this.term) return false;
    if (this.handedOverTerm === this.term) return false;
    const nowMs = this.options.clock.monotonicMs();
    return nowMs >= this.tenure.fromMs && nowMs < this.rightEndMs();
  }

  /**
   * Answers the owner's ask not to claim the shard for a while.
   *
   * @example
   * return {type: 'promise', isGiven: ownership.answerPromise(ask, from)};
   */
  answerPromise(ask: OwnershipAsk, from: ProcessRef): boolean {
    return this.claimant.answerPromise(ask, from);
  }

  /**
   * Stops acting and gives the shard to a prepared process.
   *
   * @returns whether the log shows the new owner
   * @example
   * const isDone = await ownership.handOver(successor, others);
   */
  async handOver(
    to: ProcessRef,
    successors: readonly ProcessRef[],
  ): Promise<boolean> {
    if (!this.mayAct()) return false;
    const {term} = this;
    this.handedOverTerm = term;
    const data: HandoverRecord = {
      v: RECORD_VERSION,
      type: 'handover',
      term,
      owner: to,
      successors,
    };
    const isSent = await this.appendHandover(data);
    if (isSent) return this.awaitNextTerm(term);
    this.handedOverTerm = 0;
    return false;
  }

  protected makeClaimant(): Claimant {
    return new Claimant(this.options);
  }

  protected makeDuties(): OwnerDuties {
    return new OwnerDuties(this.options);
  }

  /** When the right to act runs out, unless it is proven anew. */
  protected rightEndMs(): number {
    const {tail, timing} = this.options;
    const promisedMs = this.duties.promisedMs(this.term);
    const proofMs = Math.max(tail.lastProofMs, promisedMs);
    return proofMs + timing.ownerLeaseMs;
  }

  /** How long a claimant waits until the former owner's right ran out. */
  protected claimWaitMs(): number {
    return this.options.timing.ownerLeaseMs * (1 + CLOCK_RATE_MARGIN);
  }

  private noteRecord(record: LogRecord, result: ApplyResult): void {
    if (result !== 'applied' || !this.isOwner) return;
    if (this.tenure.term === this.term) return;
    const waitMs = this.isUncontested(record) ? 0 : this.claimWaitMs();
    const fromMs = this.options.clock.monotonicMs() + waitMs;
    this.tenure = {term: this.term, fromMs};
  }

  /** Whether nobody else can have the right to act from before. */
  private isUncontested(record: LogRecord): boolean {
    const {type} = record.data as {readonly type: string};
    return type === 'handover' || this.term === 1;
  }

  private async runDuties(isWanted: () => boolean): Promise<void> {
    const isOwner = (): boolean => isWanted() && this.isOwner;
    while (isWanted()) {
      await Promise.all([
        this.duties.collectPromises(isOwner),
        this.duties.keepSuccessors(isOwner),
      ]);
      await this.options.clock.sleep(TICK_MS);
    }
  }

  private async report(isWanted: () => boolean): Promise<void> {
    const {clock} = this.options;
    while (isWanted()) {
      this.reportChange();
      await clock.sleep(TICK_MS);
    }
  }

  private reportChange(): void {
    const isActive = this.mayAct();
    if (isActive === this.wasActive) return;
    this.wasActive = isActive;
    const {events, shard} = this.options;
    const kind = isActive ? 'ownerActive' : 'ownerStopped';
    events.add(kind, {shard, term: this.term});
  }

  /** Whether the record was, or may have been, appended. */
  private async appendHandover(data: HandoverRecord): Promise<boolean> {
    const {log, shard, events} = this.options;
    const stream = shardStream(shard);
    try {
      await log.append(stream, [{id: newId('handover'), data}]);
      events.add('ownerHandedOver', {shard, term: data.term}, data.owner.vm);
      return true;
    } catch (err) {
      return toFailure(err).kind !== 'logDown';
    }
  }

  private async awaitNextTerm(term: number): Promise<boolean> {
    const {clock} = this.options;
    const untilMs = clock.monotonicMs() + HANDOVER_BOUND_MS;
    while (this.term === term) {
      if (clock.monotonicMs() >= untilMs) return false;
      await clock.sleep(TICK_MS);
    }
    return true;
  }
}
