/** The connections of a VM to the owner, to neighbours and from others. */
import {
  listenPeers,
  PeerHandler,
  PeerMesh,
  type PeerConnection,
  type PeerInfo,
} from '@dragonflyward/peer';
import type {Server} from 'node:net';
import type {
  CellHeartbeat,
  CellProtocol,
  StoreCall,
  StoreReply,
} from './messages.js';
import type {OwnerAddress} from './ownership.js';
import type {StorePeer} from './relayed-store.js';

/** A connection that is silent for longer is dropped, in ms. */
const SILENCE_BOUND_MS = 1500;
/** A VM that was heard that lately is connected, in ms. */
const HEARD_MS = 1200;
/** A VM that was heard that lately may still be there, in ms. */
const REMEMBER_MS = 60_000;
/** Other VMs to which each VM keeps a connection besides the owner. */
const NEIGHBOURS = 2;

export type CellConnection = PeerConnection<CellProtocol>;
export type CellPeerInfo = PeerInfo<CellProtocol>;

/** What a VM does with what others send. */
export abstract class MemberHandler extends PeerHandler<CellProtocol> {
  override readonly silenceBoundMs = SILENCE_BOUND_MS;
}

/** What is known of a connected VM. */
export interface Member {
  readonly connection: CellConnection;
  readonly address: OwnerAddress;
  readonly domain: string;
  readonly cores: number;
  isStoreOk: boolean;
  isDraining: boolean;
  /** The term of the owner that the VM is connected to; 0 for none. */
  seenTerm: number;
  /** Wall-clock time of the newest heartbeat. */
  heardMs: number;
}

/** All connections of one VM. */
export class Members {
  private readonly mesh: PeerMesh<CellProtocol>;
  private readonly open = new Map<CellConnection, Member>();
  /** When each VM was last heard, on the wall clock. */
  private readonly recent = new Map<string, number>();
  private known: readonly OwnerAddress[] = [];
  private owner: OwnerAddress | null = null;
  private server: Server | null = null;

  constructor(
    private readonly self: OwnerAddress,
    private readonly handler: MemberHandler,
    private readonly seeds: readonly OwnerAddress[],
  ) {
    this.mesh = new PeerMesh(handler);
  }

  /** Listens for other VMs and connects to those that are known. */
  async start(): Promise<void> {
    const {ip, port} = this.self;
    this.server = await listenPeers<CellProtocol>(ip, port, this.handler);
    this.connect();
  }

  /** Ends all connections. */
  close(): void {
    this.mesh.close();
    this.server?.close();
    for (const connection of [...this.open.keys()]) connection.close();
  }

  /** Follows another owner. */
  setOwner(owner: OwnerAddress | null): void {
    this.owner = owner;
    this.connect();
  }

  /** Takes over the list of VMs that the owner has sent. */
  setKnown(known: readonly OwnerAddress[]): void {
    this.known = known;
    this.connect();
  }

  /** A connection to a peer stands. */
  add(connection: CellConnection): void {
    const {info} = connection;
    if (info === undefined) return;
    const {self: address, domain, cores} = info;
    const unknown = {
      isStoreOk: true,
      isDraining: false,
      seenTerm: 0,
      heardMs: Date.now(),
    };
    this.recent.set(address.vm, Date.now());
    const member = {connection, address, domain, cores, ...unknown};
    this.open.set(connection, member);
  }

  /** A connection is gone. */
  remove(connection: CellConnection): void {
    this.open.delete(connection);
  }

  /** Takes in what a peer's heartbeat says of it. */
  note(vm: string, beat: CellHeartbeat): void {
    for (const member of this.open.values()) {
      if (member.address.vm !== vm) continue;
      member.isStoreOk = beat.isStoreOk;
      member.isDraining = beat.isDraining;
      member.seenTerm = beat.isOwnerSeen ? beat.term : 0;
      member.heardMs = Date.now();
      this.recent.set(vm, member.heardMs);
    }
  }

