/** Counts the slots of a shard's executors that tickets use. */
import type {Clock} from '@dragonflyward/common';
import type {VmEntry} from '@dragonflyward/vms';
import type {ExecutorHealth} from './ticket-health.js';
import type {BlindUse} from './ticket-blind.js';
import {gatewayPart} from './ticket-blind.js';

/** A ticket that counts against an executor's slots and a team. */
export interface HeldTicket {
  readonly ticketId: string;
  readonly executorId: string;
  readonly team: string;
  readonly gateway: string;
  readonly service: string;
  readonly heldSinceMs: number;
  /** The ticket counts until it is closed, or until this time. */
  readonly untilMs: number;
}

/** Which executor a ticket is wanted for. */
export interface SlotWish {
  readonly service: string;
  readonly gateway: string;
  /** Executors that failed the request before. */
  readonly avoid: readonly string[];
}

/** The executors of one shard and the tickets that they serve. */
export class TicketSlots {
  private readonly executors = new Map<string, VmEntry>();
  private readonly held = new Map<string, HeldTicket>();
  private readonly usedByExecutor = new Map<string, number>();
  private readonly usedByTeam = new Map<string, number>();
  private readonly usedByGateway = new Map<string, number>();
  private gateways = 1;

  constructor(
    private readonly clock: Clock,
    readonly health: ExecutorHealth,
    readonly blind: BlindUse,
  ) {}

  /** Sets the executors that the list of VMs shows. */
  setExecutors(entries: readonly VmEntry[]): void {
    this.executors.clear();
    for (const entry of entries) this.executors.set(entry.id, entry);
    this.health.keepOnly(this.executors);
  }

  /** Sets how many gateways may hold tickets. */
  setGateways(count: number): void {
    this.gateways = Math.max(1, count);
    this.blind.setGateways(this.gateways);
  }

  /** Whether any executor of the service may take new work. */
  isServed(service: string): boolean {
    return this.slotsOf(service) > 0;
  }

  /** The slots of all executors of the service that take new work. */
  slotsOf(service: string): number {
    let sum = 0;
    for (const entry of this.live(service)) sum += entry.capacity.slots;
    return sum;
  }

  /** The slots of the service that a ticket could use now. */
  freeOf(service: string): number {
    let sum = 0;
    for (const entry of this.live(service)) sum += this.free(entry);
    return sum;
  }

  /**
   * Chooses the executor with the most free slots; one that failed the
   * request before is chosen only where there is no other at all.
   *
   * @example
   * const entry = slots.choose({service: 'quote', gateway: 'vm-1', avoid: []});
   */
  choose(wish: SlotWish): VmEntry | undefined {
    const usable = this.usable(wish);
    let best: VmEntry | undefined;
    for (const entry of usable) {
      if (!this.hasRoom(entry, wish.gateway)) continue;
      if (best === undefined || this.free(entry) > this.free(best)) {
        best = entry;
      }
    }
    return best;
  }

  /** Counts a ticket. */
  hold(ticket: HeldTicket): void {
    if (this.held.has(ticket.ticketId)) return;
    this.held.set(ticket.ticketId, ticket);
    this.countUse(ticket, 1);
  }

  /** Counts a ticket no longer. */
  release(ticketId: string): HeldTicket | undefined {
    const ticket = this.held.get(ticketId);
    if (ticket === undefined) return undefined;
    this.held.delete(ticketId);
    this.countUse(ticket, -1);
    return ticket;
  }

  /** Drops the tickets whose time has run out. */
  dropExpired(): number {
    const nowMs = this.clock.monotonicMs();
    let dropped = 0;
    for (const ticket of this.held.values()) {
      if (ticket.untilMs > nowMs) continue;
      this.release(ticket.ticketId);
      dropped += 1;
    }
    return dropped;
  }

  /** Looks up a ticket that counts. */
  find(ticketId: string): HeldTicket | undefined {
    return this.held.get(ticketId);
  }

  /** Slots in use by a team. */
  teamUse(team: string): number {
    return this.usedByTeam.get(team) ?? 0;
  }

  /** Slots in use by a team through one gateway. */
  teamUseThrough(gateway: string, team: string): number {
    return this.usedByGateway.get(teamKey(gateway, team)) ?? 0;
  }

  /** Slots in use on an executor. */
  executorUse(executorId: string): number {
    return this.usedByExecutor.get(executorId) ?? 0;
  }

  /** The teams that use slots. */
  *teams(): Generator<readonly [string, number]> {
    yield* this.usedByTeam;
  }

  private *usable(wish: SlotWish): Generator<VmEntry> {
    const live = [...this.live(wish.service)];
    const healthy = live.filter(entry => !this.health.isSetAside(entry.id));
    const base = healthy.length > 0 ? healthy : live;
    const others = base.filter(entry => !wish.avoid.includes(entry.id));
    yield* others.length > 0 ? others : base;
  }

  private *live(service: string): Generator<VmEntry> {
    for (const entry of this.executors.values()) {
      if (entry.service !== service || entry.state !== 'live') continue;
      if (!this.health.isDraining(entry.id)) yield entry;
    }
  }

  private free(entry: VmEntry): number {
    const {slots} = entry.capacity;
    return slots - this.executorUse(entry.id) - this.blind.slots(slots);
  }

  private hasRoom(entry: VmEntry, gateway: string): boolean {
    if (this.free(entry) <= 0) return false;
    const used = this.usedByGateway.get(executorKey(gateway, entry.id)) ?? 0;
    return used < gatewayPart(entry.capacity.slots, this.gateways);
  }

  private countUse(ticket: HeldTicket, delta: number): void {
    const {executorId, gateway, team} = ticket;
    addTo(this.usedByExecutor, executorId, delta);
    addTo(this.usedByTeam, team, delta);
    addTo(this.usedByGateway, executorKey(gateway, executorId), delta);
    addTo(this.usedByGateway, teamKey(gateway, team), delta);
  }
}

function executorKey(gateway: string, executorId: string): string {
  return `${gateway} executor ${executorId}`;
}

function teamKey(gateway: string, team: string): string {
  return `${gateway} team ${team}`;
}

function addTo(counts: Map<string, number>, key: string, delta: number): void {
  const sum = (counts.get(key) ?? 0) + delta;
  if (sum === 0) counts.delete(key);
  else counts.set(key, sum);
}
