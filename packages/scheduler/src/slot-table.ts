/** Tracks which slots of a shard's executors are used by tickets. */
import type {Clock} from '@dragonflyward/common';
import type {VmEntry} from '@dragonflyward/vms';
import type {ExecutorHealth} from './executor-health.js';
import type {UnreportedUsage} from './unreported-usage.js';
import {gatewayLimit} from './unreported-usage.js';

/** A ticket that counts against an executor's slots and an allowance. */
export interface HeldTicket {
  readonly ticketId: string;
  readonly executorId: string;
  readonly team: string;
  readonly gateway: string;
  readonly service: string;
  readonly heldSinceMs: number;
  /** The ticket counts until it is closed, at the latest until this time. */
  readonly untilMs: number;
}

/** What an executor is needed for. */
export interface SlotRequest {
  readonly service: string;
  readonly gateway: string;
  /** Executors that already failed the request. */
  readonly avoid: readonly string[];
}

/** The executors of one shard and the tickets that they serve. */
export class SlotTable {
  private readonly executors = new Map<string, VmEntry>();
  private readonly held = new Map<string, HeldTicket>();
  private readonly usedByExecutor = new Map<string, number>();
  private readonly usedByTeam = new Map<string, number>();
  private readonly usedByGatewayKey = new Map<string, number>();
  private gatewayCount = 1;

  constructor(
    private readonly clock: Clock,
    readonly health: ExecutorHealth,
    readonly unreported: UnreportedUsage,
  ) {}

  /** Sets the executors that the list of VMs shows. */
  setExecutors(entries: readonly VmEntry[]): void {
    this.executors.clear();
    for (const entry of entries) this.executors.set(entry.id, entry);
    this.health.retainOnly(this.executors);
  }

  /** Sets how many gateways may hold tickets. */
  setGatewayCount(count: number): void {
    this.gatewayCount = Math.max(1, count);
    this.unreported.setGatewayCount(this.gatewayCount);
  }

  /** Whether any executor of the service accepts new work. */
  hasLiveExecutors(service: string): boolean {
    return this.totalSlots(service) > 0;
  }

  /** Slots of all executors of the service that accept new work. */
  totalSlots(service: string): number {
    let sum = 0;
    for (const entry of this.available(service)) sum += entry.capacity.slots;
    return sum;
  }

  /** Slots of the service that are free now. */
  freeSlots(service: string): number {
    let sum = 0;
    for (const entry of this.available(service)) sum += this.freeSlotsOn(entry);
    return sum;
  }

  /** Whether silent gateways may hold all slots of the service. */
  isReserved(service: string): boolean {
    const entries = [...this.available(service)];
    if (entries.length === 0) return false;
    return entries.every(
      ({capacity}) =>
        this.unreported.executorSlots(capacity.slots) >= capacity.slots,
    );
  }

  /**
   * Chooses the executor with the most free slots. Executors that already
   * failed the request are considered only if there is no other.
   *
   * @example
   * const entry = slots.chooseExecutor({service, gateway, avoid: []});
   */
  chooseExecutor(request: SlotRequest): VmEntry | undefined {
    const candidates = this.candidates(request);
    let best: VmEntry | undefined;
    for (const entry of candidates) {
      if (!this.hasFreeSlot(entry, request.gateway)) continue;
      if (
        best === undefined ||
        this.freeSlotsOn(entry) > this.freeSlotsOn(best)
      ) {
        best = entry;
      }
    }
    return best;
  }

  /** Counts a ticket as using its slot. */
  add(ticket: HeldTicket): void {
    if (this.held.has(ticket.ticketId)) return;
    this.held.set(ticket.ticketId, ticket);
    this.addUse(ticket, 1);
  }

  /** Stops counting a ticket. */
  release(ticketId: string): HeldTicket | undefined {
    const ticket = this.held.get(ticketId);
    if (ticket === undefined) return undefined;
    this.held.delete(ticketId);
    this.addUse(ticket, -1);
    return ticket;
  }

  /** Releases the tickets that have expired; returns how many. */
  releaseExpired(): number {
    const nowMs = this.clock.monotonicMs();
    let released = 0;
    for (const ticket of this.held.values()) {
      if (ticket.untilMs > nowMs) continue;
      this.release(ticket.ticketId);
      released += 1;
    }
    return released;
  }

  /** Looks up a ticket that counts. */
  get(ticketId: string): HeldTicket | undefined {
    return this.held.get(ticketId);
  }

  /** Slots in use by a team. */
  slotsUsedByTeam(team: string): number {
    return this.usedByTeam.get(team) ?? 0;
  }

  /** Slots in use by a team through one gateway. */
  slotsUsedByTeamVia(gateway: string, team: string): number {
    return this.usedByGatewayKey.get(teamKey(gateway, team)) ?? 0;
  }

  /** Slots in use on an executor. */
  slotsUsedOn(executorId: string): number {
    return this.usedByExecutor.get(executorId) ?? 0;
  }

  /** Slots in use by each team. */
  *teams(): Generator<readonly [string, number]> {
    yield* this.usedByTeam;
  }

  private *candidates(request: SlotRequest): Generator<VmEntry> {
    const live = [...this.available(request.service)];
    const healthy = live.filter(entry => !this.health.isSuspended(entry.id));
    const base = healthy.length > 0 ? healthy : live;
    const others = base.filter(entry => !request.avoid.includes(entry.id));
    yield* others.length > 0 ? others : base;
  }

  private *available(service: string): Generator<VmEntry> {
    for (const entry of this.executors.values()) {
      if (entry.service !== service || entry.state !== 'live') continue;
      if (!this.health.isDraining(entry.id)) yield entry;
    }
  }

  private freeSlotsOn(entry: VmEntry): number {
    const {slots} = entry.capacity;
    return (
      slots - this.slotsUsedOn(entry.id) - this.unreported.executorSlots(slots)
    );
  }

  private hasFreeSlot(entry: VmEntry, gateway: string): boolean {
    if (this.freeSlotsOn(entry) <= 0) return false;
    const used = this.usedByGatewayKey.get(executorKey(gateway, entry.id)) ?? 0;
    return used < gatewayLimit(entry.capacity.slots, this.gatewayCount);
  }

  private addUse(ticket: HeldTicket, delta: number): void {
    const {executorId, gateway, team} = ticket;
    addToCount(this.usedByExecutor, executorId, delta);
    addToCount(this.usedByTeam, team, delta);
    addToCount(this.usedByGatewayKey, executorKey(gateway, executorId), delta);
    addToCount(this.usedByGatewayKey, teamKey(gateway, team), delta);
  }
}

function executorKey(gateway: string, executorId: string): string {
  return `${gateway} executor ${executorId}`;
}

function teamKey(gateway: string, team: string): string {
  return `${gateway} team ${team}`;
}

function addToCount(
  counts: Map<string, number>,
  key: string,
  delta: number,
): void {
  const sum = (counts.get(key) ?? 0) + delta;
  if (sum === 0) counts.delete(key);
  else counts.set(key, sum);
}