  /** Whether a connected VM is connected to the owner of that term. */
  isOwnerSeen(term: number): boolean {
    return [...this.connected()].some(({seenTerm}) => seenTerm >= term);
  }

  /** Whether every VM that was heard lately is connected and heard now. */
  isLinkedToAll(): boolean {
    const nowMs = Date.now();
    const heard = new Set<string>();
    for (const {address, heardMs} of this.open.values()) {
      if (nowMs - heardMs < HEARD_MS) heard.add(address.vm);
    }
    for (const [vm, atMs] of this.recent) {
      if (nowMs - atMs < REMEMBER_MS && !heard.has(vm)) return false;
    }
    return true;
  }

  /** The cores of the largest connected VM. */
  largestCores(): number {
    return Math.max(0, ...[...this.connected()].map(({cores}) => cores));
  }

  /** How many VMs are connected. */
  get count(): number {
    return this.addresses().length;
  }

  /** The open connection to a VM's newest process, where there is one. */
  connectionTo(address: OwnerAddress): CellConnection | undefined {
    for (const {connection, address: at} of this.open.values()) {
      const isSame =
        at.vm === address.vm && at.incarnation === address.incarnation;
      if (isSame && connection.isOpen) return connection;
    }
    return undefined;
  }

  /** One open connection to each connected VM. */
  *connected(): Generator<Member> {
    const seen = new Set<string>();
    for (const member of this.open.values()) {
      const {vm} = member.address;
      if (seen.has(vm) || !member.connection.isOpen) continue;
      seen.add(vm);
      yield member;
    }
  }

  /** The addresses of the connected VMs. */
  addresses(): readonly OwnerAddress[] {
    return [...this.connected()].map(({address}) => address);
  }

  /** Peers that can call the store, the owner first. */
  storePeers(): readonly StorePeer[] {
    const able = [...this.connected()].filter(({isStoreOk}) => isStoreOk);
    const ownerVm = this.owner?.vm;
    able.sort(
      (a, b) =>
        Number(b.address.vm === ownerVm) - Number(a.address.vm === ownerVm),
    );
    return able.map(({connection}) => toStorePeer(connection));
  }

  private connect(): void {
    const targets = new Map<string, OwnerAddress>();
    const isOther = (each: OwnerAddress): boolean =>
      each.ip !== this.self.ip || each.port !== this.self.port;
    const wanted = [...this.neighbours()];
    if (this.owner !== null) wanted.push(this.owner);
    if (this.known.length === 0) wanted.push(...this.seeds);
    for (const each of wanted) {
      if (isOther(each)) targets.set(`${each.ip}:${each.port}`, each);
    }
    this.mesh.setPeers([...targets.values()].map(toPeerAddress));
  }

  /** The next VMs in the order of names, so that all are linked in a ring. */
  private *neighbours(): Generator<OwnerAddress> {
    const sorted = [...this.known].sort((a, b) => a.vm.localeCompare(b.vm));
    const at = sorted.findIndex(({vm}) => vm === this.self.vm);
    for (let i = 1; i <= NEIGHBOURS && i < sorted.length; i += 1) {
      const next = sorted[(at + i) % sorted.length];
      if (next !== undefined) yield next;
    }
  }
}

function toPeerAddress({ip, port}: OwnerAddress): {
  readonly vm: string;
  readonly ip: string;
  readonly port: number;
} {
  return {vm: `${ip}:${port}`, ip, port};
}

function toStorePeer(connection: CellConnection): StorePeer {
  return {
    callStore: async (
      call: StoreCall,
      timeoutMs: number,
    ): Promise<StoreReply> => {
      const reply = await connection.ask({type: 'storeAsk', call}, timeoutMs);
      if (reply.type !== 'store') throw new Error(`odd reply ${reply.type}`);
      return reply;
    },
  };
}
