/** Owners, executors and a store on one clock that the test advances. */
import {Clock, ManualClock, Metrics} from '@dragonflyward/common';
import {
  ClosedDomains,
  acceptOwnership,
  allocatedAmounts,
  claimCell,
  encodeJob,
  isFinal,
  jobKey,
  jobsTopicFor,
  cancelKey,
  Owner,
  OWNER_HEARTBEAT_MS,
  Platform,
  readOwner,
  RelayedStore,
  StoreError,
  ToldRecord,
  type AdviceChannel,
  type CellConfig,
  type DomainClosure,
  type ExecutorClient,
  type ExecutorInfo,
  type JobRow,
  type OwnerAddress,
  type Ownership,
  type OwnerDeps,
  type StoredRecord,
  type Queue,
  type Repetition,
  type StepSpec,
} from '@dragonflyward/cell';
import {decode, encode} from 'cbor-x';
import {
  FakeExecutor,
  FakeExecutorClient,
  type Behaviour,
} from './fake-executor.js';
import {MemoryStore, StoreClient} from './memory-store.js';
import {InvariantChecker} from './invariants.js';

export const EXECUTORS_TOPIC = 'keyed.executors';
export const OPERATOR_TOPIC = 'keyed.config';
const SERVICE = 'svc';
const START_MS = 1_000_000;
/** Time after which no task of a cancelled job may be started, in ms. */
const CANCEL_TIMEOUT_MS = 3000;

/** Time in which a node sees a restart and starts a task, in ms. */
const RESTART_SEEN_MS = 400;

/** A queue without advice. */
export const QUEUE: Queue = {
  name: 'q',
  host: 'h',
  pathPrefix: '/q/',
  service: SERVICE,
  priority: 1,
  maxAttempts: 3,
  stretch: 2,
  objectiveMs: 500,
  isPublic: false,
  advice: null,
};

/** A step with one plain task. */
export const STEP: StepSpec = {
  count: 1,
  size: {cpuMilli: 1000, memMb: 100, accel: 0, slots: 0},
  estimatedMs: 500,
  after: [],
  savesProgress: false,
  isGang: false,
  isRackSensitive: false,
  requiredLabel: '',
  rack: '',
  maxPerExecutor: 0,
  mayDuplicate: false,
  isService: false,
  image: '',
  targetMs: 0,
  isFiller: false,
  missAllowed: 0,
};

/** Of a job that has no time. */
export const ONCE: Repetition = {times: 1, firstMs: 0, intervalMs: 0};

export const CONFIG: CellConfig = {
  version: 1,
  queues: [QUEUE],
  organisations: [],
  keys: new Map(),
  overloadRejectingServices: new Set(),
  maxBodyBytes: 0,
};

/** A clock whose readings jump as those of a disturbed machine. */
export class RigClock extends ManualClock {
  private wallStepMs = 0;
  private frozenMs = 0;

  override monotonicMs(): number {
    return super.monotonicMs() + this.frozenMs;
  }

  override wallMs(): number {
    return super.wallMs() + this.frozenMs + this.wallStepMs;
  }

  /** Steps the wall clock forward, or backward by a negative time. */
  stepWall(ms: number): void {
    this.wallStepMs += ms;
  }

  /** Lets time pass in which the process executes nothing. */
  freeze(ms: number): void {
    this.frozenMs += ms;
  }
}

/** The clocks of one VM, whose wall clock steps alone. */
export class VmClock extends Clock {
  private wallStepMs = 0;

  constructor(private readonly base: Clock) {
    super();
  }

  override monotonicMs(): number {
    return this.base.monotonicMs();
  }

  override wallMs(): number {
    return this.base.wallMs() + this.wallStepMs;
  }

  override sleep(delayMs: number): Promise<void> {
    return this.base.sleep(delayMs);
  }

  /** Steps the wall clock forward, or backward by a negative time. */
  stepWall(ms: number): void {
    this.wallStepMs += ms;
  }
}

export class RigPlatform extends Platform {
  override readonly advice = null;
  override readonly executorsTopic = EXECUTORS_TOPIC;
  override readonly operatorTopic = OPERATOR_TOPIC;
  override readonly mayCloseDomains = false;

  constructor(
    override readonly store: StoreClient,
    private readonly rig: Rig,
    private readonly node: CellNode,
  ) {
    super();
  }

  override decodeExecutor({value}: StoredRecord): ExecutorInfo {
    return decode(value as Buffer) as ExecutorInfo;
  }

