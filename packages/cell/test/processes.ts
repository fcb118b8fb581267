/** Processes that take part in the elections of one cell, on one clock. */
import {ManualClock, Metrics} from '@dragonflyward/common';
import {
  Election,
  Members,
  type CellConnection,
  type CellHeartbeat,
  type CellHello,
  type CellProtocol,
  type MemberHandler,
  type OwnerAddress,
  type Ownership,
  type ExecutorSilence,
} from '@dragonflyward/cell';
import * as assert from 'uvu/assert';
import {MemoryStore, StoreClient, type StoreFaults} from './memory-store.js';

/** Interval of the heartbeats between processes, in ms. */
export const HEARTBEAT_PERIOD_MS = 500;
const LATENCY_MS = 5;
/** A connection is closed after this time without a message, in ms. */
const SILENCE_TIMEOUT_MS = 1500;
/** How long a process serves its calls after SIGTERM, in ms. */
const GRACE_MS = 2500;
/** Number of VMs on each side to which a VM in a ring is connected. */
const NEIGHBOUR_COUNT = 2;
/** Interval at which VMs in a ring connect to an owner they hear of, in ms. */
const RING_INTERVAL_MS = 20;
/** Time from the end of a process to the start of the next one, in ms. */
const START_MS = 700;

/** A VM of a simulated cell. */
export interface VmSpec {
  readonly vm: string;
  readonly domain: string;
  readonly cores: number;
}

/** How a process loads the stored state when it becomes the owner. */
export interface Load {
  /** How long it takes while the store answers, in ms; Infinity: no end. */
  readonly durationMs: number;
  /** Whether it seems to make progress all the while. */
  readonly isProgressing: boolean;
}

/** A load that ends at once. */
const NO_SILENCE: ExecutorSilence = {silent: 0, total: 0};
const NO_LOAD: Load = {durationMs: 0, isProgressing: true};
/** Interval at which a load checks whether it is done or given up, in ms. */
const LOAD_STEP_MS = 50;

/** One process, connected to all others. */
export class Process {
  readonly election: Election;
  readonly members: Members;
  readonly self: OwnerAddress;
  readonly store: StoreClient;
  readonly links = new Map<Process, CellConnection>();
  isRunning = true;
  /** Whether its heartbeats lack the newest fields. */
  isEarlierVersion = false;
  /** Whether it has loaded the state and sends orders. */
  isActing = false;
  /** Whether it reads the jobs from the store for callers. */
  isDetached = false;
  /** Loads that have not ended. */
  loads = 0;
  readonly metrics = new Metrics();
  private loadProgressMs = 0;
  /** The processes to which it has sent its list of VMs. */
  private informed = new Set<Process>();

  constructor(
    private readonly cell: Cell,
    readonly spec: VmSpec,
    incarnation: number,
  ) {
    const {clock, memory} = cell;
    this.self = {vm: spec.vm, ip: '', port: 0, incarnation};
    this.store = new StoreClient(memory, clock);
    this.members = new Members(this.self, {} as MemberHandler, [], clock);
    const {members, store, self} = this;
    this.election = new Election(
      {
        ...spec,
        self,
        members,
        store,
        clock,
        metrics: this.metrics,
        log: (event, fields) => cell.recordEvent(this, event, fields),
      },
      {
        loadProgressMs: () => this.loadProgressMs,
        executorSilence: () =>
          this.cell.silence.get(this.spec.vm) ?? NO_SILENCE,
        becomeOwner: ownership => this.becomeOwner(ownership),
        hasConfig: () => this.configVersion >= 0,
        stopActing: () => undefined,
        describeOrders: () => null,
        discardOwner: () => {
          this.isActing = false;
        },
        setDetached: isDetached => {
          this.isDetached = isDetached;
        },
        announce: () => this.broadcast(),
      },
    );
    this.election.start();
    void this.sendHeartbeats();
  }

  hello(): CellHello {
    const {self, spec} = this;
    return {...spec, type: 'hello', self};
  }

  /** Ends the process as on SIGTERM. */
  async stop(): Promise<void> {
    const {clock} = this.cell;
    void this.election.drain();
    await clock.sleep(GRACE_MS);
    this.end();
  }

  /** Ends the process at once. */
  end(): void {
    this.isRunning = false;
    this.election.close();
    this.cell.disconnect(this);
  }

  clockMs(): number {
    return this.cell.clock.monotonicMs();
  }

