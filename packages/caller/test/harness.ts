/** A gateway in the test process, with fake tickets and configuration. */
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
  ShardClient,
  TicketSource,
  type CallerServerLimits,
  type ClaimRequest,
  type TicketGrant,
  type ReleaseRequest,
  type TicketRequest,
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

/** Two queues and one key; tests can withdraw the key or age the data. */
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

/** Issues tickets round-robin, avoiding the listed executors if possible. */
export class FakeTicketSource extends TicketSource {
  readonly closes: Omit<TicketClose, 'type'>[] = [];
  readonly claims = new Set<string>();
  issued = 0;
  startByMs = 1_000;
  /** Called between the request and the ticket. */
  onAcquire: () => void = () => undefined;

  constructor(
    private readonly clock: Clock,
    private readonly targets: readonly ExecutorAddress[],
  ) {
    super();
  }

  override async acquire(request: TicketRequest): Promise<TicketGrant> {
    await Promise.resolve();
    const requestedMs = this.clock.monotonicMs();
    const preferred = this.targets.filter(
      ({executorId}) => !request.avoid.includes(executorId),
    );
    const candidates = preferred.length > 0 ? preferred : this.targets;
    const target = candidates[this.issued % candidates.length];
    if (target === undefined) return raise('noTarget', request.service);
    this.issued += 1;
    this.onAcquire();
    const ticket = {
      type: 'ticket',
      ticketId: `t-${this.issued}`,
      shard: 'north-1',
      term: 1,
      ...target,
      startByMs: this.startByMs,
      runByMs: request.deadlineMs,
    } as const;
    return {ticket, requestedMs, isCrossRegion: false};
  }

  override close(close: Omit<TicketClose, 'type'>): void {
    this.closes.push(close);
  }

  override async claim({key}: ClaimRequest): Promise<void> {
    await Promise.resolve();
    if (this.claims.has(key)) raise('duplicateId', 'the id was used');
    this.claims.add(key);
  }

  override release({key}: ReleaseRequest): void {
    this.claims.delete(key);
  }
}

class NoShardClient extends ShardClient {
  override readonly ownDomain = 'north-1';

  override request(shard: string): Promise<never> {
    return raise('notOwner', shard);
  }

  override domains(): readonly string[] {
    return ['north-1'];
  }
}

/** Components and limits that a test replaces in its gateway. */
export interface GatewayOverrides {
  readonly clock?: Clock;
  readonly budget?: RetryBudget;
  readonly executors?: ExecutorClient;
  readonly limits?: CallerServerLimits;
}

/** A gateway in the test process. */
export class TestGateway {
  readonly config = new FakeConfig();
  readonly metrics = new Metrics();
  readonly tickets: FakeTicketSource;
  readonly server: CallerServer;
  port = 0;
  private readonly executors: ExecutorClient;

  constructor(
    targets: readonly ExecutorAddress[],
    overrides: GatewayOverrides = {},
  ) {
    const clock = overrides.clock ?? new SystemClock();
    const {config, metrics} = this;
    const events = new EventRing('gateway', new HybridClock(clock));
    const tickets = new FakeTicketSource(clock, targets);
    const executors = overrides.executors ?? new HttpExecutorClient();
    this.tickets = tickets;
    this.executors = executors;
    const parts = {clock, metrics, events, config, tickets, executors};
    const relay = new RequestRelay(parts, overrides.budget);
    const jobs = new JobRoutes(config, new NoShardClient());
    const routes = new CallerRoutes({relay, jobs, metrics, events});
    this.server = new CallerServer(
      (req, res) => {
        void routes.serve(req, res);
      },
      metrics,
      overrides.limits,
    );
  }

  /** Starts to listen on a free port. */
  async start(): Promise<this> {
    this.port = await this.server.listen('127.0.0.1', 0);
    return this;
  }

  /** Closes the server and the connections to targets. */
  async stop(): Promise<void> {
    this.executors.close();
    await this.server.close();
  }
}

type TestBody = (
  gateway: TestGateway,
  targets: FaultyTarget[],
) => Promise<void>;

/** Runs a test with a gateway and one target per script. */
export async function withTargets(
  scripts: readonly Script[],
  body: TestBody,
  overrides: GatewayOverrides = {},
): Promise<void> {
  const created = scripts.map(
    (script, i) => new FaultyTarget(`e-${i}`, script),
  );
  const targets = await Promise.all(created.map(target => target.start()));
  const addresses = targets.map(({address}) => address);
  const gateway = await new TestGateway(addresses, overrides).start();
  try {
    await body(gateway, targets);
  } finally {
    await Promise.all(targets.map(target => target.stop()));
    await gateway.stop();
  }
}

/** An answer as received by a caller. */
export interface ReceivedAnswer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Whether the answer was received completely. */
  readonly isWhole: boolean;
}

/** The request that a caller sends. */
export interface CallOptions {
  readonly id?: string;
  readonly isIdempotent?: boolean;
  readonly deadlineMs?: number;
  readonly body?: string;
  readonly agent?: http.Agent;
  readonly queue?: string;
  readonly key?: string;
}

/** Sends a request and reads the answer. */
export function call(port: number, req: CallOptions): Promise<ReceivedAnswer> {
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

/** The outcome in an error answer. */
export function outcomeOf({body}: ReceivedAnswer): string {
  const {error} = JSON.parse(body) as {error: {outcome: string}};
  return error.outcome;
}

/** The kind in an error answer. */
export function kindOf({body}: ReceivedAnswer): string {
  const {error} = JSON.parse(body) as {error: {kind: string}};
  return error.kind;
}
