/** A VM's connections to the owner, to its neighbours and from other VMs. */
import {raise, type Clock} from '@dragonflyward/common';
import {
  listenPeers,
  PeerHandler,
  PeerMesh,
  type AskOptions,
  type PeerConnection,
  type PeerInfo,
} from '@dragonflyward/peer';
import type {Server} from 'node:net';
import {neighbourNames, nextInRing} from './member-ring.js';
import type {
  CellHeartbeat,
  CellProtocol,
  ListedMember,
  StoreCall,
  StoreReply,
} from './messages.js';
import type {OwnerAddress} from './ownership.js';
import {MAX_VM_NAME_LENGTH, setRecent} from './recent-entries.js';
import type {StorePeer} from './relayed-store.js';
import {mayOwn} from './successor.js';

/** A connection is closed after this time without a message, in ms. */
const SILENCE_TIMEOUT_MS = 1500;
/** Maximum age of the last heartbeat of a connected VM, in ms. */
export const MAX_HEARTBEAT_AGE_MS = 1200;
/** Store calls go through peers with newer heartbeats first, in ms. */
const MAX_PEER_SILENCE_MS = 900;
/** How long a VM without heartbeats is assumed to be running, in ms. */
const MEMBER_RETENTION_MS = 60_000;
/** How long a process that owned the cell and did not act is passed over. */
const IDLE_RETENTION_MS = 20_000;

export type CellConnection = PeerConnection<CellProtocol>;
export type CellPeerInfo = PeerInfo<CellProtocol>;

/** Handles the messages of other VMs. */
export abstract class MemberHandler extends PeerHandler<CellProtocol> {
  override readonly heartbeatTimeoutMs = SILENCE_TIMEOUT_MS;
}

/** A time on both clocks: a suspended machine's monotonic clock stops. */
interface Instant {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

interface IdleProcess {
  readonly incarnation: number;
  /** Until when it is passed over, on the monotonic clock. */
  readonly untilMs: number;
}

/** State of a connected VM. */
export interface Member {
  readonly connection: CellConnection;
  readonly address: OwnerAddress;
  readonly domain: string;
  readonly cores: number;
  isStoreOk: boolean;
  /** How long its calls to the store take, in ms; 0 if not known. */
  storeMs: number;
  isDraining: boolean;
  /** Whether it says or has shown that it could not load the state lately. */
  hasLoadFailed: boolean;
  /** The version of its configuration; -1 before the first or if not known. */
  configVersion: number;
  /** When it came back after it had shut down; -Infinity if not seen. */
  readonly restartedMs: number;
  /** The term of the owner that the VM is connected to, or 0. */
  connectedOwnerTerm: number;
  /** When the last heartbeat arrived. */
  heartbeatAt: Instant;
}

/** All connections of one VM. */
export class Members {
  private readonly mesh: PeerMesh<CellProtocol>;
  private readonly members = new Map<CellConnection, Member>();
  /** When each VM last sent a heartbeat, on the monotonic clock. */
  private readonly lastSeenMs = new Map<string, number>();
  /** When the last connection to each VM ended, on the monotonic clock. */
  private readonly disconnectedMs = new Map<string, number>();
  /** The process of each VM that was seen to shut down, by incarnation. */
  private readonly drained = new Map<string, number>();
  /** When a new process of such a VM was seen, on the monotonic clock. */
  private readonly restartedMs = new Map<string, number>();
  /** The last process of each VM that owned the cell and did not act. */
  private readonly idle = new Map<string, IdleProcess>();
  private knownMembers: readonly ListedMember[] = [];
  /** The cores of the VMs that the owner has listed with their sizes. */
  private listedCores: ReadonlyMap<string, number> = new Map();
  private owner: OwnerAddress | null = null;
  private server: Server | null = null;

  constructor(
    private readonly self: OwnerAddress,
    private readonly handler: MemberHandler,
    private readonly seeds: readonly OwnerAddress[],
    private readonly clock: Clock,
    private readonly maxConnections?: number,
  ) {
    this.mesh = new PeerMesh(handler);
  }

  /** Listens for other VMs and connects to the known ones. */
  async start(): Promise<void> {
    const {ip, port} = this.self;
    const {handler, maxConnections} = this;
    this.server = await listenPeers(ip, port, handler, maxConnections);
    this.connect();
  }

  /** Closes all connections. */
  close(): void {
    this.mesh.close();
    this.server?.close();
    for (const connection of [...this.members.keys()]) connection.close();
  }

  /** Sets the owner to connect to. */
  setOwner(owner: OwnerAddress | null): void {
    this.owner = owner;
    this.connect();
  }

