/**
 * Simulates several processes that share one log in memory and a manual clock.
 */
import {
  Clock,
  EventRing,
  HybridClock,
  isSameProcess,
  ManualClock,
  raise,
  type ProcessRef,
} from '@dragonflyward/common';
import {
  LogClient,
  MemoryLog,
  MemoryLogClient,
  StreamTail,
  StreamWriter,
  type AppendReply,
  type LogPage,
  type NewRecord,
  type ReadOptions,
} from '@dragonflyward/log';
import {
  OwnershipPeers,
  RECORD_VERSION,
  ShardOwnership,
  shardStream,
  ShardState,
  type JobAcceptedRecord,
  type PromiseRequest,
  type OwnershipOptions,
} from '@dragonflyward/state';
import {jobSpec} from './records.js';

export const SHARD = 'north-1';
export const STREAM = shardStream(SHARD);
export const LEASE_MS = 2_500;
export const SILENCE_MS = 1_500;
const READ_WAIT_MS = 200;
const PEER_DELAY_MS = 30;
const CLOCK_STEP_MS = 25;
const HEARTBEAT_MS = 500;
const CANDIDATE_SILENCE_TIMEOUT_MS = 2_500;
const PAUSE_CHECK_MS = 25;
/** Rates of the monotonic clocks; those of two VMs differ by at most 4 %. */
const CLOCK_RATES = [1, 0.98, 1.02];

/** The clock of one process; its tasks do not run while it is paused. */
class MemberClock extends Clock {
  isPaused = false;

  constructor(
    private readonly base: ManualClock,
    private readonly rate: number,
  ) {
    super();
  }

  override monotonicMs(): number {
    return this.base.monotonicMs() * this.rate;
  }

  override wallMs(): number {
    return this.base.wallMs();
  }

  override async sleep(delayMs: number): Promise<void> {
    await this.base.sleep(delayMs / this.rate);
    await this.waitWhilePaused();
  }

  async waitWhilePaused(): Promise<void> {
    while (this.isPaused) await this.base.sleep(PAUSE_CHECK_MS);
  }
}

/** A log client whose replies reach a paused process only after it resumes. */
class MemberLogClient extends LogClient {
  constructor(
    private readonly inner: MemoryLogClient,
    private readonly clock: MemberClock,
  ) {
    super();
  }

  override append(
    stream: string,
    records: readonly NewRecord[],
  ): Promise<AppendReply> {
    return this.inner.append(stream, records).finally(this.waitWhilePaused);
  }

  override read(
    stream: string,
    from: number,
    options: ReadOptions,
  ): Promise<LogPage> {
    return this.inner.read(stream, from, options).finally(this.waitWhilePaused);
  }

  override streams(): ReturnType<LogClient['streams']> {
    return this.inner.streams();
  }

  private readonly waitWhilePaused = (): Promise<void> =>
    this.clock.waitWhilePaused();
}

/** One process of the cell. */
export interface Member {
  readonly ref: ProcessRef;
  readonly clock: MemberClock;
  readonly client: MemoryLogClient;
  readonly log: LogClient;
  readonly state: ShardState;
  readonly ownership: ShardOwnership;
  readonly tail: StreamTail;
  readonly writer: StreamWriter;
  isCutFromPeers: boolean;
  isDead: boolean;
}

/** Replacements with which tests disable a mechanism. */
export interface CellOptions {
  readonly makeOwnership?: (options: OwnershipOptions) => ShardOwnership;
  readonly makeState?: () => ShardState;
  /**
   * Jobs count as accepted once the append was answered, without reading the
   * record back.
   */
  readonly skipsReadBack?: boolean;
}

class CellPeers extends OwnershipPeers {
  constructor(
    private readonly cell: Cell,
    private readonly self: ProcessRef,
  ) {
    super();
  }

  override candidates(): readonly ProcessRef[] {
    const others = this.cell.members.filter(
      m => !isSameProcess(m.ref, this.self),
    );
    return others
      .map(m => m.ref)
      .filter(ref => this.silentMs(ref) < CANDIDATE_SILENCE_TIMEOUT_MS);
  }

  override silentMs(process: ProcessRef): number {
    const heardMs = this.cell.lastHeardMs(process, this.self);
    return this.cell.clock.monotonicMs() - heardMs;
  }

  override isActing(process: ProcessRef, term: number): boolean {
    return this.cell.lastActingTerm(process, this.self) === term;
  }

  override isListed(process: ProcessRef): boolean {
    return !this.cell.droppedVms.has(process.vm);
  }

  override async requestPromise(
    process: ProcessRef,
    request: PromiseRequest,
  ): Promise<boolean> {
    const self = this.cell.find(this.self);
    await self?.clock.sleep(PEER_DELAY_MS);
    const peer = this.cell.find(process);
    if (!isReachable(peer) || !isReachable(self)) {
      return raise('peerDown', process.vm);
    }
    const isGiven = peer.ownership.answerPromise(request, this.self);
    await self.clock.sleep(PEER_DELAY_MS);
    return isGiven;
  }
}

function isReachable(member: Member | undefined): member is Member {
  if (member === undefined || member.isDead) return false;
  return !member.isCutFromPeers && !member.clock.isPaused;
}

