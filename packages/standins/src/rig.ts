/** A test rig: runs stand-ins and the real programs as processes. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {raise, type TimingSettings} from '@dragonflyward/common';
import {HttpLogClient} from '@dragonflyward/log';
import type {VmEntry} from '@dragonflyward/vms';
import {
  getJson,
  postAdmin,
  standinProgramPath,
  waitUntilReachable,
} from './admin-calls.js';
import {entryVm, Subnet, targetVms, type FleetPlan} from './fleet.js';
import {NO_LOG_FAULTS, type LogFaults} from './log-service.js';
import {RigOperator} from './operator.js';
import {ProcessSet} from './processes.js';
import {TargetSet} from './targets.js';
import type {VmListChange} from './vms-service.js';
import {waitUntil} from './wait.js';

const LOG_HOST = 250;
const VMS_HOST = 251;
const SERVICE_PORT = 7_000;
const PORTS = {
  gateway: 8_080,
  gatewayAdmin: 8_081,
  scheduler: 8_090,
  schedulerAdmin: 8_091,
} as const;
const START_TIMEOUT_MS = 20_000;

/** A program that runs on each entry VM. */
export type Role = 'gateway' | 'scheduler';

/** The VMs of a rig and the timing settings of its programs. */
export interface RigPlan extends FleetPlan {
  readonly timing?: Partial<TimingSettings>;
}

/** A small fleet on one machine; `stop` ends all that it started. */
export class Rig {
  readonly processes = new ProcessSet();
  readonly targets: TargetSet;
  readonly log: HttpLogClient;
  readonly operator: RigOperator;
  private readonly subnet = new Subnet(process.pid);
  private readonly dir = mkdtempSync(join(tmpdir(), 'dragonflyward-'));
  private readonly entriesById = new Map<string, VmEntry>();
  private nextEntry = 1;

  constructor(private readonly plan: RigPlan) {
    const vms = [...targetVms(plan, this.subnet)];
    this.targets = new TargetSet(this.processes, vms);
    this.log = new HttpLogClient(this.logUrl);
    this.operator = new RigOperator(this.log);
  }

  /** The entry VMs, oldest first. */
  get entries(): readonly VmEntry[] {
    return [...this.entriesById.values()];
  }

  get logUrl(): string {
    return `http://${this.subnet.ip(LOG_HOST)}:${SERVICE_PORT}`;
  }

  get vmListUrl(): string {
    return `http://${this.subnet.ip(VMS_HOST)}:${SERVICE_PORT}`;
  }

  /** Starts the stand-ins and fills the list of VMs. */
  async startStandins(): Promise<void> {
    this.startStandin('log', LOG_HOST);
    this.startStandin('vms', VMS_HOST);
    this.targets.start();
    await waitUntilReachable(`${this.logUrl}/admin`);
    await waitUntilReachable(`${this.vmListUrl}/admin`);
    await this.targets.waitUntilReachable();
    await this.changeVmList({set: this.targets.vms});
  }

  /** Adds the entry VMs of the plan and starts their programs. */
  async startEntries(): Promise<void> {
    for (let i = 0; i < this.plan.entriesPerDomain; i += 1) {
      for (const domain of this.plan.domains) await this.addEntry(domain);
    }
  }

  /** Waits until all programs on the entry VMs are ready. */
  async waitUntilReady(timeoutMs = START_TIMEOUT_MS): Promise<void> {
    for (const {id} of this.entries) {
      await this.waitUntilRoleReady('gateway', id, timeoutMs);
      await this.waitUntilRoleReady('scheduler', id, timeoutMs);
    }
  }

  async waitUntilRoleReady(
    role: Role,
    id: string,
    timeoutMs = START_TIMEOUT_MS,
  ): Promise<void> {
    const name = processName(role, id);
    try {
      await waitUntil(`${name} ready`, timeoutMs, () => this.isReady(role, id));
    } catch {
      raise(
        'deadlinePassed',
        `${name} is not ready: ${this.processes.output(name)}`,
      );
    }
  }

  async isReady(role: Role, id: string): Promise<boolean> {
    return (await getJson(`${this.adminUrl(role, id)}/readyz`)).status === 200;
  }

