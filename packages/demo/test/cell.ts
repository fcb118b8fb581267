/** A small cell under load, and checks of the promises it must keep. */
import {
  newId,
  NO_RESOURCES,
  type Resources,
  type TimingSettings,
} from '@dragonflyward/common';
import type {Configuration, JobStatus, QueueConfig} from '@dragonflyward/state';
import {
  Balancer,
  CallerClient,
  findOverlappingRuns,
  findLimitBreaches,
  findRepeatedRequests,
  findRepeatedTasks,
  readShard,
  Rig,
  waitUntil,
  type FleetPlan,
  type JobCall,
  type RequestCall,
  type TeamKey,
} from '@dragonflyward/standins';
import * as assert from 'uvu/assert';
import {JobLoad, RequestLoad} from '../src/index.js';

export const TEAM = 'roofers';
export const REQUEST_DEADLINE_MS = 10_000;
/** How long a cell may take to recover from one failure. */
export const RECOVERY_TIMEOUT_MS = 30_000;
export const DOMAINS = ['north-1', 'south-1', 'east-1'];

const ONE_CORE: Resources = {...NO_RESOURCES, cpuMilli: 1_000, memMb: 1_024};
const LIMIT: Resources = {
  cpuMilli: 40_000,
  memMb: 40_960,
  accel: 0,
  slots: 64,
};
const WORKER: Resources = {...NO_RESOURCES, cpuMilli: 8_000, memMb: 16_384};
const BASE_OF_FIRST_REVISION = -1;

/** Short leases, so that tests needn't wait long for them to expire. */
const TIMING: Partial<TimingSettings> = {
  taskLeaseMs: 6_000,
  renewPeriodMs: 1_000,
  vmListPeriodMs: 500,
  balancerDelayMs: 1_000,
};

const FLEET: FleetPlan = {
  domains: DOMAINS,
  entriesPerDomain: 1,
  workers: [{count: 6, capacity: WORKER}],
  executors: [{count: 6, service: 'counter'}],
};

const QUEUE: QueueConfig = {
  priority: 'normal',
  service: '',
  isOpen: false,
  maxBodyBytes: 65_536,
  maxDeadlineMs: 30_000,
  maxWaiting: 1_000,
  policy: 'pack',
};

const CONFIGURATION: Configuration = {
  defaults: {
    queues: {
      quotes: {...QUEUE, priority: 'urgent', service: 'counter'},
      kilns: QUEUE,
    },
    organisations: {valley: {share: 1}},
    teams: {[TEAM]: {organisation: 'valley', share: 1, limit: LIMIT}},
  },
  exceptions: [],
};

/** Makes a job of short tasks. */
export function shortJob(change: Partial<JobCall> = {}): JobCall {
  return {
    id: newId('job'),
    queue: 'kilns',
    tasks: 2,
    isGang: false,
    isService: false,
    isIdempotent: true,
    size: ONE_CORE,
    runMs: 500,
    payload: {runMs: 500},
    ...change,
  };
}

/** Makes a job whose tasks run for the given time. */
export function longJob(runMs: number, change: Partial<JobCall> = {}): JobCall {
  return shortJob({runMs, payload: {runMs}, ...change});
}

/** Three entry VMs, six workers, six executors and one team. */
export class Cell {
  readonly rig = new Rig({...FLEET, timing: TIMING});
  readonly balancer = new Balancer(this.rig);
  readonly caller = new CallerClient(() => this.balancer.pick());
  readonly jobs = new JobLoad(this.caller);
  private readonly nonIdempotentLoads: RequestLoad[] = [];
  private readonly running: RequestLoad[] = [];
  private readonly nonIdempotentJobs = new Set<string>();
  private teamKey: TeamKey | undefined;

  /** Starts all processes and waits until the cell serves requests. */
  async start(): Promise<void> {
    await this.rig.startStandins();
    await this.rig.operator.publish(CONFIGURATION, BASE_OF_FIRST_REVISION);
    this.teamKey = await this.rig.operator.grant(TEAM);
    await this.rig.startEntries();
    await this.rig.waitUntilReady();
    await this.waitUntilServing();
  }

  async stop(): Promise<void> {
    this.balancer.stop();
    await this.rig.stop();
  }

  /** Ends all faults and loads, so that a failed test doesn't fail the next. */
  async clearFaults(): Promise<void> {
    await Promise.all(this.running.map(load => load.stop()));
    this.running.length = 0;
    await this.rig.clearFaults();
    await this.rig.waitUntilReady();
  }

