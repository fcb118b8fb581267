/** Processes that take part in the elections of one cell, on one clock. */
import {ManualClock} from '@dragonflyward/common';
import {
  Election,
  Members,
  type CellConnection,
  type CellHeartbeat,
  type CellHello,
  type CellProtocol,
  type MemberHandler,
  type OwnerAddress,
} from '@dragonflyward/cell';
import * as assert from 'uvu/assert';
import {MemoryStore, StoreClient} from './memory-store.js';

/** Interval of the heartbeats between processes, in ms. */
export const HEARTBEAT_PERIOD_MS = 500;
const LATENCY_MS = 5;
/** A connection is closed after this time without a message, in ms. */
const SILENCE_TIMEOUT_MS = 1500;
/** How long a process serves its calls after SIGTERM, in ms. */
const GRACE_MS = 2500;
/** Time from the end of a process to the start of the next one, in ms. */
const START_MS = 700;

/** A VM of a simulated cell. */
export interface VmSpec {
  readonly vm: string;
  readonly domain: string;
  readonly cores: number;
}

/** One process, connected to all others. */
export class Process {
  readonly election: Election;
  readonly members: Members;
  readonly self: OwnerAddress;
  readonly store: StoreClient;
  readonly links = new Map<Process, CellConnection>();
  isRunning = true;

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
        log: event => cell.recordEvent(this, event),
      },
      {
        becomeOwner: () => Promise.resolve(true),
        stopActing: () => undefined,
        describeOrders: () => null,
        discardOwner: () => undefined,
        setDetached: () => undefined,
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
    if (notice.type !== 'heartbeat') return;
    this.members.recordHeartbeat(from.spec.vm, notice);
    const {owner, term} = notice;
    if (owner === null) this.election.markReleased(term);
    else this.election.follow({...owner, term, isReleased: false});
  }

  broadcast(): void {
    for (const link of this.links.values()) link.notify(this.heartbeat());
  }

  private heartbeat(): CellHeartbeat {
    const {knownOwner, isDraining, isOwner} = this.election;
    return {
      type: 'heartbeat',
      owner: knownOwner?.isReleased === false ? knownOwner : null,
      term: knownOwner?.term ?? 0,
      configVersion: 1,
      isStoreOk: true,
      isDraining,
      isOwnerSeen: isOwner || this.election.hasOwner(),
    };
  }

  private async sendHeartbeats(): Promise<void> {
    while (this.isRunning) {
      this.broadcast();
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
  /** How many of them claimed the cell. */
  claims = 0;
  /** By how much notices of handovers are later than other messages, in ms. */
  handoverDelayMs = 0;
  /** How many of the next handovers get no notice. */
  lostHandovers = 0;
  private nextIncarnation = 1;

  constructor(specs: readonly VmSpec[]) {
    for (const spec of specs) this.start(spec);
  }

  get owner(): Process | undefined {
    return [...this.running.values()].find(({election}) => election.isOwner);
  }

  recordEvent({spec}: Process, event: string): void {
    if (event === 'ownerClaimed') this.claims += 1;
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

  disconnect(process: Process): void {
    this.running.delete(process.spec.vm);
    for (const [other, link] of process.links) {
      process.members.remove(link);
      const back = other.links.get(process);
      if (back !== undefined) other.members.remove(back);
      other.links.delete(process);
    }
    process.links.clear();
  }

  private start(spec: VmSpec): void {
    const process = new Process(this, spec, this.nextIncarnation);
    this.nextIncarnation += 1;
    for (const other of this.running.values()) {
      this.link(process, other);
      this.link(other, process);
    }
    this.running.set(spec.vm, process);
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