  override decodeDomainClosure({key, value}: StoredRecord): DomainClosure {
    return {domain: key, isClosed: value.length > 0};
  }

  override decodeConfig(): CellConfig {
    return CONFIG;
  }

  override connect(info: ExecutorInfo): ExecutorClient {
    const executor = this.rig.executor(info.id);
    const isReachable = (): boolean =>
      !this.node.isKilled &&
      !this.node.isDisconnected &&
      !this.node.unreachable.has(info.id);
    return new FakeExecutorClient(executor, info, this.rig.clock, isReachable);
  }
}

/** One process that may own the cell. */
export interface CellNode {
  readonly vm: string;
  readonly incarnation: number;
  readonly clock: Clock;
  readonly store: StoreClient;
  owner: Owner | null;
  ownership: Ownership | null;
  /** The process has ended; nothing that it still does has an effect. */
  isKilled: boolean;
  /** Whether the process cannot reach executors. */
  isDisconnected: boolean;
  /** Whether it is connected to every VM, none of which knows a newer owner. */
  isConnectedToAll: boolean;
  /** When it was last connected to the owner that it supersedes. */
  connectedMs: number;
  /** Whether owners tell it of their records; see {@link Rig.tellMs}. */
  isTold: boolean;
  /** Ids of executors that only this process cannot reach. */
  readonly unreachable: Set<string>;
}

function addressOf({vm, incarnation}: CellNode): OwnerAddress {
  return {vm, ip: '', port: 0, incarnation};
}

/** A small cell. */
export class Rig {
  /** The failure domains in which no task may start. */
  readonly closedDomains = new ClosedDomains();
  readonly clock = new RigClock(START_MS);
  readonly memory = new MemoryStore();
  readonly checker = new InvariantChecker();
  /** What a VM that is connected to all owners shows of each job. */
  readonly rows = new Map<string, JobRow>();
  readonly executors: FakeExecutor[] = [];
  readonly logLines: string[] = [];
  /** The VMs through which owners call the advice service. */
  adviceChannels: readonly AdviceChannel[] = [];
  /** Whether executors cannot write their records. */
  isListingPaused = false;
  /** How long what an owner tells of its records takes to arrive, in ms. */
  tellMs = 5;
  /** Time from a takeover to the owner's first heartbeat, in ms. */
  firstHeartbeatMs = 0;
  /** What a process knows of the closed failure domains. */
  closuresOf: (
    node: CellNode,
  ) => Pick<OwnerDeps, 'closedDomains' | 'areClosuresKnown'> = () => ({
    closedDomains: this.closedDomains,
    areClosuresKnown: () => true,
  });
  /** Called for each log line of an owner. */
  onLog: (event: string) => void = () => undefined;
  private nextIncarnation = 1;
  private readonly told = new ToldRecord();

  constructor(
    executorCount: number,
    private readonly behave: Behaviour,
    /** The configuration of owners that start from now on. */
    public config: CellConfig = CONFIG,
    serviceOf: (executorId: string) => string = () => SERVICE,
  ) {
    for (let i = 0; i < executorCount; i += 1) {
      this.addExecutor(`x${i}`, serviceOf(`x${i}`));
    }
    void this.listExecutors();
  }

  executor(id: string): FakeExecutor {
    const found = this.executors.find(each => each.id === id);
    if (found === undefined) throw new Error(`no executor ${id}`);
    return found;
  }

  /**
   * Creates a process with its own store client.
   *
   * @param vmClock clocks of its VM, whose wall time is its incarnation; null
   *     for those of the rig, and a number that counts the processes
   */
  newNode(vm: string, vmClock: VmClock | null = null): CellNode {
    const incarnation = vmClock?.wallMs() ?? this.nextIncarnation;
    this.nextIncarnation += 1;
    return {
      vm,
      incarnation,
      clock: vmClock ?? this.clock,
      store: new StoreClient(this.memory, this.clock),
      owner: null,
      ownership: null,
      isKilled: false,
      isDisconnected: false,
      isConnectedToAll: false,
      connectedMs: -Infinity,
      isTold: false,
      unreachable: new Set(),
    };
  }

