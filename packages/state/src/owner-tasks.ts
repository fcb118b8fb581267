/** What the owner of a shard does to keep it: promises and successors. */
import {
  isSameProcess,
  newId,
  toFailure,
  type ProcessRef,
} from '@dragonflyward/common';
import {
  TAIL_MAX_AGE_MS,
  TICK_MS,
  type OwnershipAsk,
  type OwnershipOptions,
} from './ownership-types.js';
import {RECORD_VERSION, shardStream, type SuccessorsRecord} from './records.js';
import {chooseSuccessors, isSameList} from './successors.js';

const LIST_RETRY_MS = 1_000;
/** Promises are asked for once the newest log read is this old. */
const ASK_AT_LEASE_PART = 0.5;

interface PromiseProof {
  readonly term: number;
  /** Monotonic time of sending the asks. */
  readonly sentMs: number;
}

/** A list that may yet come into force. */
interface SentList {
  readonly term: number;
  readonly listVersion: number;
  readonly successors: readonly ProcessRef[];
}

/** Collects promises and keeps the list of successors up to date. */
export class OwnerDuties {
  private proof: PromiseProof = {term: 0, sentMs: -Infinity};
  private sentLists: readonly SentList[] = [];
  /** A successor may have a claim under way that a new list makes void. */
  private wasRefused = false;

  constructor(private readonly options: OwnershipOptions) {}

  /** When the newest complete set of promises was asked for. */
  promisedMs(term: number): number {
    return this.proof.term === term ? this.proof.sentMs : -Infinity;
  }

  /** Asks for promises while the log is not read, while it is wanted. */
  async collectPromises(isOwner: () => boolean): Promise<void> {
    const {clock} = this.options;
    while (isOwner()) {
      if (this.arePromisesNeeded()) await this.askAll();
      await clock.sleep(TICK_MS);
    }
  }

  /** Writes a new list when a successor died or appeared. */
  async keepSuccessors(isOwner: () => boolean): Promise<void> {
    const {clock} = this.options;
    while (isOwner()) {
      const wanted = this.wantedList();
      if (wanted !== undefined) await this.writeList(wanted);
      await clock.sleep(wanted === undefined ? TICK_MS : LIST_RETRY_MS);
    }
  }

  /** All who may be a successor in the log's newest list. */
  protected possibleSuccessors(): readonly ProcessRef[] {
    const {fold} = this.options;
    this.sentLists = this.sentLists.filter(
      ({term, listVersion}) =>
        term === fold.term && listVersion === fold.listVersion,
    );
    const sent = this.sentLists.flatMap(({successors}) => successors);
    return [...fold.successors, ...sent].filter(isFirst);
  }

  private arePromisesNeeded(): boolean {
    const {clock, tail, timing, fold} = this.options;
    if (!fold.isComplete) return false;
    const ageMs = clock.monotonicMs() - tail.lastProofMs;
    return ageMs > timing.ownerLeaseMs * ASK_AT_LEASE_PART;
  }

  private async askAll(): Promise<void> {
    const {clock, fold, shard, timing} = this.options;
    const {term, listVersion} = fold;
    const forMs = timing.ownerLeaseMs;
    const sentMs = clock.monotonicMs();
    const ask = {shard, term, listVersion, forMs};
    const asked = this.possibleSuccessors();
    const given = await Promise.all(asked.map(p => this.askOne(p, ask)));
    if (given.includes(false)) return;
    this.proof = {term, sentMs};
  }

  private async askOne(
    process: ProcessRef,
    ask: OwnershipAsk,
  ): Promise<boolean> {
    try {
      const isGiven = await this.options.peers.askPromise(process, ask);
      this.wasRefused ||= !isGiven;
      return isGiven;
    } catch {
      return false;
    }
  }

  private wantedList(): readonly ProcessRef[] | undefined {
    const {clock, fold, peers, tail} = this.options;
    const ageMs = clock.monotonicMs() - tail.lastProofMs;
    if (!fold.isComplete || !tail.isUp) return undefined;
    if (ageMs > TAIL_MAX_AGE_MS) return undefined;
    const wanted = chooseSuccessors(fold.successors, peers);
    const isSame = isSameList(fold.successors, wanted);
    return isSame && !this.wasRefused ? undefined : wanted;
  }

  private async writeList(successors: readonly ProcessRef[]): Promise<void> {
    const {events, fold, log, shard} = this.options;
    const {term, listVersion} = fold;
    const record: SuccessorsRecord = {
      v: RECORD_VERSION,
      type: 'successors',
      term,
      prevListVersion: listVersion,
      successors,
    };
    const sent = {term, listVersion, successors};
    this.sentLists = [...this.sentLists, sent];
    this.wasRefused = false;
    try {
      const stream = shardStream(shard);
      await log.append(stream, [{id: newId('successors'), data: record}]);
      const names = successors.map(({vm}) => vm).join(' ');
      events.add('successorsChanged', {shard, term}, names);
    } catch (err) {
      if (toFailure(err).kind !== 'logDown') return;
      this.sentLists = this.sentLists.filter(list => list !== sent);
    }
  }
}

function isFirst(
  process: ProcessRef,
  index: number,
  list: readonly ProcessRef[],
): boolean {
  return list.findIndex(p => isSameProcess(p, process)) === index;
}
