/** Finds the processes on the entry VMs and reads their admin ports. */
import {
  callJson,
  toFailure,
  type PortSettings,
  type ProcessRef,
} from '@dragonflyward/common';
import type {VmEntry, VmListClient} from '@dragonflyward/vms';

const HTTP_OK = 200;

/** The role of a process on an entry VM. */
export type ProcessRole = 'gateway' | 'scheduler';

/** One process of the system and its admin port. */
export interface ProcessAddress {
  readonly name: string;
  readonly role: ProcessRole | 'unknown';
  readonly vm: string;
  readonly domain: string;
  readonly ip: string;
  readonly port: number;
  readonly isLeaving: boolean;
}

/** The reply of a process's admin port. */
export interface AdminReply {
  readonly process: ProcessAddress;
  /** Undefined if the read failed. */
  readonly body: Readonly<Record<string, unknown>> | undefined;
  /** Why the read failed; empty if it did not. */
  readonly failure: string;
}

/**
 * Lists the processes on the entry VMs in a VM list.
 *
 * @example
 * const processes = [...listProcesses(await vms.list(), settings.ports)];
 */
export function* listProcesses(
  vms: readonly VmEntry[],
  ports: PortSettings,
): Generator<ProcessAddress> {
  for (const vm of vms) {
    if (vm.kind !== 'entry') continue;
    yield toAddress(vm, 'gateway', ports.gatewayAdmin);
    yield toAddress(vm, 'scheduler', ports.schedulerAdmin);
  }
}

function toAddress(
  vm: VmEntry,
  role: ProcessRole,
  port: number,
): ProcessAddress {
  const {id, ip, domain} = vm;
  const isLeaving = vm.state === 'leaving';
  return {name: `${role}@${id}`, role, vm: id, domain, ip, port, isLeaving};
}

/** Finds all processes of the system through the VM list. */
export class Fleet {
  constructor(
    private readonly vms: VmListClient,
    private readonly ports: PortSettings,
    private readonly timeoutMs: number,
  ) {}

  /**
   * Lists the processes. The VM list may lag behind the actual VMs.
   *
   * @throws vmsDown
   */
  async processes(): Promise<readonly ProcessAddress[]> {
    return [...listProcesses(await this.vms.list(), this.ports)];
  }

  /**
   * Reads one path of each process's admin port, in parallel.
   *
   * @throws vmsDown
   * @example
   * const replies = await fleet.readAll('/status');
   */
  async readAll(
    path: string,
    role?: ProcessRole,
  ): Promise<readonly AdminReply[]> {
    const processes = await this.processes();
    const selected = processes.filter(
      process => role === undefined || process.role === role,
    );
    return Promise.all(
      selected.map(process => readAdmin(process, path, this.timeoutMs)),
    );
  }
}

/**
 * Reads one path of a process's admin port.
 *
 * @example
 * const {body} = await readAdmin(process, '/events', 1500);
 */
export async function readAdmin(
  process: ProcessAddress,
  path: string,
  timeoutMs: number,
): Promise<AdminReply> {
  const url = `http://${process.ip}:${process.port}${path}`;
  try {
    const res = await callJson({method: 'GET', url, timeoutMs});
    if (res.status !== HTTP_OK) {
      return {process, body: undefined, failure: `status ${res.status}`};
    }
    const body = res.body as AdminReply['body'];
    return {process, body, failure: ''};
  } catch (err) {
    return {process, body: undefined, failure: toFailure(err).detail};
  }
}

/** A shard that a scheduler follows, as reported by its status. */
export interface StatusShard {
  readonly shard: string;
  readonly term: number;
  /** Whether this process owns the shard and may act for it. */
  readonly isActive?: boolean;
  readonly offset?: number;
  readonly logAgeMs?: number | null;
}

/** The fields of a status that the programs read, where present. */
export interface ProcessStatus {
  readonly process?: ProcessRef;
  readonly isReady?: boolean;
  readonly isDraining?: boolean;
  /** Offset of the next configuration record to apply. */
  readonly configOffset?: number;
  /** Time since the configuration was last known to be the newest. */
  readonly configAgeMs?: number | null;
  readonly shards?: readonly StatusShard[];
}

/**
 * Returns the offset of the next configuration record to apply.
 *
 * @example
 * const isInForce = (configOffsetOf(body) ?? 0) > revision;
 */
export function configOffsetOf(body: AdminReply['body']): number | undefined {
  return ((body ?? {}) as ProcessStatus).configOffset;
}

/** Returns the time since the configuration was last known to be newest. */
export function configAgeOf(body: AdminReply['body']): number | undefined {
  return ((body ?? {}) as ProcessStatus).configAgeMs ?? undefined;
}
