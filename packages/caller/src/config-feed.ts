/** The configuration stream, as the gateway follows it. */
import {fetchConfigTail, type PeerMesh} from '@dragonflyward/peer';
import {
  ConfigFollower,
  ConfigPeers,
  type ConfigFollowerOptions,
  type ConfigState,
  type ConfigTail,
  type ListedPeer,
  type QueueConfig,
} from '@dragonflyward/state';
import {ConfigView} from './config-view.js';
import type {VmView} from './vm-view.js';

/** The schedulers on the other entry VMs, as sources of configuration. */
export class MeshConfigPeers extends ConfigPeers {
  constructor(
    private readonly mesh: PeerMesh,
    private readonly vms: VmView,
    private readonly ownVm: string,
  ) {
    super();
  }

  override listedPeers(): readonly ListedPeer[] | undefined {
    if (!this.vms.isLoaded) return undefined;
    const others = this.vms.entryVms().filter(({id}) => id !== this.ownVm);
    return others.map(({id, domain}) => ({vm: id, domain}));
  }

  override requestTail(vm: string, from: number): Promise<ConfigTail> {
    return fetchConfigTail(this.mesh, vm, from);
  }
}

/** The current configuration, and its age. */
export class ConfigFeed extends ConfigView {
  private readonly follower: ConfigFollower;

  constructor(parts: ConfigFollowerOptions) {
    super();
    this.follower = new ConfigFollower(parts);
  }

  get state(): ConfigState {
    return this.follower.state;
  }

  /** Starts following the stream, in the log or through peers. */
  start(): void {
    this.follower.start();
  }

  /** Stops following the stream. */
  stop(): void {
    this.follower.stop();
  }

  override queue(name: string): QueueConfig | undefined {
    return this.state.queue(name);
  }

  override teamOfKey(key: string): string | undefined {
    return this.state.teamOfKey(key);
  }

  override isFresh(): boolean {
    return this.follower.isFresh();
  }

  override isApplied(): boolean {
    return this.state.revision >= 0;
  }

  /** The age of the newest read that covers the applied configuration. */
  ageMs(): number {
    return this.follower.ageMs();
  }
}