  receive(from: Process, notice: CellProtocol['notice']): void {
    if (!this.isRunning) return;
    if (notice.type === 'handover') this.election.acceptHandover(notice);
    if (notice.type === 'members') {
      this.members.setKnownMembers(notice.members);
    }
    if (notice.type !== 'heartbeat') return;
    this.members.recordHeartbeat(from.spec.vm, notice);
    this.election.recordHeartbeat(from.self, notice);
  }

  broadcast(): void {
    for (const link of this.links.values()) link.notify(this.heartbeat());
  }

  /** Tells the other processes if the one that is gone was the owner. */
  reportLoss({spec}: Process): void {
    const isOwner = spec.vm === this.election.knownOwner?.vm;
    if (isOwner && !this.election.hasOwner()) this.broadcast();
  }

  private get configVersion(): number {
    return this.cell.unconfigured.has(this.spec.vm) ? -1 : 1;
  }

  private get load(): Load {
    return this.cell.loads.get(this.spec.vm) ?? NO_LOAD;
  }

  private async becomeOwner(ownership: Ownership): Promise<boolean> {
    this.loads += 1;
    this.loadProgressMs = this.clockMs();
    for (let loadedMs = 0; loadedMs < this.load.durationMs;) {
      await this.cell.clock.sleep(LOAD_STEP_MS);
      if (ownership.isRevoked) break;
      const {isRefusing, isSilent} = this.store.faults;
      if (isRefusing || isSilent) continue;
      loadedMs += LOAD_STEP_MS;
      if (this.load.isProgressing) this.loadProgressMs = this.clockMs();
    }
    this.loads -= 1;
    if (ownership.isRevoked || !this.isRunning) return false;
    this.isActing = true;
    this.cell.active.push(this.spec.vm);
    this.broadcast();
    return true;
  }

  private heartbeat(): CellHeartbeat {
    const {knownOwner, isDraining, isOwner} = this.election;
    const fields = {
      hasLoadFailed: this.election.hasLoadFailed,
      isActing: this.isActing,
    };
    return {
      type: 'heartbeat',
      owner: knownOwner?.isReleased === false ? knownOwner : null,
      term: knownOwner?.term ?? 0,
      configVersion: this.configVersion,
      isStoreOk: true,
      isDraining,
      isOwnerSeen: isOwner || this.election.hasOwner(),
      ...(this.isEarlierVersion ? {} : fields),
    };
  }

  /** Lists the connected VMs, as an owner does when one has connected. */
  private listMembers(): void {
    const others = [...this.links.keys()];
    if (!this.isActing || others.every(each => this.informed.has(each))) return;
    this.informed = new Set(others);
    const members = this.members.listed(this.spec.cores);
    this.members.setKnownMembers(members);
    for (const link of this.links.values()) {
      link.notify({type: 'members', members});
    }
  }

  private async sendHeartbeats(): Promise<void> {
    while (this.isRunning) {
      this.broadcast();
      this.listMembers();
      await this.cell.clock.sleep(HEARTBEAT_PERIOD_MS);
    }
  }
}

/** The processes of a cell on one clock. */
export class Cell {
  readonly clock = new ManualClock(1000);
  readonly memory = new MemoryStore();
  readonly running = new Map<string, Process>();
  /** The VMs that have become the owner, in this order. */
  readonly owners: string[] = [];
  /** Those that have loaded the state, in this order. */
  readonly active: string[] = [];
  /** How VMs load the state; those that are missing load it at once. */
  readonly loads = new Map<string, Load>();
  /** The executors that do not answer a VM, if it is the owner. */
  readonly silence = new Map<string, ExecutorSilence>();
  /** The VMs that have not received a configuration. */
  readonly unconfigured = new Set<string>();
  /** How many of them claimed the cell. */
  claims = 0;
  /** What the log says of the last claim. */
  lastClaim: Readonly<Record<string, unknown>> = {};
  /** By how much notices of handovers are later than other messages, in ms. */
  handoverDelayMs = 0;
  /** How many of the next handovers get no notice. */
  lostHandovers = 0;
  private nextIncarnation = 1;
  private readonly isolated = new Set<Process>();

  constructor(specs: readonly VmSpec[]) {
    for (const spec of specs) this.start(spec);
  }

  get owner(): Process | undefined {
    return [...this.running.values()].find(({election}) => election.isOwner);
  }

  /** The VM that owns the cell and has loaded its state; empty for none. */
  get actingOwner(): string {
    const {owner} = this;
    return owner?.isActing === true ? owner.spec.vm : '';
  }

