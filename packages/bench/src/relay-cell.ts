/** A small cell of separate processes for measuring the request path. */
import http from 'node:http';
import {newId, NO_RESOURCES} from '@dragonflyward/common';
import {Rig, waitUntil} from '@dragonflyward/standins';
import type {Configuration, QueueConfig} from '@dragonflyward/state';

const READY_TIMEOUT_MS = 30_000;
const SERVICE = 'quote';
const TEAM = 'roofs';
const QUEUE_NAME = 'quotes';
const QUEUE: QueueConfig = {
  priority: 'urgent',
  service: SERVICE,
  isOpen: false,
  maxBodyBytes: 1_000_000,
  maxDeadlineMs: 10_000,
  maxWaiting: 2_000,
  policy: 'spread',
};
const LIMIT = {...NO_RESOURCES, cpuMilli: 1_000, memMb: 1_024, slots: 1_000};
const CONFIGURATION: Configuration = {
  defaults: {
    queues: {[QUEUE_NAME]: QUEUE},
    organisations: {valley: {share: 1}},
    teams: {[TEAM]: {organisation: 'valley', share: 1, limit: LIMIT}},
  },
  exceptions: [],
};

/** The size of a cell. */
export interface RelayCellPlan {
  readonly domains: readonly string[];
  readonly entriesPerDomain: number;
  readonly executors: number;
}

/** A request of a measurement. */
export interface RelayCall {
  /** The URL to post to. */
  readonly url: string;
  readonly body: string;
  readonly isIdempotent: boolean;
  readonly deadlineMs: number;
}

/** Stand-ins, schedulers and gateways as processes. */
export class RelayCell {
  private readonly rig: Rig;
  private readonly agent = new http.Agent({keepAlive: true, maxSockets: 512});
  private key = '';
  private sent = 0;

  constructor(plan: RelayCellPlan) {
    const {domains, entriesPerDomain, executors} = plan;
    this.rig = new Rig({
      domains,
      entriesPerDomain,
      workers: [{count: domains.length, capacity: LIMIT}],
      executors: [{count: executors, service: SERVICE}],
    });
  }

  /** Starts all processes and waits until every gateway serves requests. */
  async start(): Promise<void> {
    await this.rig.startStandins();
    await this.rig.operator.publish(CONFIGURATION, -1);
    this.key = (await this.rig.operator.grant(TEAM)).text;
    await this.rig.startEntries();
    await this.rig.waitUntilReady();
    for (const url of this.gatewayUrls()) {
      await waitUntil('a request served', READY_TIMEOUT_MS, () =>
        this.send({url, body: '{}', isIdempotent: true, deadlineMs: 1_000}),
      );
    }
  }

  async stop(): Promise<void> {
    this.agent.destroy();
    await this.rig.stop();
  }

  gatewayUrls(): readonly string[] {
    return this.rig.entries.map(
      ({id}) => `${this.rig.gatewayUrl(id)}/v1/requests/${QUEUE_NAME}`,
    );
  }

  executorUrls(): readonly string[] {
    return this.rig.targets.vms
      .filter(({kind}) => kind === 'executor')
      .map(({ip, port}) => `http://${ip}:${port}/`);
  }

  /** Sums a counter over all gateways. */
  async counter(name: string): Promise<number> {
    let sum = 0;
    for (const {id} of this.rig.entries) {
      const res = await fetch(`${this.rig.adminUrl('gateway', id)}/metrics`);
      for (const line of (await res.text()).split('\n')) {
        if (line.startsWith(name)) sum += Number(line.split(' ').at(-1));
      }
    }
    return sum;
  }

  /** Posts a request; resolves to whether the whole answer arrived. */
  send(call: RelayCall): Promise<boolean> {
    this.sent += 1;
    const headers = {
      authorization: `Bearer ${this.key}`,
      'x-request-id': newId('b'),
      'x-idempotent': String(call.isIdempotent),
      'x-deadline-ms': call.deadlineMs,
      'content-length': Buffer.byteLength(call.body),
    };
    const {agent} = this;
    return new Promise(resolve => {
      const req = http.request(call.url, {method: 'POST', headers, agent});
      req.on('error', () => {
        resolve(false);
      });
      req.on('response', res => {
        res.resume();
        res.on('close', () => {
          resolve(res.complete && res.statusCode === 200);
        });
      });
      req.end(call.body);
    });
  }
}
