/** The traces on which engines are compared, at the size of a shard today. */
import type {Resources} from '@dragonflyward/common';
import type {PolicyTeam, Trace, TraceJobGroup} from '@dragonflyward/policy';
import {QUEUES, UNLIMITED} from './shard-load.js';

const MINUTE_MS = 60_000;

function resources(cores: number, memMb: number, accel = 0): Resources {
  return {cpuMilli: cores * 1_000, memMb, accel, slots: 0};
}

function team(name: string, share: number, organisation: string): PolicyTeam {
  const organisationShare = organisation === 'images' ? 2 : 1;
  return {
    ...{team: name, organisation, share, organisationShare},
    allowance: UNLIMITED,
  };
}

const WORKERS = [
  {name: 'plain', count: 8, perRack: 4, capacity: resources(16, 65_536)},
  {name: 'large', count: 3, perRack: 3, capacity: resources(64, 131_072, 8)},
];

/** Short tasks, services, batch jobs and gangs that exceed the capacity. */
export function mixedDayTrace(): Trace {
  const jobs: readonly TraceJobGroup[] = [
    {
      ...{name: 'quick', team: 'counter', queue: 'quotes', count: 800},
      ...{firstMs: 30_000, everyMs: 600, tasks: 1},
      ...{size: resources(2, 1_024), runMs: 3_000, isIdempotent: false},
    },
    {
      ...{name: 'service', team: 'site', queue: 'shops', count: 6},
      ...{firstMs: 60_000, everyMs: MINUTE_MS, tasks: 2, isService: true},
      ...{size: resources(2, 4_096), runMs: 0},
    },
    {
      ...{name: 'batch', team: 'planning', queue: 'renders', count: 2_200},
      ...{firstMs: 0, everyMs: 200, tasks: 1},
      ...{size: resources(2, 4_096), runMs: 30_000, runFactor: 1.5},
    },
    {
      ...{name: 'render', team: 'studio', queue: 'renders', count: 700},
      ...{firstMs: 0, everyMs: 800, tasks: 1},
      ...{size: resources(4, 8_192, 1), runMs: 60_000, useFactor: 0.6},
    },
    {
      ...{name: 'gang', team: 'kilns', queue: 'kilns', count: 8},
      ...{firstMs: 45_000, everyMs: MINUTE_MS, tasks: 8, isGang: true},
      ...{size: resources(4, 8_192, 1), runMs: 20_000},
    },
  ];
  return {
    name: 'mixed day',
    endMs: 10 * MINUTE_MS,
    measureFromMs: MINUTE_MS,
    workers: WORKERS,
    queues: QUEUES,
    teams: [
      team('counter', 2, 'shops'),
      team('site', 1, 'shops'),
      team('planning', 1, 'mills'),
      team('kilns', 1, 'mills'),
      team('studio', 1, 'images'),
    ],
    jobs,
    faults: [],
    outcome: {},
  };
}

const FLEET_TEAMS = 8;

/** Overload: every team always has more work than its share. */
export function fullFleetTrace(): Trace {
  const names = Array.from({length: FLEET_TEAMS}, (_, i) => `team-${i}`);
  return {
    name: 'full fleet',
    endMs: 8 * MINUTE_MS,
    measureFromMs: 2 * MINUTE_MS,
    workers: WORKERS,
    queues: QUEUES,
    teams: names.map((name, i) => team(name, 1 + (i % 2), `org-${i % 3}`)),
    jobs: names.map((name, i) => ({
      ...{name, team: name, queue: 'renders', count: 1_200},
      ...{firstMs: 0, everyMs: 350, tasks: 1},
      ...{size: resources(1 + (i % 3), 2_048), runMs: 20_000},
    })),
    faults: [],
    outcome: {},
  };
}