  /** Sets the list of VMs that the owner has sent. */
  setKnownMembers(members: readonly ListedMember[]): void {
    this.knownMembers = members;
    this.connect();
    this.listedCores = new Map(members.map(({vm, cores = 0}) => [vm, cores]));
  }

  /** Adds an established connection to a peer. */
  add(connection: CellConnection): void {
    const {info} = connection;
    if (info === undefined) return;
    const {self: address, domain, cores} = info;
    if (address.vm.length > MAX_VM_NAME_LENGTH) {
      return raise('badRequest', 'the name of the VM is too long');
    }
    this.recordRestart(address);
    const defaults = {
      isStoreOk: true,
      storeMs: 0,
      isDraining: false,
      hasLoadFailed: this.isIdle(address),
      configVersion: -1,
      restartedMs: this.restartedMs.get(address.vm) ?? -Infinity,
      connectedOwnerTerm: 0,
      heartbeatAt: this.now(),
    };
    setRecent(this.lastSeenMs, address.vm, this.clock.monotonicMs());
    const member = {connection, address, domain, cores, ...defaults};
    this.members.set(connection, member);
  }

  /** Removes a closed connection. */
  remove(connection: CellConnection): void {
    this.members.delete(connection);
    const vm = connection.info?.self.vm;
    if (vm === undefined) return;
    setRecent(this.disconnectedMs, vm, this.clock.monotonicMs());
  }

  /** When this VM was last connected to another one; -Infinity for never. */
  connectedMs(vm: string): number {
    for (const {address} of this.members.values()) {
      if (address.vm === vm) return this.clock.monotonicMs();
    }
    return this.disconnectedMs.get(vm) ?? -Infinity;
  }

  /** Updates a peer's state from its heartbeat. */
  recordHeartbeat(vm: string, heartbeat: CellHeartbeat): void {
    for (const member of this.members.values()) {
      if (member.address.vm !== vm) continue;
      member.isStoreOk = heartbeat.isStoreOk;
      member.storeMs = heartbeat.storeMs ?? 0;
      member.isDraining = heartbeat.isDraining;
      const hasSaidSo = heartbeat.hasLoadFailed ?? false;
      member.hasLoadFailed = hasSaidSo || this.isIdle(member.address);
      member.configVersion = heartbeat.configVersion;
      if (member.isDraining) {
        setRecent(this.drained, vm, member.address.incarnation);
      }
      member.connectedOwnerTerm = heartbeat.isOwnerSeen ? heartbeat.term : 0;
      member.heartbeatAt = this.now();
      setRecent(this.lastSeenMs, vm, this.clock.monotonicMs());
    }
  }

  /** Records that a process owned the cell for a while and did not act. */
  recordIdle(address: OwnerAddress): void {
    const {vm, incarnation} = address;
    const untilMs = this.clock.monotonicMs() + IDLE_RETENTION_MS;
    setRecent(this.idle, vm, {incarnation, untilMs});
    for (const member of this.members.values()) {
      member.hasLoadFailed ||= this.isIdle(member.address);
    }
  }

  private isIdle({vm, incarnation}: OwnerAddress): boolean {
    const known = this.idle.get(vm);
    if (known === undefined || known.incarnation !== incarnation) return false;
    return this.clock.monotonicMs() < known.untilMs;
  }

  /** Records that a VM is back after it had shut down. */
  private recordRestart({vm, incarnation}: OwnerAddress): void {
    const drained = this.drained.get(vm);
    if (drained === undefined || drained === incarnation) return;
    this.drained.delete(vm);
    setRecent(this.restartedMs, vm, this.clock.monotonicMs());
  }

  /** Whether a connected VM is connected to an owner of this term or later. */
  isOwnerSeen(term: number): boolean {
    return [...this.connected()].some(
      ({connectedOwnerTerm}) => connectedOwnerTerm >= term,
    );
  }

  /** Whether every VM that may be running is connected and sends heartbeats. */
  isConnectedToAll(): boolean {
    const heard = new Set<string>();
    for (const {address, heartbeatAt} of this.members.values()) {
      if (this.ageMs(heartbeatAt) < MAX_HEARTBEAT_AGE_MS) heard.add(address.vm);
    }
    const nowMs = this.clock.monotonicMs();
    for (const [vm, seenMs] of this.lastSeenMs) {
      if (nowMs - seenMs < MEMBER_RETENTION_MS && !heard.has(vm)) return false;
    }
    return true;
  }

  private now(): Instant {
    const {clock} = this;
    return {monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs()};
  }

  /** The age by the clock that shows the higher one. */
  private ageMs({monotonicMs, wallMs}: Instant): number {
    const now = this.now();
    return Math.max(now.monotonicMs - monotonicMs, now.wallMs - wallMs);
  }