  /** Sets the faults of the store for all VMs that run. */
  setStoreFaults(faults: Partial<StoreFaults>): void {
    for (const {store} of this.running.values()) {
      Object.assign(store.faults, faults);
    }
  }

  recordEvent({spec}: Process, event: string, fields: Readonly<object>): void {
    if (event === 'ownerClaimed') {
      this.claims += 1;
      this.lastClaim = {...fields};
    }
    if (event === 'ownerClaimed' || event === 'ownerTakesOver') {
      this.owners.push(spec.vm);
    }
  }

  async restart(vm: string): Promise<void> {
    const process = this.running.get(vm);
    assert.ok(process);
    await process.stop();
    await this.clock.sleep(START_MS);
    this.start(process.spec);
  }

  /** Kills a process; the next one starts soon. */
  async crash(vm: string): Promise<void> {
    const process = this.running.get(vm);
    assert.ok(process);
    process.end();
    await this.clock.sleep(START_MS);
    this.start(process.spec);
  }

  /** Ends a process whose connections are closed once they are silent. */
  async cutPower(vm: string): Promise<void> {
    const process = this.running.get(vm);
    assert.ok(process);
    process.isRunning = false;
    process.election.close();
    this.running.delete(vm);
    await this.clock.sleep(SILENCE_TIMEOUT_MS);
    this.disconnect(process);
  }

  /** Cuts a VM off from all others, but not from the store. */
  isolate(vm: string): void {
    const process = this.running.get(vm);
    assert.ok(process);
    this.isolated.add(process);
    this.closeLinks(process);
  }

  disconnect(process: Process): void {
    this.running.delete(process.spec.vm);
    this.closeLinks(process);
  }

  private closeLinks(process: Process): void {
    for (const [other, link] of process.links) {
      process.members.remove(link);
      const back = other.links.get(process);
      if (back !== undefined) other.members.remove(back);
      other.links.delete(process);
      other.reportLoss(process);
    }
    process.links.clear();
  }

  /** Starts a process of a VM that is not running. */
  start(spec: VmSpec): void {
    const process = new Process(this, spec, this.nextIncarnation);
    this.nextIncarnation += 1;
    for (const other of this.running.values()) {
      if (this.isolated.has(other)) continue;
      this.link(process, other);
      this.link(other, process);
    }
    this.running.set(spec.vm, process);
  }

  /**
   * Connects each VM to its neighbours in name order and to the owner that it
   * knows, and to no other one, from now on.
   */
  async connectInRing(): Promise<void> {
    const names = [...this.running.keys()].sort();
    for (;;) {
      for (const [from, to] of this.pairs()) this.updateLink(names, from, to);
      await this.clock.sleep(RING_INTERVAL_MS);
    }
  }

  private *pairs(): Generator<readonly [Process, Process]> {
    const processes = [...this.running.values()];
    for (const [i, from] of processes.entries()) {
      for (const to of processes.slice(i + 1)) yield [from, to];
    }
  }

  private updateLink(
    names: readonly string[],
    from: Process,
    to: Process,
  ): void {
    const gap = Math.abs(
      names.indexOf(from.spec.vm) - names.indexOf(to.spec.vm),
    );
    const isWanted =
      Math.min(gap, names.length - gap) <= NEIGHBOUR_COUNT ||
      from.election.knownOwner?.vm === to.spec.vm ||
      to.election.knownOwner?.vm === from.spec.vm;
    if (isWanted === from.links.has(to)) return;
    for (const [one, other] of [
      [from, to],
      [to, from],
    ] as const) {
      if (isWanted) this.link(one, other);
      else this.unlink(one, other);
    }
  }

  private unlink(from: Process, to: Process): void {
    const link = from.links.get(to);
    if (link !== undefined) from.members.remove(link);
    from.links.delete(to);
  }

  private link(from: Process, to: Process): void {
    const connection = {
      info: to.hello(),
      isOpen: true,
      notify: (notice: CellProtocol['notice']) => {
        void this.deliver(from, to, notice);
      },
    } as unknown as CellConnection;
    from.links.set(to, connection);
    from.members.add(connection);
  }

  private async deliver(
    from: Process,
    to: Process,
    notice: CellProtocol['notice'],
  ): Promise<void> {
    const isLate = notice.type === 'handover';
    await this.clock.sleep(LATENCY_MS + (isLate ? this.handoverDelayMs : 0));
    if (notice.type === 'handover' && this.lostHandovers > 0) {
      this.lostHandovers -= 1;
      return;
    }
    to.receive(from, notice);
  }
}