  /** Adds an entry VM to the list of VMs and starts its programs. */
  async addEntry(domain: string): Promise<VmEntry> {
    const host = this.nextEntry;
    this.nextEntry += 1;
    const vm = entryVm(`entry-${host}`, this.subnet.ip(host), domain);
    this.entriesById.set(vm.id, vm);
    await this.changeVmList({set: [vm]});
    this.startRole('scheduler', vm.id);
    this.startRole('gateway', vm.id);
    return vm;
  }

  /** Kills an entry VM's programs and removes it from the list of VMs. */
  async removeEntry(id: string): Promise<void> {
    await this.kill('gateway', id);
    await this.kill('scheduler', id);
    this.entriesById.delete(id);
    await this.changeVmList({remove: [id]});
  }

  /** Starts a program on an entry VM, or restarts it after it ended. */
  startRole(role: Role, id: string): void {
    const file = join(this.dir, `${id}.json`);
    writeFileSync(file, JSON.stringify(this.settingsOf(id)));
    const script = programPath(role === 'gateway' ? 'caller' : 'scheduler');
    this.processes.start(processName(role, id), script, ['--settings', file]);
  }

  kill(role: Role, id: string): Promise<void> {
    return this.processes.kill(processName(role, id));
  }

  pause(role: Role, id: string): void {
    this.processes.signal(processName(role, id), 'SIGSTOP');
  }

  resume(role: Role, id: string): void {
    this.processes.signal(processName(role, id), 'SIGCONT');
  }

  /** Requests a graceful shutdown and returns the exit code. */
  terminate(role: Role, id: string): Promise<number> {
    this.processes.signal(processName(role, id), 'SIGTERM');
    return this.processes.waitForExit(processName(role, id));
  }

  setLogFaults(change: Partial<LogFaults>): Promise<void> {
    return postAdmin(`${this.logUrl}/admin`, change);
  }

  /** Mutes the open connections of the log service. */
  muteLogConnections(): Promise<void> {
    return postAdmin(`${this.logUrl}/admin/mute`, {});
  }

  changeVmList(change: VmListChange): Promise<void> {
    return postAdmin(`${this.vmListUrl}/admin`, change);
  }

  gatewayUrl(id: string): string {
    return `http://${this.findEntry(id).ip}:${PORTS.gateway}`;
  }

  adminUrl(role: Role, id: string): string {
    const port = role === 'gateway' ? PORTS.gatewayAdmin : PORTS.schedulerAdmin;
    return `http://${this.findEntry(id).ip}:${port}`;
  }

  /** Reads the status of a program. */
  async status(role: Role, id: string): Promise<Readonly<object>> {
    const res = await getJson(`${this.adminUrl(role, id)}/status`);
    return res.body as Readonly<object>;
  }

  /** Ends all faults, resumes paused programs and restarts dead ones. */
  async clearFaults(): Promise<void> {
    await this.setLogFaults(NO_LOG_FAULTS);
    await this.changeVmList({lagMs: 0, outage: false});
    for (const {id} of this.entries) {
      this.recoverRole('scheduler', id);
      this.recoverRole('gateway', id);
    }
    await this.targets.clearFaults();
  }

  /** Kills all processes of this rig and deletes its files. */
  async stop(): Promise<void> {
    await this.processes.stopAll();
    rmSync(this.dir, {recursive: true, force: true});
  }

  private recoverRole(role: Role, id: string): void {
    if (this.processes.isRunning(processName(role, id))) this.resume(role, id);
    else this.startRole(role, id);
  }

  private startStandin(name: 'log' | 'vms', host: number): void {
    const args = ['--ip', this.subnet.ip(host), '--port', `${SERVICE_PORT}`];
    this.processes.start(name, standinProgramPath(name), args);
  }

  private settingsOf(id: string): Readonly<object> {
    const {ip, region, domain, rack} = this.findEntry(id);
    return {
      vm: {id, ip, region, domain, rack},
      logUrl: this.logUrl,
      vmListUrl: this.vmListUrl,
      ports: PORTS,
      timing: this.plan.timing ?? {},
    };
  }

  private findEntry(id: string): VmEntry {
    return this.entriesById.get(id) ?? raise('badRequest', `no entry VM ${id}`);
  }
}

function processName(role: Role, id: string): string {
  return `${role}@${id}`;
}

function programPath(pkg: string): string {
  const path = `../../../${pkg}/dist/src/main.js`;
  return fileURLToPath(new URL(path, import.meta.url));
}
