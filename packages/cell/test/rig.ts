/** Owners, executors and a store on one clock that the test moves. */
import {ManualClock, Metrics} from '@dragonflyward/common';
import {
  claimCell,
  encodeJob,
  jobKey,
  jobsTopicOf,
  cancelKey,
  Owner,
  OWNER_HEARTBEAT_MS,
  Platform,
  readOwner,
  RelayedStore,
  StoreError,
  type CellConfig,
  type ExecutorClient,
  type ExecutorInfo,
  type JobRow,
  type Ownership,
  type PlacedRecord,
  type Queue,
  type StepSpec,
} from '@dragonflyward/cell';
import {decode, encode} from 'cbor-x';
import {
  FakeExecutor,
  FakeExecutorClient,
  type Behaviour,
} from './fake-executor.js';
import {MemoryStore, StoreClient} from './memory-store.js';
import {RuleWatch} from './rules.js';

export const EXECUTORS_TOPIC = 'keyed.executors';
const SERVICE = 'svc';
const START_MS = 1_000_000;
/** After that time no task of a cancelled job may be started. */
const CANCEL_MS = 3000;

/** A queue that needs no advice. */
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

/** A step of plain tasks. */
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

export const CONFIG: CellConfig = {
  version: 1,
  queues: [QUEUE],
  organisations: [],
  keys: new Map(),
  guardedServices: new Set(),
  maxBodyBytes: 0,
};

class RigPlatform extends Platform {
  override readonly advice = null;
  override readonly executorsTopic = EXECUTORS_TOPIC;
  override readonly operatorTopic = 'keyed.config';

  constructor(
    override readonly store: StoreClient,
    private readonly rig: Rig,
    private readonly seat: Seat,
  ) {
    super();
  }

  override decodeExecutor({value}: PlacedRecord): ExecutorInfo {
    return decode(value as Buffer) as ExecutorInfo;
  }

  override decodeConfig(): CellConfig {
    return CONFIG;
  }

  override connect(info: ExecutorInfo): ExecutorClient {
    const executor = this.rig.executor(info.id);
    const isReachable = (): boolean => !this.seat.isDead && !this.seat.isCut;
    return new FakeExecutorClient(executor, this.rig.clock, isReachable);
  }
}

/** One process that may own the cell. */
export interface Seat {
  readonly vm: string;
  readonly incarnation: number;
  readonly store: StoreClient;
  owner: Owner | null;
  ownership: Ownership | null;
  /** The process is gone; nothing that it still does has an effect. */
  isDead: boolean;
  /** Executors cannot be reached. */
  isCut: boolean;
}

/** A small cell. */
export class Rig {
  readonly clock = new ManualClock(START_MS);
  readonly memory = new MemoryStore();
  readonly watch = new RuleWatch();
  readonly rows = new Map<string, JobRow>();
  readonly executors: FakeExecutor[] = [];
  readonly lines: string[] = [];
  private nextIncarnation = 1;

  constructor(
    executorCount: number,
    private readonly behave: Behaviour,
  ) {
    for (let i = 0; i < executorCount; i += 1) this.addExecutor(`x${i}`);
    void this.listExecutors();
  }

  executor(id: string): FakeExecutor {
    const found = this.executors.find(each => each.id === id);
    if (found === undefined) throw new Error(`no executor ${id}`);
    return found;
  }

  /** A new process with its own way to the store. */
  newSeat(vm: string): Seat {
    const incarnation = this.nextIncarnation;
    this.nextIncarnation += 1;
    return {
      vm,
      incarnation,
      store: new StoreClient(this.memory, this.clock),
      owner: null,
      ownership: null,
      isDead: false,
      isCut: false,
    };
  }

  /** Lets a process claim the cell and act; false where it was not first. */
  async own(seat: Seat): Promise<boolean> {
    const {store, vm, incarnation} = seat;
    const reading = await readOwner(store);
    const self = {vm, ip: '', port: 0, incarnation};
    const ownership = await claimCell(store, this.clock, self, reading);
    if (ownership === null || seat.isDead) return false;
    const {record} = reading;
    const isFormerStopped =
      record === null || record.isReleased || record.vm === vm;
    seat.ownership = ownership;
    const owner = new Owner({
      platform: new RigPlatform(store, this, seat),
      store: new RelayedStore(store, () => [], this.clock),
      clock: this.clock,
      metrics: new Metrics(),
      log: (event, fields) => this.line(seat, event, fields),
      ownership,
      isFormerStopped,
      isLinkedToAll: () => false,
      lanes: () => [],
      publish: rows => this.publish(seat, rows),
    });
    seat.owner = owner;
    void this.beat(seat, ownership);
    return owner.start(CONFIG);
  }

