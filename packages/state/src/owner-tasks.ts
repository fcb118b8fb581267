/**
 * Tasks of the owner of a shard: collecting promises and maintaining the list
 * of successors.
 */
import {
  isSameProcess,
  newId,
  toFailure,
  type ProcessRef,
} from '@dragonflyward/common';
import {
  TAIL_MAX_AGE_MS,
  POLL_INTERVAL_MS,
  type PromiseRequest,
  type OwnershipOptions,
} from './ownership-types.js';
import {RECORD_VERSION, shardStream, type SuccessorsRecord} from './records.js';
import {chooseSuccessors, isSameList} from './successors.js';

const SUCCESSOR_LIST_RETRY_MS = 1_000;
/**
 * Promises are requested once the newest read of the log is older than this
 * fraction of the lease.
 */
const PROMISE_REQUEST_LEASE_FRACTION = 0.5;

interface PromiseRound {
  readonly term: number;
  /** Monotonic time at which the requests were sent. */
  readonly sentMs: number;
}

/** A successor list that was sent and may still take effect. */
interface SentSuccessorList {
  readonly term: number;
  readonly listVersion: number;
  readonly successors: readonly ProcessRef[];
}

/** Collects promises and keeps the list of successors up to date. */
export class OwnerTasks {
  private lastRound: PromiseRound = {term: 0, sentMs: -Infinity};
  private sentLists: readonly SentSuccessorList[] = [];
  /**
   * Whether a successor refused a promise. It may have a claim pending, which a
   * new list makes void.
   */
  private wasPromiseRefused = false;

  constructor(private readonly options: OwnershipOptions) {}

  /** When the newest complete round of promises in this term was requested. */
  lastPromiseRoundMs(term: number): number {
    return this.lastRound.term === term ? this.lastRound.sentMs : -Infinity;
  }

  /**
   * Requests promises while the log cannot be read, as long as this process is
   * the owner.
   */
  async collectPromises(isOwner: () => boolean): Promise<void> {
    const {clock} = this.options;
    while (isOwner()) {
      if (this.arePromisesNeeded()) await this.requestPromises();
      await clock.sleep(POLL_INTERVAL_MS);
    }
  }

  /** Writes a new successor list when a successor died or joined. */
  async maintainSuccessors(isOwner: () => boolean): Promise<void> {
    const {clock} = this.options;
    while (isOwner()) {
      const successors = this.dueSuccessorList();
      if (successors !== undefined) await this.writeSuccessorList(successors);
      await clock.sleep(
        successors === undefined ? POLL_INTERVAL_MS : SUCCESSOR_LIST_RETRY_MS,
      );
    }
  }

  /**
   * All processes that may be in the newest successor list of the log,
   * including lists that were sent but not read back yet.
   */
  protected possibleSuccessors(): readonly ProcessRef[] {
    const {state} = this.options;
    this.sentLists = this.sentLists.filter(
      ({term, listVersion}) =>
        term === state.term && listVersion === state.listVersion,
    );
    const sent = this.sentLists.flatMap(({successors}) => successors);
    return [...state.successors, ...sent].filter(isFirstOccurrence);
  }

  private arePromisesNeeded(): boolean {
    const {clock, tail, timing, state} = this.options;
    if (!state.isComplete) return false;
    const ageMs = clock.monotonicMs() - tail.lastCaughtUpMs;
    return ageMs > timing.ownerLeaseMs * PROMISE_REQUEST_LEASE_FRACTION;
  }

  private async requestPromises(): Promise<void> {
    const {clock, state, shard, timing} = this.options;
    const {term, listVersion} = state;
    const forMs = timing.ownerLeaseMs;
    const sentMs = clock.monotonicMs();
    const request = {shard, term, listVersion, forMs};
    const processes = this.possibleSuccessors();
    const answers = await Promise.all(
      processes.map(p => this.tryRequestPromise(p, request)),
    );
    if (answers.includes(false)) return;
    this.lastRound = {term, sentMs};
  }

  private async tryRequestPromise(
    process: ProcessRef,
    request: PromiseRequest,
  ): Promise<boolean> {
    try {
      const isGiven = await this.options.peers.requestPromise(process, request);
      this.wasPromiseRefused ||= !isGiven;
      return isGiven;
    } catch {
      return false;
    }
  }

  private dueSuccessorList(): readonly ProcessRef[] | undefined {
    const {clock, state, peers, tail} = this.options;
    const ageMs = clock.monotonicMs() - tail.lastCaughtUpMs;
    if (!state.isComplete || !tail.isUp) return undefined;
    if (ageMs > TAIL_MAX_AGE_MS) return undefined;
    const successors = chooseSuccessors(state.successors, peers);
    const isSame = isSameList(state.successors, successors);
    return isSame && !this.wasPromiseRefused ? undefined : successors;
  }

  private async writeSuccessorList(
    successors: readonly ProcessRef[],
  ): Promise<void> {
    const {events, state, log, shard} = this.options;
    const {term, listVersion} = state;
    const record: SuccessorsRecord = {
      v: RECORD_VERSION,
      type: 'successors',
      term,
      prevListVersion: listVersion,
      successors,
    };
    const sent = {term, listVersion, successors};
    this.sentLists = [...this.sentLists, sent];
    this.wasPromiseRefused = false;
    try {
      const stream = shardStream(shard);
      await log.append(stream, [{id: newId('successors'), data: record}]);
      const vmNames = successors.map(({vm}) => vm).join(' ');
      events.add('successorsChanged', {shard, term}, vmNames);
    } catch (err) {
      if (toFailure(err).kind !== 'logDown') return;
      this.sentLists = this.sentLists.filter(list => list !== sent);
    }
  }
}

function isFirstOccurrence(
  process: ProcessRef,
  index: number,
  list: readonly ProcessRef[],
): boolean {
  return list.findIndex(p => isSameProcess(p, process)) === index;
}
