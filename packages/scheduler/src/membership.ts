/** The members: the list of VMs joined with the schedulers' heartbeats. */
import {rankByHash, type Clock, type ProcessRef} from '@dragonflyward/common';
import type {
  Heartbeat,
  OwnedShard,
  PeerConnection,
  PeerInfo,
} from '@dragonflyward/peer';
import type {VmEntry} from '@dragonflyward/vms';

/** Number of schedulers that follow a shard: its owner and successors. */
const FOLLOWERS_PER_SHARD = 3;
/** A process whose last read of the log is older may be cut off from it. */
const MAX_LOG_READ_AGE_MS = 2_000;
/** A process that lost the log gets no shard back for this long. */
const LOG_RECOVERY_MS = 10_000;

interface SchedulerPresence {
  readonly process: ProcessRef;
  /** When the first heartbeat of this incarnation arrived. */
  readonly sinceMs: number;
  /** When the latest heartbeat arrived. */
  readonly atMs: number;
  readonly canReadLog: boolean;
  /** When a heartbeat last showed that it stopped reading the log. */
  readonly logLostMs: number;
  readonly isDraining: boolean;
  readonly owns: readonly OwnedShard[];
}

/** The listed VMs and the schedulers that sent heartbeats. */
export class Membership {
  private vms: ReadonlyMap<string, VmEntry> = new Map();
  private readonly connections = new Set<PeerConnection>();
  private readonly schedulers = new Map<string, SchedulerPresence>();
  /** When the latest list was requested; undefined before the first. */
  listSentMs: number | undefined;

  constructor(
    private readonly self: ProcessRef,
    private readonly clock: Clock,
  ) {}

  /**
   * Sets a newly read list.
   *
   * @example
   * membership.setVms(await vmList.list(), sentMs);
   */
  setVms(vms: readonly VmEntry[], sentMs: number): void {
    this.vms = new Map(vms.map(vm => [vm.id, vm]));
    this.listSentMs = sentMs;
  }

  /** Adds a connection that was opened. */
  addConnection(connection: PeerConnection): void {
    this.connections.add(connection);
  }

  /** Removes a connection that was closed. */
  removeConnection(connection: PeerConnection): void {
    this.connections.delete(connection);
  }

  /** Lists one open connection for each gateway. */
  gatewayConnections(): readonly PeerConnection[] {
    const found = new Map<string, PeerConnection>();
    for (const connection of this.connections) {
      const {info, isOpen} = connection;
      if (!isOpen || info?.role !== 'gateway') continue;
      found.set(info.process.vm, connection);
    }
    return [...found.values()];
  }

  /** Records a scheduler's heartbeat; ignores older incarnations. */
  recordHeartbeat(from: PeerInfo, heartbeat: Heartbeat): void {
    if (from.role !== 'scheduler') return;
    const known = this.schedulers.get(from.process.vm);
    const isOlder =
      known !== undefined &&
      known.process.incarnation > from.process.incarnation;
    if (isOlder) return;
    const nowMs = this.clock.monotonicMs();
    const isSame = known?.process.incarnation === from.process.incarnation;
    const canReadLog = heartbeat.configAgeMs < MAX_LOG_READ_AGE_MS;
    const hasJustLostLog = isSame && known.canReadLog && !canReadLog;
    const knownLogLostMs = isSame ? known.logLostMs : -Infinity;
    this.schedulers.set(from.process.vm, {
      process: from.process,
      sinceMs: isSame ? known.sinceMs : nowMs,
      atMs: nowMs,
      canReadLog,
      logLostMs: hasJustLostLog ? nowMs : knownLogLostMs,
      isDraining: heartbeat.isDraining,
      owns: heartbeat.owns,
    });
  }

  /** The VM whose scheduler most recently claimed to own the shard. */
  ownerVm(shard: string): string | undefined {
    let newest: SchedulerPresence | undefined;
    for (const presence of this.schedulers.values()) {
      if (!presence.owns.some(owned => owned.shard === shard)) continue;
      if (presence.atMs > (newest?.atMs ?? -Infinity)) newest = presence;
    }
    return newest?.process.vm;
  }