  /** Ends a process at once; what it has sent may still have an effect. */
  kill(seat: Seat): void {
    seat.isDead = true;
    seat.store.mood.isRefusing = true;
    seat.owner?.close();
    seat.ownership?.lose();
  }

  /** Stores a job as a VM does, and tells the owner. */
  submit(
    id: string,
    steps: readonly StepSpec[],
    owners: readonly Seat[],
  ): void {
    const job = {
      id,
      queue: QUEUE,
      organisation: '',
      spec: {
        payload: id,
        steps,
        repetition: {times: 1, firstMs: 0, intervalMs: 0},
      },
      acceptedMs: this.clock.wallMs(),
    };
    this.watch.jobs.set(id, {
      id,
      counts: steps.map(({count}) => count),
      after: steps.map(({after}) => after),
      cpuMilli: steps[0]?.size.cpuMilli ?? 0,
      maxAttempts: QUEUE.maxAttempts,
      isCancelled: false,
    });
    const value = encodeJob(job);
    this.memory.append(jobsTopicOf(id), [{key: jobKey(id), value}], {});
    for (const {owner} of owners) owner?.addStoredJob(value);
  }

  /** Stores a cancel as a VM does, and tells the owner. */
  cancel(id: string, owners: readonly Seat[]): void {
    const value = Uint8Array.of(1);
    this.memory.append(jobsTopicOf(id), [{key: cancelKey(id), value}], {});
    for (const {owner} of owners) owner?.addStoredCancel(id);
    void this.expectCancelled(id);
  }

  /** From now on no task of the job may be started. */
  private async expectCancelled(id: string): Promise<void> {
    await this.clock.sleep(CANCEL_MS);
    const job = this.watch.jobs.get(id);
    const isFinal = this.rows.get(id)?.phase === 'completed';
    if (job !== undefined && !isFinal) job.isCancelled = true;
  }

  /** Moves the time on in small steps. */
  async run(ms: number): Promise<void> {
    await this.clock.advance(ms);
  }

  private addExecutor(id: string): void {
    const info: ExecutorInfo = {
      id,
      service: SERVICE,
      ip: '',
      port: 1,
      domain: 'd',
      rack: 'r',
      labels: [],
      capacity: {cpuMilli: 3000, memMb: 10_000, accel: 0, slots: 0},
      isDraining: false,
      drainRemainingMs: 0,
      bornMs: 0,
    };
    const executor = new FakeExecutor(
      id,
      info,
      this.clock,
      this.behave,
      this.watch,
    );
    this.executors.push(executor);
  }

  /** Executors describe themselves in the store; silent ones lapse. */
  private async listExecutors(): Promise<void> {
    for (;;) {
      for (const executor of this.executors) {
        const isGone = executor.isDown;
        const {bornMs, isDraining} = executor;
        const info = {...executor.info, bornMs, isDraining};
        const value = isGone ? new Uint8Array(0) : encode(info);
        this.memory.append(EXECUTORS_TOPIC, [{key: executor.id, value}], {});
      }
      await this.clock.sleep(1500);
    }
  }

  private async beat(seat: Seat, ownership: Ownership): Promise<void> {
    while (!ownership.isSuperseded && !seat.isDead) {
      await ownership.beat();
      await this.clock.sleep(OWNER_HEARTBEAT_MS);
    }
    if (seat.ownership === ownership) seat.owner?.close();
  }

  private publish(seat: Seat, rows: readonly JobRow[]): void {
    if (seat.isDead) return;
    for (const row of rows) this.rows.set(row.id, row);
  }

  private line(seat: Seat, event: string, fields: Readonly<object>): void {
    const atMs = this.clock.monotonicMs() - START_MS;
    this.lines.push(`${atMs} ${seat.vm} ${event} ${JSON.stringify(fields)}`);
  }
}

/** Runs a step that may fail because the store is away. */
export async function ignoringStore<T>(step: Promise<T>): Promise<T | null> {
  try {
    return await step;
  } catch (err) {
    if (err instanceof StoreError) return null;
    throw err;
  }
}