/** The processes that may own one shard. */
export class Cell {
  readonly clock = new ManualClock(1_000);
  readonly log = new MemoryLog(this.clock);
  readonly droppedVms = new Set<string>();
  members: readonly Member[] = [];
  /** Number of steps after which more than one process might act. */
  violations = 0;
  /** Jobs whose writer was told that they are in the log. */
  readonly accepted = new Set<string>();
  private readonly heartbeatMs = new Map<string, number>();
  private readonly actingTerms = new Map<string, number | undefined>();
  private nextJob = 1;

  constructor(private readonly options: CellOptions = {}) {}

  /** Starts a process; a higher incarnation is a restart on the same VM. */
  start(vm: string, incarnation = 1): Member {
    const ref = {vm, incarnation};
    const rank = this.members.length;
    const rate = CLOCK_RATES[rank % CLOCK_RATES.length] ?? 1;
    const clock = new MemberClock(this.clock, rate);
    const client = new MemoryLogClient(this.log);
    const state = this.options.makeState?.() ?? new ShardState();
    const log = new MemberLogClient(client, clock);
    const base = {client: log, stream: STREAM, clock};
    const tail = new StreamTail({...base, state, waitMs: READ_WAIT_MS});
    const writer = new StreamWriter({...base, tail});
    const options = {
      shard: SHARD,
      self: ref,
      clock,
      tail,
      state,
      log,
      peers: new CellPeers(this, ref),
      timing: {ownerLeaseMs: LEASE_MS, ownerSilenceMs: SILENCE_MS},
      events: new EventRing(vm, new HybridClock(clock)),
      rank,
    };
    const {makeOwnership} = this.options;
    const ownership = makeOwnership?.(options) ?? new ShardOwnership(options);
    const flags = {isCutFromPeers: false, isDead: false};
    const parts = {ref, clock, client, log, state, ownership, tail, writer};
    const member = {...parts, ...flags};
    this.members = [...this.members, member];
    tail.start();
    void ownership.run();
    return member;
  }

  /** Kills a process immediately. */
  kill(member: Member): void {
    member.isDead = true;
    member.client.isOffline = true;
    member.ownership.stop();
    member.tail.stop();
  }

  /** Advances the time in small steps and checks who may act after each. */
  async run(durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += CLOCK_STEP_MS) {
      if (this.clock.monotonicMs() % HEARTBEAT_MS === 0) this.sendHeartbeats();
      await this.clock.advance(CLOCK_STEP_MS);
      if (this.acting().length > 1) this.violations += 1;
    }
  }

  /** Makes each process that may act accept a job. */
  acceptJobs(): void {
    for (const member of this.acting()) {
      if (!member.clock.isPaused) void this.acceptJob(member);
    }
  }

  /** Returns the processes that may act now. */
  acting(): readonly Member[] {
    return this.members.filter(m => m.ownership.mayAct());
  }

  /** Returns the process of this reference. */
  find(ref: ProcessRef): Member | undefined {
    return this.members.find(m => isSameProcess(m.ref, ref));
  }

  /** Returns when a process last received another's heartbeat. */
  lastHeardMs(from: ProcessRef, to: ProcessRef): number {
    return this.heartbeatMs.get(`${keyOf(from)}>${keyOf(to)}`) ?? -Infinity;
  }

  /** Returns the term in which a process acted at its last heartbeat. */
  lastActingTerm(from: ProcessRef, to: ProcessRef): number | undefined {
    return this.actingTerms.get(`${keyOf(from)}>${keyOf(to)}`);
  }

  /** Stops all tasks. */
  end(): void {
    for (const member of this.members) this.kill(member);
  }

  private async acceptJob(member: Member): Promise<void> {
    const {ownership, ref} = member;
    const jobId = `${SHARD}:${this.nextJob}`;
    this.nextJob += 1;
    const record: JobAcceptedRecord = {
      v: RECORD_VERSION,
      type: 'jobAccepted',
      term: ownership.term,
      acceptedMs: 0,
      job: {...jobSpec(jobId), payload: {writer: ref}},
    };
    const isAccepted = await this.write(member, record).catch(() => false);
    if (isAccepted) this.accepted.add(jobId);
  }

  private async write(
    {tail, writer, log}: Member,
    data: JobAcceptedRecord,
  ): Promise<boolean> {
    if (!this.options.skipsReadBack) {
      return (await writer.write(data)) === 'applied';
    }
    await log.append(tail.stream, [{id: data.job.jobId, data}]);
    return true;
  }

  private sendHeartbeats(): void {
    const reachable = this.members.filter(isReachable);
    for (const from of reachable) {
      const {ownership} = from;
      const actingTerm = ownership.mayAct() ? ownership.term : undefined;
      for (const to of reachable) {
        const key = `${keyOf(from.ref)}>${keyOf(to.ref)}`;
        this.heartbeatMs.set(key, this.clock.monotonicMs());
        this.actingTerms.set(key, actingTerm);
      }
    }
  }
}

function keyOf({vm, incarnation}: ProcessRef): string {
  return `${vm}#${incarnation}`;
}
