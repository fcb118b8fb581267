/** Issues tickets for the executors of one shard during one term. */
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
import {UnreportedUsage, gatewayLimit} from './unreported-usage.js';
import {CompletionEstimator} from './completion-estimator.js';
import {ExecutorHealth} from './executor-health.js';
import {RequestClaimRegistry} from './request-claim-registry.js';
import {
  makeTicketQueue,
  GrantPolicy,
  type FairQueue,
  type TicketOptions,
  type Waiter,
} from './fair-queue.js';
import {SlotTable} from './slot-table.js';

/** How long after the ticket is issued a request may start to be sent. */
export const START_WINDOW_MS = 1_000;
/**
 * How long requests wait for what a new owner has to learn: the allowances, and
 * the tickets that gateways hold from a former owner.
 */
export const TAKEOVER_WAIT_MS = 1_000;
/** The owner treats a ticket as expired this much later than the gateway. */
const EXPIRY_MARGIN_MS = 200;
const SWEEP_PERIOD_MS = 50;
/** Used while no configuration gives a maximum deadline. */
const DEFAULT_MAX_DEADLINE_MS = 60_000;
const FIRST_TERM = 1;
/** Team of requests without a key, on open queues; it has no allowance. */
const NO_TEAM = '';

/** The parts of the configuration that tickets depend on. */
export interface TicketConfig {
  queue(name: string): QueueConfig | undefined;
  queues(): ReadonlyMap<string, QueueConfig>;
  team(name: string): TeamConfig | undefined;
}

/** Options of a ticket issuer. */
export interface TicketIssuerOptions {
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

/** The tickets of one shard in one term; each term has its own instance. */
export class TicketIssuer extends GrantPolicy {
  private readonly slots: SlotTable;
  private readonly unreported: UnreportedUsage;
  private readonly fairQueue: FairQueue;
  private readonly queue: PQueue<FairQueue, TicketOptions>;
  private readonly estimator = new CompletionEstimator();
  private readonly allowances = new Map<string, number>();
  private readonly claims: RequestClaimRegistry;
  private config: TicketConfig | undefined;
  private gatewayCount = 1;
  private term: number | undefined;
  private readonly startedMs: number;
  private isStopped = false;

  constructor(private readonly options: TicketIssuerOptions) {
    super();
    const {clock, metrics, shard} = options;
    this.startedMs = clock.monotonicMs();
    this.unreported = new UnreportedUsage(clock);
    this.claims = new RequestClaimRegistry(clock);
    this.slots = new SlotTable(
      clock,
      new ExecutorHealth(clock),
      this.unreported,
    );
    const {fairQueue, queue} = makeTicketQueue(this, clock);
    this.fairQueue = fairQueue;
    this.queue = queue;
    metrics.gauge(`tickets_waiting{shard="${shard}"}`, () =>
      this.waitingCount(),
    );
    void this.sweepLoop();
  }

  /** Sets the shard's executors, as the list of VMs shows them. */
  setExecutors(entries: readonly VmEntry[]): void {
    this.slots.setExecutors(entries.filter(entry => entry.kind === 'executor'));
    this.grantWaiting();
  }

