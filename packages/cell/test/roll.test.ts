/** Which VM gets the cell while all VMs are restarted one after the other. */
import {ManualClock} from '@dragonflyward/common';
import {
  chooseSuccessor,
  Election,
  Members,
  type CellConnection,
  type CellHeartbeat,
  type CellHello,
  type CellProtocol,
  type Member,
  type MemberHandler,
  type OwnerAddress,
} from '@dragonflyward/cell';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {MemoryStore, StoreClient} from './memory-store.js';

/** How long all processes have run before the roll, in ms. */
const UPTIME_MS = 60_000;
const HEARTBEAT_PERIOD_MS = 500;
const LATENCY_MS = 5;
/** A connection is closed after this time without a message, in ms. */
const SILENCE_TIMEOUT_MS = 1500;
/** How long a process serves its calls after SIGTERM, in ms. */
const GRACE_MS = 2500;
/** Time from the end of a process to the start of the next one, in ms. */
const START_MS = 700;
/** Interval between two VMs of a roll: longer than a restart, in ms. */
const GAP_MS = 4000;
const SETTLE_MS = 5000;
const DOMAINS = ['d0', 'd1'];
const VMS_PER_DOMAIN = 4;

interface VmSpec {
  readonly vm: string;
  readonly domain: string;
  readonly cores: number;
}

/** One process, connected to all others. */
class Process {
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
class Cell {
  readonly clock = new ManualClock(1000);
  readonly memory = new MemoryStore();
  readonly running = new Map<string, Process>();
  /** The VMs that have become the owner, in this order. */
  readonly owners: string[] = [];
  /** How many of them claimed the cell. */
  claims = 0;
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
    await this.clock.sleep(LATENCY_MS);
    if (notice.type === 'handover' && this.lostHandovers > 0) {
      this.lostHandovers -= 1;
      return;
    }
    to.receive(from, notice);
  }
}

/** Large VMs in all domains. */
function largeVms(): readonly VmSpec[] {
  return Array.from({length: VMS_PER_DOMAIN * DOMAINS.length}, (_, i) => ({
    vm: `v${i}`,
    domain: DOMAINS[i % DOMAINS.length] ?? '',
    cores: 2,
  }));
}

/** Permutes the VMs in a way that differs for each seed. */
function shuffled(vms: readonly string[], seed: number): readonly string[] {
  const left = [...vms];
  const order: string[] = [];
  let state = seed;
  while (left.length > 0) {
    state = (state * 48_271) % 2_147_483_647;
    order.push(...left.splice(state % left.length, 1));
  }
  return order;
}

/** Starts a cell and waits until it has an owner. */
async function startCell(specs = largeVms()): Promise<Cell> {
  const cell = new Cell(specs);
  await cell.clock.advance(UPTIME_MS);
  assert.ok(cell.owner);
  return cell;
}

async function roll(
  cell: Cell,
  order: readonly string[],
  gapMs: number,
): Promise<void> {
  for (const vm of order) {
    void cell.restart(vm);
    await cell.clock.advance(gapMs);
  }
  await cell.clock.advance(SETTLE_MS);
}

const rolls = suite('owners in a roll');

// The first successor can't be known to be spared, the next one can.
rolls('changes the owner no more than twice in a roll', async () => {
  const changes = [];
  for (let seed = 1; seed <= 10; seed += 1) {
    const cell = await startCell();
    const first = cell.owner?.spec.vm ?? '';
    const others = [...cell.running.keys()].filter(vm => vm !== first);
    const before = cell.owners.length;
    await roll(cell, [first, ...shuffled(others, seed)], GAP_MS);
    assert.ok(cell.owner);
    changes.push(cell.owners.length - before);
  }
  assert.ok(Math.max(...changes) <= 2, `changes of the owner: ${changes}`);
});

/** The VM that the owner would hand the cell to. */
function nextOwner({owner}: Cell): string {
  assert.ok(owner);
  const {domain} = owner.spec;
  const nowMs = owner.clockMs();
  const members = owner.members.connected();
  return chooseSuccessor(members, {domain, nowMs})?.address.vm ?? '';
}