  get key(): TeamKey {
    assert.ok(this.teamKey);
    return this.teamKey;
  }

  /** Waits until each shard has an owner and requests are answered. */
  async waitUntilServing(): Promise<void> {
    for (const domain of DOMAINS) {
      await waitUntil(`${domain} has an owner`, RECOVERY_TIMEOUT_MS, () =>
        this.ownerOf(domain),
      );
    }
    await waitUntil('a request is answered', RECOVERY_TIMEOUT_MS, async () => {
      const {outcome} = await this.caller.request(this.newRequest());
      return outcome === 'answered';
    });
  }

  /** Reads from the log which VM's scheduler owns a domain's shard. */
  async ownerOf(domain: string): Promise<string | undefined> {
    const {owner} = await readShard(this.rig.log, domain);
    return owner?.vm;
  }

  async termOf(domain: string): Promise<number> {
    return (await readShard(this.rig.log, domain)).term;
  }

  newRequest(change: Partial<RequestCall> = {}): RequestCall {
    return {
      queue: 'quotes',
      key: this.key.text,
      isIdempotent: true,
      deadlineMs: REQUEST_DEADLINE_MS,
      sleepMs: 50,
      ...change,
    };
  }

  /** Starts sending requests at a steady rate until the load is stopped. */
  startLoad(perSecond: number, change: Partial<RequestCall> = {}): RequestLoad {
    const load = new RequestLoad(
      this.caller,
      this.newRequest(change),
      perSecond,
    );
    this.running.push(load);
    if (change.isIdempotent === false) this.nonIdempotentLoads.push(load);
    void load.run();
    return load;
  }

  /** Submits a job, which must be accepted. */
  async submit(job: JobCall): Promise<string> {
    const jobId = await this.jobs.submit({key: this.key, job});
    assert.ok(jobId, this.jobs.refused.at(-1));
    if (!job.isIdempotent) this.nonIdempotentJobs.add(jobId);
    return jobId;
  }

  async submitAll(jobs: readonly JobCall[]): Promise<readonly string[]> {
    return Promise.all(jobs.map(job => this.submit(job)));
  }

  /** Waits until the given number of a job's tasks run on workers. */
  async waitUntilRunning(jobId: string, tasks: number): Promise<void> {
    await waitUntil(`${jobId} runs`, RECOVERY_TIMEOUT_MS, async () => {
      const records = await this.rig.targets.records();
      const runs = records.tasks.filter(run => run.jobId === jobId);
      return runs.filter(run => run.endMs === null).length >= tasks;
    });
  }

  statusOf(jobId: string): JobStatus | undefined {
    return this.jobs.jobs.find(job => job.jobId === jobId)?.status;
  }

  /** Asserts that accepted jobs have ended properly and promises were kept. */
  async checkPromises(): Promise<void> {
    await this.jobs.pollUntilEnded(RECOVERY_TIMEOUT_MS);
    const open = this.jobs.openJobs().map(job => `${job.jobId}`);
    assert.equal(open, [], 'jobs that have not ended');
    for (const job of this.jobs.jobs) this.checkJobEnd(job.jobId);
    const records = await this.rig.targets.records();
    assert.equal(records.overcommits, [], 'overcommits');
    assert.is(records.slotBreaches, 0, 'executors over their slots');
    assert.equal(
      findOverlappingRuns(records.tasks),
      [],
      'tasks run in two places',
    );
    assert.equal(
      findRepeatedTasks(records.tasks, this.nonIdempotentJobs),
      [],
      'non-idempotent jobs run again',
    );
    const limits = new Map([[TEAM, LIMIT]]);
    assert.equal(
      findLimitBreaches(records, limits),
      [],
      'teams over their limit',
    );
    const nonIdempotentLabels = new Set(
      this.nonIdempotentLoads.flatMap(load => load.labels()),
    );
    const repeatedLabels = findRepeatedRequests(records.requests);
    assert.equal(
      repeatedLabels.filter(id => nonIdempotentLabels.has(id)),
      [],
      'non-idempotent requests run again',
    );
  }

  private checkJobEnd(jobId: string): void {
    const end = this.statusOf(jobId)?.end;
    const isNonIdempotent = this.nonIdempotentJobs.has(jobId);
    const hasCleanEnd = end === 'succeeded' || end === 'cancelled';
    assert.ok(
      hasCleanEnd || (isNonIdempotent && end === 'outcomeUnknown'),
      `${jobId} ${end}`,
    );
  }
}