  /** Sets the number of gateways. */
  setGatewayCount(count: number): void {
    this.gatewayCount = Math.max(1, count);
    this.slots.setGatewayCount(this.gatewayCount);
    this.claims.setGatewayCount(this.gatewayCount);
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
   * Issues a ticket, at once or when the request's turn comes.
   *
   * @throws noTarget, notOwner, teamLimit, queueFull, deadlineUnmet,
   *     queueUnknown
   * @example
   * const ticket = await issuer.ask(from.process, ask, ownership.term);
   */
  async ask(from: ProcessRef, ask: TicketAsk, term: number): Promise<Ticket> {
    this.bindTerm(term);
    const cfg = this.config?.queue(ask.queue);
    if (cfg === undefined) return raise('queueUnknown', ask.queue);
    this.checkRequest(ask, cfg);
    return this.waitForTurn(from, ask, cfg, term);
  }

  /** Closes a ticket. */
  close(from: ProcessRef, close: TicketClose): void {
    const held = this.slots.get(close.ticketId);
    if (close.isDraining) this.recordDraining(close.executorId);
    if (held === undefined || held.gateway !== from.vm) return;
    this.recordUse(held.service, held.heldSinceMs, close);
    if (freesSlot(close.use)) this.slots.release(close.ticketId);
    this.grantWaiting();
  }

  /** Adds the open tickets that a gateway has from a former owner. */
  adoptTickets(from: ProcessRef, tickets: readonly OpenTicket[]): void {
    const nowMs = this.options.clock.monotonicMs();
    for (const ticket of tickets) {
      this.slots.add({
        ticketId: ticket.ticketId,
        executorId: ticket.executorId,
        team: ticket.team,
        gateway: from.vm,
        service: '',
        heldSinceMs: nowMs,
        untilMs: nowMs + ticket.runByMs + EXPIRY_MARGIN_MS,
      });
    }
    this.unreported.addReported(
      from.vm,
      tickets.map(ticket => ticket.team),
    );
    this.grantWaiting();
  }

  /** Adds the claims that a gateway made at former owners. */
  addGatewayClaims(
    from: ProcessRef,
    claims: readonly PassedClaim[],
    upMs: number,
  ): void {
    this.claims.addGatewayClaims(from, claims, upMs);
  }

  /**
   * Claims a request id at this shard, to detect duplicates.
   *
   * @throws duplicateId, queueFull
   */
  claim(ask: RequestClaim, term: number): RequestClaimed {
    this.bindTerm(term);
    return this.claims.claim(ask);
  }

  /** Lists the claims for the next owner; undefined before a term started. */
  exportClaims(): RequestClaims | undefined {
    return this.claims.exportClaims(this.options.shard);
  }

  /** Adds the claims that the previous owner sent. */
  importClaims(passed: RequestClaims): void {
    this.claims.importClaims(passed);
  }

  /** Releases the claim of a request that is known not to have run. */
  release(notice: RequestRelease): void {
    this.claims.release(notice);
  }

  /** Refuses all waiting requests; no more tickets are issued. */
  stop(): void {
    this.isStopped = true;
    for (const waiter of this.fairQueue.removeAll()) {
      waiter.refuse(new DragonflywardError('notOwner', this.options.shard));
    }
  }

  /** Number of slots in use, by team. */
  running(): readonly TeamSlots[] {
    return [...this.slots.teams()].map(([team, slots]) => ({team, slots}));
  }

  /** Number of waiting requests, by team. */
  waiting(): readonly TeamSlots[] {
    const counts = new Map<string, number>();
    for (const {ask} of this.fairQueue.waiters()) {
      counts.set(ask.team, (counts.get(ask.team) ?? 0) + 1);
    }
    return [...counts].map(([team, slots]) => ({team, slots}));
  }

  /** Slots of an executor in use by tickets known to this issuer. */
  slotsUsedOn(executorId: string): number {
    return this.slots.slotsUsedOn(executorId);
  }

  override findExecutor(waiter: Waiter): VmEntry | undefined {
    const {ask, gateway} = waiter;
    if (!this.hasTeamCapacity(gateway, ask.team)) return undefined;
    const {service, avoid} = ask;
    return this.slots.chooseExecutor({service, gateway, avoid});
  }

  override weightedUsage(team: string): number {
    const share = this.config?.team(team)?.share ?? 1;
    return this.slots.slotsUsedByTeam(team) / Math.max(share, Number.EPSILON);
  }

  private bindTerm(term: number): void {
    if (this.isStopped) raise('notOwner', this.options.shard);
    if (this.term === term) return;
    if (this.term !== undefined) raise('notOwner', `term ${term}`);
    this.term = term;
    this.claims.startTerm(term);
    if (term !== FIRST_TERM) this.unreported.start(this.maxLifetimeMs());
  }

  private maxLifetimeMs(): number {
    let longestDeadlineMs = 0;
    for (const cfg of this.config?.queues().values() ?? []) {
      longestDeadlineMs = Math.max(longestDeadlineMs, cfg.maxDeadlineMs);
    }
    const boundMs =
      longestDeadlineMs > 0 ? longestDeadlineMs : DEFAULT_MAX_DEADLINE_MS;
    return boundMs + EXPIRY_MARGIN_MS;
  }

  private checkRequest(ask: TicketAsk, cfg: QueueConfig): void {
    const {service, team} = ask;
    if (!this.slots.hasLiveExecutors(service)) raise('noTarget', service);
    if (this.isTakeoverOverdue(ask)) throw this.takeoverUnfinished();
    // Without allowances, as after a takeover, requests wait for them.
    const isLimited = this.allowances.size > 0 && team !== NO_TEAM;
    if (isLimited && this.allowanceOf(team) <= 0) {
      raise('teamLimit', `${team} has no slots in ${this.options.shard}`);
    }
    const {fairQueue, slots, estimator} = this;
    checkAdmission({fairQueue, slots, estimator}, ask, cfg);
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
    this.slots.add({
      ticketId,
      executorId: executor.id,
      team: ask.team,
      gateway,
      service: ask.service,
      heldSinceMs: nowMs,
      untilMs: untilMs + EXPIRY_MARGIN_MS,
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
      startByMs: waitedMs + START_WINDOW_MS,
      runByMs: untilMs - sinceMs,
    };
  }

  /**
   * Whether the request can get no ticket although the term has run for a
   * while: the allowances are unknown, or all that the request could use is
   * reserved for gateways that have not reported their tickets.
   */
  private isTakeoverOverdue({service, team}: TicketAsk): boolean {
    const ageMs = this.options.clock.monotonicMs() - this.startedMs;
    if (ageMs < TAKEOVER_WAIT_MS) return false;
    const areAnySilent = this.unreported.unreportedGateways() > 0;
    if (areAnySilent && this.slots.isReserved(service)) return true;
    if (team === NO_TEAM) return false;
    if (this.allowances.size === 0) return true;
    return areAnySilent && this.isAllowanceReserved(team);
  }

  private isAllowanceReserved(team: string): boolean {
    const allowance = this.allowanceOf(team);
    if (allowance <= 0) return false;
    return this.unreported.teamSlots(team, allowance) >= allowance;
  }

  private takeoverUnfinished(): Error {
    const {shard} = this.options;
    return new DragonflywardError('notOwner', `${shard}: taking over`);
  }

  private allowanceOf(team: string): number {
    return this.allowances.get(team) ?? 0;
  }

  private hasTeamCapacity(gateway: string, team: string): boolean {
    if (team === NO_TEAM) return true;
    const allowance = this.allowanceOf(team);
    const reserved = this.unreported.teamSlots(team, allowance);
    if (this.slots.slotsUsedByTeam(team) + reserved >= allowance) return false;
    const limit = gatewayLimit(allowance, this.gatewayCount);
    return this.slots.slotsUsedByTeamVia(gateway, team) < limit;
  }

  private recordDraining(executorId: string): void {
    const {health} = this.slots;
    if (health.isDraining(executorId)) return;
    health.recordDraining(executorId);
    this.options.events.add('executorLeaving', {executor: executorId});
  }

  private recordUse(
    service: string,
    heldSinceMs: number,
    close: TicketClose,
  ): void {
    const {executorId, use} = close;
    const {health} = this.slots;
    if (use === 'done') {
      const heldMs = this.options.clock.monotonicMs() - heldSinceMs;
      this.estimator.addSample(service, heldMs);
      return health.recordSuccess(executorId);
    }
    if (use === 'notSent' || use === 'abandoned') return;
    if (!health.recordFailure(executorId)) return;
    this.options.events.add('executorLost', {executor: executorId}, use);
  }

  private waitingCount(): number {
    return [...this.fairQueue.waiters()].length;
  }

  /** Refuses requests that cannot finish in time, to save their slots. */
  private refuseLate(): void {
    const neededMs = (waiter: Waiter): number =>
      this.estimator.meanHoldMs(waiter.ask.service);
    for (const waiter of this.fairQueue.removeLate(neededMs)) {
      const {queue} = waiter.ask;
      waiter.refuse(new DragonflywardError('deadlineUnmet', queue));
    }
  }

  private grantWaiting(): void {
    this.refuseLate();
    // Setting the concurrency makes p-queue look for entries to run.
    this.queue.concurrency = Infinity;
  }

  /** Refuses requests that a takeover holds up, so that others serve them. */
  private refuseHeldUp(): void {
    const refused = this.fairQueue.removeWhere(({ask}) =>
      this.isTakeoverOverdue(ask),
    );
    for (const waiter of refused) waiter.refuse(this.takeoverUnfinished());
  }

  private async sweepLoop(): Promise<void> {
    while (!this.isStopped) {
      await this.options.clock.sleep(SWEEP_PERIOD_MS);
      this.sweep();
    }
  }

  private sweep(): void {
    this.slots.releaseExpired();
    this.refuseLate();
    this.refuseHeldUp();
    this.grantWaiting();
  }
}

/** Whether the executor is known to have stopped work on the request. */
function freesSlot(use: TicketUse): boolean {
  return use !== 'unknown' && use !== 'abandoned';
}
