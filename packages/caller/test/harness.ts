/** A gateway in this process, on fake tickets and configuration. */
import http from 'node:http';
import {
  EventRing,
  HybridClock,
  Metrics,
  raise,
  SystemClock,
  type Clock,
} from '@dragonflyward/common';
import type {TicketClose} from '@dragonflyward/peer';
import type {QueueConfig} from '@dragonflyward/state';
import {
  HttpExecutorClient,
  type ExecutorAddress,
  type ExecutorClient,
} from '@dragonflyward/target';
import type {RetryBudget} from '../src/index.js';
import {
  CallerRoutes,
  CallerServer,
  ConfigView,
  JobRoutes,
  RequestRelay,
  ShardAsker,
  TicketSource,
  type CallerServerBounds,
  type ClaimWish,
  type HeldTicket,
  type ReleaseWish,
  type TicketWish,
} from '../src/index.js';

import {FaultyTarget, type Script} from './faulty-target.js';

export const TEAM = 'roofs';
export const KEY = 'k-1.secret';
export const QUEUE: QueueConfig = {
  priority: 'urgent',
  service: 'quote',
  isOpen: false,
  maxBodyBytes: 8 * 1024 * 1024,
  maxDeadlineMs: 20_000,
  maxWaiting: 100,
  policy: 'spread',
};

/** One queue and one key, both switchable. */
export class FakeConfig extends ConfigView {
  isKeyValid = true;
  isRecent = true;

  override queue(name: string): QueueConfig | undefined {
    if (name === 'quotes') return QUEUE;
    return name === 'open' ? {...QUEUE, isOpen: true} : undefined;
  }

  override teamOfKey(key: string): string | undefined {
    return key === KEY && this.isKeyValid ? TEAM : undefined;
  }

  override isFresh(): boolean {
    return this.isRecent;
  }

  override isApplied(): boolean {
    return true;
  }
}

/** Gives tickets for targets in turn, those to avoid last. */
export class FakeTickets extends TicketSource {
  readonly closes: Omit<TicketClose, 'type'>[] = [];
  readonly claims = new Set<string>();
  taken = 0;
  startByMs = 1_000;
  /** Called between the ask and the ticket. */
  onTake: () => void = () => undefined;

  constructor(
    private readonly clock: Clock,
    private readonly targets: readonly ExecutorAddress[],
  ) {
    super();
  }

  override async take(wish: TicketWish): Promise<HeldTicket> {
    await Promise.resolve();
    const askedMs = this.clock.monotonicMs();
    const others = this.targets.filter(
      ({executorId}) => !wish.avoid.includes(executorId),
    );
    const choice = others.length > 0 ? others : this.targets;
    const target = choice[this.taken % choice.length];
    if (target === undefined) return raise('noTarget', wish.service);
    this.taken += 1;
    this.onTake();
    const ticket = {
      type: 'ticket',
      ticketId: `t-${this.taken}`,
      shard: 'north-1',
      term: 1,
      ...target,
      startByMs: this.startByMs,
      runByMs: wish.deadlineMs,
    } as const;
    return {ticket, askedMs, isCrossRegion: false};
  }

  override close(close: Omit<TicketClose, 'type'>): void {
    this.closes.push(close);
  }

  override async claim({key}: ClaimWish): Promise<void> {
    await Promise.resolve();
    if (this.claims.has(key)) raise('duplicateId', 'the id was used');
    this.claims.add(key);
  }

  override release({key}: ReleaseWish): void {
    this.claims.delete(key);
  }
}

class NoShards extends ShardAsker {
  override readonly ownDomain = 'north-1';

  override ask(shard: string): Promise<never> {
    return raise('notOwner', shard);
  }

  override domains(): readonly string[] {
    return ['north-1'];
  }
}

/** What a test changes in its gateway. */
export interface GatewayChanges {
  readonly clock?: Clock;
  readonly budget?: RetryBudget;
  readonly executors?: ExecutorClient;
  readonly bounds?: CallerServerBounds;
}

