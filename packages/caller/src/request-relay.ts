/** Serves the requests of callers: POST /v1/requests/{queue}. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Clock, EventRing, Metrics} from '@dragonflyward/common';
import type {ExecutorClient} from '@dragonflyward/target';
import {admit} from './access.js';
import type {ConfigView} from './config-view.js';
import {RelayTask} from './relay-task.js';
import {RequestLifetime} from './request-lifetime.js';
import {readSpec} from './request-spec.js';
import {RetryBudget} from './retry-budget.js';
import {SilenceBound} from './adaptive-timeout.js';
import type {TicketSource} from './ticket-source.js';

/** What requests are relayed with. */
export interface RelayParts {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly events: EventRing;
  readonly config: ConfigView;
  readonly tickets: TicketSource;
  readonly executors: ExecutorClient;
}

/** Relays requests to executors. */
export class RequestRelay {
  private readonly silence = new SilenceBound();

  constructor(
    private readonly parts: RelayParts,
    private readonly budget = new RetryBudget(),
  ) {}

  /**
   * Serves one request; the answer is written on success only.
   *
   * @throws the kinds of the error table
   * @example
   * await relay.serve(req, res, 'quotes');
   */
  async serve(
    req: IncomingMessage,
    res: ServerResponse,
    queueName: string,
  ): Promise<void> {
    const {budget, silence, parts} = this;
    const access = admit(parts.config, queueName, req.headers);
    const spec = readSpec(req.headers, access.queue.maxDeadlineMs);
    const lifetime = new RequestLifetime(parts.clock, spec.deadlineMs, res);
    const task = new RelayTask(
      {...parts, budget, silence, access, spec, lifetime},
      req,
      res,
    );
    try {
      await task.run();
    } finally {
      lifetime.end();
    }
  }
}