  /**
   * Returns the highest number of cores of another VM that may own the cell,
   * without the VM that is named: of the connected ones, and of those that the
   * owner has listed. Most VMs are connected to the owner and neighbours only.
   *
   * @example
   * const isLargerKnown = members.maxPeerCores(record.vm) > cores;
   */
  maxPeerCores(exceptVm = ''): number {
    const sizes = new Map(this.listedCores);
    // A neighbour that is listed and not connected has gone.
    for (const vm of neighbourNames(this.knownMembers, this.self.vm)) {
      sizes.delete(vm);
    }
    for (const member of this.connected()) {
      sizes.set(member.address.vm, mayOwn(member) ? member.cores : 0);
    }
    for (const vm of [exceptVm, this.self.vm]) sizes.delete(vm);
    return Math.max(0, ...sizes.values());
  }

  /** The number of connected VMs. */
  get count(): number {
    return this.addresses().length;
  }

  /** Returns the open connection to a process of a VM, if there is one. */
  connectionTo(address: OwnerAddress): CellConnection | undefined {
    for (const {connection, address: at} of this.members.values()) {
      const isSame =
        at.vm === address.vm && at.incarnation === address.incarnation;
      if (isSame && connection.isOpen) return connection;
    }
    return undefined;
  }

  /** Yields one open connection for each connected VM. */
  *connected(): Generator<Member> {
    const seen = new Set<string>();
    for (const member of this.members.values()) {
      const {vm} = member.address;
      if (seen.has(vm) || !member.connection.isOpen) continue;
      seen.add(vm);
      yield member;
    }
  }

  /** The number of VMs of the cell, this one included, as far as known. */
  get knownCount(): number {
    return Math.max(this.knownMembers.length, this.count + 1);
  }

  /** Returns the addresses of the connected VMs. */
  addresses(): readonly OwnerAddress[] {
    return [...this.connected()].map(({address}) => address);
  }

  /**
   * Returns this VM, which has the given cores, and the connected ones.
   *
   * @example
   * const notice = {type: 'members', members: members.listed(cores)};
   */
  listed(ownCores: number): readonly ListedMember[] {
    const others = [...this.connected()].map(({address, cores}) => ({
      ...address,
      cores,
    }));
    return [{...this.self, cores: ownCores}, ...others];
  }

  /**
   * Returns the peers that can call the store: those first whose heartbeats
   * arrive, and the owner before others.
   */
  storePeers(): readonly StorePeer[] {
    const usable = [...this.connected()].filter(({isStoreOk}) => isStoreOk);
    const rank = ({address, heartbeatAt}: Member): number =>
      Number(this.ageMs(heartbeatAt) >= MAX_PEER_SILENCE_MS) * 2 +
      Number(address.vm !== this.owner?.vm);
    usable.sort((a, b) => rank(a) - rank(b));
    return usable.map(({address, connection}) =>
      toStorePeer(address.vm, connection),
    );
  }

  /** Returns the owner, if it is connected, and how long its calls take. */
  ownerStore(): {readonly peer: StorePeer; readonly callMs: number} | null {
    for (const member of this.connected()) {
      const {address, storeMs, isStoreOk} = member;
      if (address.vm !== this.owner?.vm || !isStoreOk) continue;
      const peer = toStorePeer(address.vm, member.connection);
      return {peer, callMs: storeMs};
    }
    return null;
  }

  private connect(): void {
    const targets = new Map<string, OwnerAddress>();
    const isOther = (each: OwnerAddress): boolean =>
      each.ip !== this.self.ip || each.port !== this.self.port;
    const wanted: OwnerAddress[] = [
      ...nextInRing(this.knownMembers, this.self.vm),
    ];
    if (this.owner !== null) wanted.push(this.owner);
    if (this.knownMembers.length === 0) wanted.push(...this.seeds);
    for (const each of wanted) {
      if (isOther(each)) targets.set(`${each.ip}:${each.port}`, each);
    }
    this.mesh.setPeers([...targets.values()].map(toPeerAddress));
  }
}

function toPeerAddress({ip, port}: OwnerAddress): {
  readonly vm: string;
  readonly ip: string;
  readonly port: number;
} {
  return {vm: `${ip}:${port}`, ip, port};
}

/**
 * Returns a VM as a peer that makes store calls.
 *
 * @example
 * const page = await toStorePeer(vm, connection).callStore(call, timeoutMs);
 */
export function toStorePeer(vm: string, connection: CellConnection): StorePeer {
  return {
    vm,
    callStore: async (
      call: StoreCall,
      timeoutMs: number,
      options?: AskOptions,
    ): Promise<StoreReply> => {
      const ask = {type: 'storeAsk', call} as const;
      const reply = await connection.ask(ask, timeoutMs, options);
      if (reply.type !== 'store') throw new Error(`unexpected ${reply.type}`);
      return reply;
    },
  };
}
