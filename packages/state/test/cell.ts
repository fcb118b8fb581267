/** Several processes around one log in memory, on a clock set by the test. */
import {
  EventRing,
  HybridClock,
  isSameProcess,
  ManualClock,
  raise,
  type ProcessRef,
} from '@dragonflyward/common';
import {MemoryLog, MemoryLogClient, StreamTail} from '@dragonflyward/log';
import {
  OwnershipPeers,
  ShardOwnership,
  shardStream,
  ShardState,
  type OwnershipAsk,
  type OwnershipOptions,
} from '@dragonflyward/state';

export const SHARD = 'north-1';
export const LEASE_MS = 2_500;
export const SILENCE_MS = 1_500;
const READ_WAIT_MS = 200;
const PEER_DELAY_MS = 30;

/** One process of the cell. */
export interface Member {
  readonly ref: ProcessRef;
  readonly client: MemoryLogClient;
  readonly tail: StreamTail;
  readonly fold: ShardState;
  readonly ownership: ShardOwnership;
  isCutFromPeers: boolean;
  isDead: boolean;
}

/** Makes the ownership under test; tests switch mechanisms off here. */
export type OwnershipMaker = (options: OwnershipOptions) => ShardOwnership;

class CellPeers extends OwnershipPeers {
  constructor(
    private readonly cell: Cell,
    private readonly self: ProcessRef,
  ) {
    super();
  }

  override candidates(): readonly ProcessRef[] {
    const others = this.cell.members.filter(m => !this.isSelf(m.ref));
    return others.filter(m => !m.isDead).map(m => m.ref);
  }

  override silentMs(process: ProcessRef): number {
    const heardMs = this.cell.heardMs(process, this.self);
    return this.cell.clock.monotonicMs() - heardMs;
  }

  override isListed(process: ProcessRef): boolean {
    return !this.cell.droppedVms.has(process.vm);
  }

  override async askPromise(
    process: ProcessRef,
    ask: OwnershipAsk,
  ): Promise<boolean> {
    await this.cell.clock.sleep(PEER_DELAY_MS);
    const peer = this.cell.find(process);
    const self = this.cell.find(this.self);
    if (!isReachable(peer) || !isReachable(self)) {
      return raise('peerDown', process.vm);
    }
    const isGiven = peer.ownership.answerPromise(ask, this.self);
    await this.cell.clock.sleep(PEER_DELAY_MS);
    return isGiven;
  }

  private isSelf(ref: ProcessRef): boolean {
    return isSameProcess(ref, this.self);
  }
}

function isReachable(member: Member | undefined): member is Member {
  return member !== undefined && !member.isDead && !member.isCutFromPeers;
}

/** All processes that may own one shard. */
export class Cell {
  readonly clock = new ManualClock(1_000);
  readonly log = new MemoryLog(this.clock);
  readonly droppedVms = new Set<string>();
  members: readonly Member[] = [];
  /** Moments at which more than one process might act. */
  violations = 0;
  private readonly lastHeardMs = new Map<string, number>();

  constructor(
    private readonly makeOwnership: OwnershipMaker = o => new ShardOwnership(o),
  ) {}

  /** Starts a process; a higher incarnation is a restart on the same VM. */
  start(vm: string, incarnation = 1): Member {
    const ref = {vm, incarnation};
    const client = new MemoryLogClient(this.log);
    const fold = new ShardState();
    const tail = this.makeTail(client, fold);
    const ownership = this.makeOwnership({
      shard: SHARD,
      self: ref,
      clock: this.clock,
      tail,
      fold,
      log: client,
      peers: new CellPeers(this, ref),
      timing: {ownerLeaseMs: LEASE_MS, ownerSilenceMs: SILENCE_MS},
      events: new EventRing(vm, new HybridClock(this.clock)),
      rank: this.members.length,
    });
    const state = {isCutFromPeers: false, isDead: false};
    const member = {ref, client, tail, fold, ownership, ...state};
    this.members = [...this.members, member];
    tail.start();
    void ownership.run();
    return member;
  }

  /** Ends a process at once. */
  kill(member: Member): void {
    member.isDead = true;
    member.client.isCut = true;
    member.ownership.stop();
    member.tail.stop();
  }

  /** Moves the time on in small steps and checks who may act. */
  async run(durationMs: number): Promise<void> {
    const stepMs = 25;
    for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
      this.beat();
      await this.clock.advance(stepMs);
      if (this.acting().length > 1) this.violations += 1;
    }
  }

  /** The processes that may act now. */
  acting(): readonly Member[] {
    return this.members.filter(m => m.ownership.mayAct());
  }

  /** The process of this reference. */
  find(ref: ProcessRef): Member | undefined {
    return this.members.find(m => isSameProcess(m.ref, ref));
  }

  /** When one process last heard another. */
  heardMs(from: ProcessRef, by: ProcessRef): number {
    return this.lastHeardMs.get(keyOf(from, by)) ?? 0;
  }

  /** Stops all tasks. */
  end(): void {
    for (const member of this.members) this.kill(member);
  }

  private beat(): void {
    const reachable = this.members.filter(isReachable);
    for (const from of reachable) {
      for (const by of reachable) {
        const key = keyOf(from.ref, by.ref);
        this.lastHeardMs.set(key, this.clock.monotonicMs());
      }
    }
  }

  private makeTail(client: MemoryLogClient, fold: ShardState): StreamTail {
    const stream = shardStream(SHARD);
    const {clock} = this;
    return new StreamTail({client, stream, fold, clock, waitMs: READ_WAIT_MS});
  }
}

function keyOf(from: ProcessRef, by: ProcessRef): string {
  return `${from.vm}#${from.incarnation}>${by.vm}#${by.incarnation}`;
}
