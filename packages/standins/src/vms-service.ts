/** The stand-in for the platform's list of VMs. */
import type {VmEntry} from '@dragonflyward/vms';
import {jsonReply, Service, type Call, type Reply} from './service.js';

/** Changes to the list of VMs and to the faults of its service. */
export interface VmListChange {
  readonly lagMs?: number;
  readonly outage?: boolean;
  readonly set?: readonly VmEntry[];
  readonly remove?: readonly string[];
  readonly leaving?: readonly string[];
}

interface ListVersion {
  readonly sinceMs: number;
  readonly vms: readonly VmEntry[];
}

/** A list of VMs that can show its changes after a lag. */
export class VmListService extends Service {
  private versions: readonly ListVersion[] = [{sinceMs: 0, vms: []}];
  private lagMs = 0;
  private isDown = false;

  override handle(call: Call): Promise<Reply> {
    if (call.path === '/admin') return Promise.resolve(this.handleAdmin(call));
    if (this.isDown) return Promise.resolve(jsonReply({error: 'outage'}, 503));
    return Promise.resolve(jsonReply({vms: this.visibleVms()}));
  }

  private handleAdmin(call: Call): Reply {
    const change = (call.body ?? {}) as VmListChange;
    this.lagMs = change.lagMs ?? this.lagMs;
    this.isDown = change.outage ?? this.isDown;
    const isListChange = change.set ?? change.remove ?? change.leaving;
    if (isListChange) {
      const version = {sinceMs: Date.now(), vms: this.applyChange(change)};
      this.versions = [...this.versions, version];
    }
    return jsonReply({versions: this.versions.length});
  }

  /** `set` replaces entries with the same id and adds the others. */
  private applyChange(change: VmListChange): readonly VmEntry[] {
    const byId = new Map(this.latestVms().map(vm => [vm.id, vm]));
    for (const vm of change.set ?? []) byId.set(vm.id, vm);
    for (const id of change.remove ?? []) byId.delete(id);
    for (const id of change.leaving ?? []) {
      const vm = byId.get(id);
      if (vm !== undefined) byId.set(id, {...vm, state: 'leaving'});
    }
    return [...byId.values()];
  }

  private latestVms(): readonly VmEntry[] {
    return this.versions.at(-1)?.vms ?? [];
  }

  private visibleVms(): readonly VmEntry[] {
    const atMs = Date.now() - this.lagMs;
    return this.versions.findLast(v => v.sinceMs <= atMs)?.vms ?? [];
  }
}