/** A gateway in this process. */
export class TestGateway {
  readonly config = new FakeConfig();
  readonly metrics = new Metrics();
  readonly tickets: FakeTickets;
  readonly server: CallerServer;
  port = 0;
  private readonly executors: ExecutorClient;

  constructor(
    targets: readonly ExecutorAddress[],
    changes: GatewayChanges = {},
  ) {
    const clock = changes.clock ?? new SystemClock();
    const {config, metrics} = this;
    const events = new EventRing('gateway', new HybridClock(clock));
    const tickets = new FakeTickets(clock, targets);
    const executors = changes.executors ?? new HttpExecutorClient();
    this.tickets = tickets;
    this.executors = executors;
    const parts = {clock, metrics, events, config, tickets, executors};
    const relay = new RequestRelay(parts, changes.budget);
    const jobs = new JobRoutes(config, new NoShards());
    const routes = new CallerRoutes({relay, jobs, metrics, events});
    this.server = new CallerServer(
      (req, res) => {
        void routes.serve(req, res);
      },
      metrics,
      changes.bounds,
    );
  }

  /** Starts to listen on a free port. */
  async start(): Promise<this> {
    this.port = await this.server.listen('127.0.0.1', 0);
    return this;
  }

  /** Ends the server and the connections to targets. */
  async stop(): Promise<void> {
    this.executors.close();
    await this.server.close();
  }
}

type TargetsBody = (
  gateway: TestGateway,
  targets: FaultyTarget[],
) => Promise<void>;

/** Runs with a gateway and one target for each script. */
export async function withTargets(
  scripts: readonly Script[],
  body: TargetsBody,
  changes: GatewayChanges = {},
): Promise<void> {
  const made = scripts.map((script, i) => new FaultyTarget(`e-${i}`, script));
  const targets = await Promise.all(made.map(target => target.start()));
  const addresses = targets.map(({address}) => address);
  const gateway = await new TestGateway(addresses, changes).start();
  try {
    await body(gateway, targets);
  } finally {
    await Promise.all(targets.map(target => target.stop()));
    await gateway.stop();
  }
}

/** An answer as a caller sees it. */
export interface SeenAnswer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Whether the answer came to its regular end. */
  readonly isWhole: boolean;
}

/** A request as a caller sends it. */
export interface Call {
  readonly id?: string;
  readonly isIdempotent?: boolean;
  readonly deadlineMs?: number;
  readonly body?: string;
  readonly agent?: http.Agent;
  readonly queue?: string;
  readonly key?: string;
}

/** Sends a request and reads what comes of it. */
export function call(port: number, req: Call): Promise<SeenAnswer> {
  const headers: http.OutgoingHttpHeaders = {
    authorization: `Bearer ${req.key ?? KEY}`,
    'x-idempotent': String(req.isIdempotent ?? false),
    ...(req.id === undefined ? {} : {'x-request-id': req.id}),
    ...(req.deadlineMs === undefined ? {} : {'x-deadline-ms': req.deadlineMs}),
  };
  return new Promise((resolve, reject) => {
    const out = http.request({
      host: '127.0.0.1',
      port,
      method: 'POST',
      path: `/v1/requests/${req.queue ?? 'quotes'}`,
      headers,
      ...(req.agent === undefined ? {agent: false} : {agent: req.agent}),
    });
    out.on('error', reject);
    out.on('response', res => {
      let body = '';
      const finish = (): void => {
        const {statusCode, headers, complete} = res;
        const status = statusCode ?? 0;
        resolve({status, headers, body, isWhole: complete});
      };
      res.on('data', (chunk: Buffer) => (body += chunk.toString('latin1')));
      res.on('error', () => undefined);
      res.on('close', finish);
    });
    out.end(req.body ?? 'hello');
  });
}

/** The outcome that an error answer tells. */
export function outcomeOf({body}: SeenAnswer): string {
  const {error} = JSON.parse(body) as {error: {outcome: string}};
  return error.outcome;
}

/** The error kind of an answer. */
export function kindOf({body}: SeenAnswer): string {
  const {error} = JSON.parse(body) as {error: {kind: string}};
  return error.kind;
}