  /**
   * Lets a process claim the cell and act; false if it was not first.
   *
   * @param waitMs how long it waits for another heartbeat of the owner
   */
  async claim(node: CellNode, waitMs = 0): Promise<boolean> {
    const {store, clock} = node;
    const snapshot = await readOwner(store, clock);
    await this.clock.sleep(waitMs);
    const self = addressOf(node);
    const toldMs = node.isTold ? this.told.sinceMs(snapshot) : Infinity;
    const claimed = {...snapshot, toldMs};
    const ownership = await claimCell(store, clock, self, claimed, {
      actedTerm: node.ownership?.term ?? 0,
      connectedMs: () => node.connectedMs,
    });
    if (ownership === null || node.isKilled) return false;
    return this.act(node, ownership);
  }

  /**
   * Hands the cell over in an orderly way.
   *
   * @param pauseMs how long the process is frozen before it writes
   * @returns false if that is not certain or the notice is lost
   */
  async handOver(
    from: CellNode,
    to: CellNode,
    {pauseMs = 0, isNoticeLost = false} = {},
  ): Promise<boolean> {
    const {owner, ownership} = from;
    if (owner === null || ownership === null) return false;
    owner.close();
    const orders = owner.describeOrders() ?? ownership.describeFormerOrders();
    await this.clock.sleep(pauseMs);
    const self = addressOf(to);
    const endOffset = await ownership.handOver(self, orders);
    if (endOffset < 0 || isNoticeLost || to.isKilled) return false;
    const notice = ownership.handoverNotice(endOffset, orders);
    return this.act(to, acceptOwnership(to.store, to.clock, self, notice));
  }

  /** Releases the cell. */
  async release({owner, ownership}: CellNode): Promise<void> {
    if (owner === null || ownership === null) return;
    owner.close();
    const orders = owner.describeOrders() ?? undefined;
    await ownership.release(orders);
  }

  private async act(node: CellNode, ownership: Ownership): Promise<boolean> {
    const {store, clock} = node;
    node.ownership = ownership;
    const owner = new Owner({
      platform: new RigPlatform(store, this, node),
      store: new RelayedStore(store, () => [], clock),
      clock,
      metrics: new Metrics(),
      log: (event, fields) => this.writeLog(node, event, fields),
      ownership,
      isConnectedToAll: () => node.isConnectedToAll,
      ...this.closuresOf(node),
      adviceChannels: () => this.adviceChannels,
      publish: rows => this.publish(node, rows),
    });
    node.owner = owner;
    void this.keepAlive(node, ownership);
    const isActive = await owner.start(this.config);
    if (isActive && !node.isKilled) this.replaceRows(owner);
    return isActive;
  }

  /** Ends a process at once; calls that it has sent may still take effect. */
  kill(node: CellNode): void {
    node.isKilled = true;
    node.store.faults.isRefusing = true;
    node.owner?.close();
    node.ownership?.revoke();
  }

  /**
   * Stores a job as a VM does, and notifies the owners.
   *
   * @param clock the clock of the VM that accepts the job
   */
  submit(
    id: string,
    steps: readonly StepSpec[],
    owners: readonly CellNode[],
    queue: Queue = QUEUE,
    repetition: Repetition = ONCE,
    clock: Clock = this.clock,
  ): void {
    const job = {
      id,
      queue,
      organisation: '',
      spec: {
        payload: id,
        steps,
        repetition,
      },
      acceptedMs: clock.wallMs(),
    };
    this.checker.jobs.set(id, {
      id,
      counts: steps.map(({count}) => count),
      after: steps.map(({after}) => after),
      amounts: steps.map(step => allocatedAmounts(step, 1)),
      maxAttempts: queue.maxAttempts,
      isGang: steps.some(({isGang}) => isGang),
      times: repetition.times,
      isCancelled: false,
    });
    const value = encodeJob(job);
    this.memory.append(jobsTopicFor(id), [{key: jobKey(id), value}], {});
    for (const {owner} of owners) owner?.addStoredJob(value);
  }

  /** Stores a cancel as a VM does, and notifies the owners. */
  cancel(id: string, owners: readonly CellNode[]): void {
    const value = Uint8Array.of(1);
    this.memory.append(jobsTopicFor(id), [{key: cancelKey(id), value}], {});
    for (const {owner} of owners) owner?.addStoredCancel(id);
    void this.expectCancelled(id);
  }

  /** Makes the start of a task of the job a violation after a timeout. */
  private async expectCancelled(id: string): Promise<void> {
    await this.clock.sleep(CANCEL_TIMEOUT_MS);
    const job = this.checker.jobs.get(id);
    const isFinal = this.rows.get(id)?.phase === 'completed';
    if (job !== undefined && !isFinal) job.isCancelled = true;
  }

