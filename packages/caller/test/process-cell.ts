/** Gateways as processes, under a load whose outcomes are all recorded. */
import {setTimeout as sleep} from 'node:timers/promises';
import {NO_RESOURCES, type Resources} from '@dragonflyward/common';
import {
  Balancer,
  CallerClient,
  Rig,
  waitUntil,
  type RequestResult,
} from '@dragonflyward/standins';
import type {Configuration, QueueConfig} from '@dragonflyward/state';

const TEAM = 'roofs';
const FIRST_ANSWER_TIMEOUT_MS = 30_000;
const DEADLINE_MS = 8_000;
const REQUEST_RUN_MS = 100;
const CAPACITY: Resources = {
  ...NO_RESOURCES,
  cpuMilli: 4_000,
  memMb: 4_096,
  slots: 100,
};
const QUEUE: QueueConfig = {
  priority: 'urgent',
  service: 'quote',
  isOpen: false,
  maxBodyBytes: 65_536,
  maxDeadlineMs: 10_000,
  maxWaiting: 1_000,
  policy: 'spread',
};
const CONFIGURATION: Configuration = {
  defaults: {
    queues: {quotes: QUEUE},
    organisations: {valley: {share: 1}},
    teams: {[TEAM]: {organisation: 'valley', share: 1, limit: CAPACITY}},
  },
  exceptions: [],
};

/** Two failure domains with two entry VMs each. */
export class ProcessCell {
  readonly rig = new Rig({
    domains: ['north-1', 'south-1'],
    entriesPerDomain: 2,
    workers: [{count: 2, capacity: CAPACITY}],
    executors: [{count: 4, service: 'quote'}],
    timing: {balancerDelayMs: 1_000, vmListPeriodMs: 500},
  });
  private readonly balancer = new Balancer(this.rig);
  private key = '';

  async start(): Promise<void> {
    await this.rig.startStandins();
    await this.rig.operator.publish(CONFIGURATION, -1);
    this.key = (await this.rig.operator.grant(TEAM)).text;
    await this.rig.startEntries();
    await this.rig.waitUntilReady();
    const caller = new CallerClient(() => this.balancer.pick());
    await waitUntil('a request served', FIRST_ANSWER_TIMEOUT_MS, async () => {
      const {outcome} = await this.send(caller);
      return outcome === 'answered';
    });
  }

  async stop(): Promise<void> {
    this.balancer.stop();
    await this.rig.stop();
  }

  /** Sends non-idempotent requests at a steady rate while `body` runs. */
  async runUnderLoad(
    perSecond: number,
    body: () => Promise<void>,
  ): Promise<readonly RequestResult[]> {
    const caller = new CallerClient(() => this.balancer.pick());
    const sending: Promise<RequestResult>[] = [];
    let isFinished = false;
    const generateLoad = async (): Promise<void> => {
      while (!isFinished) {
        sending.push(this.send(caller));
        await sleep(1_000 / perSecond);
      }
    };
    const generating = generateLoad();
    try {
      await body();
    } finally {
      isFinished = true;
      await generating;
    }
    return Promise.all(sending);
  }

  /** Counts how often executors ran each request. */
  async countRuns(): Promise<ReadonlyMap<string, number>> {
    const counts = new Map<string, number>();
    const {requests} = await this.rig.targets.records();
    for (const {label} of requests) {
      counts.set(label, (counts.get(label) ?? 0) + 1);
    }
    return counts;
  }

  private send(caller: CallerClient): Promise<RequestResult> {
    return caller.request({
      queue: 'quotes',
      key: this.key,
      isIdempotent: false,
      deadlineMs: DEADLINE_MS,
      sleepMs: REQUEST_RUN_MS,
      hasOwnId: true,
    });
  }
}
