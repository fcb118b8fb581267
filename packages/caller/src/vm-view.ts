/** The list of VMs as the gateway last read it. */
import type {Clock, Place} from '@dragonflyward/common';
import {rankByHash} from '@dragonflyward/common';
import type {VmEntry, VmListClient} from '@dragonflyward/vms';

/** A shard that serves a service, and how far away it is. */
export interface ServingShard {
  readonly shard: string;
  readonly isCrossRegion: boolean;
}

/** Reads the list of VMs for as long as it runs. */
export class VmView {
  private entries: readonly VmEntry[] = [];
  private isRunning = false;
  private isRead = false;

  constructor(
    private readonly client: VmListClient,
    private readonly clock: Clock,
    private readonly self: Place & {readonly id: string},
    private readonly onRead: (view: VmView) => void,
  ) {}

  /** Whether the list was read at least once. */
  get isKnown(): boolean {
    return this.isRead;
  }

  /** Starts to read the list at the given period. */
  start(periodMs: number): void {
    this.isRunning = true;
    void this.run(periodMs);
  }

  /** Stops reading. */
  stop(): void {
    this.isRunning = false;
  }

  /**
   * Reads the list once; what was read before stays where it fails.
   *
   * @example
   * await view.readOnce();
   */
  async readOnce(): Promise<void> {
    this.entries = await this.client.list();
    this.isRead = true;
    this.onRead(this);
  }

  /** The entry VMs, this process's own among them. */
  entryVms(): readonly VmEntry[] {
    return this.entries.filter(({kind}) => kind === 'entry');
  }

  /** The executors of all services. */
  executors(): readonly VmEntry[] {
    return this.entries.filter(({kind}) => kind === 'executor');
  }

  /** The failure domains that have targets, in order. */
  domains(): readonly string[] {
    const targets = this.entries.filter(({kind}) => kind !== 'entry');
    return [...new Set(targets.map(({domain}) => domain))].sort();
  }

  /** Whether a VM of the list is in this VM's region. */
  isOwnRegion(domain: string): boolean {
    const found = this.entries.find(entry => entry.domain === domain);
    return found?.region === this.self.region;
  }

  /**
   * Lists the shards with executors of a service: the own failure domain
   * first, then the others of the region, then the other regions.
   *
   * @example
   * for (const {shard} of view.shardsOf('quote')) await tryShard(shard);
   */
  shardsOf(service: string): readonly ServingShard[] {
    const serving = this.executors().filter(
      entry => entry.service === service && entry.state === 'live',
    );
    const domains = [...new Set(serving.map(({domain}) => domain))];
    return rankByHash(this.self.id, domains, name => name)
      .map(shard => ({shard, isCrossRegion: !this.isOwnRegion(shard)}))
      .sort((a, b) => this.distance(a) - this.distance(b));
  }

  private distance({shard, isCrossRegion}: ServingShard): number {
    if (shard === this.self.domain) return 0;
    return isCrossRegion ? 2 : 1;
  }

  private async run(periodMs: number): Promise<void> {
    while (this.isRunning) {
      await this.readOnce().catch(() => undefined);
      await this.clock.sleep(periodMs);
    }
  }
}