  /** Advances the clock in small steps. */
  async run(ms: number): Promise<void> {
    await this.clock.advance(ms);
  }

  private addExecutor(id: string, service: string): void {
    const info: ExecutorInfo = {
      id,
      service,
      ip: id,
      port: 1,
      domain: 'd',
      rack: 'r',
      labels: [],
      capacity: {cpuMilli: 3000, memMb: 10_000, accel: 0, slots: 0},
      isDraining: false,
      drainRemainingMs: 0,
      coldRemainingMs: 0,
      bornMs: 0,
    };
    const executor = new FakeExecutor(
      id,
      info,
      this.clock,
      this.behave,
      this.checker,
    );
    this.executors.push(executor);
  }

  /**
   * Lets a node whose reads fail see a restart that the store lists, and waits
   * for the start that the node then orders there.
   */
  async startAfterRestart(node: CellNode, id: string): Promise<void> {
    const {bornMs, runs} = this.executor(id);
    const state = node.owner?.state;
    const untilMs = this.clock.monotonicMs() + RESTART_SEEN_MS;
    while (runs.size === 0 && this.clock.monotonicMs() < untilMs) {
      const known = state?.executors.get(id);
      if (known?.bornMs === bornMs) state?.setExecutor({...known.info, bornMs});
      await this.run(10);
    }
  }

  /** Writes what the store lists of an executor at once. */
  listNow(id: string): void {
    const {info, bornMs, isDraining} = this.executor(id);
    const value = encode({...info, bornMs, isDraining});
    this.memory.append(EXECUTORS_TOPIC, [{key: id, value}], {});
  }

  /** Writes the executors' own records; those that are down are deleted. */
  private async listExecutors(): Promise<void> {
    for (;;) {
      for (const executor of this.isListingPaused ? [] : this.executors) {
        const isGone = executor.isDown || executor.isUnlisted;
        const {bornMs, isDraining, ip, port} = executor;
        const info = {...executor.info, bornMs, isDraining, ip, port};
        const value = isGone ? new Uint8Array(0) : encode(info);
        this.memory.append(EXECUTORS_TOPIC, [{key: executor.id, value}], {});
      }
      await this.clock.sleep(1500);
    }
  }

  private async keepAlive(node: CellNode, ownership: Ownership): Promise<void> {
    await this.clock.sleep(this.firstHeartbeatMs);
    while (!ownership.isRevoked && !node.isKilled) {
      await ownership.renew();
      void this.tell(node, ownership);
      await this.clock.sleep(OWNER_HEARTBEAT_MS);
    }
    if (node.ownership === ownership) node.owner?.close();
  }

  /** Tells the other VMs of the owner's newest record. */
  private async tell(node: CellNode, ownership: Ownership): Promise<void> {
    if (node.isKilled || ownership.isRevoked) return;
    const {term, storedEndOffset: endOffset} = ownership;
    await this.clock.sleep(this.tellMs);
    const nowMs = this.clock.monotonicMs();
    this.told.record(addressOf(node), {term, endOffset}, nowMs);
  }

  private publish(node: CellNode, rows: readonly JobRow[]): void {
    if (node.isKilled) return;
    for (const row of rows) {
      this.checker.checkRow(row);
      this.rows.set(row.id, row);
    }
  }

  /**
   * A VM replaces its open rows by those of a new owner, and looks up there what
   * it is asked for and misses: a job may have ended without a row that says so.
   */
  private replaceRows(owner: Owner): void {
    const current = new Map(owner.currentRows().map(row => [row.id, row]));
    for (const id of this.checker.jobs.keys()) {
      const known = this.rows.get(id);
      if (known !== undefined && isFinal(known.phase)) continue;
      const row = current.get(id) ?? owner.findRow(id);
      if (row === null) this.rows.delete(id);
      else this.rows.set(id, row);
    }
  }

  private writeLog(
    node: CellNode,
    event: string,
    fields: Readonly<object>,
  ): void {
    const atMs = this.clock.monotonicMs() - START_MS;
    this.logLines.push(`${atMs} ${node.vm} ${event} ${JSON.stringify(fields)}`);
    this.onLog(event);
  }
}

/** Runs a step that may fail because the store is unavailable. */
export async function ignoringStore<T>(step: Promise<T>): Promise<T | null> {
  try {
    return await step;
  } catch (err) {
    if (err instanceof StoreError) return null;
    throw err;
  }
}
