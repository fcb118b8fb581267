/** Serves the requests of callers: POST /v1/requests/{queue}. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Clock, EventRing, Metrics} from '@dragonflyward/common';
import type {ExecutorClient} from '@dragonflyward/target';
import {authorize} from './access.js';
import type {ConfigView} from './config-view.js';
import {RelayTask} from './relay-task.js';
import {RequestLifetime} from './request-lifetime.js';
import {readRequestSpec} from './request-spec.js';
import {RetryBudget} from './retry-budget.js';
import {ServiceTimeouts} from './service-timeouts.js';
import type {TicketSource} from './ticket-source.js';

/** The dependencies of a `RequestRelay`. */
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
  private readonly timeouts = new ServiceTimeouts();

  constructor(
    private readonly parts: RelayParts,
    private readonly budget = new RetryBudget(),
  ) {}

  /**
   * Serves one request; writes the answer only if the request succeeds.
   *
   * @throws an error of the error table
   * @example
   * await relay.serve(req, res, 'quotes');
   */
  async serve(
    req: IncomingMessage,
    res: ServerResponse,
    queueName: string,
  ): Promise<void> {
    const {budget, timeouts, parts} = this;
    const access = authorize(parts.config, queueName, req.headers);
    const spec = readRequestSpec(req.headers, access.queue.maxDeadlineMs);
    const lifetime = new RequestLifetime(parts.clock, spec.deadlineMs, res);
    const task = new RelayTask(
      {...parts, budget, timeouts, access, spec, lifetime},
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
