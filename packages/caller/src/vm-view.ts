/** The list of VMs, as last read by the gateway. */
import type {Clock, VmLocation} from '@dragonflyward/common';
import {rankByHash} from '@dragonflyward/common';
import type {VmEntry, VmListClient} from '@dragonflyward/vms';

/** A shard with executors of a service, and whether it is in another region. */
export interface ServingShard {
  readonly shard: string;
  readonly isCrossRegion: boolean;
}

/** Reads the list of VMs periodically. */
export class VmView {
  private entries: readonly VmEntry[] = [];
  private isRunning = false;
  private hasRead = false;

  constructor(
    private readonly client: VmListClient,
    private readonly clock: Clock,
    private readonly self: VmLocation & {readonly id: string},
    private readonly onUpdate: (view: VmView) => void,
  ) {}

  /** Whether the list was read at least once. */
  get isLoaded(): boolean {
    return this.hasRead;
  }

  /** Starts to read the list periodically. */
  start(periodMs: number): void {
    this.isRunning = true;
    void this.run(periodMs);
  }

  /** Stops reading. */
  stop(): void {
    this.isRunning = false;
  }

  /**
   * Reads the list once; if that fails, the previous list stays in use.
   *
   * @example
   * await view.refresh();
   */
  async refresh(): Promise<void> {
    this.entries = await this.client.list();
    this.hasRead = true;
    this.onUpdate(this);
  }

  /** The entry VMs, including the one of this process. */
  entryVms(): readonly VmEntry[] {
    return this.entries.filter(({kind}) => kind === 'entry');
  }

  /** The executors of all services. */
  executors(): readonly VmEntry[] {
    return this.entries.filter(({kind}) => kind === 'executor');
  }

  /** The failure domains that have targets, sorted by name. */
  domains(): readonly string[] {
    const targets = this.entries.filter(({kind}) => kind !== 'entry');
    return [...new Set(targets.map(({domain}) => domain))].sort();
  }

  /** Whether a failure domain is in the region of this process. */
  isInOwnRegion(domain: string): boolean {
    const found = this.entries.find(entry => entry.domain === domain);
    return found?.region === this.self.region;
  }

  /**
   * Lists the shards with live executors of a service: the own failure domain
   * first, then those of the same region, then those of other regions.
   *
   * @example
   * const [nearest] = view.shardsForService('quote');
   */
  shardsForService(service: string): readonly ServingShard[] {
    const serving = this.executors().filter(
      entry => entry.service === service && entry.state === 'live',
    );
    const domains = [...new Set(serving.map(({domain}) => domain))];
    return rankByHash(this.self.id, domains, name => name)
      .map(shard => ({shard, isCrossRegion: !this.isInOwnRegion(shard)}))
      .sort((a, b) => this.distance(a) - this.distance(b));
  }

  private distance({shard, isCrossRegion}: ServingShard): number {
    if (shard === this.self.domain) return 0;
    return isCrossRegion ? 2 : 1;
  }

  private async run(periodMs: number): Promise<void> {
    while (this.isRunning) {
      await this.refresh().catch(() => undefined);
      await this.clock.sleep(periodMs);
    }
  }
}
