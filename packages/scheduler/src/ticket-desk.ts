/** Hands out tickets for the executors of one shard, during one term. */
import {
  DragonflywardError,
  newId,
  raise,
  type Clock,
  type EventRing,
  type Metrics,
  type ProcessRef,
} from '@dragonflyward/common';
import type {
  OpenTicket,
  PassedClaim,
  RequestClaim,
  RequestClaimed,
  RequestClaims,
  RequestRelease,
  Ticket,
  TicketAsk,
  TicketClose,
  TicketUse,
} from '@dragonflyward/peer';
import type {QueueConfig, TeamConfig} from '@dragonflyward/state';
import type {VmEntry} from '@dragonflyward/vms';
import type PQueue from 'p-queue';
import {checkAdmission} from './ticket-admission.js';
import {BlindUse, gatewayPart} from './ticket-blind.js';
import {WaitEstimate} from './ticket-estimate.js';
import {ExecutorHealth} from './ticket-health.js';
import {TicketClaims} from './ticket-claims.js';
import {
  openTicketQueue,
  TicketRoom,
  type TicketOrder,
  type TicketOptions,
  type Waiter,
} from './ticket-order.js';
import {TicketSlots} from './ticket-slots.js';

/** How long after its grant the first byte of a request may be sent. */
export const START_BY_MS = 1_000;
/** How much later than the gateway the owner takes a ticket as run out. */
const RUN_BY_MARGIN_MS = 200;
const SWEEP_PERIOD_MS = 50;
/** Used while no configuration gives the longest deadline. */
const DEFAULT_MAX_DEADLINE_MS = 60_000;
const FIRST_TERM = 1;
/** Requests on open queues without a key; no allowance applies to them. */
const NO_TEAM = '';

/** The parts of the configuration that tickets depend on. */
export interface TicketConfig {
  queue(name: string): QueueConfig | undefined;
  queues(): ReadonlyMap<string, QueueConfig>;
  team(name: string): TeamConfig | undefined;
}

/** What a ticket desk works with. */
export interface TicketDeskOptions {
  readonly shard: string;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly events: EventRing;
}

/** A team and a number of slots. */
export interface TeamSlots {
  readonly team: string;
  readonly slots: number;
}

/** The tickets of one shard under one term; a new term needs a new desk. */
export class TicketDesk extends TicketRoom {
  private readonly slots: TicketSlots;
  private readonly blind: BlindUse;
  private readonly order: TicketOrder;
  private readonly queue: PQueue<TicketOrder, TicketOptions>;
  private readonly estimate = new WaitEstimate();
  private readonly allowances = new Map<string, number>();
  private readonly claims: TicketClaims;
  private config: TicketConfig | undefined;
  private gateways = 1;
  private term: number | undefined;
  private isStopped = false;

  constructor(private readonly options: TicketDeskOptions) {
    super();
    const {clock, metrics, shard} = options;
    this.blind = new BlindUse(clock);
    this.claims = new TicketClaims(clock);
    this.slots = new TicketSlots(clock, new ExecutorHealth(clock), this.blind);
    const {order, queue} = openTicketQueue(this, clock);
    this.order = order;
    this.queue = queue;
    metrics.gauge(`tickets_waiting{shard="${shard}"}`, () => this.countAll());
    void this.keepSweeping();
  }

  /** Sets the shard's executors, as the list of VMs shows them. */
  setExecutors(entries: readonly VmEntry[]): void {
    this.slots.setExecutors(entries.filter(entry => entry.kind === 'executor'));
    this.grantWaiting();
  }

  /** Sets how many gateways there are. */
  setGateways(count: number): void {
    this.gateways = Math.max(1, count);
    this.slots.setGateways(this.gateways);
    this.claims.setGateways(this.gateways);
    this.grantWaiting();
  }

  /** Sets the configuration in force. */
  setConfig(config: TicketConfig): void {
    this.config = config;
    this.grantWaiting();
  }

  /** Sets how many slots of this shard a team may use. */
  setAllowance(team: string, slots: number): void {
    this.allowances.set(team, slots);
    this.grantWaiting();
  }

  /**
   * Gives a ticket, at once or when the request's turn comes.
   *
   * @throws noTarget, teamLimit, queueFull, deadlineUnmet, queueUnknown
   * @example
   * const ticket = await desk.ask(from.process, ask, ownership.term);
   */
  async ask(from: ProcessRef, ask: TicketAsk, term: number): Promise<Ticket> {
    this.enterTerm(term);
    const cfg = this.config?.queue(ask.queue);
    if (cfg === undefined) return raise('queueUnknown', ask.queue);
    this.checkAsk(ask, cfg);
    return this.waitForTurn(from, ask, cfg, term);
  }

