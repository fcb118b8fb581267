/** Which scheduler owns which shard, as heard from heartbeats. */
import type {OwnedShard} from '@dragonflyward/peer';

/** A shard's owner. */
export interface ShardOwnerRef {
  readonly vm: string;
  readonly term: number;
}

/** The owners of shards. */
export class OwnerDirectory {
  private readonly owners = new Map<string, ShardOwnerRef>();

  /** Takes in what a scheduler says that it owns. */
  note(vm: string, owns: readonly OwnedShard[]): void {
    const named = new Set(owns.map(({shard}) => shard));
    for (const [shard, owner] of this.owners) {
      if (owner.vm === vm && !named.has(shard)) this.owners.delete(shard);
    }
    for (const {shard, term} of owns) {
      const known = this.owners.get(shard);
      if (known !== undefined && known.term > term) continue;
      this.owners.set(shard, {vm, term});
    }
  }

  /** Takes in that the connection to a scheduler is gone. */
  drop(vm: string): void {
    this.note(vm, []);
  }

  /** The owner of a shard. */
  ownerOf(shard: string): ShardOwnerRef | undefined {
    return this.owners.get(shard);
  }

  /** Whether any shard has an owner. */
  isEmpty(): boolean {
    return this.owners.size === 0;
  }

  /** All owners, for the status page. */
  list(): Readonly<Record<string, ShardOwnerRef>> {
    return Object.fromEntries(this.owners);
  }
}