  /** Whether the latest heartbeat of a process names it as the owner. */
  isOwner(process: ProcessRef, {shard, term}: OwnedShard): boolean {
    const presence = this.schedulers.get(process.vm);
    if (presence?.process.incarnation !== process.incarnation) return false;
    return presence.owns.some(o => o.shard === shard && o.term === term);
  }

  /** Lists the VMs of one kind in one failure domain. */
  *vmsIn(domain: string, kind: VmEntry['kind']): Generator<VmEntry> {
    for (const vm of this.vms.values()) {
      if (vm.kind === kind && vm.domain === domain) yield vm;
    }
  }

  /** Lists all entry VMs. */
  *entryVms(): Generator<VmEntry> {
    for (const vm of this.vms.values()) if (vm.kind === 'entry') yield vm;
  }

  /** Names the failure domains that have targets, in order. */
  domains(): readonly string[] {
    const names = new Set<string>();
    for (const vm of this.vms.values()) {
      if (vm.kind !== 'entry') names.add(vm.domain);
    }
    return [...names].sort();
  }

  /** Whether the list shows the process's VM, or has not been read yet. */
  isListed(process: ProcessRef): boolean {
    return this.listSentMs === undefined || this.vms.has(process.vm);
  }

  /** Time since the last heartbeat; infinite if there was none. */
  silentMs(process: ProcessRef): number {
    if (process.vm === this.self.vm) {
      return process.incarnation === this.self.incarnation ? 0 : Infinity;
    }
    const presence = this.schedulers.get(process.vm);
    if (presence?.process.incarnation !== process.incarnation) return Infinity;
    return this.clock.monotonicMs() - presence.atMs;
  }

  /**
   * Ranks the entry VMs for a shard: those of its failure domain first, then
   * those of its region, then the others.
   */
  rankedVms(shard: string): readonly VmEntry[] {
    const region = this.regionOf(shard);
    const entries = [...this.entryVms()].filter(vm => vm.state === 'live');
    const distance = (vm: VmEntry): number => {
      if (vm.domain === shard) return 0;
      return vm.region === region ? 1 : 2;
    };
    const ranked = rankByHash(shard, entries, vm => vm.id);
    return ranked.sort((a, b) => distance(a) - distance(b));
  }

  /** The entry VMs whose schedulers follow the shard's stream. */
  followers(shard: string): readonly VmEntry[] {
    return this.rankedVms(shard).slice(0, FOLLOWERS_PER_SHARD);
  }

  /** The other running schedulers that follow the shard, best first. */
  otherFollowers(shard: string, maxSilentMs: number): readonly ProcessRef[] {
    const found: ProcessRef[] = [];
    for (const vm of this.followers(shard)) {
      const process = this.schedulerOn(vm.id);
      if (process === undefined || process.vm === this.self.vm) continue;
      if (this.silentMs(process) <= maxSilentMs) found.push(process);
    }
    return found;
  }

  /**
   * Whether a process is in the shard's failure domain, has sent heartbeats
   * for at least the given time and has not recently lost the log.
   */
  isSettledIn(shard: string, process: ProcessRef, forMs: number): boolean {
    if (this.vms.get(process.vm)?.domain !== shard) return false;
    const presence = this.schedulers.get(process.vm);
    if (presence === undefined || !this.canReadLog(process)) return false;
    const nowMs = this.clock.monotonicMs();
    if (nowMs - presence.logLostMs < LOG_RECOVERY_MS) return false;
    return nowMs - presence.sinceMs >= forMs;
  }

  /** Whether the latest heartbeat shows that the process reads the log. */
  canReadLog(process: ProcessRef): boolean {
    const presence = this.schedulers.get(process.vm);
    if (presence?.process.incarnation !== process.incarnation) return false;
    return presence.canReadLog;
  }

  private schedulerOn(vm: string): ProcessRef | undefined {
    const presence = this.schedulers.get(vm);
    return presence?.isDraining === true ? undefined : presence?.process;
  }

  private regionOf(domain: string): string {
    for (const vm of this.vms.values()) {
      if (vm.domain === domain) return vm.region;
    }
    return '';
  }
}
