/** A cell of one failure domain whose processes are measured. */
import {setTimeout as sleep} from 'node:timers/promises';
import {newId, NO_RESOURCES, raise} from '@dragonflyward/common';
import {
  CallerClient,
  readShard,
  Rig,
  waitUntil,
  type TeamKey,
} from '@dragonflyward/standins';
import type {Configuration} from '@dragonflyward/state';
import {readUsage, type ProcessUsage} from './process-meter.js';

const DOMAIN = 'north-1';
const TEAM = 'team';
const QUEUE = 'jobs';
const ENTRY_VMS = 2;
const UNLIMITED = 1_000_000;
const START_TIMEOUT_MS = 60_000;
const SETTLE_MS = 8_000;
const TASK_MS = 600_000;
const SUBMIT_DEADLINE_MS = 10_000;
const CAPACITY = {...NO_RESOURCES, cpuMilli: 16_000, memMb: 32_768};
const TASK_SIZE = {...NO_RESOURCES, cpuMilli: 500, memMb: 512};

/** The role of a measured process. */
export type MeasuredRole = 'owner' | 'follower' | 'gateway';

const CONFIGURATION: Configuration = {
  defaults: {
    queues: {
      [QUEUE]: {
        priority: 'normal',
        service: '',
        isOpen: false,
        maxBodyBytes: UNLIMITED,
        maxDeadlineMs: TASK_MS,
        maxWaiting: UNLIMITED,
        policy: 'pack',
      },
    },
    organisations: {[TEAM]: {share: 1}},
    teams: {
      [TEAM]: {
        organisation: TEAM,
        share: 1,
        limit: {cpuMilli: UNLIMITED, memMb: UNLIMITED, accel: 0, slots: 0},
      },
    },
  },
  exceptions: [],
};

/** Two entry VMs and some workers, with no load except tasks. */
export class ControlCell {
  private readonly rig: Rig;
  private key: TeamKey | undefined;

  constructor(private readonly workers: number) {
    this.rig = new Rig({
      domains: [DOMAIN],
      entriesPerDomain: ENTRY_VMS,
      workers: [{count: workers, capacity: CAPACITY}],
      executors: [],
    });
  }

  async start(): Promise<void> {
    await this.rig.startStandins();
    await this.rig.operator.publish(CONFIGURATION, -1);
    this.key = await this.rig.operator.grant(TEAM);
    await this.rig.startEntries();
    await this.rig.waitUntilReady(START_TIMEOUT_MS);
    await sleep(SETTLE_MS);
  }

  stop(): Promise<void> {
    return this.rig.stop();
  }

  /** Starts tasks that outlast the measurement, and waits until they run. */
  async runTasks(tasksPerWorker: number): Promise<void> {
    const tasks = tasksPerWorker * this.workers;
    const [entry] = this.rig.entries;
    if (entry === undefined) return raise('noTarget', 'no entry VM');
    const caller = new CallerClient(() => this.rig.gatewayUrl(entry.id));
    const job = {
      id: newId('job'),
      queue: QUEUE,
      tasks,
      isGang: false,
      isService: false,
      isIdempotent: true,
      size: TASK_SIZE,
      runMs: TASK_MS,
      payload: {runMs: TASK_MS},
    };
    await caller.submit(this.key?.text ?? '', job, SUBMIT_DEADLINE_MS);
    await waitUntil('all tasks run', START_TIMEOUT_MS, async () => {
      const records = await this.rig.targets.records();
      return records.tasks.length >= tasks;
    });
    await sleep(SETTLE_MS);
  }

  /** Reads the usage so far of one process of each role. */
  async usageByRole(): Promise<ReadonlyMap<MeasuredRole, ProcessUsage>> {
    const {owner} = await readShard(this.rig.log, DOMAIN);
    const other = this.rig.entries.find(({id}) => id !== owner?.vm);
    if (owner === null || other === undefined) {
      return raise('notOwner', DOMAIN);
    }
    return new Map<MeasuredRole, ProcessUsage>([
      ['owner', this.usageOf(`scheduler@${owner.vm}`)],
      ['follower', this.usageOf(`scheduler@${other.id}`)],
      ['gateway', this.usageOf(`gateway@${other.id}`)],
    ]);
  }

  private usageOf(name: string): ProcessUsage {
    return readUsage(this.rig.processes.pid(name));
  }
}
