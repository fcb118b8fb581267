/** The demonstration's two users: their teams, queues and machines. */
import {NO_RESOURCES, type Resources} from '@dragonflyward/common';
import type {
  Configuration,
  OrganisationConfig,
  QueueConfig,
  TeamConfig,
} from '@dragonflyward/state';
import type {FleetPlan} from '@dragonflyward/standins';

const DOMAINS = ['north-1', 'south-1', 'east-1'];
const GB = 1_024;
const KB = 1_024;
const AMPLE_AMOUNT = 1_000_000;

/** A queue for requests and the load on it. */
export interface RequestQueue {
  readonly queue: string;
  readonly service: string;
  readonly team: string;
  readonly isIdempotent: boolean;
  /** Whether callers set request ids, which lets them retry safely. */
  readonly hasOwnId: boolean;
  readonly sleepMs: number;
  readonly perSecond: number;
}

/** The queues for requests, with their rates per second. */
export const REQUEST_QUEUES: readonly RequestQueue[] = [
  requestQueue('quotes', 'counter', 'counters', 20, 40),
  nonIdempotent(requestQueue('orders', 'counter', 'roofers', 30, 20)),
  requestQueue('cutting', 'planning', 'cutting', 80, 15),
  requestQueue('availability', 'calendar', 'shoppers', 20, 40),
  {
    ...nonIdempotent(requestQueue('bookings', 'calendar', 'stylists', 30, 20)),
    hasOwnId: true,
  },
  requestQueue('lookbooks', 'lookbook', 'lookbooks', 80, 15),
];

/** The queues for jobs. */
export const JOB_QUEUES = {
  kilns: jobQueue('batch', 'pack'),
  renders: jobQueue('batch', 'pack'),
  training: jobQueue('normal', 'gang'),
} as const;

const TEAM_SHARES: Readonly<Record<string, number>> = {
  counters: 3,
  roofers: 3,
  cutting: 2,
  huts: 1,
  kilns: 1,
  chestnut: 1,
  shoppers: 3,
  stylists: 3,
  lookbooks: 2,
  renders: 1,
  fittings: 1,
  arusha: 1,
};

/** The team whose batch jobs need more than its limit. */
export const LIMITED_TEAM = 'kilns';
const LOW_LIMIT: Resources = {
  cpuMilli: 48_000,
  memMb: 96 * GB,
  accel: 0,
  slots: 8,
};
const DEFAULT_LIMIT: Resources = {
  cpuMilli: AMPLE_AMOUNT,
  memMb: 4 * AMPLE_AMOUNT,
  accel: 160,
  slots: 512,
};

/** Returns the limit of a team. */
export function limitOf(team: string): Resources {
  return team === LIMITED_TEAM ? LOW_LIMIT : DEFAULT_LIMIT;
}

/** The names of all teams; each is the only team of its organisation. */
export const TEAMS: readonly string[] = Object.keys(TEAM_SHARES);

/** Returns the configuration of the demonstration's fleet. */
export function demoConfiguration(): Configuration {
  const organisations: Record<string, OrganisationConfig> = {};
  const teams: Record<string, TeamConfig> = {};
  for (const [team, share] of Object.entries(TEAM_SHARES)) {
    organisations[team] = {share};
    teams[team] = {organisation: team, share, limit: limitOf(team)};
  }
  const queues: Record<string, QueueConfig> = {...JOB_QUEUES};
  for (const {queue, service} of REQUEST_QUEUES) {
    queues[queue] = {...jobQueue('urgent', 'spread'), service};
  }
  return {defaults: {queues, organisations, teams}, exceptions: []};
}

/** Both users' current machines, spread over three regions. */
export const DEMO_FLEET: FleetPlan = {
  domains: DOMAINS,
  entriesPerDomain: 1,
  workers: [
    {count: 24, capacity: capacityOf(16, 32, 0)},
    {count: 10, capacity: capacityOf(32, 64, 8)},
    {count: 24, capacity: capacityOf(16, 64, 0)},
    {count: 10, capacity: capacityOf(128, 256, 8)},
  ],
  executors: [
    {count: 24, service: 'counter'},
    {count: 10, service: 'planning'},
    {count: 24, service: 'calendar'},
    {count: 10, service: 'lookbook'},
  ],
};

function capacityOf(cores: number, memGb: number, accel: number): Resources {
  return {...NO_RESOURCES, cpuMilli: cores * 1_000, memMb: memGb * GB, accel};
}

function requestQueue(
  queue: string,
  service: string,
  team: string,
  sleepMs: number,
  perSecond: number,
): RequestQueue {
  const flags = {isIdempotent: true, hasOwnId: false};
  return {queue, service, team, ...flags, sleepMs, perSecond};
}

function nonIdempotent(queue: RequestQueue): RequestQueue {
  return {...queue, isIdempotent: false};
}

function jobQueue(
  priority: QueueConfig['priority'],
  policy: QueueConfig['policy'],
): QueueConfig {
  return {
    priority,
    service: '',
    isOpen: false,
    maxBodyBytes: 64 * KB,
    maxDeadlineMs: 30_000,
    maxWaiting: 10_000,
    policy,
  };
}
