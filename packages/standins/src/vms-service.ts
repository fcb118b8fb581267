/** The stand-in of the platform's list of VMs. */
import type {VmEntry} from '@dragonflyward/vms';
import {json, Service, type Call, type Reply} from './service.js';

/** Changes of the list and its faults. */
export interface VmsSwitches {
  readonly lagMs?: number;
  readonly outage?: boolean;
  readonly set?: readonly VmEntry[];
  readonly remove?: readonly string[];
  readonly leaving?: readonly string[];
}

interface Version {
  readonly sinceMs: number;
  readonly vms: readonly VmEntry[];
}

/** A list of VMs that shows its changes late. */
export class VmsService extends Service {
  private versions: readonly Version[] = [{sinceMs: 0, vms: []}];
  private lagMs = 0;
  private isOut = false;

  override handle(call: Call): Promise<Reply> {
    if (call.path === '/admin') return Promise.resolve(this.admin(call));
    if (this.isOut) return Promise.resolve(json({error: 'outage'}, 503));
    return Promise.resolve(json({vms: this.seen()}));
  }

  private admin(call: Call): Reply {
    const change = (call.body ?? {}) as VmsSwitches;
    this.lagMs = change.lagMs ?? this.lagMs;
    this.isOut = change.outage ?? this.isOut;
    const isListChange = change.set ?? change.remove ?? change.leaving;
    if (isListChange) {
      const version = {sinceMs: Date.now(), vms: this.changed(change)};
      this.versions = [...this.versions, version];
    }
    return json({versions: this.versions.length});
  }

  /** `set` replaces entries of the same id and adds the others. */
  private changed(change: VmsSwitches): readonly VmEntry[] {
    const byId = new Map(this.newest().map(vm => [vm.id, vm]));
    for (const vm of change.set ?? []) byId.set(vm.id, vm);
    for (const id of change.remove ?? []) byId.delete(id);
    for (const id of change.leaving ?? []) {
      const vm = byId.get(id);
      if (vm !== undefined) byId.set(id, {...vm, state: 'leaving'});
    }
    return [...byId.values()];
  }

  private newest(): readonly VmEntry[] {
    return this.versions.at(-1)?.vms ?? [];
  }

  private seen(): readonly VmEntry[] {
    const atMs = Date.now() - this.lagMs;
    return this.versions.findLast(v => v.sinceMs <= atMs)?.vms ?? [];
  }
}
