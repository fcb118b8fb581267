/** The two users: their teams, queues, services and machines. */
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
const MANY = 1_000_000;

/** One of the users' queues for requests. */
export interface RequestQueue {
  readonly queue: string;
  readonly service: string;
  readonly team: string;
  readonly isIdempotent: boolean;
  /** Whether callers name their requests, so that they may repeat them. */
  readonly hasOwnId: boolean;
  readonly sleepMs: number;
  readonly perSecond: number;
}

/** What the users' callers ask for, a second. */
export const REQUEST_QUEUES: readonly RequestQueue[] = [
  request('quotes', 'counter', 'counters', 20, 40),
  once(request('orders', 'counter', 'roofers', 30, 20)),
  request('cutting', 'planning', 'cutting', 80, 15),
  request('availability', 'calendar', 'shoppers', 20, 40),
  {
    ...once(request('bookings', 'calendar', 'stylists', 30, 20)),
    hasOwnId: true,
  },
  request('lookbooks', 'lookbook', 'lookbooks', 80, 15),
];

/** The queues for jobs. */
export const JOB_QUEUES = {
  kilns: jobQueue('batch', 'pack'),
  renders: jobQueue('batch', 'pack'),
  training: jobQueue('normal', 'gang'),
} as const;

const SHARES: Readonly<Record<string, number>> = {
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

/** The team whose batch work wants more than its limit lets it run. */
export const LIMITED_TEAM = 'kilns';
const LIMITED: Resources = {
  cpuMilli: 48_000,
  memMb: 96 * GB,
  accel: 0,
  slots: 8,
};
const WIDE: Resources = {
  cpuMilli: MANY,
  memMb: 4 * MANY,
  accel: 160,
  slots: 512,
};

/** The limit of a team. */
export function limitOf(team: string): Resources {
  return team === LIMITED_TEAM ? LIMITED : WIDE;
}

/** The names of all teams; each is the one of its organisation. */
export const TEAMS: readonly string[] = Object.keys(SHARES);

/** The defaults that govern the demonstration's fleet. */
export function demoConfiguration(): Configuration {
  const organisations: Record<string, OrganisationConfig> = {};
  const teams: Record<string, TeamConfig> = {};
  for (const [team, share] of Object.entries(SHARES)) {
    organisations[team] = {share};
    teams[team] = {organisation: team, share, limit: limitOf(team)};
  }
  const queues: Record<string, QueueConfig> = {...JOB_QUEUES};
  for (const {queue, service} of REQUEST_QUEUES) {
    queues[queue] = {...jobQueue('urgent', 'spread'), service};
  }
  return {defaults: {queues, organisations, teams}, exceptions: []};
}

/** Both users' machines of today, over three regions. */
export const DEMO_FLEET: FleetPlan = {
  domains: DOMAINS,
  entriesPerDomain: 1,
  workers: [
    {count: 24, capacity: machine(16, 32, 0)},
    {count: 10, capacity: machine(32, 64, 8)},
    {count: 24, capacity: machine(16, 64, 0)},
    {count: 10, capacity: machine(128, 256, 8)},
  ],
  executors: [
    {count: 24, service: 'counter'},
    {count: 10, service: 'planning'},
    {count: 24, service: 'calendar'},
    {count: 10, service: 'lookbook'},
  ],
};

function machine(cores: number, memGb: number, accel: number): Resources {
  return {...NO_RESOURCES, cpuMilli: cores * 1_000, memMb: memGb * GB, accel};
}

function request(
  queue: string,
  service: string,
  team: string,
  sleepMs: number,
  perSecond: number,
): RequestQueue {
  const flags = {isIdempotent: true, hasOwnId: false};
  return {queue, service, team, ...flags, sleepMs, perSecond};
}

function once(queue: RequestQueue): RequestQueue {
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