  /** Takes a ticket back. */
  close(from: ProcessRef, close: TicketClose): void {
    const held = this.slots.find(close.ticketId);
    if (close.isDraining) this.noteDraining(close.executorId);
    if (held === undefined || held.gateway !== from.vm) return;
    this.noteUse(held.service, held.heldSinceMs, close);
    if (isOver(close.use)) this.slots.release(close.ticketId);
    this.grantWaiting();
  }

  /** Takes in what a gateway holds from a former owner. */
  adopt(from: ProcessRef, tickets: readonly OpenTicket[]): void {
    const nowMs = this.options.clock.monotonicMs();
    for (const ticket of tickets) {
      this.slots.hold({
        ticketId: ticket.ticketId,
        executorId: ticket.executorId,
        team: ticket.team,
        gateway: from.vm,
        service: '',
        heldSinceMs: nowMs,
        untilMs: nowMs + ticket.runByMs + RUN_BY_MARGIN_MS,
      });
    }
    this.blind.addListed(
      from.vm,
      tickets.map(ticket => ticket.team),
    );
    this.grantWaiting();
  }

  /** Takes in the claims that a gateway made at former owners. */
  adoptClaims(
    from: ProcessRef,
    claims: readonly PassedClaim[],
    upMs: number,
  ): void {
    this.claims.adopt(from, claims, upMs);
  }

  /**
   * Claims a request id at this shard as one of its homes.
   *
   * @throws duplicateId, queueFull
   */
  claim(ask: RequestClaim, term: number): RequestClaimed {
    this.enterTerm(term);
    return this.claims.claim(ask);
  }

  /** Lists the claims for the next owner; undefined where none was made. */
  passClaims(): RequestClaims | undefined {
    return this.claims.passOn(this.options.shard);
  }

  /** Takes in the claims that the owner before has passed on. */
  inheritClaims(passed: RequestClaims): void {
    this.claims.inherit(passed);
  }

  /** Gives back the claim of a request that surely did not run. */
  release(notice: RequestRelease): void {
    this.claims.release(notice);
  }

  /** Refuses all that waits; no ticket is given any more. */
  stop(): void {
    this.isStopped = true;
    for (const waiter of this.order.takeAll()) {
      waiter.refuse(new DragonflywardError('notOwner', this.options.shard));
    }
  }

  /** Slots in use, by team. */
  running(): readonly TeamSlots[] {
    return [...this.slots.teams()].map(([team, slots]) => ({team, slots}));
  }

  /** Requests that wait, by team. */
  waiting(): readonly TeamSlots[] {
    const counts = new Map<string, number>();
    for (const {ask} of this.order.waiters()) {
      counts.set(ask.team, (counts.get(ask.team) ?? 0) + 1);
    }
    return [...counts].map(([team, slots]) => ({team, slots}));
  }

  /** Slots of an executor in use by tickets that this desk knows. */
  executorUse(executorId: string): number {
    return this.slots.executorUse(executorId);
  }

  override executorFor(waiter: Waiter): VmEntry | undefined {
    const {ask, gateway} = waiter;
    if (!this.hasTeamRoom(gateway, ask.team)) return undefined;
    const {service, avoid} = ask;
    return this.slots.choose({service, gateway, avoid});
  }

  override serviceLevel(team: string): number {
    const share = this.config?.team(team)?.share ?? 1;
    return this.slots.teamUse(team) / Math.max(share, Number.EPSILON);
  }

  private enterTerm(term: number): void {
    if (this.isStopped) raise('notOwner', this.options.shard);
    if (this.term === term) return;
    if (this.term !== undefined) raise('notOwner', `term ${term}`);
    this.term = term;
    this.claims.begin(term);
    if (term !== FIRST_TERM) this.blind.begin(this.longestRunByMs());
  }

  private longestRunByMs(): number {
    let longestMs = 0;
    for (const cfg of this.config?.queues().values() ?? []) {
      longestMs = Math.max(longestMs, cfg.maxDeadlineMs);
    }
    const boundMs = longestMs > 0 ? longestMs : DEFAULT_MAX_DEADLINE_MS;
    return boundMs + RUN_BY_MARGIN_MS;
  }

