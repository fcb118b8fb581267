/** The VMs of a rig and their addresses, domains and racks. */
import {NO_RESOURCES, type Resources} from '@dragonflyward/common';
import type {VmEntry} from '@dragonflyward/vms';

const WORKER_PORT = 7_001;
const EXECUTOR_PORT = 7_002;
const FIRST_TARGET_HOST = 40;
const WORKERS_PER_RACK = 4;
const EXECUTOR_SLOTS = 8;
const EXECUTOR_CONNECTIONS = 64;

/** Workers with the same capacity. */
export interface WorkerGroup {
  readonly count: number;
  readonly capacity: Resources;
}

/** Executors of one service. */
export interface ExecutorGroup {
  readonly count: number;
  readonly service: string;
}

/** The VMs of a rig. Counts of targets are fleet-wide, spread over domains. */
export interface FleetPlan {
  readonly domains: readonly string[];
  readonly entriesPerDomain: number;
  readonly workers: readonly WorkerGroup[];
  readonly executors: readonly ExecutorGroup[];
}

/** A /24 loopback network, chosen by process id to keep test runs apart. */
export class Subnet {
  private readonly prefix: string;

  constructor(pid: number) {
    this.prefix = `127.${1 + ((pid >> 8) % 254)}.${pid % 256}.`;
  }

  ip(host: number): string {
    return this.prefix + host;
  }
}

/** Returns the region of a domain: the part of its name before the dash. */
function regionOf(domain: string): string {
  return domain.split('-')[0] ?? domain;
}

/**
 * Makes the VM list entry of an entry VM.
 *
 * @example
 * const vm = entryVm('entry-1', subnet.ip(1), 'north-1');
 */
export function entryVm(id: string, ip: string, domain: string): VmEntry {
  return {
    id,
    kind: 'entry',
    state: 'live',
    ip,
    port: 0,
    region: regionOf(domain),
    domain,
    rack: 'entry',
    capacity: NO_RESOURCES,
    service: '',
    connections: 0,
  };
}

/**
 * Lists the workers and executors of a plan, assigned to domains round robin.
 *
 * @example
 * const targets = [...targetVms(plan, new Subnet(process.pid))];
 */
export function* targetVms(
  plan: FleetPlan,
  subnet: Subnet,
): Generator<VmEntry> {
  let index = 0;
  for (const {count, capacity} of plan.workers) {
    for (let i = 0; i < count; i += 1) {
      yield workerVm(plan, subnet, index, capacity);
      index += 1;
    }
  }
  index = 0;
  for (const {count, service} of plan.executors) {
    for (let i = 0; i < count; i += 1) {
      yield executorVm(plan, subnet, index, service);
      index += 1;
    }
  }
}

function locationOf(
  plan: FleetPlan,
  index: number,
): Pick<VmEntry, 'region' | 'domain' | 'rack'> {
  const domain = plan.domains[index % plan.domains.length] ?? '';
  const indexInDomain = Math.floor(index / plan.domains.length);
  const rack = `${domain}-r${Math.floor(indexInDomain / WORKERS_PER_RACK)}`;
  return {region: regionOf(domain), domain, rack};
}

function workerVm(
  plan: FleetPlan,
  subnet: Subnet,
  index: number,
  capacity: Resources,
): VmEntry {
  return {
    ...locationOf(plan, index),
    id: `worker-${index + 1}`,
    kind: 'worker',
    state: 'live',
    ip: subnet.ip(FIRST_TARGET_HOST + index),
    port: WORKER_PORT,
    capacity,
    service: '',
    connections: 0,
  };
}

function executorVm(
  plan: FleetPlan,
  subnet: Subnet,
  index: number,
  service: string,
): VmEntry {
  return {
    ...locationOf(plan, index),
    id: `executor-${index + 1}`,
    kind: 'executor',
    state: 'live',
    ip: subnet.ip(FIRST_TARGET_HOST + index),
    port: EXECUTOR_PORT,
    capacity: {...NO_RESOURCES, slots: EXECUTOR_SLOTS},
    service,
    connections: EXECUTOR_CONNECTIONS,
  };
}
