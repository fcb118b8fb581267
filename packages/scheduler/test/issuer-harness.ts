/** A ticket issuer with executors, teams and a manual clock. */
import {
  EventRing,
  HybridClock,
  ManualClock,
  Metrics,
  NO_RESOURCES,
  toFailure,
  type ProcessRef,
} from '@dragonflyward/common';
import type {Ticket, TicketAsk, TicketUse} from '@dragonflyward/peer';
import type {Priority, QueueConfig, TeamConfig} from '@dragonflyward/state';
import type {VmEntry} from '@dragonflyward/vms';
import {TicketIssuer, type TicketConfig} from '../src/ticket-issuer.js';

export const SLOTS = 8;
export const MAX_DEADLINE_MS = 10_000;
export const MAX_WAITING = 10;
const PRIORITIES: Readonly<Record<string, Priority>> = {
  confirmations: 'urgent',
  renders: 'batch',
};

/** Makes an executor's entry in the list of VMs. */
export function executor(id: string, change: Partial<VmEntry> = {}): VmEntry {
  return {
    id,
    kind: 'executor',
    state: 'live',
    ip: '127.0.0.1',
    port: 7_000,
    region: 'north',
    domain: 'north-1',
    rack: 'r-1',
    capacity: {...NO_RESOURCES, slots: SLOTS},
    service: 'quote',
    connections: 64,
    ...change,
  };
}

/** Makes the process reference of a gateway. */
export function gateway(vm: string): ProcessRef {
  return {vm, incarnation: 1};
}

class Config implements TicketConfig {
  queue(name: string): QueueConfig | undefined {
    return this.queues().get(name);
  }

  queues(): ReadonlyMap<string, QueueConfig> {
    const queues = Object.entries(PRIORITIES).map(
      ([name, priority]) => [name, queueOf(priority)] as const,
    );
    return new Map(queues);
  }

  team(): TeamConfig {
    return {organisation: 'o', share: 1, limit: NO_RESOURCES};
  }
}

function queueOf(priority: Priority): QueueConfig {
  return {
    priority,
    service: 'quote',
    isOpen: false,
    maxBodyBytes: 1_000,
    maxDeadlineMs: MAX_DEADLINE_MS,
    maxWaiting: MAX_WAITING,
    policy: 'spread',
  };
}

/** The state of a ticket request. */
export interface AskState {
  readonly team: string;
  readonly gateway: ProcessRef;
  ticket: Ticket | undefined;
  refusal: string | undefined;
}

/** A ticket issuer and the requests made to it. */
export class IssuerHarness {
  readonly asks: AskState[] = [];
  readonly issuer: TicketIssuer;

  constructor(
    readonly clock = new ManualClock(),
    readonly term = 1,
    makeIssuer = (options: ConstructorParameters<typeof TicketIssuer>[0]) =>
      new TicketIssuer(options),
  ) {
    const events = new EventRing('test', new HybridClock(clock));
    const metrics = new Metrics();
    this.issuer = makeIssuer({shard: 'north-1', clock, metrics, events});
    this.issuer.setConfig(new Config());
  }

  /** Requests a ticket; the returned state is updated with the result. */
  ask(
    team: string,
    from: ProcessRef,
    change: Partial<TicketAsk> = {},
  ): AskState {
    const state: AskState = {
      team,
      gateway: from,
      ticket: undefined,
      refusal: undefined,
    };
    this.asks.push(state);
    const ask: TicketAsk = {
      type: 'ticketAsk',
      shard: 'north-1',
      requestId: `r-${this.asks.length}`,
      team,
      queue: 'confirmations',
      service: 'quote',
      deadlineMs: MAX_DEADLINE_MS,
      avoid: [],
      ...change,
    };
    this.issuer.ask(from, ask, this.term).then(
      ticket => (state.ticket = ticket),
      (err: unknown) => (state.refusal = toFailure(err).kind),
    );
    return state;
  }

  /** Closes a ticket. */
  close(state: AskState, use: TicketUse, isDraining = false): void {
    const {ticket} = state;
    if (ticket === undefined) return;
    const {ticketId, shard, executorId} = ticket;
    this.issuer.close(state.gateway, {
      type: 'ticketClose',
      ticketId,
      shard,
      executorId,
      use,
      isDraining,
    });
  }

  /** Advances the clock. */
  async advance(deltaMs: number): Promise<void> {
    await this.clock.advance(deltaMs);
  }

  /** Runs everything that is due now. */
  async settle(): Promise<void> {
    await this.clock.advance(0);
  }

  /** Number of requests that have a ticket. */
  granted(): number {
    return this.asks.filter(({ticket}) => ticket !== undefined).length;
  }
}
