/** Tracks the owner of each shard, as announced in heartbeats. */
import type {OwnedShard} from '@dragonflyward/peer';

/** The owner of a shard. */
export interface OwnerInfo {
  readonly vm: string;
  readonly term: number;
}

/** The current owner of each shard. */
export class OwnerDirectory {
  private readonly owners = new Map<string, OwnerInfo>();

  /** Replaces the shards that a scheduler owns; the higher term wins. */
  update(vm: string, owns: readonly OwnedShard[]): void {
    const ownedShards = new Set(owns.map(({shard}) => shard));
    for (const [shard, owner] of this.owners) {
      if (owner.vm === vm && !ownedShards.has(shard)) this.owners.delete(shard);
    }
    for (const {shard, term} of owns) {
      const current = this.owners.get(shard);
      if (current !== undefined && current.term > term) continue;
      this.owners.set(shard, {vm, term});
    }
  }

  /** Removes a scheduler whose connection was lost. */
  remove(vm: string): void {
    this.update(vm, []);
  }

  /** The owner of a shard, if known. */
  ownerOf(shard: string): OwnerInfo | undefined {
    return this.owners.get(shard);
  }

  /** Whether no shard has a known owner. */
  isEmpty(): boolean {
    return this.owners.size === 0;
  }

  /** All owners, for the status page. */
  list(): Readonly<Record<string, OwnerInfo>> {
    return Object.fromEntries(this.owners);
  }
}
