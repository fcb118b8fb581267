/** Ownership of one shard: the owner's lease, from claim to handover. */
import {
  isSameProcess,
  newId,
  toFailure,
  type ProcessRef,
} from '@dragonflyward/common';
import type {ApplyResult, LogRecord} from '@dragonflyward/log';
import {Claimant} from './claimant.js';
import {OwnerTasks} from './owner-tasks.js';
import {
  CLOCK_DRIFT_MARGIN,
  POLL_INTERVAL_MS,
  type PromiseRequest,
  type OwnershipOptions,
} from './ownership-types.js';
import {RECORD_VERSION, shardStream, type HandoverRecord} from './records.js';

const HANDOVER_TIMEOUT_MS = 5_000;

/**
 * The term in which this process owns the shard, and when it may start to act.
 */
interface OwnedTerm {
  readonly term: number;
  readonly fromMs: number;
}

/** Takes part in electing the owner of one shard, and owns it when elected. */
export class ShardOwnership {
  protected readonly claimant: Claimant;
  protected readonly ownerTasks: OwnerTasks;
  private ownedTerm: OwnedTerm = {term: 0, fromMs: Infinity};
  private handedOverTerm = 0;
  private isStopped = false;
  private wasReportedActive = false;
  private readonly unsubscribe: () => void;

  constructor(protected readonly options: OwnershipOptions) {
    this.claimant = this.makeClaimant();
    this.ownerTasks = this.makeOwnerTasks();
    this.unsubscribe = options.tail.listen((record, result) => {
      this.updateOwnedTerm(record, result);
    });
  }

  /** The shard's current term, as of the newest record read. */
  get term(): number {
    return this.options.state.term;
  }

  /**
   * Whether the log names this process as the owner. It may still have to wait
   * for the lease of the former owner to expire before it may act.
   */
  get isOwner(): boolean {
    const {state, self} = this.options;
    if (!state.isComplete || state.owner === null) return false;
    return isSameProcess(state.owner, self);
  }

  /**
   * Claims the shard when possible, keeps its ownership and reports changes
   * until `stop` is called.
   */
  async run(): Promise<void> {
    const shouldRun = (): boolean => !this.isStopped;
    await Promise.all([
      this.claimant.run(shouldRun),
      this.runOwnerTasks(shouldRun),
      this.reportChanges(shouldRun),
    ]);
  }

  /** Ends `run` and gives up the lease. */
  stop(): void {
    this.isStopped = true;
    this.unsubscribe();
  }

  /**
   * Whether this process holds the lease of the shard now. Check this right
   * before each send, since the lease expires on its own.
   *
   * @example
   * if (!ownership.mayAct()) raise('notOwner', shard);
   */
  mayAct(): boolean {
    if (this.isStopped || !this.isOwner) return false;
    if (this.ownedTerm.term !== this.term) return false;
    if (this.handedOverTerm === this.term) return false;
    const nowMs = this.options.clock.monotonicMs();
    return nowMs >= this.ownedTerm.fromMs && nowMs < this.leaseEndMs();
  }

  /**
   * Answers the owner's request not to claim the shard for a while.
   *
   * @example
   * const isGiven = ownership.answerPromise(request, from);
   * return {type: 'promise', isGiven};
   */
  answerPromise(request: PromiseRequest, from: ProcessRef): boolean {
    return this.claimant.answerPromise(request, from);
  }

  /**
   * Stops acting for the shard and hands it over to a process that is ready.
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
    const mayBeAppended = await this.appendHandover(data);
    if (mayBeAppended) return this.awaitNextTerm(term);
    this.handedOverTerm = 0;
    return false;
  }

  protected makeClaimant(): Claimant {
    return new Claimant(this.options);
  }

  protected makeOwnerTasks(): OwnerTasks {
    return new OwnerTasks(this.options);
  }

  /**
   * When the lease expires unless it is renewed by a read of the log or by a
   * complete round of promises.
   */
  protected leaseEndMs(): number {
    const {tail, timing} = this.options;
    const promiseRoundMs = this.ownerTasks.lastPromiseRoundMs(this.term);
    const renewedMs = Math.max(tail.lastCaughtUpMs, promiseRoundMs);
    return renewedMs + timing.ownerLeaseMs;
  }

  /** How long a new owner waits until the former owner's lease has expired. */
  protected claimWaitMs(): number {
    return this.options.timing.ownerLeaseMs * (1 + CLOCK_DRIFT_MARGIN);
  }

  private updateOwnedTerm(record: LogRecord, result: ApplyResult): void {
    if (result !== 'applied' || !this.isOwner) return;
    if (this.ownedTerm.term === this.term) return;
    const waitMs = this.isFormerLeaseOver(record) ? 0 : this.claimWaitMs();
    const fromMs = this.options.clock.monotonicMs() + waitMs;
    this.ownedTerm = {term: this.term, fromMs};
  }

  /**
   * Whether no former owner can still hold a lease: it stopped acting before
   * the handover, or the shard had no owner before.
   */
  private isFormerLeaseOver(record: LogRecord): boolean {
    const {type} = record.data as {readonly type: string};
    return type === 'handover' || this.term === 1;
  }

  private async runOwnerTasks(shouldRun: () => boolean): Promise<void> {
    const isOwner = (): boolean => shouldRun() && this.isOwner;
    while (shouldRun()) {
      await Promise.all([
        this.ownerTasks.collectPromises(isOwner),
        this.ownerTasks.maintainSuccessors(isOwner),
      ]);
      await this.options.clock.sleep(POLL_INTERVAL_MS);
    }
  }

  private async reportChanges(shouldRun: () => boolean): Promise<void> {
    const {clock} = this.options;
    while (shouldRun()) {
      this.reportChange();
      await clock.sleep(POLL_INTERVAL_MS);
    }
  }

  private reportChange(): void {
    const isActive = this.mayAct();
    if (isActive === this.wasReportedActive) return;
    this.wasReportedActive = isActive;
    const {events, shard} = this.options;
    const kind = isActive ? 'ownerActive' : 'ownerStopped';
    events.add(kind, {shard, term: this.term});
  }

  /** Returns whether the record was, or may have been, appended. */
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
    const deadlineMs = clock.monotonicMs() + HANDOVER_TIMEOUT_MS;
    while (this.term === term) {
      if (clock.monotonicMs() >= deadlineMs) return false;
      await clock.sleep(POLL_INTERVAL_MS);
    }
    return true;
  }
}