rolls('hands no cell to a VM that was told to stop just before', async () => {
  const cell = await startCell();
  const leaving = nextOwner(cell);
  const before = cell.owners.length;
  void cell.restart(leaving);
  // Shorter than the time to its next heartbeat.
  await cell.clock.advance(HEARTBEAT_PERIOD_MS / 5);
  void cell.restart(cell.owner?.spec.vm ?? '');
  await cell.clock.advance(SETTLE_MS);
  assert.is(cell.owners.length, before + 1);
  assert.is.not(cell.owner?.spec.vm, leaving);
});

// The handover and the news of the shutdown are on the way at the same time.
rolls('needs no claim if the successor is told to stop as well', async () => {
  const cell = await startCell();
  const leaving = nextOwner(cell);
  const claims = cell.claims;
  const first = cell.owner?.spec.vm ?? '';
  void cell.restart(first);
  void cell.restart(leaving);
  await cell.clock.advance(SETTLE_MS);
  assert.ok(![first, leaving, undefined].includes(cell.owner?.spec.vm));
  assert.is(cell.claims, claims);
});

// Its connection stays open until it has been silent for a while.
rolls('hands no cell to a VM that has just lost power', async () => {
  const cell = await startCell();
  const silent = nextOwner(cell);
  const claims = cell.claims;
  void cell.cutPower(silent);
  await cell.clock.advance(2 * HEARTBEAT_PERIOD_MS);
  void cell.restart(cell.owner?.spec.vm ?? '');
  await cell.clock.advance(SETTLE_MS);
  assert.ok(cell.owner);
  assert.is(cell.claims, claims);
});

rolls('claims the cell if the notice of its handover is lost', async () => {
  const cell = await startCell();
  const next = nextOwner(cell);
  cell.lostHandovers = 1;
  void cell.restart(cell.owner?.spec.vm ?? '');
  await cell.clock.advance(SETTLE_MS);
  assert.is(cell.lostHandovers, 0);
  assert.is(cell.owner?.spec.vm, next);
});

// It may crash again, and a crash does not show that a roll has passed it.
rolls('does not prefer a VM that came back from a crash', async () => {
  const cell = await startCell();
  const first = cell.owner;
  assert.ok(first);
  const {domain} = first.spec;
  const specs = [...cell.running.values()].map(({spec}) => spec);
  const distant = specs.find(spec => spec.domain !== domain);
  void cell.crash(distant?.vm ?? '');
  await cell.clock.advance(SETTLE_MS);
  void cell.restart(first.spec.vm);
  await cell.clock.advance(SETTLE_MS);
  assert.is(cell.owner?.spec.domain, domain);
});

const NOW_MS = 1_000_000;

function member(vm: string, state: Partial<Member> = {}): Member {
  return {
    address: {vm, ip: '', port: 0, incarnation: 1},
    domain: 'd0',
    cores: 2,
    isStoreOk: true,
    isDraining: false,
    configVersion: 1,
    restartedMs: -Infinity,
    heartbeatAt: {monotonicMs: NOW_MS, wallMs: NOW_MS},
    ...state,
  } as Member;
}

function choose(members: readonly Member[]): string {
  const predecessor = {domain: 'd0', nowMs: NOW_MS};
  return chooseSuccessor(members, predecessor)?.address.vm ?? '';
}

rolls('hands no cell to a VM without a configuration', () => {
  const starting = {configVersion: -1, restartedMs: NOW_MS - 10, cores: 8};
  assert.is(choose([member('a', starting), member('b')]), 'b');
});

rolls('hands the cell to a large VM rather than a restarted one', () => {
  const small = member('a', {cores: 1, restartedMs: NOW_MS - 1000});
  assert.is(choose([small, member('b')]), 'b');
});

rolls('hands the cell to the larger VM that the roll has passed', () => {
  const passed = {domain: 'd1', restartedMs: NOW_MS - 1000};
  assert.is(choose([member('a'), member('b', passed)]), 'b');
});

rolls('forgets a roll that was long ago', () => {
  const passed = {domain: 'd1', restartedMs: NOW_MS - 700_000};
  assert.is(choose([member('a', passed), member('b')]), 'b');
});

rolls.run();