  private checkAsk(ask: TicketAsk, cfg: QueueConfig): void {
    const {service, team} = ask;
    if (!this.slots.isServed(service)) raise('noTarget', service);
    // A new owner has read no allowances yet: its requests wait for them.
    const isKnown = this.allowances.size > 0 && team !== NO_TEAM;
    if (isKnown && this.allowanceOf(team) <= 0) {
      raise('teamLimit', `${team} has no slots in ${this.options.shard}`);
    }
    const {order, slots, estimate} = this;
    checkAdmission({order, slots, estimate}, ask, cfg);
  }

  private waitForTurn(
    from: ProcessRef,
    ask: TicketAsk,
    cfg: QueueConfig,
    term: number,
  ): Promise<Ticket> {
    const sinceMs = this.options.clock.monotonicMs();
    return new Promise((resolve, reject) => {
      const waiter: Waiter = {
        ask,
        gateway: from.vm,
        priority: cfg.priority,
        sinceMs,
        untilMs: sinceMs + Math.min(ask.deadlineMs, cfg.maxDeadlineMs),
        grant: executor => {
          resolve(this.issue(waiter, executor, term));
        },
        refuse: reject,
      };
      void this.queue.add(() => Promise.resolve(), {waiter});
    });
  }

  private issue(waiter: Waiter, executor: VmEntry, term: number): Ticket {
    const {clock, metrics, shard} = this.options;
    const {ask, sinceMs, untilMs, gateway} = waiter;
    const nowMs = clock.monotonicMs();
    const ticketId = newId('t');
    this.slots.hold({
      ticketId,
      executorId: executor.id,
      team: ask.team,
      gateway,
      service: ask.service,
      heldSinceMs: nowMs,
      untilMs: untilMs + RUN_BY_MARGIN_MS,
    });
    const waitedMs = nowMs - sinceMs;
    metrics.count('tickets_total');
    metrics.record(`ticket_wait_us{queue="${ask.queue}"}`, waitedMs * 1_000);
    return {
      type: 'ticket',
      ticketId,
      shard,
      term,
      executorId: executor.id,
      ip: executor.ip,
      port: executor.port,
      startByMs: waitedMs + START_BY_MS,
      runByMs: untilMs - sinceMs,
    };
  }

  private allowanceOf(team: string): number {
    return this.allowances.get(team) ?? 0;
  }

  private hasTeamRoom(gateway: string, team: string): boolean {
    if (team === NO_TEAM) return true;
    const allowance = this.allowanceOf(team);
    const unseen = this.blind.teamSlots(team, allowance);
    if (this.slots.teamUse(team) + unseen >= allowance) return false;
    const part = gatewayPart(allowance, this.gateways);
    return this.slots.teamUseThrough(gateway, team) < part;
  }

  private noteDraining(executorId: string): void {
    const {health} = this.slots;
    if (health.isDraining(executorId)) return;
    health.addDraining(executorId);
    this.options.events.add('executorLeaving', {executor: executorId});
  }

  private noteUse(
    service: string,
    heldSinceMs: number,
    close: TicketClose,
  ): void {
    const {executorId, use} = close;
    const {health} = this.slots;
    if (use === 'done') {
      const heldMs = this.options.clock.monotonicMs() - heldSinceMs;
      this.estimate.add(service, heldMs);
      return health.addSuccess(executorId);
    }
    if (use === 'notSent' || use === 'abandoned') return;
    if (!health.addFailure(executorId)) return;
    this.options.events.add('executorLost', {executor: executorId}, use);
  }

  private countAll(): number {
    return [...this.order.waiters()].length;
  }

  /** A request that could not be done in time would only take up a slot. */
  private refuseLate(): void {
    const needMs = (waiter: Waiter): number =>
      this.estimate.holdMs(waiter.ask.service);
    for (const waiter of this.order.takeLate(needMs)) {
      const {queue} = waiter.ask;
      waiter.refuse(new DragonflywardError('deadlineUnmet', queue));
    }
  }

  private grantWaiting(): void {
    this.refuseLate();
    this.queue.concurrency = Infinity;
  }

  private async keepSweeping(): Promise<void> {
    while (!this.isStopped) {
      await this.options.clock.sleep(SWEEP_PERIOD_MS);
      this.sweep();
    }
  }

  private sweep(): void {
    this.slots.dropExpired();
    this.refuseLate();
    this.grantWaiting();
  }
}

/** Whether the executor surely works on the request no longer. */
function isOver(use: TicketUse): boolean {
  return use !== 'unknown' && use !== 'abandoned';
}
