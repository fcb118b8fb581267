/** The simulated workers and executors of a rig. */
import {raise} from '@dragonflyward/common';
import type {VmEntry} from '@dragonflyward/vms';
import {
  getJson,
  postAdmin,
  standinProgramPath,
  waitUntilReachable,
} from './admin-calls.js';
import {
  NO_EXECUTOR_FAULTS,
  type ExecutorFaults,
  type RequestRun,
} from './executor-service.js';
import type {TargetRecords} from './record-checks.js';
import type {ProcessSet} from './processes.js';
import {NO_WORKER_FAULTS, type WorkerFaults} from './worker-service.js';
import type {TaskRun} from './worker-task.js';

type TargetKind = 'worker' | 'executor';

interface WorkerRecords {
  readonly overcommits: readonly string[];
  readonly runs: readonly TaskRun[];
}

interface ExecutorRecords {
  readonly slotBreaches: number;
  readonly runs: readonly RequestRun[];
}

/** All targets of a rig; those of one kind and domain share a process. */
export class TargetSet {
  constructor(
    private readonly processes: ProcessSet,
    readonly vms: readonly VmEntry[],
  ) {}

  /** Starts the processes of the targets. */
  start(): void {
    for (const domain of new Set(this.vms.map(vm => vm.domain))) {
      this.startDomain(domain, 'worker', workerSpec);
      this.startDomain(domain, 'executor', executorSpec);
    }
  }

  /** Waits until all targets answer. */
  async waitUntilReachable(): Promise<void> {
    for (const vm of this.vms) await waitUntilReachable(adminUrl(vm));
  }

  setWorkerFaults(id: string, change: Partial<WorkerFaults>): Promise<void> {
    return postAdmin(adminUrl(this.findVm(id)), change);
  }

  setExecutorFaults(
    id: string,
    change: Partial<ExecutorFaults>,
  ): Promise<void> {
    return postAdmin(adminUrl(this.findVm(id)), change);
  }

  /** Mutes the open connections of all targets of a kind. */
  async muteConnections(kind: TargetKind): Promise<void> {
    for (const vm of this.vms) {
      if (vm.kind === kind) await postAdmin(`${adminUrl(vm)}/mute`, {});
    }
  }

  /** Ends all injected faults except muted connections. */
  async clearFaults(): Promise<void> {
    for (const vm of this.vms) {
      const isWorker = vm.kind === 'worker';
      await postAdmin(
        adminUrl(vm),
        isWorker ? NO_WORKER_FAULTS : NO_EXECUTOR_FAULTS,
      );
    }
  }

  /** Reads the records of all workers and executors. */
  async records(): Promise<TargetRecords> {
    const workers = await this.readAll<WorkerRecords>('worker');
    const executors = await this.readAll<ExecutorRecords>('executor');
    return {
      overcommits: workers.flatMap(worker => worker.overcommits),
      slotBreaches: executors.reduce((sum, e) => sum + e.slotBreaches, 0),
      tasks: workers.flatMap(worker => worker.runs),
      requests: executors.flatMap(executor => executor.runs),
    };
  }

  /** The requests that one executor ran. */
  async requestsOf(id: string): Promise<readonly RequestRun[]> {
    const {body} = await getJson(adminUrl(this.findVm(id)));
    return (body as ExecutorRecords).runs;
  }

  findVm(id: string): VmEntry {
    const vm = this.vms.find(target => target.id === id);
    return vm ?? raise('badRequest', `no target VM ${id}`);
  }

  private async readAll<T>(kind: TargetKind): Promise<readonly T[]> {
    const targets = this.vms.filter(vm => vm.kind === kind);
    const replies = await Promise.all(targets.map(vm => getJson(adminUrl(vm))));
    return replies.map(res => res.body as T);
  }

  private startDomain(
    domain: string,
    kind: TargetKind,
    specOf: (vm: VmEntry) => string,
  ): void {
    const specs = this.vms
      .filter(vm => vm.domain === domain && vm.kind === kind)
      .map(specOf);
    if (specs.length === 0) return;
    this.processes.start(`${kind}s-${domain}`, standinProgramPath(kind), specs);
  }
}

function adminUrl(vm: VmEntry): string {
  return `http://${vm.ip}:${vm.port}/admin`;
}

function workerSpec(vm: VmEntry): string {
  const {cpuMilli, memMb, accel} = vm.capacity;
  return [vm.id, vm.ip, vm.port, cpuMilli, memMb, accel].join(',');
}

function executorSpec(vm: VmEntry): string {
  return [vm.ip, vm.port, vm.capacity.slots].join(',');
}
